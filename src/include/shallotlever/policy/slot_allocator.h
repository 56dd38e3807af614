#pragma once

#include <map>
#include <utility>
#include <vector>

#include "shallotlever/policy/share_lease.h"
#include "shallotlever/types/fleet.h"
#include "shallotlever/types/shares.h"

/// Leases connections of each upstream to nodes, at the controller. The sum over live leases never
/// exceeds the upstream's connection limit minus connectionReserve(). A node whose lease expired
/// closes all but one connection per upstream; the reserve covers that one, which keeps open
/// routes served.
namespace shallotlever {

struct SlotAllocatorFaults
{
    /// Counts a reduced share as free before the node reported fewer open connections.
    bool shrinkWithoutReport = false;
    bool skipPredecessorWait = false;
    /// Renews shares while the predecessor may still grant them to others.
    bool renewTooEarly = false;
};

struct SlotEntry
{
    GrantNumber grant;
    std::uint32_t connections = 0;
    TimePoint expires;
};

/// One upstream on one node incarnation.
struct SlotHolding
{
    std::vector<SlotEntry> entries;
    /// Open connections last reported, counted until openExpires.
    std::uint32_t open = 0;
    TimePoint openExpires;
    /// max(entries, open), counted in the upstream's sum.
    std::uint32_t held = 0;
    /// Busy and waiting last reported.
    std::uint32_t need = 0;
    bool serving = false;
};

struct SlotUpstream
{
    std::uint32_t limit = 0;
    std::uint32_t held = 0;
    std::uint64_t need = 0;
    std::uint32_t nodes = 0;
};

struct SlotNode
{
    std::uint64_t reportSequence = 0;
    TimePoint expires;
    std::map<UpstreamId, SlotHolding> holdings;
};

struct SlotAllocator
{
    GrantNumber nextGrant;
    /// From this time shares in force are renewed, as no earlier controller can change them.
    TimePoint renewsFrom;
    /// No other share is granted before this time.
    TimePoint grantsFrom;
    std::map<UpstreamId, SlotUpstream> upstreams;
    std::map<std::pair<NodeId, Incarnation>, SlotNode> nodes;
    TimePoint nextExpiryScan;
    SlotAllocatorFaults faults;
};

struct SlotReport
{
    ReportStamp stamp;
    /// Every upstream that the node serves or has connections to.
    std::vector<SlotDemand> demands;
};

struct SlotGrant
{
    GrantNumber number;
    /// The shares only extend those in force: the node takes the smaller of each value, and nothing
    /// if its share has expired.
    bool renewal = false;
    std::vector<SlotShare> shares;
};

/// Connections of an upstream that are never leased: operators, replication and nodes whose lease
/// has expired use them.
std::uint32_t connectionReserve(std::uint32_t connectionLimit);

SlotAllocator makeSlotAllocator(ControlTerm term, TimePoint predecessorGone,
                                SlotAllocatorFaults faults = {});

/// Takes over the connection limits of the upstreams; those not listed are not leased any more.
void applyUpstreamLimits(SlotAllocator &allocator, const FleetView &fleet);

/// Accounts for a report and computes the node's new shares. O(upstreams of this node).
SlotGrant onSlotReport(SlotAllocator &allocator, const SlotReport &report, TimePoint now);

/// Open connections to the upstream by the last reports of nodes.
std::uint32_t reportedConnections(const SlotAllocator &allocator, const UpstreamId &upstream);

void expireSlotLeases(SlotAllocator &allocator, TimePoint now);

} // namespace shallotlever
