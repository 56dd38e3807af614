#pragma once

#include <algorithm>
#include <deque>
#include <string>
#include <vector>

#include "shallotlever/base/random.h"
#include "shallotlever/policy/rate_allocator.h"
#include "shallotlever/policy/token_asks.h"
#include "shallotlever/policy/token_bucket.h"
#include "shallotlever/policy/token_grants.h"

namespace shallotlever {

/// Traffic of one team at one node.
struct TeamTraffic
{
    /// Groups of requests that arrive per second, at random times.
    double groupsPerSecond = 0;
    /// Number of requests in a group, sent one after the other.
    int requestsPerGroup = 1;
};

/// Simulates one team at several nodes whose token buckets report to a rate allocator as in
/// src/node. Time advances in steps of 1 ms; messages take 20 ms.
class TeamSimulation
{
public:
    TeamSimulation(std::uint64_t seed, double rate, double burst,
                   const std::vector<TeamTraffic> &traffic, bool requestsWait)
        : m_allocator(makeRateAllocator(ControlTerm(1), m_now - 10s))
        , m_nodes(traffic.size())
        , m_requestsWait(requestsWait)
    {
        m_random.seed(seed);
        applyTeamConfig(m_allocator, { { m_team, { m_team, rate, burst, {} } } }, m_now);
        for (std::size_t i = 0; i < m_nodes.size(); ++i) {
            m_nodes[i].id = NodeId("n" + std::to_string(i));
            m_nodes[i].traffic = traffic[i];
        }
    }

    void runFor(Duration duration)
    {
        for (const TimePoint end = m_now + duration; m_now < end; m_now += kStep) {
            for (Node &node : m_nodes) {
                processArrivals(node);
                report(node);
                sendTokenRequests(node);
                deliver(node);
            }
            deliverTokens();
        }
    }

    void clearCounts()
    {
        admitted.clear();
        m_arrivals = 0;
        m_waited = Duration(0);
        m_completedWaits.clear();
        for (Node &node : m_nodes) {
            node.reportsBefore = node.sequence;
            m_waited -= waitingTime(node);
        }
    }

    /// Mean time that requests have waited since clearCounts(), including those that still wait.
    Duration meanWait() const
    {
        Duration waited = m_waited;
        for (const Node &node : m_nodes)
            waited += waitingTime(node);
        return waited / std::max<std::int64_t>(1, m_arrivals);
    }

    /// Fraction of the requests since clearCounts() that waited longer than `limit`.
    double shareWaitingLonger(Duration limit) const
    {
        auto longerWaits = std::count_if(m_completedWaits.begin(), m_completedWaits.end(),
                                         [limit](Duration wait) { return wait > limit; });
        for (const Node &node : m_nodes)
            longerWaits +=
                std::count_if(node.waiting.begin(), node.waiting.end(),
                              [&](TimePoint arrived) { return m_now - arrived > limit; });
        return static_cast<double>(longerWaits)
            / static_cast<double>(std::max<std::int64_t>(1, m_arrivals));
    }

    /// Number of reports of each node since clearCounts().
    std::vector<std::uint64_t> reports() const
    {
        std::vector<std::uint64_t> counts;
        for (const Node &node : m_nodes)
            counts.push_back(node.sequence - node.reportsBefore);
        return counts;
    }

    static constexpr Duration kRoundTrip = 40ms;

    std::vector<TimePoint> admitted;

private:
    static constexpr Duration kStep = 1ms;
    static constexpr Duration kOneWay = kRoundTrip / 2;
    /// Time between the requests of a group.
    static constexpr Duration kGroupGap = 40ms;

    template <typename Message>
    struct InTransit
    {
        TimePoint arrives;
        Message message;
    };

    struct SentTokenRequest
    {
        TokenRequester requester;
        TokenRequest request;
    };

    struct Grant
    {
        RateGrant grant;
        TimePoint reportSentAt;
    };

    struct Node
    {
        NodeId id;
        TeamTraffic traffic;
        TokenBucket bucket;
        PendingTokenRequests pendingRequests;
        /// Arrival times of the remaining requests of groups that have started.
        std::deque<TimePoint> upcomingArrivals;
        /// Arrival times of requests that wait for a token.
        std::deque<TimePoint> waiting;
        TimePoint nextReport;
        TimePoint lastReport;
        std::uint64_t sequence = 0;
        std::uint64_t reportsBefore = 0;
        GrantNumber applied;
        std::deque<InTransit<RateReport>> reports;
        std::deque<InTransit<Grant>> grants;
    };

    Duration waitingTime(const Node &node) const
    {
        Duration waited { 0 };
        for (const TimePoint arrived : node.waiting)
            waited += m_now - arrived;
        return waited;
    }

    void processArrivals(Node &node)
    {
        constexpr double kPerMillion = 1e6;
        const double chance =
            node.traffic.groupsPerSecond * std::chrono::duration<double>(kStep).count();
        if (static_cast<double>(uniformBelow(m_random, 1'000'000)) < chance * kPerMillion) {
            for (int i = 0; i < node.traffic.requestsPerGroup; ++i)
                node.upcomingArrivals.push_back(m_now + i * kGroupGap);
            std::sort(node.upcomingArrivals.begin(), node.upcomingArrivals.end());
        }
        while (!node.waiting.empty() && node.bucket.tryTake(m_now)) {
            admitted.push_back(m_now);
            m_waited += m_now - node.waiting.front();
            m_completedWaits.push_back(m_now - node.waiting.front());
            node.waiting.pop_front();
            node.bucket.endWait();
        }
        for (; !node.upcomingArrivals.empty() && node.upcomingArrivals.front() <= m_now;
             node.upcomingArrivals.pop_front())
            handleRequest(node);
    }

    void handleRequest(Node &node)
    {
        ++m_arrivals;
        node.bucket.countArrival();
        if (node.bucket.tryTake(m_now)) {
            admitted.push_back(m_now);
        } else if (m_requestsWait) {
            node.waiting.push_back(m_now);
            node.bucket.beginWait();
        }
    }

    void report(Node &node)
    {
        const bool early =
            m_now >= node.lastReport + kEarlyReportInterval && node.bucket.needsEarlyReport(m_now);
        if (m_now < node.nextReport && !early)
            return;
        node.nextReport = m_now + kReportInterval;
        node.lastReport = m_now;
        RateReport report;
        report.stamp = { node.id, Incarnation(1), ++node.sequence, node.applied };
        report.demands.push_back(node.bucket.takeDemand(m_team, m_now));
        node.reports.push_back({ m_now + kOneWay, std::move(report) });
    }

    void deliver(Node &node)
    {
        if (!node.reports.empty() && m_now >= node.reports.front().arrives) {
            const TimePoint sentAt = node.reports.front().arrives - kOneWay;
            RateGrant grant = onRateReport(m_allocator, node.reports.front().message, m_now);
            node.grants.push_back({ m_now + kOneWay, { std::move(grant), sentAt } });
            node.reports.pop_front();
        }
        if (node.grants.empty() || m_now < node.grants.front().arrives)
            return;
        const Grant grant = std::move(node.grants.front().message);
        node.grants.pop_front();
        node.applied = grant.grant.number;
        for (const RateShare &share : grant.grant.shares) {
            if (node.bucket.applyShare(share, grant.reportSentAt + kShareLeaseDuration, m_now)
                && share.teamWithinRate)
                node.nextReport =
                    std::min(node.nextReport, node.lastReport + kReducedShareReportDelay);
        }
    }

    void sendTokenRequests(Node &node)
    {
        const std::uint64_t request = node.pendingRequests.lastRequest + 1;
        const std::uint32_t tokens = shallotlever::createTokenRequest(node.pendingRequests, m_team,
                                                                      node.bucket, request, m_now);
        if (tokens == 0)
            return;
        node.pendingRequests.lastRequest = request;
        m_tokenRequests.push_back(
            { m_now + kOneWay, { { node.id, Incarnation(1), request }, { m_team, tokens } } });
    }

    void deliverTokens()
    {
        for (; !m_tokenRequests.empty() && m_tokenRequests.front().arrives <= m_now;
             m_tokenRequests.pop_front()) {
            const SentTokenRequest &sent = m_tokenRequests.front().message;
            send(handleTokenRequests(m_allocator, sent.requester, { &sent.request, 1 }, m_now));
        }
        send(serveTokenQueues(m_allocator, m_now));
        for (; !m_deliveries.empty() && m_deliveries.front().arrives <= m_now;
             m_deliveries.pop_front()) {
            const TokenDelivery &delivery = m_deliveries.front().message;
            Node &node = *std::find_if(m_nodes.begin(), m_nodes.end(),
                                       [&](const Node &n) { return n.id == delivery.to.node; });
            applyTokenGrant(node.pendingRequests, node.bucket, delivery.to.request, delivery.grant,
                            m_now);
        }
    }

    void send(const std::vector<TokenDelivery> &deliveries)
    {
        for (const TokenDelivery &delivery : deliveries)
            m_deliveries.push_back({ m_now + kOneWay, delivery });
    }

    const TeamId m_team { "t" };
    Random m_random;
    TimePoint m_now { 100s };
    RateAllocator m_allocator;
    std::vector<Node> m_nodes;
    std::deque<InTransit<SentTokenRequest>> m_tokenRequests;
    std::deque<InTransit<TokenDelivery>> m_deliveries;
    bool m_requestsWait;
    std::int64_t m_arrivals = 0;
    /// Total wait of the requests that were admitted.
    Duration m_waited { 0 };
    std::vector<Duration> m_completedWaits;
};

} // namespace shallotlever
