#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <vector>

#include "shallotlever/fleet/messages.h"

/// Freshness leases: acceptance by nodes, and the controller's table of lease holders.
namespace shallotlever {

/// Duration of a lease, counted from the time the node sent the report that the lease answers.
constexpr Duration kFreshnessLease = 2s;
/// Allowance for clock drift between controller and node: 5% of the lease. Network delay needs no
/// margin, as the node counts from sending its report, before the controller receives it.
constexpr Duration kLeaseMargin = 100ms;
/// Sent reports that a lease may still answer. Covers 16 s at two reports a second.
constexpr std::size_t kMaxTrackedReports = 32;

/// A node's lease and the versions it has applied.
struct NodeFreshness
{
    Incarnation incarnation;
    std::uint64_t lastReport = 0;
    /// Report answered by the last lease applied; answers to earlier reports are outdated.
    std::uint64_t lastAnswered = 0;
    /// When recent reports were sent, by report number.
    std::map<std::uint64_t, TimePoint> sentAt;
    TimePoint leaseUntil;
    ControlTerm controlTerm;
    LogIndex logIndex;
    ConfigVersion appliedConfig;
    FleetVersion appliedFleet;
    std::uint64_t appliedShares = 0;
};

enum class LeaseVerdict {
    Applied,
    /// Addressed to another process of this node.
    OtherIncarnation,
    /// Answers a report that is no longer tracked, so the lease's age is not known.
    UnknownReport,
    /// From a former controller, or delivered after a lease with a later state.
    Outdated,
    /// Incremental update from a state that the node does not have.
    WrongBase,
    /// Expired before it arrived.
    Expired,
};

/// Value of the label in the metric of refused leases.
const char *leaseVerdictName(LeaseVerdict verdict);

/// Assigns a number to the next report and records when it was sent.
std::uint64_t noteReportSent(NodeFreshness &node, TimePoint now);
/// Validates a lease and, if it is valid, advances the lease end and the applied versions. The
/// caller must then apply lease.config and lease.fleet, and replace its shares unless
/// lease.sharesUnchanged. Both updates may begin with changes that are already applied: the caller
/// skips those of the configuration by version; those of the fleet may be applied again.
///
/// Neither the lease end nor a version ever moves backward. This state need not survive a restart:
/// a new incarnation accepts only answers to its own reports, and a controller answers only while
/// it holds the leader lease, so its state is at least as recent as any that the previous
/// incarnation applied.
LeaseVerdict acceptLease(NodeFreshness &node, const NodeLease &lease, TimePoint now);
inline bool isFresh(const NodeFreshness &node, TimePoint now)
{
    return now < node.leaseUntil;
}

/// A node process that may hold a lease.
struct LeaseHolder
{
    std::uint64_t report = 0;
    /// Upper bound of the end of its lease, by the controller's clock.
    TimePoint until;
    ConfigVersion appliedConfig;
    FleetVersion appliedFleet;
};

using HolderId = std::pair<NodeId, Incarnation>;

/// Leases granted by this controller.
struct LeaseTable
{
    /// Until then leases granted by the previous controller may be live; their holders are unknown.
    TimePoint predecessorLeasesUntil;
    std::map<HolderId, LeaseHolder> holders;
};

/// Returns the table of a controller elected at `now`, which must not be before the end of the
/// previous controller's leader lease.
LeaseTable makeLeaseTable(TimePoint now);
/// Records a lease granted in answer to `report`, received at `now`. Returns false for a report
/// that arrived out of order, which must not be answered.
bool grantLease(LeaseTable &table, const NodeReport &report, TimePoint now);
/// Removes holders whose lease has expired.
void expireLeases(LeaseTable &table, TimePoint now);

/// Whether every node with a live lease has applied a change.
struct InForce
{
    bool inForce = false;
    /// Leases of the previous controller may still be live.
    bool waitsForPredecessor = false;
    /// Nodes with a live lease that have not applied the change.
    std::vector<NodeId> outstanding;
};
InForce configInForce(const LeaseTable &table, ConfigVersion version, TimePoint now);
InForce fleetInForce(const LeaseTable &table, const FleetVersion &version, TimePoint now);

} // namespace shallotlever
