#pragma once

#include "shallotlever/controller/controller.h"

/// Recovery of the fleet view from the nodes. The view is not stored: a controller continues from
/// the one that its own process received as a node, which is empty if all control members
/// restarted. Nodes still hold the view of the predecessor.
namespace shallotlever {

/// A node that was asked for its view is not asked again for this long, nor is another one with the
/// same view. Several round trips between regions.
constexpr Duration kFleetViewRequestTimeout = 300ms;

/// Whether the node has a newer fleet view than the one that the controller inherited and has not
/// replaced yet. Such a node may know upstreams that the controller does not know.
bool hasNewerView(const ControllerState &controller, const NodeReport &report);

/// Adopts the view that the report carries if it is newer. The controller then continues as if it
/// had inherited that view. Returns whether it was adopted.
bool adoptReportedView(ControllerState &controller, const NodeReport &report, TimePoint now);

/// Returns whether the answer to the report should ask for the node's view, and records that it
/// does.
bool shouldRequestView(ControllerState &controller, const NodeReport &report, TimePoint now);

} // namespace shallotlever
