#pragma once

#include "shallotlever/controller/controller.h"

namespace shallotlever {

using AnnouncedUpstreams = std::map<ServiceId, std::map<UpstreamId, RegistryEntry>>;
/// Returns the known upstreams by service. One pass serves all groups, because a search per group
/// would take time proportional to the number of groups times the number of upstreams.
AnnouncedUpstreams announcedUpstreams(const Registry &registry);

/// Advances the primary change, the voting set and the status queries of one group. `announced`
/// contains the known upstreams of the group.
void advanceGroup(ControllerState &controller, const ClusterState &cluster,
                  const ServiceId &service, std::map<UpstreamId, RegistryEntry> announced,
                  ControllerActions &actions, TimePoint now);

/// Marks the groups whose primary is being replaced as planned.
void markSwitchovers(const ControllerState &controller, FleetView &fleet);

/// Updates, for each group, the time since when every node that holds a lease has applied a view
/// with the group's current term, voting set, primary and kind of change.
void updateViewsInForce(ControllerState &controller, TimePoint now);

} // namespace shallotlever
