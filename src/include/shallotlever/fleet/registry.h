#pragma once

#include <map>
#include <optional>
#include <set>
#include <vector>

#include "shallotlever/fleet/messages.h"
#include "shallotlever/types/config.h"

/// Which upstreams exist and which of them are reachable, as the controller knows it.
namespace shallotlever {

/// An upstream renews every second.
constexpr Duration kAnnouncementLease = 2s;
/// An upstream that most observers reach stays Live this long after its lease ran out, because
/// one lost renewal of a healthy primary must not start a change of primary.
constexpr Duration kReachableGrace = 4s;
/// Observations of a node that has been silent this long are ignored.
constexpr Duration kObservationLifetime = 2s;
/// A silent upstream is removed from the fleet view after this time.
constexpr Duration kForgetUpstreamAfter = 600s;

/// One known upstream.
struct RegistryEntry
{
    /// Last announcement accepted.
    Announcement announcement;
    /// When a node received it, by the controller's clock.
    TimePoint heardAt;
    UpstreamState state = UpstreamState::Live;
    TimePoint stateSince;
    /// Taken over from the controller's own node view; its role and point are not known.
    bool seeded = false;
    /// A later process announces another upstream from the same endpoint, so this one has ended.
    /// Nodes do not see it any more; it still counts as a member that may hold acknowledged
    /// commits.
    bool replaced = false;
};

/// What one node observes.
struct Observer
{
    Incarnation incarnation;
    std::uint64_t report = 0;
    TimePoint sentAt;
    /// False while a report cannot be connected with what is held; then its votes do not count.
    bool complete = false;
    /// Upstream to reachable.
    std::map<UpstreamId, bool> reaches;
};

/// The same upstream id announced from two endpoints at the same time.
struct AnnouncementConflict
{
    UpstreamId upstream;
    Endpoint holder;
    Endpoint refused;
};

struct Registry
{
    std::map<UpstreamId, RegistryEntry> entries;
    std::map<NodeId, Observer> observers;
    /// Nodes that observe an upstream, kept in step with `observers`.
    std::map<UpstreamId, std::set<NodeId>> observedBy;
    /// Nodes that fail to reach an upstream, kept in step with `observers`.
    std::map<UpstreamId, std::set<NodeId>> failedBy;
    std::set<UpstreamId> drained;
    /// Last lifetime of upstreams that have ended; announcements of it that arrive late count for
    /// nothing.
    std::map<UpstreamId, Incarnation> ended;
    /// Grows with every change that makeFleetState() would show.
    std::uint64_t revision = 0;
};

/// Result of an announcement.
enum class AnnouncementVerdict {
    Accepted,
    /// Received before the announcement that is held; ignored.
    Outdated,
    /// Another endpoint holds the id with a live lease; ignored until that lease runs out.
    Conflict,
};

/// Starts a new controller with the view of its own node, so that it never publishes an empty
/// fleet. Seeded upstreams get one lease from `now`.
Registry seedRegistry(const FleetState &state, TimePoint now);

AnnouncementVerdict applyAnnouncement(Registry &registry, const HeardAnnouncement &heard,
                                      TimePoint receivedAt, TimePoint now);

/// Result of applyReport.
struct ReportResult
{
    std::vector<AnnouncementConflict> conflicts;
    /// The node's next report must contain all observations.
    bool wantsAllObservations = false;
};
/// Applies announcements and observations of one node; nested reports are ignored here (see
/// flattenReport in distribution.h). Reports that arrive out of order are ignored.
ReportResult applyReport(Registry &registry, const NodeReport &report, TimePoint now);

void setDrained(Registry &registry, const UpstreamId &upstream, bool drained);

/// Whether a sufficient number of observers fails to reach the upstream.
///
/// A majority of its observers and at least two must fail; one is enough where only one node
/// observes it. A node is left out of the count while most of the upstreams it fails to reach
/// are reached by most of their other observers: its own link is at fault.
bool observedDown(const Registry &registry, const UpstreamId &upstream, TimePoint now);

/// An upstream whose state changed.
struct StateChange
{
    UpstreamId upstream;
    UpstreamState before = UpstreamState::Live;
    /// nullopt: forgotten.
    std::optional<UpstreamState> after;
};
/// Re-evaluates every upstream. Call after reports and at least every 100 ms.
std::vector<StateChange> advanceRegistry(Registry &registry, TimePoint now);

/// The fleet as nodes should see it. Costs time in proportion to the fleet, so call it only when
/// `revision` or the cluster state has changed. Upstreams of services that are not configured are
/// left out.
FleetState makeFleetState(const Registry &registry, const ClusterState &cluster);

} // namespace shallotlever
