#include <array>
#include <memory>

#include <QJsonObject>

#include "scenarios.h"
#include "shallotlever/policy/fair_queue.h"
#include "shallotlever/policy/rate_allocator.h"
#include "shallotlever/policy/token_asks.h"
#include "shallotlever/policy/token_bucket.h"
#include "shallotlever/policy/token_grants.h"
#include "simulation.h"

namespace shallotlever::experiment {
namespace {

constexpr std::size_t kTeams = 8;
const TeamId kTeam { "team" };

/// One queue in front of the three databases of a service; team 0 sends five times its rate.
class NoisyWorld
{
public:
    NoisyWorld(const Deployment &deployment, bool fair, std::uint64_t seed)
        : m_random(seed)
        , m_slots(3 * deployment.slots)
        , m_queue({ 256, m_slots, fair ? 0.2 : 0.0, !fair })
    {
        // All teams within their rates together use 80% of the slots.
        m_rate = 0.8 * m_slots / kServiceMean / kTeams;
        for (std::size_t team = 0; team < kTeams; ++team)
            arrive(team);
    }

    QJsonObject run()
    {
        m_loop.runUntil(m_loop.now() + 60s);
        double worst = 1;
        for (std::size_t team = 1; team < kTeams; ++team)
            worst = std::min(worst, m_answered[team] / m_asked[team]);
        return { { "worst_other_team", worst },
                 { "noisy_team_of_its_rate", m_answered[0] / (m_asked[0] / kNoise) } };
    }

private:
    static constexpr double kServiceMean = 0.010;
    static constexpr double kNoise = 5;
    static constexpr Duration kDeadline = 1s;

    void arrive(std::size_t team)
    {
        const double rate = m_rate * (team == 0 ? kNoise : 1);
        m_loop.after(exponential(m_random, 1 / rate), [this, team] {
            m_asked[team] += 1;
            QueuedRequest request;
            request.ticket = TicketId(++m_tickets);
            request.team = TeamId(std::to_string(team));
            request.deadline = m_loop.now() + kDeadline;
            m_queue.enqueue(request, m_loop.now());
            serve();
            arrive(team);
        });
    }

    void serve()
    {
        std::vector<QueueRefusal> refused;
        while (const auto request = m_queue.next(m_loop.now(), refused)) {
            const Duration service = exponential(m_random, kServiceMean);
            m_loop.after(service, [this, request = *request, service] {
                const auto team = static_cast<std::size_t>(std::stoul(request.team.value()));
                m_answered[team] += m_loop.now() <= request.deadline ? 1 : 0;
                m_queue.finished(request, service);
                serve();
            });
        }
    }

    Random m_random;
    EventLoop m_loop;
    std::uint32_t m_slots;
    FairQueue m_queue;
    double m_rate = 0;
    std::uint64_t m_tickets = 0;
    std::array<double, kTeams> m_asked {};
    std::array<double, kTeams> m_answered {};
};

/// Rate per second and burst of the team in each run.
constexpr std::array<std::pair<double, double>, 5> kTeamLimits {
    { { 20, 20 }, { 200, 100 }, { 200, 200 }, { 200, 400 }, { 2000, 2000 } }
};

enum class Sharing { Static, PeriodicReports, EarlyReports };

/// One team whose traffic moves from node to node, with the real allocator and buckets.
class MovingWorld
{
public:
    MovingWorld(const Deployment &deployment, Sharing sharing, double rate, double burst,
                std::uint64_t seed)
        : m_deployment(deployment)
        , m_sharing(sharing)
        , m_random(seed)
        , m_rate(rate)
        , m_burst(burst)
        , m_allocator(makeRateAllocator(ControlTerm(1), m_loop.now()))
    {
        applyTeamConfig(m_allocator, { { kTeam, { kTeam, rate, burst, {} } } }, m_loop.now());
        for (std::size_t i = 0; i < kNodes; ++i) {
            report(i);
            checkEarly(i);
        }
        serveQueue();
        m_loop.after(kWarmUp, [this] { arrive(); });
        m_loop.after(kWarmUp, [this] { move(); });
    }

    QJsonObject run()
    {
        m_loop.runUntil(m_loop.now() + 300s);
        return { { "asked", m_asked },
                 { "refused_share", m_refused / m_asked },
                 { "refused_inside_rate_share", m_refusedInside / m_asked },
                 { "classified_inside_rate_share", m_classifiedInside / m_asked },
                 { "admitted_over_rate_and_burst", std::max(0.0, -m_lowest) },
                 { "early_reports_per_second_and_node", m_early / 300 / kNodes } };
    }

private:
    static constexpr double kLoad = 0.8;
    static constexpr Duration kWarmUp = 10s;
    static constexpr Duration kPeriod = 500ms;
    static constexpr Duration kPoll = 2ms;
    static constexpr Duration kQueueInterval = 10ms;

    struct Node
    {
        TokenBucket bucket;
        PendingTokenRequests asks;
        std::uint64_t sequence = 0;
        GrantNumber applied;
        TimePoint lastReport;
        bool reportSoon = false;
    };

    void move()
    {
        m_hot = (m_hot + 1 + uniformBelow(m_random, kNodes - 1)) % kNodes;
        m_loop.after(uniformDuration(m_random, 2s, 6s), [this] { move(); });
    }

    void arrive()
    {
        m_loop.after(exponential(m_random, 1 / (m_rate * kLoad)), [this] {
            m_asked += 1;
            m_nodes[m_hot].bucket.countArrival();
            const double gained = m_rate * toSeconds(m_loop.now() - m_idealAt);
            m_ideal = std::min(m_burst, m_ideal + gained);
            m_idealAt = m_loop.now();
            const bool inside = m_ideal >= 1;
            m_ideal -= inside ? 1 : 0;
            tryRequest(m_hot, m_loop.now(), inside, false);
            arrive();
        });
    }

    void tryRequest(std::size_t index, TimePoint since, bool inside, bool waiting)
    {
        TokenBucket &bucket = m_nodes[index].bucket;
        const bool taken = bucket.tryTake(m_loop.now());
        const bool last = m_loop.now() - since >= PresetPolicy().rateWait;
        if (!taken && !last) {
            if (!waiting)
                bucket.beginWait();
            m_loop.after(kPoll, [=, this] { tryRequest(index, since, inside, true); });
            return;
        }
        if (waiting)
            bucket.endWait();
        if (taken) {
            countAdmitted();
            return;
        }
        m_refused += 1;
        m_refusedInside += inside ? 1 : 0;
        m_classifiedInside += bucket.refusalClass(m_loop.now()) == RateRefusal::InsideRate ? 1 : 0;
    }

    /// Level of a bucket over all nodes: below zero, more than rate and burst was admitted.
    void countAdmitted()
    {
        m_level = std::min(m_burst, m_level + m_rate * toSeconds(m_loop.now() - m_levelAt)) - 1;
        m_levelAt = m_loop.now();
        m_lowest = std::min(m_lowest, m_level);
    }

    void report(std::size_t index)
    {
        sendReport(index);
        m_loop.after(kPeriod, [this, index] { report(index); });
    }

    void checkEarly(std::size_t index)
    {
        Node &node = m_nodes[index];
        if (m_sharing == Sharing::EarlyReports)
            askForTokens(index);
        const bool due = m_loop.now() - node.lastReport >= kEarlyReportInterval;
        if (m_sharing == Sharing::EarlyReports && due
            && (node.reportSoon || node.bucket.needsEarlyReport(m_loop.now()))) {
            sendReport(index);
            m_early += 1;
        }
        m_loop.after(kPoll, [this, index] { checkEarly(index); });
    }

    void askForTokens(std::size_t index)
    {
        Node &node = m_nodes[index];
        const TokenRequester asker { NodeId(std::to_string(index)), Incarnation(1),
                                     node.asks.lastRequest + 1 };
        const TokenRequest request { kTeam,
                                     shallotlever::createTokenRequest(node.asks, kTeam, node.bucket,
                                                                      asker.request,
                                                                      m_loop.now()) };
        if (request.tokens == 0)
            return;
        node.asks.lastRequest = asker.request;
        m_loop.after(oneWay(m_deployment, index, 0), [=, this] {
            deliverTokens(handleTokenRequests(m_allocator, asker, { &request, 1 }, m_loop.now()));
        });
    }

    void serveQueue()
    {
        deliverTokens(serveTokenQueues(m_allocator, m_loop.now()));
        m_loop.after(kQueueInterval, [this] { serveQueue(); });
    }

    void deliverTokens(const std::vector<TokenDelivery> &deliveries)
    {
        for (const TokenDelivery &delivery : deliveries) {
            const auto index = static_cast<std::size_t>(std::stoul(delivery.to.node.value()));
            m_loop.after(oneWay(m_deployment, index, 0), [=, this] {
                Node &node = m_nodes[index];
                applyTokenGrant(node.asks, node.bucket, delivery.to.request, delivery.grant,
                                m_loop.now());
            });
        }
    }

    void sendReport(std::size_t index)
    {
        Node &node = m_nodes[index];
        const TimePoint sent = m_loop.now();
        if (m_sharing == Sharing::Static) {
            node.bucket.applyShare({ kTeam, m_rate / kNodes, m_burst / kNodes },
                                   sent + kShareLeaseDuration, sent);
            return;
        }
        node.lastReport = sent;
        node.reportSoon = false;
        RateReport report;
        report.stamp = { NodeId(std::to_string(index)), Incarnation(1), ++node.sequence,
                         node.applied };
        report.demands = { node.bucket.takeDemand(kTeam, sent) };
        const Duration way = oneWay(m_deployment, index, 0);
        m_loop.after(way, [=, this] {
            const RateGrant grant = onRateReport(m_allocator, report, m_loop.now());
            m_loop.after(way, [=, this] { apply(index, grant, sent + kShareLeaseDuration); });
        });
    }

    void apply(std::size_t index, const RateGrant &grant, TimePoint expires)
    {
        Node &node = m_nodes[index];
        if (grant.number <= node.applied)
            return;
        node.applied = grant.number;
        for (const RateShare &share : grant.shares)
            node.reportSoon |= node.bucket.applyShare(share, expires, m_loop.now());
    }

    Deployment m_deployment;
    Sharing m_sharing;
    Random m_random;
    EventLoop m_loop;
    double m_rate;
    double m_burst;
    RateAllocator m_allocator;
    std::array<Node, kNodes> m_nodes;
    std::size_t m_hot = 0;
    double m_ideal = 0;
    TimePoint m_idealAt;
    double m_level = 0;
    TimePoint m_levelAt;
    double m_lowest = 0;
    double m_asked = 0;
    double m_refused = 0;
    double m_refusedInside = 0;
    double m_classifiedInside = 0;
    double m_early = 0;
};

} // namespace

QJsonValue runNoisyTeam(std::uint64_t seed)
{
    QJsonObject result;
    for (const Deployment &deployment : kDeployments) {
        result[QString::fromStdString(deployment.name)] =
            QJsonObject { { "fifo", NoisyWorld(deployment, false, seed).run() },
                          { "fair_queue", NoisyWorld(deployment, true, seed).run() } };
    }
    return result;
}

QJsonValue runMovingTraffic(std::uint64_t seed)
{
    QJsonObject result;
    for (const Deployment &deployment : kDeployments) {
        QJsonObject byBurst;
        for (const auto &[rate, burst] : kTeamLimits) {
            const auto run = [&, rate = rate, burst = burst](Sharing sharing) {
                return MovingWorld(deployment, sharing, rate, burst, seed).run();
            };
            const QString name = QString("rate_%1_burst_%2").arg(rate).arg(burst);
            byBurst[name] = QJsonObject { { "static_split", run(Sharing::Static) },
                                          { "periodic_reports", run(Sharing::PeriodicReports) },
                                          { "early_reports", run(Sharing::EarlyReports) } };
        }
        result[QString::fromStdString(deployment.name)] = byBurst;
    }
    return result;
}

} // namespace shallotlever::experiment
