#pragma once

#include <map>
#include <memory>
#include <optional>
#include <vector>

#include "shallotlever/policy/token_bucket.h"
#include "shallotlever/proxy/positions.h"
#include "shallotlever/telemetry/line_budget.h"
#include "shallotlever/telemetry/log.h"
#include "shallotlever/telemetry/node_metrics.h"
#include "shallotlever/types/config.h"
#include "upstream_pool.h"

namespace shallotlever {

/// The databases of one service as this node uses them.
struct ServicePools
{
    std::optional<UpstreamId> primary;
    std::map<UpstreamId, std::shared_ptr<UpstreamPool>> pools;
    PositionHistory positions;

    std::vector<UpstreamLoad> loads(const TeamId &team) const;
    std::shared_ptr<UpstreamPool> pool(const UpstreamId &upstream) const;
};

/// A team's bucket and counters.
struct TeamGate
{
    std::shared_ptr<TokenBucket> bucket;
    TeamCounters counters;
    std::uint64_t refusedLogged = 0;
};

constexpr Duration kFirstLeaseWait = 6s;
constexpr Duration kLeaseGapWait = 1500ms;

/// What the sessions of a node share. Owned by the proxy; one thread.
struct ProxyState
{
    const SessionProtocol *protocol = nullptr;
    NodeMetrics *metrics = nullptr;
    const Logger *logger = nullptr;
    LatencyHistogram *answerTime = nullptr;
    Counter *refusedByDatabase = nullptr;
    ClusterConfig config;
    std::map<KeyHash, TeamId> teamsByKey;
    std::map<TeamId, TeamGate> teams;
    std::map<ServiceId, ServicePools> services;
    /// End of the node's freshness lease: past it keys may have been withdrawn and another primary
    /// may be in office.
    TimePoint freshUntil;
    LineBudget lines;
    bool draining = false;
    TimePoint startedAt;

    /// A node without a lease that has just started, or lost its lease a moment ago, expects one
    /// soon: a change of controller takes about that long. Callers are served sooner if they wait
    /// than if they spend their retries on nodes in the same state.
    bool expectsLease(TimePoint now) const
    {
        return now < startedAt + kFirstLeaseWait || now < freshUntil + kLeaseGapWait;
    }
    bool fresh(TimePoint now) const { return now < freshUntil; }
    /// Takes the end of a database's log into account if the database was primary when it was
    /// asked.
    void notePoint(const ServiceId &service, const UpstreamId &upstream, const HistoryPoint &point,
                   TimePoint askedAt);
};

} // namespace shallotlever
