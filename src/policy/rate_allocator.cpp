#include "shallotlever/policy/rate_allocator.h"

#include <algorithm>
#include <cmath>

#include "rate_team.h"

namespace shallotlever {
namespace {

constexpr Duration kExpiryScanInterval = 100ms;
/// A node gets more rate than it used, so that growth inside the team's rate is not refused. With
/// an empty pool it gets the least headroom: rate that no node holds refills the pool, which
/// carries traffic that moves to another node until the rate follows.
constexpr double kLeastHeadroom = 1.05;
constexpr double kMostHeadroom = 1.5;
/// Least headroom, as a share of the team's rate: lets a node without history start at once.
constexpr double kMinRateHeadroom = 0.02;
/// Bucket depth of a node that keeps within its rate: seconds of its demand, and at least this
/// many standard deviations of the arrivals of a second. The rest of the burst stays in the pool
/// for nodes that need it.
constexpr double kDepthSeconds = 0.15;
constexpr double kDepthDeviations = 2;
/// A node keeps its share down to this demand, so that shares do not come and go.
constexpr double kLeastKeptDemand = 4;
/// Demand at a node is averaged over this time while the team is over its rate: its shares sum to
/// the whole rate, and a share that shrinks counts until the node has confirmed it.
constexpr double kOverRateAverageSeconds = 4;
/// A bucket of less than one token admits nothing.
constexpr double kLeastUsefulDepth = 1.0;

double seconds(Duration d)
{
    return std::chrono::duration<double>(d).count();
}

/// Recomputes what the holding may use and updates the team's sums.
void updateSums(RateTeam &team, RateHolding &holding)
{
    double rate = 0;
    double burst = 0;
    for (const RateEntry &entry : holding.entries) {
        rate = std::max(rate, entry.ratePerSecond);
        burst = std::max(burst, entry.burst);
    }
    team.rateHeld = std::max(0.0, team.rateHeld + rate - holding.rateHeld);
    team.burstHeld = std::max(0.0, team.burstHeld + burst - holding.burstHeld);
    holding.rateHeld = rate;
    holding.burstHeld = burst;
}

void setDemand(RateTeam &team, RateHolding &holding, double demand)
{
    team.demand = std::max(0.0, team.demand + demand - holding.demand);
    holding.demand = demand;
}

/// Drops entries that the node cannot be using: expired ones, and those before the newest entry
/// that it has applied.
void pruneEntries(RateHolding &holding, GrantNumber applied, TimePoint now)
{
    auto &entries = holding.entries;
    std::erase_if(entries, [now](const RateEntry &e) { return e.expires <= now; });
    auto firstUnapplied = std::find_if(entries.begin(), entries.end(),
                                       [applied](const RateEntry &e) { return e.grant > applied; });
    if (firstUnapplied - entries.begin() > 1)
        entries.erase(entries.begin(), firstUnapplied - 1);
}

/// Puts tokens back into the pool that the node gave up unspent. Only as many as its depth shrank
/// by: tokens and uncredited returns together never exceeded the depth counted before.
void creditReturned(RateTeam &team, RateHolding &holding, const TeamDemand *demand,
                    double depthDropped)
{
    if (demand == nullptr)
        return;
    const double returned = demand->returnedTokens - holding.returnedSeen;
    if (holding.returnedKnown && returned > 0) {
        team.pool = std::min(team.pool + std::min(returned, depthDropped), poolRoom(team));
    }
    holding.returnedSeen = demand->returnedTokens;
    holding.returnedKnown = true;
}

/// Requests per second that a share should cover; 0 for a node that sees too few.
double leasedDemand(const RateHolding &holding, const TeamDemand *demand)
{
    const double least = holding.rateHeld > 0 ? kLeastKeptDemand : kLeastLeasedDemand;
    if (demand == nullptr || demand->arrivalsPerSecond < least)
        return 0;
    return demand->arrivalsPerSecond;
}

/// Demand of a node averaged over a time in which its share should not change.
double smoothed(const RateHolding &holding, double wanted, TimePoint now)
{
    const double elapsed = seconds(now - holding.demandAt);
    const double weight = 1 - std::exp(-elapsed / kOverRateAverageSeconds);
    return holding.demand + (wanted - holding.demand) * weight;
}

void accountForReport(RateAllocator &allocator, RateTeam &team, RateHolding &holding,
                      const TeamDemand *demand, GrantNumber applied, TimePoint now)
{
    accrue(team, now);
    const double depthBefore = holding.burstHeld;
    pruneEntries(holding, applied, now);
    updateSums(team, holding);
    const double dropped = std::max(0.0, depthBefore - holding.burstHeld);
    creditReturned(team, holding, demand, dropped);
    if (allocator.faults.forgetSpentBurst)
        team.pool = std::min(team.pool + dropped, poolRoom(team));
    const double wanted = leasedDemand(holding, demand);
    setDemand(team, holding, isOverRate(team) ? smoothed(holding, wanted, now) : wanted);
    holding.demandAt = now;
}

double rateTarget(const RateTeam &team, const RateHolding &holding)
{
    if (holding.demand <= 0 || team.demand <= 0)
        return 0;
    const double proportional = team.ratePerSecond * holding.demand / totalDemand(team);
    const double room = std::max(1.0, poolRoom(team));
    const double fill = std::min(1.0, team.pool / room);
    const double headroom = kLeastHeadroom + (kMostHeadroom - kLeastHeadroom) * fill;
    const double needed =
        std::max(holding.demand * headroom, holding.demand + team.ratePerSecond * kMinRateHeadroom);
    return std::min(proportional, needed);
}

double depthTarget(const RateTeam &team, const RateHolding &holding)
{
    if (holding.demand <= 0 || team.demand <= 0)
        return 0;
    const double part = holding.demand / totalDemand(team);
    const double wanted =
        std::max(holding.demand * kDepthSeconds, kDepthDeviations * std::sqrt(holding.demand));
    // Of a team over its rate nothing is kept for traffic that moves; a shallow bucket overflows in
    // the gaps between arrivals.
    const double steady =
        isOverRate(team) ? team.burst * part : std::min(team.burst * part / 2, wanted);
    return std::max(steady, std::min(kLeastUsefulDepth, team.burst));
}

/// Sets the depth and tokens that can be granted now. While a reduction is unacknowledged the
/// depth is not raised, so that returned tokens are never counted twice. Tokens come with at most
/// an equal increase of depth: the bucket and tokens on their way never exceed the depth counted.
void grantDepth(RateTeam &team, const RateHolding &holding, double target, double lastDepth,
                RateShare &share)
{
    share.burst = std::min(target, lastDepth);
    if (target <= lastDepth || holding.burstHeld > lastDepth)
        return;
    // Room that is neither granted as depth nor filled by the pool is granted without tokens.
    const double room = std::max(0.0, poolRoom(team) - team.pool);
    const double raise = std::min(target - lastDepth, room + team.pool);
    share.tokens = std::max(0.0, raise - room);
    share.burst = lastDepth + raise;
    team.pool -= share.tokens;
}

bool withinRate(RateTeam &team, TimePoint now)
{
    const double elapsed = seconds(std::max(Duration(0), now - team.averageAt));
    const double weight = 1 - std::exp(-elapsed / kDemandAverageSeconds);
    noteRequestedTokens(team, 0, now);
    team.averageDemand += (totalDemand(team) - team.averageDemand) * weight;
    team.averageAt = now;
    return !isOverRate(team);
}

/// Computes and records the next share of one team on one node.
RateShare grantShare(RateAllocator &allocator, RateTeam &team, RateHolding &holding,
                     const TeamId &id, TimePoint now)
{
    const double lastDepth = holding.entries.empty() ? 0 : holding.entries.back().burst;
    const double available = team.ratePerSecond - (team.rateHeld - holding.rateHeld);
    RateShare share;
    share.team = id;
    share.grant = allocator.nextGrant.value();
    share.ratePerSecond = std::clamp(available, 0.0, rateTarget(team, holding));
    grantDepth(team, holding, depthTarget(team, holding), lastDepth, share);
    share.teamWithinRate = withinRate(team, now);
    if (allocator.faults.grantBeforeLeaseExpiry)
        holding.entries.clear();
    holding.entries.push_back(
        { allocator.nextGrant, share.ratePerSecond, share.burst, now + kShareLease });
    updateSums(team, holding);
    return share;
}

/// Extends the share that the node holds, before other shares can be granted. Limits lowered since
/// it was granted apply to all renewed shares together.
RateShare renewShare(RateAllocator &allocator, RateTeam &team, RateHolding &holding,
                     const TeamDemand &demand, TimePoint now)
{
    const double rate = team.ratePerSecond - (team.rateHeld - holding.rateHeld);
    const double burst = team.burst - (team.burstHeld - holding.burstHeld);
    RateShare share;
    share.team = demand.team;
    share.grant = allocator.nextGrant.value();
    share.ratePerSecond = std::clamp(rate, 0.0, demand.heldRate);
    share.burst = std::clamp(burst, 0.0, demand.heldBurst);
    holding.entries.push_back(
        { allocator.nextGrant, share.ratePerSecond, share.burst, now + kShareLease });
    updateSums(team, holding);
    return share;
}

/// True once the node holds and wants nothing, and no earlier grant can be in use.
bool isIdle(const RateHolding &holding)
{
    return holding.demand <= 0 && holding.rateHeld <= 0 && holding.burstHeld <= 0;
}

void releaseNode(RateAllocator &allocator, RateNode &node, TimePoint now)
{
    for (auto &[id, holding] : node.holdings) {
        RateTeam &team = allocator.teams[id];
        accrue(team, now);
        const double held = holding.burstHeld;
        holding.entries.clear();
        updateSums(team, holding);
        setDemand(team, holding, 0);
        if (allocator.faults.forgetSpentBurst)
            team.pool = std::min(team.pool + held, poolRoom(team));
    }
}

/// The demand of earlier incarnations has gone with them; their leases have not.
void forgetEarlierDemand(RateAllocator &allocator, const NodeId &id)
{
    for (auto it = allocator.nodes.lower_bound({ id, Incarnation() });
         it != allocator.nodes.end() && it->first.first == id; ++it) {
        for (auto &[team, holding] : it->second.holdings)
            setDemand(allocator.teams[team], holding, 0);
    }
}

/// Returns the node's record, or nullptr if the report is older than one already seen.
RateNode *nodeOf(RateAllocator &allocator, const ReportStamp &stamp, TimePoint now)
{
    const auto key = std::make_pair(stamp.node, stamp.incarnation);
    auto it = allocator.nodes.find(key);
    if (it == allocator.nodes.end()) {
        forgetEarlierDemand(allocator, stamp.node);
        it = allocator.nodes.emplace(key, RateNode {}).first;
        it->second.incarnation = stamp.incarnation;
    } else if (stamp.sequence <= it->second.reportSequence) {
        return nullptr;
    }
    it->second.reportSequence = stamp.sequence;
    it->second.expires = now + kShareLease;
    return &it->second;
}

/// Adds a holding for each team the report names.
void addHoldings(RateAllocator &allocator, RateNode &node, const RateReport &report)
{
    for (const TeamDemand &demand : report.demands) {
        if (allocator.teams.contains(demand.team))
            node.holdings.try_emplace(demand.team);
    }
}

} // namespace

RateAllocator makeRateAllocator(ControlTerm term, TimePoint predecessorGone,
                                RateAllocatorFaults faults)
{
    RateAllocator allocator;
    allocator.nextGrant = firstGrantNumber(term);
    allocator.renewsFrom = faults.renewTooEarly ? TimePoint::min() : predecessorGone;
    allocator.grantsFrom =
        faults.skipPredecessorWait ? predecessorGone : predecessorGone + kShareLease;
    allocator.faults = faults;
    return allocator;
}

void endPredecessorWait(RateAllocator &allocator, TimePoint unspentSince, TimePoint now)
{
    allocator.grantsFrom = std::min(allocator.grantsFrom, now);
    for (auto &[id, team] : allocator.teams)
        team.poolAt = std::min(team.poolAt, unspentSince);
}

void applyTeamConfig(RateAllocator &allocator, const std::map<TeamId, TeamConfig> &teams,
                     TimePoint now)
{
    for (auto &[id, team] : allocator.teams) {
        accrue(team, now);
        if (!teams.contains(id))
            team.ratePerSecond = team.burst = team.pool = 0;
    }
    for (const auto &[id, config] : teams) {
        // A new team starts with an empty pool: it may have existed before under the same id, or
        // under an earlier controller, and have spent its burst.
        auto [it, added] = allocator.teams.try_emplace(id);
        RateTeam &team = it->second;
        if (added)
            team.poolAt = std::max(now, allocator.grantsFrom);
        team.ratePerSecond = config.ratePerSecond;
        team.burst = config.burst;
        team.pool = std::min(team.pool, poolRoom(team));
    }
}

void expireRateLeases(RateAllocator &allocator, TimePoint now)
{
    for (auto it = allocator.nodes.begin(); it != allocator.nodes.end();) {
        if (it->second.expires > now) {
            ++it;
            continue;
        }
        releaseNode(allocator, it->second, now);
        it = allocator.nodes.erase(it);
    }
    std::erase_if(allocator.teams, [](const auto &item) {
        const RateTeam &team = item.second;
        return team.ratePerSecond <= 0 && team.burst <= 0 && team.burstHeld <= 0
            && team.rateHeld <= 0 && team.demand <= 0 && team.queue.empty();
    });
    allocator.nextExpiryScan = now + kExpiryScanInterval;
}

std::vector<std::pair<TeamId, const RateTeam *>> busiestTeams(const RateAllocator &allocator,
                                                              std::size_t most)
{
    std::vector<std::pair<TeamId, const RateTeam *>> teams;
    for (const auto &[id, team] : allocator.teams) {
        if (totalDemand(team) > 0)
            teams.emplace_back(id, &team);
    }
    const auto last = teams.begin() + static_cast<std::ptrdiff_t>(std::min(most, teams.size()));
    std::partial_sort(teams.begin(), last, teams.end(), [](const auto &a, const auto &b) {
        return totalDemand(*a.second) * b.second->ratePerSecond
            > totalDemand(*b.second) * a.second->ratePerSecond;
    });
    teams.erase(last, teams.end());
    return teams;
}

bool concernsLease(const TeamDemand &demand)
{
    return demand.heldRate > 0 || demand.heldBurst > 0
        || demand.arrivalsPerSecond >= kLeastLeasedDemand;
}

RateGrant onRateReport(RateAllocator &allocator, const RateReport &report, TimePoint now)
{
    if (now >= allocator.nextExpiryScan)
        expireRateLeases(allocator, now);
    RateGrant grant;
    RateNode *node = nodeOf(allocator, report.stamp, now);
    // A node that has applied a later controller's grant ignores this one's: its acknowledgement
    // says nothing about the grants counted here.
    if (node == nullptr || report.stamp.appliedGrant >= allocator.nextGrant)
        return grant;
    addHoldings(allocator, *node, report);
    std::map<TeamId, const TeamDemand *> demands;
    for (const TeamDemand &demand : report.demands)
        demands.insert_or_assign(demand.team, &demand);
    grant.number = allocator.nextGrant;
    grant.renewal = now >= allocator.renewsFrom && now < allocator.grantsFrom;
    for (auto it = node->holdings.begin(); it != node->holdings.end();) {
        auto &[id, holding] = *it;
        RateTeam &team = allocator.teams[id];
        const auto found = demands.find(id);
        const TeamDemand *demand = found == demands.end() ? nullptr : found->second;
        accountForReport(allocator, team, holding, demand, report.stamp.appliedGrant, now);
        if (now >= allocator.grantsFrom)
            grant.shares.push_back(grantShare(allocator, team, holding, id, now));
        else if (grant.renewal && demand != nullptr && demand->heldBurst > 0)
            grant.shares.push_back(renewShare(allocator, team, holding, *demand, now));
        it = isIdle(holding) ? node->holdings.erase(it) : std::next(it);
    }
    allocator.nextGrant = allocator.nextGrant.next();
    return grant;
}

} // namespace shallotlever
