#include "shallotlever/policy/slot_allocator.h"

#include <algorithm>

namespace shallotlever {
namespace {

constexpr Duration kExpiryScanInterval = 100ms;
constexpr std::uint32_t kMinReservedConnections = 1;
/// One in this many connections is kept in reserve.
constexpr std::uint32_t kReserveDivisor = 10;
/// The standby owner gets one in this many connections.
constexpr std::uint32_t kStandbyDivisor = 4;

std::uint32_t leasableConnections(const SlotUpstream &upstream)
{
    return upstream.limit - std::min(upstream.limit, connectionReserve(upstream.limit));
}

/// Recomputes the connections that the node may have open and updates the upstream's total.
void updateLeasedTotal(SlotUpstream &upstream, SlotLease &lease, TimePoint now)
{
    std::uint32_t leasedConnections = lease.openConnectionsExpire > now ? lease.openConnections : 0;
    for (const OutstandingSlotGrant &entry : lease.outstandingGrants)
        leasedConnections = std::max(leasedConnections, entry.connections);
    upstream.leasedConnections += leasedConnections;
    upstream.leasedConnections -= lease.leasedConnections;
    lease.leasedConnections = leasedConnections;
}

void setNeededConnections(SlotUpstream &upstream, SlotLease &lease, std::uint32_t neededConnections)
{
    upstream.neededConnections += neededConnections;
    upstream.neededConnections -= lease.neededConnections;
    lease.neededConnections = neededConnections;
}

void setServing(SlotUpstream &upstream, SlotLease &lease, bool serving)
{
    if (lease.serving != serving)
        upstream.servingNodes += serving ? 1U : -1U;
    lease.serving = serving;
}

void pruneOutstandingGrants(SlotLease &lease, GrantNumber applied, TimePoint now)
{
    auto &outstandingGrants = lease.outstandingGrants;
    std::erase_if(outstandingGrants,
                  [now](const OutstandingSlotGrant &e) { return e.expires <= now; });
    auto firstUnapplied =
        std::find_if(outstandingGrants.begin(), outstandingGrants.end(),
                     [applied](const OutstandingSlotGrant &e) { return e.grant > applied; });
    if (firstUnapplied - outstandingGrants.begin() > 1)
        outstandingGrants.erase(outstandingGrants.begin(), firstUnapplied - 1);
}

void accountForReport(SlotUpstream &upstream, SlotLease &lease, const SlotDemand *demand,
                      GrantNumber applied, TimePoint now)
{
    pruneOutstandingGrants(lease, applied, now);
    lease.openConnections = demand == nullptr ? 0 : demand->connectionsOpen;
    lease.openConnectionsExpire = now + kShareLeaseDuration;
    setServing(upstream, lease, demand != nullptr);
    setNeededConnections(upstream, lease,
                         demand == nullptr ? 0 : demand->connectionsBusy + demand->waiting);
    updateLeasedTotal(upstream, lease, now);
}

std::uint32_t ownerConnections(const SlotUpstream &upstream, const NodeId &node)
{
    const std::uint32_t capacity = leasableConnections(upstream);
    const std::uint32_t standby = upstream.owners.size() > 1 ? standbyConnections(capacity) : 0;
    const auto rank = std::find(upstream.owners.begin(), upstream.owners.end(), node);
    if (rank == upstream.owners.end())
        return 0;
    return rank == upstream.owners.begin() ? capacity - standby : standby;
}

/// Without owners, assigns one connection to each node and divides the rest in proportion to
/// running and waiting work.
std::uint32_t targetConnections(const SlotUpstream &upstream, const SlotLease &lease,
                                const NodeId &node)
{
    if (!lease.serving)
        return 0;
    if (!upstream.owners.empty())
        return ownerConnections(upstream, node);
    const std::uint32_t capacity = leasableConnections(upstream);
    if (capacity <= upstream.servingNodes)
        return 1;
    const std::uint64_t spareConnections = capacity - upstream.servingNodes;
    // If no node has work, the spare connections are spread evenly, so that they are already open
    // when requests arrive.
    const std::uint64_t proportionalShare = upstream.neededConnections == 0
        ? spareConnections / upstream.servingNodes
        : spareConnections * lease.neededConnections / upstream.neededConnections;
    // One more than needed now, so that the next request finds an open connection.
    const std::uint64_t additional = upstream.neededConnections == 0
        ? proportionalShare
        : std::min<std::uint64_t>(proportionalShare, lease.neededConnections + 1);
    return 1 + static_cast<std::uint32_t>(additional);
}

SlotShare grantShare(SlotAllocator &allocator, SlotUpstream &upstream, SlotLease &lease,
                     const UpstreamId &id, const NodeId &node, TimePoint now)
{
    const std::uint32_t capacity = leasableConnections(upstream);
    const std::uint32_t others = upstream.leasedConnections - lease.leasedConnections;
    const std::uint32_t available = capacity - std::min(capacity, others);
    SlotShare share;
    share.upstream = id;
    share.connections = std::min(targetConnections(upstream, lease, node), available);
    if (allocator.faults.freeBeforeConfirmation) {
        lease.outstandingGrants.clear();
        lease.openConnections = 0;
    }
    lease.outstandingGrants.push_back(
        { allocator.nextGrant, share.connections, now + kShareLeaseDuration });
    updateLeasedTotal(upstream, lease, now);
    return share;
}

/// Renews the share that the node holds, in the time before other shares can be granted.
SlotShare renewShare(SlotAllocator &allocator, SlotUpstream &upstream, SlotLease &lease,
                     const SlotDemand &demand, TimePoint now)
{
    std::uint32_t renewed = demand.connectionsHeld;
    if (upstream.limitKnown) {
        const std::uint32_t capacity = leasableConnections(upstream);
        const std::uint32_t others = upstream.leasedConnections - lease.leasedConnections;
        renewed = std::min(renewed, capacity - std::min(capacity, others));
    }
    lease.outstandingGrants.push_back({ allocator.nextGrant, renewed, now + kShareLeaseDuration });
    updateLeasedTotal(upstream, lease, now);
    return { demand.upstream, renewed };
}

void releaseLeases(SlotAllocator &allocator, SlotNode &node, TimePoint now)
{
    for (auto &[id, lease] : node.leases) {
        SlotUpstream &upstream = allocator.upstreams[id];
        lease.outstandingGrants.clear();
        lease.openConnections = 0;
        updateLeasedTotal(upstream, lease, now);
        setNeededConnections(upstream, lease, 0);
        setServing(upstream, lease, false);
    }
}

void clearEarlierIncarnations(SlotAllocator &allocator, const NodeId &id)
{
    for (auto it = allocator.nodes.lower_bound({ id, Incarnation() });
         it != allocator.nodes.end() && it->first.first == id; ++it) {
        for (auto &[upstream, lease] : it->second.leases) {
            setNeededConnections(allocator.upstreams[upstream], lease, 0);
            setServing(allocator.upstreams[upstream], lease, false);
        }
    }
}

SlotNode *acceptReport(SlotAllocator &allocator, const ReportStamp &stamp, TimePoint now)
{
    const auto key = std::make_pair(stamp.node, stamp.incarnation);
    auto it = allocator.nodes.find(key);
    if (it == allocator.nodes.end()) {
        clearEarlierIncarnations(allocator, stamp.node);
        it = allocator.nodes.emplace(key, SlotNode {}).first;
    } else if (stamp.sequence <= it->second.reportSequence) {
        return nullptr;
    }
    it->second.reportSequence = stamp.sequence;
    it->second.expires = now + kShareLeaseDuration;
    return &it->second;
}

bool canBeErased(const SlotLease &lease)
{
    return !lease.serving && lease.leasedConnections == 0;
}

} // namespace

std::uint32_t connectionReserve(std::uint32_t connectionLimit)
{
    return std::max(kMinReservedConnections, connectionLimit / kReserveDivisor);
}

std::uint32_t standbyConnections(std::uint32_t leasableConnections)
{
    return leasableConnections < 2 ? 0 : std::max(1U, leasableConnections / kStandbyDivisor);
}

SlotAllocator makeSlotAllocator(ControlTerm term, TimePoint predecessorStopTime,
                                SlotAllocatorFaults faults)
{
    SlotAllocator allocator;
    allocator.nextGrant = firstGrantNumber(term);
    allocator.renewalsAllowedFrom = faults.renewTooEarly ? TimePoint::min() : predecessorStopTime;
    allocator.grantsAllowedFrom = faults.skipPredecessorWait
        ? predecessorStopTime
        : predecessorStopTime + kShareLeaseDuration;
    allocator.faults = faults;
    return allocator;
}

void applyUpstreamLimits(SlotAllocator &allocator, const FleetView &fleet)
{
    for (auto &[id, upstream] : allocator.upstreams)
        upstream.limit = 0;
    for (const auto &[service, group] : fleet.groups) {
        for (const auto &[id, info] : group.upstreams) {
            SlotUpstream &upstream = allocator.upstreams[id];
            upstream.limit = info.connectionLimit;
            upstream.limitKnown = true;
            upstream.owners = info.poolOwners;
        }
    }
    allocator.awaitsLimits = false;
    std::erase_if(allocator.upstreams, [](const auto &item) {
        const SlotUpstream &u = item.second;
        return u.limit == 0 && u.leasedConnections == 0 && u.neededConnections == 0
            && u.servingNodes == 0;
    });
}

std::uint32_t reportedConnections(const SlotAllocator &allocator, const UpstreamId &upstream)
{
    std::uint32_t open = 0;
    for (const auto &[id, node] : allocator.nodes) {
        const auto lease = node.leases.find(upstream);
        open += lease == node.leases.end() ? 0 : lease->second.openConnections;
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
        releaseLeases(allocator, it->second, now);
        it = allocator.nodes.erase(it);
    }
    allocator.nextExpiryScan = now + kExpiryScanInterval;
}

SlotGrant onSlotReport(SlotAllocator &allocator, const SlotReport &report, TimePoint now)
{
    if (now >= allocator.nextExpiryScan)
        expireSlotLeases(allocator, now);
    SlotGrant grant;
    SlotNode *node = acceptReport(allocator, report.stamp, now);
    // A node that has applied a grant of a later controller ignores grants of this one, so its
    // acknowledgement says nothing about the grants counted here.
    if (node == nullptr || report.stamp.appliedGrant >= allocator.nextGrant)
        return grant;
    const bool mayGrant = now >= allocator.grantsAllowedFrom && !allocator.awaitsLimits;
    grant.number = allocator.nextGrant;
    grant.renewal = now >= allocator.renewalsAllowedFrom && !mayGrant;
    std::map<UpstreamId, const SlotDemand *> demands;
    for (const SlotDemand &demand : report.demands) {
        // A former owner may still have connections open without a share of them.
        if (allocator.upstreams.contains(demand.upstream)
            || (grant.renewal && demand.connectionsHeld + demand.connectionsOpen > 0)) {
            node->leases.try_emplace(demand.upstream);
            demands.insert_or_assign(demand.upstream, &demand);
        }
    }
    for (auto it = node->leases.begin(); it != node->leases.end();) {
        auto &[id, lease] = *it;
        SlotUpstream &upstream = allocator.upstreams[id];
        const auto found = demands.find(id);
        const SlotDemand *demand = found == demands.end() ? nullptr : found->second;
        accountForReport(upstream, lease, demand, report.stamp.appliedGrant, now);
        if (mayGrant)
            grant.shares.push_back(
                grantShare(allocator, upstream, lease, id, report.stamp.node, now));
        else if (grant.renewal && demand != nullptr && demand->connectionsHeld > 0)
            grant.shares.push_back(renewShare(allocator, upstream, lease, *demand, now));
        it = canBeErased(lease) ? node->leases.erase(it) : std::next(it);
    }
    allocator.nextGrant = allocator.nextGrant.next();
    return grant;
}

} // namespace shallotlever
