#pragma once

#include <map>
#include <memory>
#include <optional>
#include <vector>

#include "primary_tenure.h"
#include "session_limits.h"
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
    /// Recent mean of the statements outstanding at the owner, which may be this node.
    double meanOutstanding = 0;
    /// Statements of this node that were sent to the owner after its last answer.
    std::uint32_t sentSinceReport = 0;
    /// Consecutive reads that the replica could not serve because it lagged. While there are some,
    /// reads are not sent to it until avoidLaggingUntil, if another database can serve them.
    std::uint32_t laggingReplies = 0;
    TimePoint avoidLaggingUntil;
    /// End of the database's log in its last response.
    std::optional<HistoryPoint> logEnd;
    TimePoint logEndAt;
};

/// Records the end of a statement that this node sent to the database or its owner. What has ended
/// is no longer at the database, whether or not the owner has reported since.
void endPending(DatabaseRoute &route);

/// Adds a sample to the mean of the outstanding statements.
void recordOutstanding(DatabaseRoute &route, std::uint32_t outstanding);

/// Load of the database as seen through its owner. `reachable`: an owner can be reached.
UpstreamLoad remoteLoad(const DatabaseRoute &route, bool primary, bool reachable,
                        Duration roundTrip, TimePoint now);

/// The databases of one service and the observed end of its log.
struct ServiceDatabases
{
    std::optional<UpstreamId> primary;
    PrimaryTenures tenures;
    std::map<UpstreamId, DatabaseRoute> routes;
    PositionHistory positions;
    /// Last read that a replica may serve.
    TimePoint replicaReadAt;
    /// Last time that another node asked for the end of the log.
    TimePoint positionRequestedAt;
    /// For the choice of databases.
    LowDiscrepancySequence chance;

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

/// An open transaction on a database whose data centre is evacuated may go on for this long after
/// the node has heard of the evacuation.
constexpr Duration kEvacuationGrace = 2s;

/// How evenly this node finds the databases loaded, and how old its figures are.
struct PlacementMetrics
{
    LatencyHistogram *figureAge = nullptr;
    Gauge *unevennessPercent = nullptr;
    /// Moving average of unevenness().
    double meanUnevenness = 1;

    void observe(std::span<const PlacementCandidate> candidates, const PlacementCandidate &chosen);
};

/// State shared by the sessions of a node. Owned by the proxy; not thread-safe.
struct ProxyState
{
    const SessionProtocol *protocol = nullptr;
    NodeMetrics *metrics = nullptr;
    const Logger *logger = nullptr;
    LatencyHistogram *responseTime = nullptr;
    Counter *refusedByDatabase = nullptr;
    Counter *unacknowledgedCommits = nullptr;
    PlacementMetrics placementMetrics;
    ClusterConfig config;
    /// When this node heard that a data centre is evacuated.
    std::map<DataCentreId, TimePoint> evacuatedSince;
    std::map<KeyHash, TeamId> teamsByKey;
    std::map<TeamId, TeamAdmission> teams;
    std::map<ServiceId, ServiceDatabases> services;
    /// This node.
    NodeId self;
    Incarnation incarnation;
    /// Number of the last transaction of a session of this node.
    std::uint64_t lastTransaction = 0;
    /// Expiry time of the node's freshness lease. After it, keys may have been revoked and another
    /// database may be the primary without this node knowing.
    TimePoint freshUntil;
    /// The node had no lease before the present one, whose view has not been applied yet.
    bool leaseResumed = false;
    LogRateLimiter logRateLimiter;
    std::unique_ptr<StopCounters> stopCounters;
    std::unique_ptr<LimitMetrics> limitMetrics;
    /// Charged for what callers and databases send.
    std::shared_ptr<MemoryBudget> memory;
    bool draining = false;
    /// Nothing more is run, because the process ends.
    bool atDrainLimit = false;
    TimePoint startedAt;
    /// See SessionProxy::setSharesGranted().
    bool sharesGranted = true;

    /// Whether a node that has a lease expects its first shares soon: those of a new controller are
    /// granted once the leases of its predecessor have ended.
    bool expectsShares(TimePoint now) const
    {
        return !sharesGranted && now < startedAt + kStartupLeaseWait;
    }
    /// Whether a node without a lease expects one soon, because it started or lost its lease
    /// recently: a controller failover takes about as long as these waits. Callers are served
    /// sooner if they wait than if they spend their retries on nodes in the same state.
    bool expectsLease(TimePoint now) const
    {
        return now < startedAt + kStartupLeaseWait || now < freshUntil + kLeaseRenewalWait;
    }
    /// Whether the freshness lease is valid.
    bool fresh(TimePoint now) const { return now < freshUntil; }
    /// Whether a commit that the service's primary made in the tenure may be acknowledged.
    bool mayAcknowledge(const ServiceId &service, const std::optional<PrimaryTenure> &tenure,
                        TimePoint now) const;
    /// Takes over the configuration's evacuated data centres.
    void applyEvacuations(TimePoint now);
    bool isEvacuated(const UpstreamInfo &info) const
    {
        return evacuatedSince.contains(info.dataCentre);
    }
    /// When an open transaction on the database is ended, unless a statement of it is running;
    /// kNever if the data centre is not evacuated.
    TimePoint transactionEnd(const UpstreamInfo &info) const;
    /// Whether the service has databases and all of them are evacuated.
    bool onlyEvacuated(const ServiceDatabases &databases) const;
    /// Records the end of a database's log, returned in answer to a request sent at `requestedAt`.
    /// It bounds the staleness of reads only if the database is the known primary and the freshness
    /// lease covers that time.
    void recordHistoryPoint(const ServiceId &service, const UpstreamId &upstream,
                            const HistoryPoint &point, TimePoint requestedAt);
    /// When the pools of this node have something to do if no event comes first.
    TimePoint nextPoolTick(TimePoint now) const;
};

/// Logs the services and teams whose names the protocol can't express; they can't be served.
void logUnusableNames(const ProxyState &state, const ClusterConfig &config);

} // namespace shallotlever
