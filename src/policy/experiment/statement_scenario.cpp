#include <QJsonArray>
#include <QJsonObject>

#include "scenarios.h"
#include "statement_world.h"

namespace shallotlever::experiment {
namespace {

struct Load
{
    const char *name;
    StatementLoad load;
};

struct Order
{
    const char *name;
    StatementQueueOptions options;
};

/// Three classes of unequal cost; the highest is the shortest.
std::vector<StatementClass> classes()
{
    return { { "first", 0, 8ms, 500ms, 10s, 0.14 },
             { "second", 1, 24ms, 1s, 10s, 0.63 },
             { "third", 2, 40ms, 2500ms, 20s, 0.23 } };
}

QJsonObject figures(const ClassFigures &figures)
{
    const StatementCounts &all = figures.all;
    return { { "in_time", all.share() },
             { "late", all.late / all.asked },
             { "refused_early", all.refusedEarly / all.asked },
             { "refused_late", all.refusedLate / all.asked },
             { "worst_team", figures.worstTeam(0) },
             { "worst_2s", figures.worstPeriod() } };
}

} // namespace

/// Order by priority and arrival against the queue, at the same load.
QJsonValue runStatementQueue(std::uint64_t seed)
{
    const std::vector<Load> loads {
        { "burst",
          { .classes = classes(), .load = 0.8, .burst = 2.3, .length = 24s, .seed = seed } },
        { "twice", { .classes = classes(), .load = 2, .seed = seed } },
        { "twice_three_slots", { .classes = classes(), .slots = 3, .load = 2, .seed = seed } },
        { "hot_team", { .classes = classes(), .load = 0.8, .hotTeam = 8, .seed = seed } },
        { "few_connections",
          { .classes = classes(),
            .load = 0.8,
            .burst = 2.3,
            .connections = 42,
            .length = 24s,
            .seed = seed } },
    };
    const std::vector<Order> orders {
        { "arrival", { .order = StatementOrder::Arrival } },
        { "fair_by_count", { .order = StatementOrder::FairByCount } },
        { "no_floor", { .lowerClassesShare = 0 } },
        { "fair", {} },
    };
    QJsonObject result;
    for (const Load &load : loads) {
        QJsonObject byOrder;
        for (const Order &order : orders) {
            const std::vector<ClassFigures> played = playStatements(load.load, order.options);
            QJsonObject byClass;
            for (std::size_t c = 0; c < played.size(); ++c)
                byClass[QString::fromStdString(load.load.classes[c].name)] = figures(played[c]);
            byOrder[order.name] = byClass;
        }
        result[load.name] = byOrder;
    }
    return result;
}

} // namespace shallotlever::experiment
