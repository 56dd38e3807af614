#include "statement_world.h"

#include <cmath>
#include <unordered_map>

namespace shallotlever::experiment {
namespace {

constexpr Duration kBurstStart = 6s;
constexpr Duration kBurstLength = 6s;
constexpr Duration kPeriod = 2s;
constexpr Duration kOpenTime = 12ms;
constexpr std::uint32_t kMaxOpening = 2;
/// Largest team in units of the smallest one.
constexpr double kLargestTeam = 12;
/// Teams that sent fewer statements of a class tell nothing about its share.
constexpr double kMinAsked = 100;

class StatementWorld
{
public:
    StatementWorld(const StatementLoad &load, const StatementQueueOptions &options)
        : m_load(load)
        , m_random(load.seed)
        , m_queue(options)
        , m_start(m_loop.now())
        , m_idle(load.teams)
        , m_usedAt(load.teams)
        , m_connections(load.teams)
        , m_figures(load.classes.size())
    {
        m_queue.setSlots(load.slots);
        double mean = 0;
        for (const StatementClass &c : load.classes)
            mean += c.share * toSeconds(c.cost);
        m_perSecond = load.load * load.slots / mean;
        for (std::size_t team = 0; team < load.teams; ++team) {
            m_teams.emplace_back(std::to_string(team));
            m_weights.push_back(
                std::max(1.0, kLargestTeam / std::pow(static_cast<double>(team + 1), 0.8)));
            m_totalWeight += m_weights.back();
        }
        for (ClassFigures &figures : m_figures) {
            figures.teams.resize(load.teams);
            figures.periods.resize(static_cast<std::size_t>(load.length / kPeriod));
        }
        for (std::size_t c = 0; c < load.classes.size(); ++c) {
            for (std::size_t team = 0; team < load.teams; ++team)
                arrive(c, team);
        }
        tick();
    }

    std::vector<ClassFigures> run()
    {
        // Until the last statement has been answered or has run out of time.
        m_loop.runUntil(m_start + m_load.length + 30s);
        return m_figures;
    }

private:
    struct Sent
    {
        std::size_t c = 0;
        std::size_t team = 0;
        TimePoint at;
    };

    bool heavy(std::size_t team) const { return m_load.heavyCost > 1 && team % 2 == 1; }
    bool burst() const
    {
        const Duration elapsed = m_loop.now() - m_start;
        return elapsed >= kBurstStart && elapsed < kBurstStart + kBurstLength;
    }

    void arrive(std::size_t c, std::size_t team)
    {
        const double rate = m_perSecond * m_load.classes[c].share * m_weights[team] / m_totalWeight
            * (team == 0 ? m_load.hotTeam : 1) / (heavy(team) ? m_load.heavyCost : 1);
        const double peak = rate * std::max(m_load.burst, 1.0);
        m_loop.after(exponential(m_random, 1 / peak), [this, c, team] {
            if (m_loop.now() >= m_start + m_load.length)
                return;
            const double kept = burst() ? 1 : 1 / std::max(m_load.burst, 1.0);
            if (uniformUnit(m_random) < kept)
                send(c, team);
            arrive(c, team);
        });
    }

    void send(std::size_t c, std::size_t team)
    {
        const StatementClass &statementClass = m_load.classes[c];
        const WaiterId id(++m_lastId);
        const TimePoint now = m_loop.now();
        m_sent[id] = { c, team, now };
        count(id, [](StatementCounts &counts) { ++counts.asked; });
        const StatementTraits traits { .team = m_teams[team],
                                       .weight = m_weights[team],
                                       .priority = statementClass.priority,
                                       .kind = kindOf(team),
                                       .objective = now + statementClass.objective,
                                       .deadline = now + statementClass.timeout };
        if (!m_queue.enqueue(id, traits, now))
            refuse(id);
        serve();
    }

    StatementCostKind kindOf(std::size_t team) const
    {
        return heavy(team) ? StatementCostKind::Write : StatementCostKind::Read;
    }

    template <typename Change>
    void count(WaiterId id, Change change)
    {
        const Sent &sent = m_sent.at(id);
        ClassFigures &figures = m_figures[sent.c];
        change(figures.all);
        change(figures.teams[sent.team]);
        change(figures.periods[static_cast<std::size_t>((sent.at - m_start) / kPeriod)]);
    }

    void refuse(WaiterId id)
    {
        const Sent &sent = m_sent.at(id);
        const bool early = m_loop.now() <= sent.at + m_load.classes[sent.c].objective / 4;
        count(id, [early](StatementCounts &c) { ++(early ? c.refusedEarly : c.refusedLate); });
    }

    const std::set<TeamId> &ready()
    {
        if (m_load.connections == 0 && !m_ready.empty())
            return m_ready;
        m_ready.clear();
        for (std::size_t team = 0; team < m_load.teams; ++team) {
            if (m_load.connections == 0 || m_idle[team] > 0)
                m_ready.insert(m_teams[team]);
        }
        return m_ready;
    }

    void serve()
    {
        for (const WaiterId id : m_queue.takeInfeasible(m_loop.now()))
            refuse(id);
        if (m_load.connections > 0)
            openFor(m_queue.overdueTeams(m_loop.now()), true);
        while (m_running + m_opening < m_load.slots) {
            const auto id = m_queue.next(ready(), m_loop.now());
            if (!id)
                break;
            start(*id);
        }
        if (m_running + m_opening < m_load.slots)
            m_queue.recordFreeSlot(m_loop.now());
        if (m_load.connections == 0)
            return;
        std::vector<TeamId> waiting;
        for (const WaitingTeam &demand : m_queue.waitingByTeam())
            waiting.push_back(demand.team);
        openFor(waiting, false);
    }

    void start(WaiterId id)
    {
        const Sent &sent = m_sent.at(id);
        ++m_running;
        --m_idle[sent.team];
        m_usedAt[sent.team] = m_loop.now();
        const double factor =
            (0.5 + uniformUnit(m_random)) * (heavy(sent.team) ? m_load.heavyCost : 1);
        const Duration work = fromSeconds(toSeconds(m_load.classes[sent.c].cost) * factor);
        m_loop.after(work, [this, id, work] { finish(id, work); });
    }

    void finish(WaiterId id, Duration work)
    {
        const Sent &sent = m_sent.at(id);
        const StatementClass &statementClass = m_load.classes[sent.c];
        --m_running;
        ++m_idle[sent.team];
        m_queue.recordCost(statementClass.priority, kindOf(sent.team), work);
        const bool inTime = m_loop.now() <= sent.at + statementClass.objective;
        count(id, [inTime](StatementCounts &c) { ++(inTime ? c.inTime : c.late); });
        serve();
    }

    /// Opens connections for teams that have none idle, in their order.
    void openFor(const std::vector<TeamId> &teams, bool overdue)
    {
        for (const TeamId &id : teams) {
            const auto team = static_cast<std::size_t>(std::stoul(id.value()));
            if (m_idle[team] > 0 || m_openingFor.contains(team))
                continue;
            if (m_opening >= kMaxOpening || !makeRoom(overdue))
                return;
            ++m_opening;
            ++m_connections[team];
            m_openingFor.insert(team);
            m_loop.after(kOpenTime, [this, team] {
                --m_opening;
                ++m_idle[team];
                m_openingFor.erase(team);
                serve();
            });
        }
    }

    bool makeRoom(bool overdue)
    {
        std::uint32_t open = 0;
        std::size_t victim = kNoTeam;
        for (std::size_t team = 0; team < m_load.teams; ++team) {
            open += m_connections[team];
            const bool evictable = m_idle[team] > 0 && (overdue || !m_queue.waits(m_teams[team]));
            if (evictable && (victim == kNoTeam || m_usedAt[team] < m_usedAt[victim]))
                victim = team;
        }
        if (open < m_load.connections)
            return true;
        if (victim == kNoTeam || m_loop.now() < m_evictedAt + 60ms)
            return false;
        m_evictedAt = m_loop.now();
        --m_idle[victim];
        --m_connections[victim];
        return true;
    }

    void tick()
    {
        serve();
        m_loop.after(10ms, [this] { tick(); });
    }

    const StatementLoad &m_load;
    Random m_random;
    EventLoop m_loop;
    StatementQueue m_queue;
    TimePoint m_start;
    double m_perSecond = 0;
    double m_totalWeight = 0;
    std::vector<TeamId> m_teams;
    std::vector<double> m_weights;
    std::vector<int> m_idle;
    std::vector<TimePoint> m_usedAt;
    std::vector<std::uint32_t> m_connections;
    std::set<TeamId> m_ready;
    std::set<std::size_t> m_openingFor;
    std::uint32_t m_running = 0;
    std::uint32_t m_opening = 0;
    TimePoint m_evictedAt;
    std::uint64_t m_lastId = 0;
    std::unordered_map<WaiterId, Sent> m_sent;
    std::vector<ClassFigures> m_figures;
};

} // namespace

double ClassFigures::worstTeam(std::size_t except) const
{
    double worst = 1;
    for (std::size_t team = 0; team < teams.size(); ++team) {
        if (team != except && teams[team].asked >= kMinAsked)
            worst = std::min(worst, teams[team].share());
    }
    return worst;
}

double ClassFigures::worstPeriod() const
{
    double worst = 1;
    for (const StatementCounts &counts : periods)
        worst = std::min(worst, counts.share());
    return worst;
}

std::vector<ClassFigures> playStatements(const StatementLoad &load,
                                         const StatementQueueOptions &options)
{
    return StatementWorld(load, options).run();
}

} // namespace shallotlever::experiment
