#pragma once

#include <cstddef>
#include <deque>
#include <map>
#include <string>
#include <vector>

#include "shallotlever/fleet/freshness.h"
#include "shallotlever/fleet/messages.h"

/// Incremental distribution of configuration and fleet state to nodes and relays, and aggregation
/// of reports and leases by a relay.
namespace shallotlever {

/// Configuration changes kept for incremental updates; a node that is further behind receives the
/// full state. Covers half a day at 1,800 changes a day.
constexpr std::size_t kMaxLoggedConfigChanges = 1024;
/// Fleet steps kept for incremental updates.
constexpr std::size_t kMaxLoggedFleetSteps = 1024;

/// Recent configuration changes, encoded by the `config` library.
struct ConfigLog
{
    ConfigVersion version;
    /// Encoded ClusterConfig at `version`.
    std::string full;
    /// Changes up to `version`, the last one being `version` itself.
    std::deque<std::string> changes;
};
/// Replaces the content of the log, at start-up and after installing a snapshot.
void resetConfigLog(ConfigLog &log, ConfigVersion version, std::string full);
/// Appends the change that leads to version log.version + 1. `full` is the encoded state after it.
void appendConfigChange(ConfigLog &log, std::string change, std::string full);
ConfigUpdate configUpdateSince(const ConfigLog &log, ConfigVersion applied);

/// The current fleet state and the recent steps that led to it.
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
/// Publishes the state `next` computed by the controller of `controlTerm`. Returns false if nothing
/// changed. A new controller continues the log of its own node, so that nodes that are up to date
/// need no full state after a change of controller.
bool publishFleet(FleetLog &log, const FleetState &next, ControlTerm controlTerm);
FleetUpdate fleetUpdateSince(const FleetLog &log, const FleetVersion &applied);
/// Applies an update from a lease that acceptLease() has accepted.
void applyFleetUpdate(FleetLog &log, const FleetUpdate &update);

/// Versioned shares of one node.
struct ShareSet
{
    std::uint64_t version = 0;
    /// See NodeLease::sharesRenewed.
    bool renewed = false;
    /// See NodeLease::connectionsRenewed.
    bool connectionsRenewed = false;
    std::vector<RateShare> rates;
    std::vector<SlotShare> slots;
};
/// Returns empty shares. The control term forms the high bits of the version, so that two
/// controllers never use the same version for different shares.
ShareSet makeShareSet(ControlTerm controlTerm);
/// Replaces the shares and increments the version if they differ.
void updateShares(ShareSet &shares, std::vector<RateShare> rates, std::vector<SlotShare> slots);

/// Returns the individual reports of an aggregated report; the relay's own comes first.
std::vector<const NodeReport *> flattenReport(const NodeReport &report);

/// Contents that all leases of one controller share.
struct LeaseSource
{
    ControlTerm controlTerm;
    LogIndex logIndex;
    const ConfigLog *config = nullptr;
    const FleetLog *fleet = nullptr;
};
/// Returns the lease that answers `report`. The caller must have recorded it with grantLease().
NodeLease makeLease(const NodeReport &report, const LeaseSource &source, const ShareSet &shares,
                    bool wantsAllObservations);
/// Returns the lease of a node behind a relay, without configuration and fleet, which the relay
/// adds.
NodeLease makeRelayedLease(const NodeReport &report, const ShareSet &shares,
                           bool wantsAllObservations);

/// State of a relay, in addition to the configuration and fleet logs it keeps as a node.
struct RelayState
{
    struct Waiting
    {
        NodeReport report;
        TimePoint receivedAt;
    };
    /// Reports not yet forwarded, at most one per node: later reports are merged into it.
    std::map<NodeId, Waiting> waiting;
    /// Header fields of the last report of each node, needed to complete its lease.
    std::map<NodeId, NodeReport> latest;
};
/// Queues a node's report. If a report of the node is already waiting, the two are merged:
/// announcements and observations accumulate, everything else is replaced.
void relayReport(RelayState &relay, NodeReport report, TimePoint now);
/// Upper bound, in bytes, of what a node's report adds to the relay's report and of what the reply
/// to it adds to the relay's lease.
std::size_t relayedBytesUpperBound(const NodeReport &report);
/// Moves waiting reports, longest waiting first, into the relay's own report until their size bound
/// would exceed `maxBytes`; moves at least one. The others wait for the next call.
void flushRelay(RelayState &relay, NodeReport &own, TimePoint now, std::size_t maxBytes);
/// Splits the controller's answer into leases for the relay's nodes. Call after the relay has
/// applied the answer itself. Only nodes that the controller answered receive a lease.
std::vector<NodeLease> relayLeases(RelayState &relay, const NodeLease &answer,
                                   const LeaseSource &source);

} // namespace shallotlever
