#pragma once

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include <absl/status/statusor.h>

#include "shallotlever/base/ids.h"
#include "shallotlever/base/time.h"
#include "shallotlever/types/fleet.h"
#include "shallotlever/types/shares.h"

/// NodeReport and NodeLease, the messages between nodes, relays and the controller.
namespace shallotlever {

/// Identifies one state of the fleet view. The control term is that of the controller that
/// published the state, so that two controllers never use the same version for different states.
struct FleetVersion
{
    ControlTerm controlTerm;
    std::uint64_t number = 0;
    friend auto operator<=>(const FleetVersion &, const FleetVersion &) = default;
};

/// An announcement that a node received.
struct HeardAnnouncement
{
    Announcement announcement;
    /// Time between receipt of the announcement by the node and sending of the report.
    Duration age { 0 };
    friend bool operator==(const HeardAnnouncement &, const HeardAnnouncement &) = default;
};

/// Whether a node reaches an upstream.
struct Observation
{
    UpstreamId upstream;
    bool reachable = true;
    /// True withdraws an earlier observation: the node no longer probes the upstream.
    bool withdrawn = false;
    friend bool operator==(const Observation &, const Observation &) = default;
};

/// Terms, primary and voting set of a group; creates the group if it is new.
struct PutGroup
{
    ServiceId service;
    Term term;
    std::optional<UpstreamId> primary;
    std::set<UpstreamId> votingSet;
    bool switchover = false;
    friend bool operator==(const PutGroup &, const PutGroup &) = default;
};
struct RemoveGroup
{
    ServiceId service;
    friend bool operator==(const RemoveGroup &, const RemoveGroup &) = default;
};
struct PutUpstream
{
    UpstreamInfo info;
    friend bool operator==(const PutUpstream &, const PutUpstream &) = default;
};
struct RemoveUpstream
{
    ServiceId service;
    UpstreamId upstream;
    friend bool operator==(const RemoveUpstream &, const RemoveUpstream &) = default;
};
/// Whether an operator has drained the upstream.
struct SetDrained
{
    UpstreamId upstream;
    bool drained = false;
    friend bool operator==(const SetDrained &, const SetDrained &) = default;
};
using FleetChange = std::variant<PutGroup, RemoveGroup, PutUpstream, RemoveUpstream, SetDrained>;

/// The fleet view and the upstreams drained by operators. A new controller takes it over from its
/// own node.
struct FleetState
{
    FleetView view;
    std::set<UpstreamId> drained;
    friend bool operator==(const FleetState &, const FleetState &) = default;
};

/// Changes that lead from state `from`, or from the empty state if `full`, to state `to`.
struct FleetUpdate
{
    FleetVersion from;
    FleetVersion to;
    bool full = false;
    std::vector<FleetChange> changes;
    friend bool operator==(const FleetUpdate &, const FleetUpdate &) = default;
};

struct NodeReport
{
    NodeId node;
    Incarnation incarnation;
    /// Increases by one with each report of this incarnation, starting at 1.
    std::uint64_t number = 0;
    /// Time between sending by the node and forwarding by the relay; zero on a direct link.
    /// Clocks of different machines are never compared, so no absolute time is sent.
    Duration age { 0 };
    ConfigVersion appliedConfig;
    FleetVersion appliedFleet;
    /// Share version of the last lease applied; 0 if none.
    std::uint64_t appliedShares = 0;
    /// The node serves no callers: it needs no shares, and a new controller need not wait for its
    /// report.
    bool controlOnly = false;
    DataCentreId dataCentre;
    /// The node is stopping.
    bool leaving = false;
    /// Time since the process started, or 0 if that is longer ago than matters to anyone.
    Duration processAge { 0 };
    /// Digest of the control members that the node knows (see controlMembersDigest); 0 if none.
    std::uint64_t knownMembers = 0;
    std::vector<HeardAnnouncement> announcements;
    /// The node's whole fleet view, at `appliedFleet`, if the last lease asked for it.
    std::optional<FleetUpdate> fleet;
    /// Observations that changed after report `observationsBase`, or all of them if that is 0.
    /// Each report renews the unchanged observations.
    std::vector<Observation> observations;
    std::uint64_t observationsBase = 0;
    /// Teams and upstreams without demand are left out.
    std::vector<TeamDemand> teams;
    std::vector<SlotDemand> slots;
    /// In a relay's report: the reports of the nodes in its data centre. Nested one level only.
    std::vector<NodeReport> nodes;
    friend bool operator==(const NodeReport &, const NodeReport &) = default;
};

/// The configuration as full state or as the changes after version `from`. The content is
/// encoded and decoded by the `config` library.
struct ConfigUpdate
{
    ConfigVersion from;
    ConfigVersion to;
    /// Encoded ClusterConfig at version `to`, sent instead of `changes`.
    std::optional<std::string> full;
    /// Encoded changes, one for each version from `from` + 1 to `to`.
    std::vector<std::string> changes;
    friend bool operator==(const ConfigUpdate &, const ConfigUpdate &) = default;
};

struct NodeLease
{
    /// Node and incarnation whose report the lease answers.
    NodeId node;
    Incarnation incarnation;
    /// Number of that report. The lease starts when the node sent it.
    std::uint64_t report = 0;
    Duration length { 0 };
    ControlTerm controlTerm;
    /// Last log entry applied by the controller.
    LogIndex logIndex;
    ConfigUpdate config;
    FleetUpdate fleet;
    std::uint64_t shareVersion = 0;
    /// The node has already applied this share version, so the shares are omitted.
    bool sharesUnchanged = false;
    /// The shares only renew those in force: the node takes the smaller of its current and the new
    /// value, and nothing if its share has expired. Set by a new controller while leases of the
    /// previous one may be live.
    bool sharesRenewed = false;
    /// The same for `slots` alone. Set by a new controller while it does not know the limits.
    bool connectionsRenewed = false;
    std::vector<RateShare> rates;
    std::vector<SlotShare> slots;
    /// The controller cannot apply the incremental observations: the next report must contain all.
    bool wantsAllObservations = false;
    /// The controller has an older fleet view: the node sends its own at once.
    bool wantsFleetView = false;
    /// In the answer to a relay: the leases of its nodes, without configuration and fleet, which
    /// the relay adds from its own copy.
    std::vector<NodeLease> nodes;
    /// All control members, if the node does not know them yet; otherwise empty.
    std::vector<NodeId> controlMembers;
    friend bool operator==(const NodeLease &, const NodeLease &) = default;
};

/// Identifies a set of control members, whatever their order; never 0 unless there are none.
std::uint64_t controlMembersDigest(const std::vector<NodeId> &members);

std::string encodeNodeReport(const NodeReport &report);
/// Fails on a buffer that is not a well-formed report or nests deeper than one level.
absl::StatusOr<NodeReport> decodeNodeReport(std::string_view bytes);

std::string encodeNodeLease(const NodeLease &lease);
absl::StatusOr<NodeLease> decodeNodeLease(std::string_view bytes);

} // namespace shallotlever
