#pragma once

#include <map>
#include <optional>
#include <set>
#include <vector>

#include "shallotlever/fleet/messages.h"
#include "shallotlever/types/config.h"

/// The controller's registry of upstreams and of their reachability.
namespace shallotlever {

/// Lease granted by an announcement. Upstreams renew it every second.
constexpr Duration kAnnouncementLease = 2s;
/// An upstream that most observers reach stays Live for this long after its lease expired, because
/// a single lost renewal of a healthy primary must not trigger a failover.
constexpr Duration kReachableGrace = 4s;
/// Observations of a node are ignored when it has sent no report for this long.
constexpr Duration kObservationLifetime = 2s;
/// An upstream is removed from the fleet view when it has not announced itself for this long.
constexpr Duration kUpstreamRemovalTimeout = 600s;

/// Whether a process holds the endpoint that it announced (endpoint_claim.h).
enum class EndpointHold : std::uint8_t {
    Held,
    /// A later process announces another upstream there. The fleet view no longer contains this
    /// one, but it remains a member that may confirm commits.
    Claimed,
    /// The later process answers there, so this one has ended.
    Lost,
};

/// One known upstream.
struct RegistryEntry
{
    /// Last announcement accepted.
    Announcement announcement;
    /// When a node received the announcement, by the controller's clock.
    TimePoint receivedAt;
    UpstreamState state = UpstreamState::Live;
    TimePoint stateSince;
    /// Taken over from the fleet view of the controller's own node; role and log position are not
    /// known until the upstream announces itself.
    bool seeded = false;
    EndpointHold hold = EndpointHold::Held;
    /// When the claim was heard of, by the controller's clock.
    TimePoint claimedAt;
};

/// Observations of one node.
struct Observer
{
    Incarnation incarnation;
    std::uint64_t report = 0;
    TimePoint sentAt;
    /// False after a gap in the reported differences; the observations are then not counted.
    bool complete = false;
    /// Whether the node reaches each upstream it observes.
    std::map<UpstreamId, bool> reachability;
};

/// The same upstream id is announced from two endpoints at the same time.
struct AnnouncementConflict
{
    UpstreamId upstream;
    Endpoint holder;
    Endpoint refused;
};

/// For the log: what was heard of a process that may not be what it says.
struct RegistryEvent
{
    enum class Kind : std::uint8_t {
        /// `claimant` announces the endpoint of `process`.
        EndpointClaimed,
        ClaimRefuted,
        EndpointLost,
        /// An announcement of `process` was ignored because its service is not configured.
        UnknownService,
    };
    Kind kind = Kind::EndpointClaimed;
    MemberId process;
    MemberId claimant;
};

/// Maximum number of upstreams whose ignored announcements are remembered, so that each is logged
/// once.
constexpr std::size_t kMaxIgnoredUpstreams = 200;

struct Registry
{
    /// The services of the configuration. Announcements for any other one are ignored.
    std::set<ServiceId> services;
    std::map<UpstreamId, RegistryEntry> entries;
    std::map<NodeId, Observer> observers;
    /// Index of `observers`: nodes that observe an upstream.
    std::map<UpstreamId, std::set<NodeId>> observedBy;
    /// Index of `observers`: nodes that fail to reach an upstream.
    std::map<UpstreamId, std::set<NodeId>> failedBy;
    std::set<UpstreamId> drained;
    /// Data centres whose upstreams are treated as drained, also those that announce themselves
    /// later.
    std::set<DataCentreId> evacuated;
    /// Last lifetime of upstreams that sent a final announcement. Delayed announcements of this or
    /// an earlier lifetime are ignored.
    std::map<UpstreamId, Incarnation> endedLifetimes;
    /// Endpoints of entries whose hold is Claimed.
    std::set<Endpoint> contested;
    /// Upstreams whose announcements were ignored since the services changed.
    std::set<UpstreamId> ignored;
    /// Taken out by the controller.
    std::vector<RegistryEvent> events;
    /// Increases with every change that affects makeFleetState().
    std::uint64_t revision = 0;
};

/// Result of an announcement.
enum class AnnouncementVerdict {
    Accepted,
    /// Superseded by a later announcement or by the end of the process; ignored.
    Outdated,
    /// Another endpoint holds the id under an active lease; ignored until that lease expires.
    Conflict,
    /// The service is not configured. The message may come from any sender, so nothing of it is
    /// kept: a database announces itself again when its service may have been configured.
    UnknownService,
};

/// Returns the initial registry of a new controller, taken from the fleet view of its own node so
/// that it never publishes an empty fleet. Each upstream receives a lease that starts at `now`.
/// The upstreams of `evacuated` data centres are Leaving for that reason; whether they have
/// announced that they leave is not known.
Registry seedRegistry(const FleetState &state, const std::set<DataCentreId> &evacuated,
                      TimePoint now);

AnnouncementVerdict applyAnnouncement(Registry &registry, const HeardAnnouncement &heard,
                                      TimePoint receivedAt, TimePoint now);

/// Result of applyReport().
struct ReportResult
{
    std::vector<AnnouncementConflict> conflicts;
    /// The node's next report must contain all observations.
    bool wantsAllObservations = false;
};
/// Applies the announcements and observations of one node. Nested reports are not applied (see
/// flattenReport() in distribution.h). Observations of reports that arrive out of order are
/// ignored.
ReportResult applyReport(Registry &registry, const NodeReport &report, TimePoint now);

void setDrained(Registry &registry, const UpstreamId &upstream, bool drained);
/// Takes over which services are configured.
void setServices(Registry &registry, const ClusterConfig &config);
void setEvacuated(Registry &registry, std::set<DataCentreId> evacuated);

/// Returns whether enough observers fail to reach the upstream to consider it down.
///
/// A majority of its observers, and at least two, must fail to reach it; one is enough if only one
/// node observes it. A node is not counted while most of the upstreams that it fails to reach are
/// reached by most of their other observers, as its own network link is then at fault.
bool observedDown(const Registry &registry, const UpstreamId &upstream, TimePoint now);

/// An upstream whose state changed.
struct StateChange
{
    UpstreamId upstream;
    UpstreamState before = UpstreamState::Live;
    /// nullopt if the upstream was removed.
    std::optional<UpstreamState> after;
};
/// Re-evaluates the state of every upstream. Call after reports and at least every 100 ms.
std::vector<StateChange> advanceRegistry(Registry &registry, TimePoint now);

/// Builds the fleet state to publish to nodes. Takes time proportional to the size of the fleet, so
/// call it only when `revision` or the cluster state has changed. Upstreams of services that are
/// not configured are omitted.
FleetState makeFleetState(const Registry &registry, const ClusterState &cluster);

} // namespace shallotlever
