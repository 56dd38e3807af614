#pragma once

#include <deque>
#include <map>
#include <utility>
#include <vector>

#include "shallotlever/policy/share_lease.h"
#include "shallotlever/types/config.h"
#include "shallotlever/types/shares.h"

/// Leases shares of each team's rate and burst to nodes, at the controller. A node with few
/// requests of a team gets no share of it; it asks for single tokens (token_grants.h). Tokens are
/// conserved: the controller's pool, the buckets of the nodes and grants on their way never exceed
/// the burst together, and refill at no more than the rate together. Hence, in every window of
/// length w, admitted <= burst + rate * w over all nodes.
namespace shallotlever {

/// Faults that tests switch on to prove that the oracles detect them. None is set in production.
struct RateAllocatorFaults
{
    /// Grants the rate of a node again before its lease ended or its reduction was acknowledged.
    bool grantBeforeLeaseExpiry = false;
    /// Treats the burst held by an expired or reduced share as unspent.
    bool forgetSpentBurst = false;
    /// A new controller grants at once instead of waiting for its predecessor's leases.
    bool skipPredecessorWait = false;
    /// Renews shares while the predecessor may still grant them to others.
    bool renewTooEarly = false;
    /// Single tokens that were granted stay in the pool.
    bool lendTwice = false;
};

/// A grant that the node may be using.
struct RateEntry
{
    GrantNumber grant;
    double ratePerSecond = 0;
    double burst = 0;
    TimePoint expires;
};

/// One team on one node incarnation.
struct RateHolding
{
    /// Ascending by grant: the one known to be applied, if any, then those not yet acknowledged.
    std::vector<RateEntry> entries;
    /// Maxima over the entries, counted in the team's sums.
    double rateHeld = 0;
    double burstHeld = 0;
    /// Requests per second last reported, waiting requests included.
    double demand = 0;
    /// When it was last reported.
    TimePoint demandAt;
    double returnedSeen = 0;
    bool returnedKnown = false;
};

/// Who asked for single tokens, and with which of its requests.
struct TokenAsker
{
    NodeId node;
    Incarnation incarnation;
    std::uint64_t request = 0;
};

/// Single tokens that a node may still spend.
struct TokenLoan
{
    TimePoint expires;
    double tokens = 0;
};

/// A request for single tokens that the pool does not hold yet.
struct QueuedTokens
{
    TokenAsker asker;
    std::uint32_t tokens = 0;
    TimePoint since;
};

struct RateTeam
{
    double ratePerSecond = 0;
    double burst = 0;
    /// Tokens no node holds, as of poolAt.
    double pool = 0;
    TimePoint poolAt;
    double rateHeld = 0;
    double burstHeld = 0;
    /// Demand of the nodes that hold or get a lease.
    double demand = 0;
    /// Single tokens asked for per second, as of requestedAt.
    double requestedPerSecond = 0;
    TimePoint requestedAt;
    /// Oldest first; `lent` is their sum.
    std::deque<TokenLoan> loans;
    double lent = 0;
    /// In the order of arrival; `queuedTokens` is their sum.
    std::deque<QueuedTokens> queue;
    double queuedTokens = 0;
    /// Demand averaged over two seconds, as of averageAt; tells a team over its rate.
    double averageDemand = 0;
    TimePoint averageAt;
};

struct RateNode
{
    Incarnation incarnation;
    std::uint64_t reportSequence = 0;
    TimePoint expires;
    std::map<TeamId, RateHolding> holdings;
};

/// Owned by the controller's thread.
struct RateAllocator
{
    GrantNumber nextGrant;
    /// From this time shares in force are renewed, as no earlier controller can change them.
    TimePoint renewsFrom;
    /// No other share is granted before this time.
    TimePoint grantsFrom;
    std::map<TeamId, RateTeam> teams;
    /// By node and incarnation: a restarted node's earlier leases stay counted until they expire.
    std::map<std::pair<NodeId, Incarnation>, RateNode> nodes;
    TimePoint nextExpiryScan;
    RateAllocatorFaults faults;
};

struct RateReport
{
    ReportStamp stamp;
    /// Every team that the node has a share of or saw requests of since the last report.
    std::vector<TeamDemand> demands;
};

/// Answer to a RateReport. A team that is not listed keeps its earlier share until that expires.
struct RateGrant
{
    GrantNumber number;
    /// The shares only extend those in force: the node takes the smaller of each value, and nothing
    /// if its share has expired.
    bool renewal = false;
    std::vector<RateShare> shares;
};

/// Starts a controller that knows nothing of earlier shares. `predecessorGone` is the time by
/// which no earlier controller can answer reports any more. From then on it renews what nodes hold,
/// which adds nothing to the sum; other grants start kShareLease later.
RateAllocator makeRateAllocator(ControlTerm term, TimePoint predecessorGone,
                                RateAllocatorFaults faults = {});

/// Shares can be granted from `now`, earlier than planned: nothing granted by the predecessor is
/// unknown any more. No token has been spent since `unspentSince`, so the pools fill from then on.
void endPredecessorWait(RateAllocator &allocator, TimePoint unspentSince, TimePoint now);

/// Takes over teams and limits of a new configuration. Lowered limits bind at the latest when the
/// leases in force have expired.
void applyTeamConfig(RateAllocator &allocator, const std::map<TeamId, TeamConfig> &teams,
                     TimePoint now);

/// Accounts for a report and computes the node's new shares. O(teams of this node).
RateGrant onRateReport(RateAllocator &allocator, const RateReport &report, TimePoint now);

/// Whether a report has to name the team: the node has a share of it, or enough requests for one.
bool concernsLease(const TeamDemand &demand);

/// Teams with the highest demand for their rate, the highest first. The pointers are valid until
/// the allocator changes.
std::vector<std::pair<TeamId, const RateTeam *>> busiestTeams(const RateAllocator &allocator,
                                                              std::size_t most);

/// Drops expired leases; their tokens count as spent. Called by onRateReport every 100 ms.
void expireRateLeases(RateAllocator &allocator, TimePoint now);

} // namespace shallotlever
