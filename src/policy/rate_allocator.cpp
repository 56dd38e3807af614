#include "shallotlever/policy/rate_allocator.h"

#include <algorithm>
#include <cmath>

#include "rate_team.h"

namespace shallotlever {
namespace {

constexpr Duration kExpiryScanInterval = 100ms;
/// A node's rate is its demand times a headroom factor, so that growth within the team's rate is
/// not refused. The factor falls to the minimum as the pool empties: rate that no node holds
/// refills the pool, which serves traffic that moves to another node until the rate follows.
constexpr double kMinHeadroomFactor = 1.05;
constexpr double kMaxHeadroomFactor = 1.5;
/// Minimum headroom as a fraction of the team's rate. It lets a node without demand history start
/// at once.
constexpr double kMinHeadroomShare = 0.02;
/// Bucket depth of a node within its rate: this many seconds of its demand, and at least this many
/// standard deviations of the arrivals in one second. The rest of the burst stays in the pool for
/// nodes that need it.
constexpr double kDepthDemandSeconds = 0.15;
constexpr double kDepthStandardDeviations = 2;
/// A node keeps its share until its demand falls below this value. The hysteresis to
/// kMinLeaseDemandPerSecond avoids granting and withdrawing shares repeatedly.
constexpr double kMinRetainedDemandPerSecond = 4;
/// Time constant of the average of a node's demand while the team is over its rate. Its shares then
/// sum to the whole rate, and a reduced share blocks other grants until the node has confirmed it,
/// so shares must not follow every fluctuation.
constexpr double kOverRateAverageSeconds = 4;
/// A bucket with a depth of less than one token admits nothing.
constexpr double kMinUsefulDepthTokens = 1.0;

double seconds(Duration d)
{
    return std::chrono::duration<double>(d).count();
}

/// Recomputes the rate and burst that the node may be using and updates the team's totals.
void updateLeasedTotals(RateTeam &team, RateLease &lease)
{
    double rate = 0;
    double burst = 0;
    for (const OutstandingRateGrant &entry : lease.outstandingGrants) {
        rate = std::max(rate, entry.ratePerSecond);
        burst = std::max(burst, entry.burst);
    }
    team.leasedRate = std::max(0.0, team.leasedRate + rate - lease.leasedRate);
    team.leasedBurst = std::max(0.0, team.leasedBurst + burst - lease.leasedBurst);
    lease.leasedRate = rate;
    lease.leasedBurst = burst;
}

void setDemand(RateTeam &team, RateLease &lease, double demand)
{
    team.demand = std::max(0.0, team.demand + demand - lease.demand);
    lease.demand = demand;
}

/// Removes grants that the node cannot be using: expired ones, and those before the newest grant
/// that it has applied.
void pruneOutstandingGrants(RateLease &lease, GrantNumber applied, TimePoint now)
{
    auto &outstandingGrants = lease.outstandingGrants;
    std::erase_if(outstandingGrants,
                  [now](const OutstandingRateGrant &e) { return e.expires <= now; });
    auto firstUnapplied =
        std::find_if(outstandingGrants.begin(), outstandingGrants.end(),
                     [applied](const OutstandingRateGrant &e) { return e.grant > applied; });
    if (firstUnapplied - outstandingGrants.begin() > 1)
        outstandingGrants.erase(outstandingGrants.begin(), firstUnapplied - 1);
}

/// Returns tokens to the pool that the node gave up unspent, at most as many as its depth was
/// reduced by: the tokens in the bucket and the returns not yet credited never exceeded the depth
/// counted before.
void creditReturnedTokens(RateTeam &team, RateLease &lease, const TeamDemand *demand,
                          double depthReduction)
{
    if (demand == nullptr)
        return;
    const double returned = demand->returnedTokens - lease.lastReturnedTokens;
    if (lease.returnedTokensKnown && returned > 0) {
        team.pool = std::min(team.pool + std::min(returned, depthReduction), poolCapacity(team));
    }
    lease.lastReturnedTokens = demand->returnedTokens;
    lease.returnedTokensKnown = true;
}

/// Requests per second that the share should cover; 0 if there are too few for a share.
double leasedDemand(const RateLease &lease, const TeamDemand *demand)
{
    const double minDemand =
        lease.leasedRate > 0 ? kMinRetainedDemandPerSecond : kMinLeaseDemandPerSecond;
    if (demand == nullptr || demand->arrivalsPerSecond < minDemand)
        return 0;
    return demand->arrivalsPerSecond;
}

/// Exponentially weighted average of the node's demand, which keeps its share stable.
double smoothedDemand(const RateLease &lease, double newDemand, TimePoint now)
{
    const double elapsed = seconds(now - lease.demandUpdatedAt);
    const double weight = 1 - std::exp(-elapsed / kOverRateAverageSeconds);
    return lease.demand + (newDemand - lease.demand) * weight;
}

void accountForReport(RateAllocator &allocator, RateTeam &team, RateLease &lease,
                      const TeamDemand *demand, GrantNumber applied, TimePoint now)
{
    refillPool(team, now);
    const double previousDepth = lease.leasedBurst;
    pruneOutstandingGrants(lease, applied, now);
    updateLeasedTotals(team, lease);
    const double depthReduction = std::max(0.0, previousDepth - lease.leasedBurst);
    creditReturnedTokens(team, lease, demand, depthReduction);
    if (allocator.faults.refundSpentBurst)
        team.pool = std::min(team.pool + depthReduction, poolCapacity(team));
    const double newDemand = leasedDemand(lease, demand);
    setDemand(team, lease, isOverRate(team) ? smoothedDemand(lease, newDemand, now) : newDemand);
    lease.demandUpdatedAt = now;
}

double rateTarget(const RateTeam &team, const RateLease &lease)
{
    if (lease.demand <= 0 || team.demand <= 0)
        return 0;
    const double proportional = team.ratePerSecond * lease.demand / totalDemand(team);
    const double capacity = std::max(1.0, poolCapacity(team));
    const double fillRatio = std::min(1.0, team.pool / capacity);
    const double headroom =
        kMinHeadroomFactor + (kMaxHeadroomFactor - kMinHeadroomFactor) * fillRatio;
    const double needed =
        std::max(lease.demand * headroom, lease.demand + team.ratePerSecond * kMinHeadroomShare);
    return std::min(proportional, needed);
}

double depthTarget(const RateTeam &team, const RateLease &lease)
{
    if (lease.demand <= 0 || team.demand <= 0)
        return 0;
    const double demandShare = lease.demand / totalDemand(team);
    const double neededDepth = std::max(lease.demand * kDepthDemandSeconds,
                                        kDepthStandardDeviations * std::sqrt(lease.demand));
    // For a team over its rate no burst is held back for traffic that moves, and the bucket is
    // deeper, since a shallow one overflows in the gaps between arrivals.
    const double baseDepth = isOverRate(team) ? team.burst * demandShare
                                              : std::min(team.burst * demandShare / 2, neededDepth);
    return std::max(baseDepth, std::min(kMinUsefulDepthTokens, team.burst));
}

/// Sets the depth and tokens that can be granted now. While a reduction is unacknowledged the depth
/// is not raised, so that returned tokens are never counted twice. Tokens are granted with at least
/// an equal increase of depth, so that those in the bucket and in transit never exceed the depth
/// counted.
void grantDepth(RateTeam &team, const RateLease &lease, double target, double lastDepth,
                RateShare &share)
{
    share.burst = std::min(target, lastDepth);
    if (target <= lastDepth || lease.leasedBurst > lastDepth)
        return;
    // Pool capacity that is not filled is granted as depth without tokens.
    const double unfilledCapacity = std::max(0.0, poolCapacity(team) - team.pool);
    const double depthIncrease = std::min(target - lastDepth, unfilledCapacity + team.pool);
    share.tokens = std::max(0.0, depthIncrease - unfilledCapacity);
    share.burst = lastDepth + depthIncrease;
    team.pool -= share.tokens;
}

bool updateWithinRate(RateTeam &team, TimePoint now)
{
    const double elapsed = seconds(std::max(Duration(0), now - team.averageUpdatedAt));
    const double weight = 1 - std::exp(-elapsed / kDemandAverageSeconds);
    recordRequestedTokens(team, 0, now);
    team.averageDemand += (totalDemand(team) - team.averageDemand) * weight;
    team.averageUpdatedAt = now;
    return !isOverRate(team);
}

/// Computes and records the next share of one team at one node.
RateShare grantShare(RateAllocator &allocator, RateTeam &team, RateLease &lease, const TeamId &id,
                     TimePoint now)
{
    const double lastDepth =
        lease.outstandingGrants.empty() ? 0 : lease.outstandingGrants.back().burst;
    const double available = team.ratePerSecond - (team.leasedRate - lease.leasedRate);
    RateShare share;
    share.team = id;
    share.grant = allocator.nextGrant.value();
    share.ratePerSecond = std::clamp(available, 0.0, rateTarget(team, lease));
    grantDepth(team, lease, depthTarget(team, lease), lastDepth, share);
    share.teamWithinRate = updateWithinRate(team, now);
    if (allocator.faults.grantBeforeLeaseExpiry)
        lease.outstandingGrants.clear();
    lease.outstandingGrants.push_back(
        { allocator.nextGrant, share.ratePerSecond, share.burst, now + kShareLeaseDuration });
    updateLeasedTotals(team, lease);
    return share;
}

/// Renews the share that the node holds, in the time before other shares can be granted. Limits
/// that were lowered since it was granted apply to the sum of all renewed shares.
RateShare renewShare(RateAllocator &allocator, RateTeam &team, RateLease &lease,
                     const TeamDemand &demand, TimePoint now)
{
    const double rate = team.ratePerSecond - (team.leasedRate - lease.leasedRate);
    const double burst = team.burst - (team.leasedBurst - lease.leasedBurst);
    RateShare share;
    share.team = demand.team;
    share.grant = allocator.nextGrant.value();
    share.ratePerSecond = std::clamp(rate, 0.0, demand.heldRate);
    share.burst = std::clamp(burst, 0.0, demand.heldBurst);
    lease.outstandingGrants.push_back(
        { allocator.nextGrant, share.ratePerSecond, share.burst, now + kShareLeaseDuration });
    updateLeasedTotals(team, lease);
    return share;
}

/// Whether the node has neither demand nor a share, and no earlier grant can be in use.
bool canBeErased(const RateLease &lease)
{
    return lease.demand <= 0 && lease.leasedRate <= 0 && lease.leasedBurst <= 0;
}

void releaseLeases(RateAllocator &allocator, RateNode &node, TimePoint now)
{
    for (auto &[id, lease] : node.leases) {
        RateTeam &team = allocator.teams[id];
        refillPool(team, now);
        const double releasedBurst = lease.leasedBurst;
        lease.outstandingGrants.clear();
        updateLeasedTotals(team, lease);
        setDemand(team, lease, 0);
        if (allocator.faults.refundSpentBurst)
            team.pool = std::min(team.pool + releasedBurst, poolCapacity(team));
    }
}

/// Clears the demand of the node's earlier incarnations. Their leases are counted until they
/// expire.
void clearEarlierIncarnations(RateAllocator &allocator, const NodeId &id)
{
    for (auto it = allocator.nodes.lower_bound({ id, Incarnation() });
         it != allocator.nodes.end() && it->first.first == id; ++it) {
        for (auto &[team, lease] : it->second.leases)
            setDemand(allocator.teams[team], lease, 0);
    }
}

/// Returns the node's record, which it adds if necessary, or nullptr if a newer report was
/// received.
RateNode *acceptReport(RateAllocator &allocator, const ReportStamp &stamp, TimePoint now)
{
    const auto key = std::make_pair(stamp.node, stamp.incarnation);
    auto it = allocator.nodes.find(key);
    if (it == allocator.nodes.end()) {
        clearEarlierIncarnations(allocator, stamp.node);
        it = allocator.nodes.emplace(key, RateNode {}).first;
        it->second.incarnation = stamp.incarnation;
    } else if (stamp.sequence <= it->second.reportSequence) {
        return nullptr;
    }
    it->second.reportSequence = stamp.sequence;
    it->second.expires = now + kShareLeaseDuration;
    return &it->second;
}

/// Adds an empty lease for each known team in the report.
void addLeases(RateAllocator &allocator, RateNode &node, const RateReport &report)
{
    for (const TeamDemand &demand : report.demands) {
        if (allocator.teams.contains(demand.team))
            node.leases.try_emplace(demand.team);
    }
}

} // namespace

RateAllocator makeRateAllocator(ControlTerm term, TimePoint predecessorStopTime,
                                RateAllocatorFaults faults)
{
    RateAllocator allocator;
    allocator.nextGrant = firstGrantNumber(term);
    allocator.renewalsAllowedFrom = faults.renewTooEarly ? TimePoint::min() : predecessorStopTime;
    allocator.grantsAllowedFrom = faults.skipPredecessorWait
        ? predecessorStopTime
        : predecessorStopTime + kShareLeaseDuration;
    allocator.faults = faults;
    return allocator;
}

void endPredecessorWait(RateAllocator &allocator, TimePoint unspentSince, TimePoint now)
{
    allocator.grantsAllowedFrom = std::min(allocator.grantsAllowedFrom, now);
    for (auto &[id, team] : allocator.teams)
        team.poolUpdatedAt = std::min(team.poolUpdatedAt, unspentSince);
}

void applyTeamConfig(RateAllocator &allocator, const std::map<TeamId, TeamConfig> &teams,
                     TimePoint now)
{
    for (auto &[id, team] : allocator.teams) {
        refillPool(team, now);
        if (!teams.contains(id))
            team.ratePerSecond = team.burst = team.pool = 0;
    }
    for (const auto &[id, config] : teams) {
        // A new team starts with an empty pool: it may have existed before under the same id, or
        // under an earlier controller, and have spent its burst.
        auto [it, added] = allocator.teams.try_emplace(id);
        RateTeam &team = it->second;
        if (added)
            team.poolUpdatedAt = std::max(now, allocator.grantsAllowedFrom);
        team.ratePerSecond = config.ratePerSecond;
        team.burst = config.burst;
        team.pool = std::min(team.pool, poolCapacity(team));
    }
}

void expireRateLeases(RateAllocator &allocator, TimePoint now)
{
    for (auto it = allocator.nodes.begin(); it != allocator.nodes.end();) {
        if (it->second.expires > now) {
            ++it;
            continue;
        }
        releaseLeases(allocator, it->second, now);
        it = allocator.nodes.erase(it);
    }
    std::erase_if(allocator.teams, [](const auto &item) {
        const RateTeam &team = item.second;
        return team.ratePerSecond <= 0 && team.burst <= 0 && team.leasedBurst <= 0
            && team.leasedRate <= 0 && team.demand <= 0 && team.queue.empty();
    });
    allocator.nextExpiryScan = now + kExpiryScanInterval;
}

std::vector<std::pair<TeamId, const RateTeam *>> busiestTeams(const RateAllocator &allocator,
                                                              std::size_t maxTeams)
{
    std::vector<std::pair<TeamId, const RateTeam *>> teams;
    for (const auto &[id, team] : allocator.teams) {
        if (totalDemand(team) > 0)
            teams.emplace_back(id, &team);
    }
    const auto last = teams.begin() + static_cast<std::ptrdiff_t>(std::min(maxTeams, teams.size()));
    std::partial_sort(teams.begin(), last, teams.end(), [](const auto &a, const auto &b) {
        return totalDemand(*a.second) * b.second->ratePerSecond
            > totalDemand(*b.second) * a.second->ratePerSecond;
    });
    teams.erase(last, teams.end());
    return teams;
}

bool shouldReportDemand(const TeamDemand &demand)
{
    return demand.heldRate > 0 || demand.heldBurst > 0
        || demand.arrivalsPerSecond >= kMinLeaseDemandPerSecond;
}

RateGrant onRateReport(RateAllocator &allocator, const RateReport &report, TimePoint now)
{
    if (now >= allocator.nextExpiryScan)
        expireRateLeases(allocator, now);
    RateGrant grant;
    RateNode *node = acceptReport(allocator, report.stamp, now);
    // A node that has applied a grant of a later controller ignores grants of this one, so its
    // acknowledgement says nothing about the grants counted here.
    if (node == nullptr || report.stamp.appliedGrant >= allocator.nextGrant)
        return grant;
    addLeases(allocator, *node, report);
    std::map<TeamId, const TeamDemand *> demands;
    for (const TeamDemand &demand : report.demands)
        demands.insert_or_assign(demand.team, &demand);
    grant.number = allocator.nextGrant;
    grant.renewal = now >= allocator.renewalsAllowedFrom && now < allocator.grantsAllowedFrom;
    for (auto it = node->leases.begin(); it != node->leases.end();) {
        auto &[id, lease] = *it;
        RateTeam &team = allocator.teams[id];
        const auto found = demands.find(id);
        const TeamDemand *demand = found == demands.end() ? nullptr : found->second;
        accountForReport(allocator, team, lease, demand, report.stamp.appliedGrant, now);
        if (now >= allocator.grantsAllowedFrom)
            grant.shares.push_back(grantShare(allocator, team, lease, id, now));
        else if (grant.renewal && demand != nullptr && demand->heldBurst > 0)
            grant.shares.push_back(renewShare(allocator, team, lease, *demand, now));
        it = canBeErased(lease) ? node->leases.erase(it) : std::next(it);
    }
    allocator.nextGrant = allocator.nextGrant.next();
    return grant;
}

} // namespace shallotlever
