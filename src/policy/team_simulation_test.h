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
    /// Requests of a group, one after the other.
    int requestsPerGroup = 1;
};

/// One team at nodes with real token buckets that report to a real allocator, as src/node does.
/// Steps of 1 ms, 20 ms one way.
class TeamSimulation
{
public:
    TeamSimulation(std::uint64_t seed, double rate, double burst,
                   const std::vector<TeamTraffic> &traffic, bool waits)
        : m_allocator(makeRateAllocator(ControlTerm(1), m_now - 10s))
        , m_nodes(traffic.size())
        , m_waits(waits)
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
                arrive(node);
                report(node);
                askForTokens(node);
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

    /// Time spent waiting since clearCounts(), also by requests without a token until now, for each
    /// request that arrived.
    Duration meanWait() const
    {
        Duration waited = m_waited;
        for (const Node &node : m_nodes)
            waited += waitingTime(node);
        return waited / std::max<std::int64_t>(1, m_arrivals);
    }

    /// Part of the requests since clearCounts() that waited for longer than `limit`.
    double partWaitingLonger(Duration limit) const
    {
        auto longer = std::count_if(m_completedWaits.begin(), m_completedWaits.end(),
                                    [limit](Duration wait) { return wait > limit; });
        for (const Node &node : m_nodes)
            longer += std::count_if(node.waiting.begin(), node.waiting.end(),
                                    [&](TimePoint arrived) { return m_now - arrived > limit; });
        return static_cast<double>(longer)
            / static_cast<double>(std::max<std::int64_t>(1, m_arrivals));
    }

    /// Reports since clearCounts().
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

    struct TokenQuestion
    {
        TokenAsker asker;
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
        TokenAsks asks;
        /// Times of requests of groups that have begun.
        std::deque<TimePoint> coming;
        /// Arrival times of requests without a token.
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

    void arrive(Node &node)
    {
        constexpr double kPerMillion = 1e6;
        const double chance =
            node.traffic.groupsPerSecond * std::chrono::duration<double>(kStep).count();
        if (static_cast<double>(uniformBelow(m_random, 1'000'000)) < chance * kPerMillion) {
            for (int i = 0; i < node.traffic.requestsPerGroup; ++i)
                node.coming.push_back(m_now + i * kGroupGap);
            std::sort(node.coming.begin(), node.coming.end());
        }
        while (!node.waiting.empty() && node.bucket.tryTake(m_now)) {
            admitted.push_back(m_now);
            m_waited += m_now - node.waiting.front();
            m_completedWaits.push_back(m_now - node.waiting.front());
            node.waiting.pop_front();
            node.bucket.endWait();
        }
        for (; !node.coming.empty() && node.coming.front() <= m_now; node.coming.pop_front())
            ask(node);
    }

    void ask(Node &node)
    {
        ++m_arrivals;
        node.bucket.countArrival();
        if (node.bucket.tryTake(m_now)) {
            admitted.push_back(m_now);
        } else if (m_waits) {
            node.waiting.push_back(m_now);
            node.bucket.beginWait();
        }
    }

    void report(Node &node)
    {
        const bool early =
            m_now >= node.lastReport + kEarlyReportInterval && node.bucket.wantsEarlyReport(m_now);
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
            if (node.bucket.applyShare(share, grant.reportSentAt + kShareLease, m_now)
                && share.teamWithinRate)
                node.nextReport = std::min(node.nextReport, node.lastReport + kReducedShareReport);
        }
    }

    void askForTokens(Node &node)
    {
        const std::uint64_t request = node.asks.lastRequest + 1;
        const std::uint32_t tokens =
            shallotlever::askForTokens(node.asks, m_team, node.bucket, request, m_now);
        if (tokens == 0)
            return;
        node.asks.lastRequest = request;
        m_questions.push_back(
            { m_now + kOneWay, { { node.id, Incarnation(1), request }, { m_team, tokens } } });
    }

    void deliverTokens()
    {
        for (; !m_questions.empty() && m_questions.front().arrives <= m_now;
             m_questions.pop_front()) {
            const TokenQuestion &question = m_questions.front().message;
            send(requestTokens(m_allocator, question.asker, { &question.request, 1 }, m_now));
        }
        send(serveTokenQueues(m_allocator, m_now));
        for (; !m_deliveries.empty() && m_deliveries.front().arrives <= m_now;
             m_deliveries.pop_front()) {
            const TokenDelivery &delivery = m_deliveries.front().message;
            Node &node = *std::find_if(m_nodes.begin(), m_nodes.end(),
                                       [&](const Node &n) { return n.id == delivery.to.node; });
            applyTokenGrant(node.asks, node.bucket, delivery.to.request, delivery.grant, m_now);
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
    std::deque<InTransit<TokenQuestion>> m_questions;
    std::deque<InTransit<TokenDelivery>> m_deliveries;
    bool m_waits;
    std::int64_t m_arrivals = 0;
    /// By requests that were admitted.
    Duration m_waited { 0 };
    std::vector<Duration> m_completedWaits;
};

} // namespace shallotlever
