#pragma once

#include "shallotlever/controller/controller.h"

namespace shallotlever {

/// Advances the change of primary, the voting set and the status queries of one group.
void advanceGroup(ControllerState &controller, const ClusterState &cluster,
                  const ServiceId &service, ControllerActions &actions, TimePoint now);

/// Notes since when every live node has applied a view with the group's current term and voting
/// set.
void noteViewsInForce(ControllerState &controller, TimePoint now);

} // namespace shallotlever
