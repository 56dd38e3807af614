#pragma once

#include <map>
#include <memory>
#include <optional>
#include <vector>

#include "shallotlever/base/due.h"
#include "shallotlever/policy/token_bucket.h"
#include "shallotlever/proxy/positions.h"
#include "shallotlever/telemetry/log.h"
#include "shallotlever/telemetry/log_rate_limiter.h"
#include "shallotlever/telemetry/node_metrics.h"
#include "shallotlever/types/config.h"
#include "stop_counters.h"
#include "upstream_pool.h"

namespace shallotlever {

/// How this node reaches one database.
struct DatabaseRoute
{
    UpstreamInfo info;
    /// Connections of this node to the database; null if another node holds them.
    std::shared_ptr<UpstreamPool> pool;
    /// Load as observed through the database's owner; unused while this node holds the connections.
    UpstreamLoad ownerLoad;
    /// Statements of this node that the owner has not answered.
    std::uint32_t pending = 0;
    /// Statements outstanding at the owner as of its last answer.
    std::uint32_t reportedOutstanding = 0;
    TimePoint reportedAt;
    /// Consecutive reads that the replica could not serve because it lagged. While there are some,
    /// reads are not sent to it until avoidLaggingUntil, if another database can serve them.
    std::uint32_t laggingReplies = 0;
    TimePoint avoidLaggingUntil;
    /// End of the database's log in its last response.
    std::optional<HistoryPoint> logEnd;
    TimePoint logEndAt;
};

/// The databases of one service and the observed end of its log.
struct ServiceDatabases
{
    std::optional<UpstreamId> primary;
    std::map<UpstreamId, DatabaseRoute> routes;
    PositionHistory positions;
    /// Last read that a replica may serve.
    TimePoint replicaReadAt;
    /// Last time that another node asked for the end of the log.
    TimePoint positionRequestedAt;

    DatabaseRoute *route(const UpstreamId &upstream);
    std::shared_ptr<UpstreamPool> pool(const UpstreamId &upstream) const;
};

/// Rate limit and admission counters of a team.
struct TeamAdmission
{
    std::shared_ptr<TokenBucket> bucket;
    TeamCounters counters;
    /// Value of the refused counter at the last log line.
    std::uint64_t refusedLogged = 0;
};

/// How long callers wait for the first lease after a start, and for the next one after a lease
/// expired.
constexpr Duration kStartupLeaseWait = 6s;
constexpr Duration kLeaseRenewalWait = 1500ms;

/// State shared by the sessions of a node. Owned by the proxy; not thread-safe.
struct ProxyState
{
    const SessionProtocol *protocol = nullptr;
    NodeMetrics *metrics = nullptr;
    const Logger *logger = nullptr;
    LatencyHistogram *responseTime = nullptr;
    Counter *refusedByDatabase = nullptr;
    ClusterConfig config;
    std::map<KeyHash, TeamId> teamsByKey;
    std::map<TeamId, TeamAdmission> teams;
    /// Smallest rate limit of a team in the configuration; 0 if there is none.
    double smallestTeamRate = 0;
    std::map<ServiceId, ServiceDatabases> services;
    /// This node.
    NodeId self;
    Incarnation incarnation;
    /// Number of the last transaction of a session of this node.
    std::uint64_t lastTransaction = 0;
    /// Expiry time of the node's freshness lease. After it, keys may have been revoked and another
    /// database may be the primary without this node knowing.
    TimePoint freshUntil;
    LogRateLimiter logRateLimiter;
    std::unique_ptr<StopCounters> stopCounters;
    bool draining = false;
    /// Nothing more is run, because the process ends.
    bool atDrainLimit = false;
    TimePoint startedAt;

    /// Whether a node without a lease expects one soon, because it started or lost its lease
    /// recently: a controller failover takes about as long as these waits. Callers are served
    /// sooner if they wait than if they spend their retries on nodes in the same state.
    bool expectsLease(TimePoint now) const
    {
        return now < startedAt + kStartupLeaseWait || now < freshUntil + kLeaseRenewalWait;
    }
    /// Whether the freshness lease is valid.
    bool fresh(TimePoint now) const { return now < freshUntil; }
    /// Records the end of a database's log, returned in answer to a request sent at `requestedAt`.
    /// It bounds the staleness of reads only if the database is the known primary and the freshness
    /// lease covers that time.
    void recordHistoryPoint(const ServiceId &service, const UpstreamId &upstream,
                            const HistoryPoint &point, TimePoint requestedAt);
    /// When the pools of this node have something to do if no event comes first.
    TimePoint nextPoolTick(TimePoint now) const;
};

} // namespace shallotlever
