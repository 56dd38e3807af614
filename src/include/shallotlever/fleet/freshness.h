#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <vector>

#include "shallotlever/fleet/messages.h"

/// Freshness leases: the node's side and the controller's table of holders.
namespace shallotlever {

/// Counted from the time the node sent the report that is answered.
constexpr Duration kFreshnessLease = 2s;
/// Covers clocks that run at different speeds: 5% of the lease. The node counts from its own
/// sending, which precedes the controller's receipt, so the reply's travel time needs no margin.
constexpr Duration kLeaseMargin = 100ms;
/// Reports that a lease can still answer. At two reports a second this covers 16 s.
constexpr std::size_t kReportsRemembered = 32;

/// A node's lease and what it has applied.
struct NodeFreshness
{
    Incarnation incarnation;
    std::uint64_t lastReport = 0;
    /// Report answered by the last lease applied; answers to earlier ones come too late.
    std::uint64_t lastAnswered = 0;
    /// When recent reports were sent, by number.
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
    /// Meant for another node process.
    OtherIncarnation,
    /// Answers no report that is remembered, so its age is not known.
    UnknownReport,
    /// From a controller that has been replaced, or reordered behind a later state.
    Outdated,
    /// Its differences start from a state the node does not have.
    WrongBase,
    /// Its time had passed when it arrived.
    Expired,
};

/// Label of the metric of refused leases.
const char *leaseVerdictName(LeaseVerdict verdict);

/// Numbers the next report and notes when it was sent.
std::uint64_t noteReportSent(NodeFreshness &node, TimePoint now);
/// Checks a lease and, if it is good, moves the lease end and the applied versions forward; then
/// the caller must apply lease.config and lease.fleet. Both may begin with changes that are applied
/// already: the caller skips those of the configuration by version; those of the fleet may be
/// repeated. Shares are replaced unless lease.sharesUnchanged.
/// Never moves any of them backward. State in memory is enough across a restart: a new incarnation
/// accepts only answers to its own reports, and a controller answers only while it holds the leader
/// lease, so its state is at least as recent as any state that the previous incarnation applied.
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
    /// Until then the predecessor's leases may be live, and their holders are not known.
    TimePoint predecessorUntil;
    std::map<HolderId, LeaseHolder> holders;
};

/// Table of a controller that took office at `now`. `now` must not be before the end of the
/// predecessor's leader lease.
LeaseTable makeLeaseTable(TimePoint now);
/// Records a lease granted in answer to `report`, received at `now`. Returns false for a report
/// that arrived out of order, which must not be answered.
bool grantLease(LeaseTable &table, const NodeReport &report, TimePoint now);
/// Removes holders whose lease has ended.
void expireLeases(LeaseTable &table, TimePoint now);

/// Whether a change holds at every node that could act on its view.
struct InForce
{
    bool inForce = false;
    /// The predecessor's leases have not ended yet.
    bool waitsForPredecessor = false;
    /// Live holders that have not applied it.
    std::vector<NodeId> outstanding;
};
InForce configInForce(const LeaseTable &table, ConfigVersion version, TimePoint now);
InForce fleetInForce(const LeaseTable &table, const FleetVersion &version, TimePoint now);

} // namespace shallotlever
