#include "shallotlever/policy/slot_allocator.h"

#include <algorithm>

namespace shallotlever {
namespace {

constexpr Duration kExpiryScanInterval = 100ms;
constexpr std::uint32_t kMinReserve = 1;
/// One connection in this many is kept in reserve.
constexpr std::uint32_t kReserveDivisor = 10;

std::uint32_t capacityOf(const SlotUpstream &upstream)
{
    return upstream.limit - std::min(upstream.limit, connectionReserve(upstream.limit));
}

/// Recomputes what the node may hold open and updates the upstream's sum.
void updateSum(SlotUpstream &upstream, SlotHolding &holding, TimePoint now)
{
    std::uint32_t held = holding.openExpires > now ? holding.open : 0;
    for (const SlotEntry &entry : holding.entries)
        held = std::max(held, entry.connections);
    upstream.held += held;
    upstream.held -= holding.held;
    holding.held = held;
}

void setNeed(SlotUpstream &upstream, SlotHolding &holding, std::uint32_t need)
{
    upstream.need += need;
    upstream.need -= holding.need;
    holding.need = need;
}

void setServing(SlotUpstream &upstream, SlotHolding &holding, bool serving)
{
    if (holding.serving != serving)
        upstream.nodes += serving ? 1U : -1U;
    holding.serving = serving;
}

void pruneEntries(SlotHolding &holding, GrantNumber applied, TimePoint now)
{
    auto &entries = holding.entries;
    std::erase_if(entries, [now](const SlotEntry &e) { return e.expires <= now; });
    auto firstUnapplied = std::find_if(entries.begin(), entries.end(),
                                       [applied](const SlotEntry &e) { return e.grant > applied; });
    if (firstUnapplied - entries.begin() > 1)
        entries.erase(entries.begin(), firstUnapplied - 1);
}

void accountForReport(SlotUpstream &upstream, SlotHolding &holding, const SlotDemand *demand,
                      GrantNumber applied, TimePoint now)
{
    pruneEntries(holding, applied, now);
    holding.open = demand == nullptr ? 0 : demand->connectionsOpen;
    holding.openExpires = now + kShareLease;
    setServing(upstream, holding, demand != nullptr);
    setNeed(upstream, holding, demand == nullptr ? 0 : demand->connectionsBusy + demand->waiting);
    updateSum(upstream, holding, now);
}

/// One connection each first, then the rest in proportion to the work that runs or waits.
std::uint32_t target(const SlotUpstream &upstream, const SlotHolding &holding)
{
    if (!holding.serving)
        return 0;
    const std::uint32_t capacity = capacityOf(upstream);
    if (capacity <= upstream.nodes)
        return 1;
    const std::uint64_t spare = capacity - upstream.nodes;
    // Without work anywhere the spare connections are spread, so that they are open in advance.
    const std::uint64_t part =
        upstream.need == 0 ? spare / upstream.nodes : spare * holding.need / upstream.need;
    // One connection more than the work at hand, so that the next request finds one open.
    const std::uint64_t wanted =
        upstream.need == 0 ? part : std::min<std::uint64_t>(part, holding.need + 1);
    return 1 + static_cast<std::uint32_t>(wanted);
}

SlotShare grantShare(SlotAllocator &allocator, SlotUpstream &upstream, SlotHolding &holding,
                     const UpstreamId &id, TimePoint now)
{
    const std::uint32_t capacity = capacityOf(upstream);
    const std::uint32_t others = upstream.held - holding.held;
    const std::uint32_t available = capacity - std::min(capacity, others);
    SlotShare share;
    share.upstream = id;
    share.connections = std::min(target(upstream, holding), available);
    if (allocator.faults.shrinkWithoutReport) {
        holding.entries.clear();
        holding.open = 0;
    }
    holding.entries.push_back({ allocator.nextGrant, share.connections, now + kShareLease });
    updateSum(upstream, holding, now);
    return share;
}

/// Extends the share that the node holds, before other shares can be granted.
SlotShare renewShare(SlotAllocator &allocator, SlotUpstream &upstream, SlotHolding &holding,
                     const SlotDemand &demand, TimePoint now)
{
    const std::uint32_t capacity = capacityOf(upstream);
    const std::uint32_t available = capacity - std::min(capacity, upstream.held - holding.held);
    const std::uint32_t renewed = std::min(demand.connectionsHeld, available);
    holding.entries.push_back({ allocator.nextGrant, renewed, now + kShareLease });
    updateSum(upstream, holding, now);
    return { demand.upstream, renewed };
}

void releaseNode(SlotAllocator &allocator, SlotNode &node, TimePoint now)
{
    for (auto &[id, holding] : node.holdings) {
        SlotUpstream &upstream = allocator.upstreams[id];
        holding.entries.clear();
        holding.open = 0;
        updateSum(upstream, holding, now);
        setNeed(upstream, holding, 0);
        setServing(upstream, holding, false);
    }
}

void forgetEarlierNeed(SlotAllocator &allocator, const NodeId &id)
{
    for (auto it = allocator.nodes.lower_bound({ id, Incarnation() });
         it != allocator.nodes.end() && it->first.first == id; ++it) {
        for (auto &[upstream, holding] : it->second.holdings) {
            setNeed(allocator.upstreams[upstream], holding, 0);
            setServing(allocator.upstreams[upstream], holding, false);
        }
    }
}

SlotNode *nodeOf(SlotAllocator &allocator, const ReportStamp &stamp, TimePoint now)
{
    const auto key = std::make_pair(stamp.node, stamp.incarnation);
    auto it = allocator.nodes.find(key);
    if (it == allocator.nodes.end()) {
        forgetEarlierNeed(allocator, stamp.node);
        it = allocator.nodes.emplace(key, SlotNode {}).first;
    } else if (stamp.sequence <= it->second.reportSequence) {
        return nullptr;
    }
    it->second.reportSequence = stamp.sequence;
    it->second.expires = now + kShareLease;
    return &it->second;
}

bool isIdle(const SlotHolding &holding)
{
    return !holding.serving && holding.held == 0;
}

} // namespace

std::uint32_t connectionReserve(std::uint32_t connectionLimit)
{
    return std::max(kMinReserve, connectionLimit / kReserveDivisor);
}

SlotAllocator makeSlotAllocator(ControlTerm term, TimePoint predecessorGone,
                                SlotAllocatorFaults faults)
{
    SlotAllocator allocator;
    allocator.nextGrant = firstGrantNumber(term);
    allocator.renewsFrom = faults.renewTooEarly ? TimePoint::min() : predecessorGone;
    allocator.grantsFrom =
        faults.skipPredecessorWait ? predecessorGone : predecessorGone + kShareLease;
    allocator.faults = faults;
    return allocator;
}

void applyUpstreamLimits(SlotAllocator &allocator, const FleetView &fleet)
{
    for (auto &[id, upstream] : allocator.upstreams)
        upstream.limit = 0;
    for (const auto &[service, group] : fleet.groups) {
        for (const auto &[id, info] : group.upstreams)
            allocator.upstreams[id].limit = info.connectionLimit;
    }
    std::erase_if(allocator.upstreams, [](const auto &item) {
        const SlotUpstream &u = item.second;
        return u.limit == 0 && u.held == 0 && u.need == 0 && u.nodes == 0;
    });
}

std::uint32_t reportedConnections(const SlotAllocator &allocator, const UpstreamId &upstream)
{
    std::uint32_t open = 0;
    for (const auto &[id, node] : allocator.nodes) {
        const auto holding = node.holdings.find(upstream);
        open += holding == node.holdings.end() ? 0 : holding->second.open;
    }
    return open;
}

void expireSlotLeases(SlotAllocator &allocator, TimePoint now)
{
    for (auto it = allocator.nodes.begin(); it != allocator.nodes.end();) {
        if (it->second.expires > now) {
            ++it;
            continue;
        }
        releaseNode(allocator, it->second, now);
        it = allocator.nodes.erase(it);
    }
    allocator.nextExpiryScan = now + kExpiryScanInterval;
}

SlotGrant onSlotReport(SlotAllocator &allocator, const SlotReport &report, TimePoint now)
{
    if (now >= allocator.nextExpiryScan)
        expireSlotLeases(allocator, now);
    SlotGrant grant;
    SlotNode *node = nodeOf(allocator, report.stamp, now);
    // A node that has applied a later controller's grant ignores this one's: its acknowledgement
    // says nothing about the grants counted here.
    if (node == nullptr || report.stamp.appliedGrant >= allocator.nextGrant)
        return grant;
    std::map<UpstreamId, const SlotDemand *> demands;
    for (const SlotDemand &demand : report.demands) {
        if (allocator.upstreams.contains(demand.upstream)) {
            node->holdings.try_emplace(demand.upstream);
            demands.insert_or_assign(demand.upstream, &demand);
        }
    }
    grant.number = allocator.nextGrant;
    grant.renewal = now >= allocator.renewsFrom && now < allocator.grantsFrom;
    for (auto it = node->holdings.begin(); it != node->holdings.end();) {
        auto &[id, holding] = *it;
        SlotUpstream &upstream = allocator.upstreams[id];
        const auto found = demands.find(id);
        const SlotDemand *demand = found == demands.end() ? nullptr : found->second;
        accountForReport(upstream, holding, demand, report.stamp.appliedGrant, now);
        if (now >= allocator.grantsFrom)
            grant.shares.push_back(grantShare(allocator, upstream, holding, id, now));
        else if (grant.renewal && demand != nullptr && demand->connectionsHeld > 0)
            grant.shares.push_back(renewShare(allocator, upstream, holding, *demand, now));
        it = isIdle(holding) ? node->holdings.erase(it) : std::next(it);
    }
    allocator.nextGrant = allocator.nextGrant.next();
    return grant;
}

} // namespace shallotlever
