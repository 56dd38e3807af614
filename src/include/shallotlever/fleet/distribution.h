#pragma once

#include <cstddef>
#include <deque>
#include <map>
#include <string>
#include <vector>

#include "shallotlever/fleet/freshness.h"
#include "shallotlever/fleet/messages.h"

/// Differences of configuration and fleet for nodes and relays, and the relay's logic.
namespace shallotlever {

/// Changes kept for differences; a node further behind gets the full state. At 1,800 changes a
/// day this covers half a day.
constexpr std::size_t kConfigChangesKept = 1024;
/// Fleet steps kept for differences.
constexpr std::size_t kFleetStepsKept = 1024;

/// Recent configuration changes, encoded by the `config` library.
struct ConfigLog
{
    ConfigVersion version;
    /// Encoded ClusterConfig at `version`.
    std::string full;
    /// Changes up to `version`, the last one being `version` itself.
    std::deque<std::string> changes;
};
/// Replaces the content, as at start and after a snapshot.
void resetConfigLog(ConfigLog &log, ConfigVersion version, std::string full);
/// Adds the change that made version log.version + 1. `full` is the state after it.
void appendConfigChange(ConfigLog &log, std::string change, std::string full);
ConfigUpdate configUpdateSince(const ConfigLog &log, ConfigVersion applied);

/// The fleet's current state and the recent steps to it.
struct FleetLog
{
    struct Step
    {
        FleetVersion from;
        FleetVersion to;
        std::vector<FleetChange> changes;
    };
    FleetVersion version;
    FleetState state;
    std::deque<Step> steps;
};
std::vector<FleetChange> diffFleet(const FleetState &before, const FleetState &after);
void applyFleetChange(FleetState &state, const FleetChange &change);
/// Publishes `next`, made by the controller of `controlTerm`. Returns false if nothing changed.
/// A new controller continues from the log of its own node, so that the differences go on.
bool publishFleet(FleetLog &log, const FleetState &next, ControlTerm controlTerm);
FleetUpdate fleetUpdateSince(const FleetLog &log, const FleetVersion &applied);
/// Applies an update received in a lease that acceptLease() accepted.
void applyFleetUpdate(FleetLog &log, const FleetUpdate &update);

/// Shares for one node with their version.
struct ShareSet
{
    std::uint64_t version = 0;
    /// See NodeLease::sharesRenewed.
    bool renewed = false;
    std::vector<RateShare> rates;
    std::vector<SlotShare> slots;
};
/// Empty shares. Versions start from the control term, so that two controllers never give one
/// version to different shares.
ShareSet makeShareSet(ControlTerm controlTerm);
/// Replaces the shares and raises the version if they differ.
void updateShares(ShareSet &shares, std::vector<RateShare> rates, std::vector<SlotShare> slots);

/// Single reports in an aggregated one, with their ages; the relay's own comes first.
std::vector<const NodeReport *> flattenReport(const NodeReport &report);

/// What every lease of one controller has in common.
struct LeaseSource
{
    ControlTerm controlTerm;
    LogIndex logIndex;
    const ConfigLog *config = nullptr;
    const FleetLog *fleet = nullptr;
};
/// Lease in answer to `report`. The caller has granted it in the LeaseTable.
NodeLease makeLease(const NodeReport &report, const LeaseSource &source, const ShareSet &shares,
                    bool wantsAllObservations);
/// Entry for a node behind a relay: no configuration and fleet.
NodeLease makeRelayedLease(const NodeReport &report, const ShareSet &shares,
                           bool wantsAllObservations);

/// A relay's state, beside the configuration and fleet logs it keeps as a node.
struct RelayState
{
    struct Waiting
    {
        NodeReport report;
        TimePoint receivedAt;
    };
    /// Not yet forwarded, at most one per node: later reports are merged into it.
    std::map<NodeId, Waiting> waiting;
    /// Last report seen of each node, to fill in its lease.
    std::map<NodeId, NodeReport> latest;
};
/// Takes a node's report. A report that waits already is merged: announcements and observations
/// are kept, everything else is replaced.
void relayReport(RelayState &relay, NodeReport report, TimePoint now);
/// Upper bound of the bytes that a node's report adds to a relay's report, or the answer to it to
/// the relay's lease, whichever is larger.
std::size_t relayedBytesBound(const NodeReport &report);
/// Moves waiting reports into the relay's own report while their bound is within `maxBytes`, at
/// least one. Those that are left wait for the next call; a report that was left is first then.
void relayFlush(RelayState &relay, NodeReport &own, TimePoint now, std::size_t maxBytes);
/// Splits the controller's answer, after the relay has applied it itself, into leases for its
/// nodes. Only nodes that the controller answered get one.
std::vector<NodeLease> relayLeases(RelayState &relay, const NodeLease &answer,
                                   const LeaseSource &source);

} // namespace shallotlever
