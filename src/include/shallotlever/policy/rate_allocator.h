#pragma once

#include <deque>
#include <map>
#include <utility>
#include <vector>

#include "shallotlever/policy/share_lease.h"
#include "shallotlever/types/config.h"
#include "shallotlever/types/shares.h"

/// Controller side of team rate limiting: leases shares of each team's rate and burst to nodes. A
/// node that sees few requests of a team gets no share and requests single tokens instead
/// (token_grants.h). The tokens in the controller's pool, in the buckets of the nodes and in grants
/// in transit never exceed the team's burst together, and are refilled at no more than its rate.
/// Hence at most burst + rate * w requests are admitted over all nodes in any window of length w.
namespace shallotlever {

/// Fault injection: tests enable these faults to prove that their oracles detect them. None is set
/// in production.
struct RateAllocatorFaults
{
    /// Grants a node's rate to others before its lease has expired or it has acknowledged the
    /// reduction.
    bool grantBeforeLeaseExpiry = false;
    /// Treats the burst of an expired or reduced share as unspent.
    bool refundSpentBurst = false;
    /// A new controller grants shares at once instead of waiting for its predecessor's leases to
    /// expire.
    bool skipPredecessorWait = false;
    /// Renews shares while the predecessor may still grant them to other nodes.
    bool renewTooEarly = false;
    /// Does not take granted single tokens out of the pool.
    bool keepGrantedTokensInPool = false;
};

/// A granted share that the node may still be using.
struct OutstandingRateGrant
{
    GrantNumber grant;
    double ratePerSecond = 0;
    double burst = 0;
    TimePoint expires;
};

/// Leased share of one team at one node incarnation.
struct RateLease
{
    /// Ascending by grant number: the last grant known to be applied, if any, followed by those not
    /// yet acknowledged.
    std::vector<OutstandingRateGrant> outstandingGrants;
    /// Maxima over outstandingGrants; included in the team's totals.
    double leasedRate = 0;
    double leasedBurst = 0;
    /// Last reported requests per second, including waiting requests.
    double demand = 0;
    /// Time of the last report.
    TimePoint demandUpdatedAt;
    double lastReturnedTokens = 0;
    bool returnedTokensKnown = false;
};

/// Identifies the node and the number of its request for single tokens.
struct TokenRequester
{
    NodeId node;
    Incarnation incarnation;
    std::uint64_t request = 0;
};

/// Single tokens that were granted to a node and have not expired.
struct OutstandingTokenGrant
{
    TimePoint expires;
    double tokens = 0;
};

/// A request for single tokens that waits for the pool to refill.
struct QueuedTokenRequest
{
    TokenRequester requester;
    std::uint32_t tokens = 0;
    TimePoint queuedAt;
};

struct RateTeam
{
    double ratePerSecond = 0;
    double burst = 0;
    /// Tokens that are not held by any node, as of poolUpdatedAt.
    double pool = 0;
    TimePoint poolUpdatedAt;
    double leasedRate = 0;
    double leasedBurst = 0;
    /// Requests per second at the nodes that hold or will receive a share.
    double demand = 0;
    /// Single tokens requested per second, as of requestedUpdatedAt.
    double requestedPerSecond = 0;
    TimePoint requestedUpdatedAt;
    /// Oldest first. `outstandingTokens` is the sum of their tokens.
    std::deque<OutstandingTokenGrant> outstandingTokenGrants;
    double outstandingTokens = 0;
    /// In order of arrival. `queuedTokens` is the sum of their tokens.
    std::deque<QueuedTokenRequest> queue;
    double queuedTokens = 0;
    /// Requests per second averaged over kDemandAverageSeconds (2 s), as of averageUpdatedAt.
    /// Decides whether the team is over its rate.
    double averageDemand = 0;
    TimePoint averageUpdatedAt;
};

struct RateNode
{
    Incarnation incarnation;
    std::uint64_t reportSequence = 0;
    TimePoint expires;
    std::map<TeamId, RateLease> leases;
};

/// Owned by the controller's thread.
struct RateAllocator
{
    GrantNumber nextGrant;
    /// Shares in force are renewed from this time on: no earlier controller can change them any
    /// more.
    TimePoint renewalsAllowedFrom;
    /// New or changed shares are granted from this time on.
    TimePoint grantsAllowedFrom;
    std::map<TeamId, RateTeam> teams;
    /// Keyed by node and incarnation: the leases of a node's earlier incarnation are counted until
    /// they expire.
    std::map<std::pair<NodeId, Incarnation>, RateNode> nodes;
    TimePoint nextExpiryScan;
    RateAllocatorFaults faults;
};

struct RateReport
{
    ReportStamp stamp;
    /// At least every team for which shouldReportDemand() is true.
    std::vector<TeamDemand> demands;
};

/// Answer to a RateReport. A team that is not listed keeps its current share until that expires.
struct RateGrant
{
    GrantNumber number;
    /// The shares only extend those in force: the node applies the minimum of the current and the
    /// granted values, and ignores the grant if its share has expired.
    bool renewal = false;
    std::vector<RateShare> shares;
};

/// Creates the allocator of a newly elected controller, which has no record of the shares granted
/// by its predecessors. After `predecessorStopTime` no earlier controller answers reports. From
/// then on the allocator renews shares that nodes hold, which leaves the granted total unchanged;
/// it grants other shares kShareLeaseDuration later.
RateAllocator makeRateAllocator(ControlTerm term, TimePoint predecessorStopTime,
                                RateAllocatorFaults faults = {});

/// Allows grants from `now` on instead of waiting for the predecessor's leases to expire. Call it
/// once all shares granted by the predecessor are known. No token has been spent since
/// `unspentSince`, so the pools are refilled from that time on.
void endPredecessorWait(RateAllocator &allocator, TimePoint unspentSince, TimePoint now);

/// Applies the teams and limits of a new configuration. Lowered limits are enforced once the leases
/// in force have expired, or earlier.
void applyTeamConfig(RateAllocator &allocator, const std::map<TeamId, TeamConfig> &teams,
                     TimePoint now);

/// Records a report and computes the node's new shares. O(teams of this node).
RateGrant onRateReport(RateAllocator &allocator, const RateReport &report, TimePoint now);

/// Whether a report must include the team: the node holds a share of it, or sees enough requests to
/// get one.
bool shouldReportDemand(const TeamDemand &demand);

/// Up to `maxTeams` teams in descending order of demand relative to their rate. The pointers are
/// invalidated when the allocator changes.
std::vector<std::pair<TeamId, const RateTeam *>> busiestTeams(const RateAllocator &allocator,
                                                              std::size_t maxTeams);

/// Removes expired leases, whose tokens count as spent. onRateReport() calls it every 100 ms.
void expireRateLeases(RateAllocator &allocator, TimePoint now);

} // namespace shallotlever
