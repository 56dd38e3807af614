#pragma once

#include "shallotlever/controller/controller.h"

namespace shallotlever {

using AnnouncedUpstreams = std::map<ServiceId, std::map<UpstreamId, RegistryEntry>>;
/// Known upstreams by service. One pass for all groups: a search per group costs groups times
/// upstreams.
AnnouncedUpstreams announcedUpstreams(const Registry &registry);

/// Advances the change of primary, the voting set and the status queries of one group.
/// `announced` are the group's known upstreams.
void advanceGroup(ControllerState &controller, const ClusterState &cluster,
                  const ServiceId &service, std::map<UpstreamId, RegistryEntry> announced,
                  ControllerActions &actions, TimePoint now);

/// Notes since when every live node has applied a view with the group's current term and voting
/// set.
void noteViewsInForce(ControllerState &controller, TimePoint now);

} // namespace shallotlever
