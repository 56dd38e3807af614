#pragma once

#include <map>
#include <utility>
#include <vector>

#include "shallotlever/policy/share_lease.h"
#include "shallotlever/types/fleet.h"
#include "shallotlever/types/shares.h"

/// Controller side of connection limiting: leases shares of each upstream's connections to nodes.
/// The sum over unexpired leases never exceeds the upstream's connection limit minus
/// connectionReserve(). A node whose lease has expired closes all but one connection per upstream.
/// The reserve covers that connection, so that open routes are still served.
namespace shallotlever {

struct SlotAllocatorFaults
{
    /// Treats the connections of a reduced share as free before the node has reported fewer open
    /// connections.
    bool freeBeforeConfirmation = false;
    bool skipPredecessorWait = false;
    /// Renews shares while the predecessor may still grant them to other nodes.
    bool renewTooEarly = false;
};

struct OutstandingSlotGrant
{
    GrantNumber grant;
    std::uint32_t connections = 0;
    TimePoint expires;
};

/// Leased connections of one upstream at one node incarnation.
struct SlotLease
{
    std::vector<OutstandingSlotGrant> outstandingGrants;
    /// Last reported number of open connections; counted until openConnectionsExpire.
    std::uint32_t openConnections = 0;
    TimePoint openConnectionsExpire;
    /// Maximum of outstandingGrants and openConnections; included in the upstream's total.
    std::uint32_t leasedConnections = 0;
    /// Busy connections plus waiting requests in the last report.
    std::uint32_t neededConnections = 0;
    bool serving = false;
};

struct SlotUpstream
{
    std::uint32_t limit = 0;
    /// False if only reports named the upstream: its limit is not known yet.
    bool limitKnown = false;
    std::uint32_t leasedConnections = 0;
    std::uint64_t neededConnections = 0;
    std::uint32_t servingNodes = 0;
    /// If not empty, only these nodes get connections, the first one most of them.
    std::vector<NodeId> owners;
};

struct SlotNode
{
    std::uint64_t reportSequence = 0;
    TimePoint expires;
    std::map<UpstreamId, SlotLease> leases;
};

struct SlotAllocator
{
    GrantNumber nextGrant;
    /// Shares in force are renewed from this time on: no earlier controller can change them any
    /// more.
    TimePoint renewalsAllowedFrom;
    /// New or changed shares are granted from this time on.
    TimePoint grantsAllowedFrom;
    /// The limits are not known yet, or not those of all upstreams: shares in force are renewed, as
    /// their sum was within the limits of the predecessor, and no others are granted. Cleared by
    /// applyUpstreamLimits().
    bool awaitsLimits = false;
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
    /// The shares only extend those in force: the node applies the minimum of the current and the
    /// granted values, and ignores the grant if its share has expired.
    bool renewal = false;
    std::vector<SlotShare> shares;
};

/// Part of the leasable connections that the standby owner gets (pool_owner.h), so that it can
/// serve at once when the active owner fails, before that one's lease has expired.
std::uint32_t standbyConnections(std::uint32_t leasableConnections);

/// Connections of an upstream that are never leased. They are left for operators, replication and
/// nodes whose lease has expired.
std::uint32_t connectionReserve(std::uint32_t connectionLimit);

SlotAllocator makeSlotAllocator(ControlTerm term, TimePoint predecessorStopTime,
                                SlotAllocatorFaults faults = {});

/// Applies the connection limits of the upstreams. Connections of upstreams that are not listed are
/// no longer leased.
void applyUpstreamLimits(SlotAllocator &allocator, const FleetView &fleet);

/// Records a report and computes the node's new shares. O(upstreams of this node).
SlotGrant onSlotReport(SlotAllocator &allocator, const SlotReport &report, TimePoint now);

/// Number of open connections to the upstream according to the last reports of all nodes.
std::uint32_t reportedConnections(const SlotAllocator &allocator, const UpstreamId &upstream);

void expireSlotLeases(SlotAllocator &allocator, TimePoint now);

} // namespace shallotlever
