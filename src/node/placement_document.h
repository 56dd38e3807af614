#pragma once

#include <string>

#include "shallotlever/edge/messages.h"
#include "shallotlever/proxy/placement_explanation.h"

namespace shallotlever {

/// JSON document that says where `node` would send a statement now, and why. Times are
/// milliseconds. Contains no key.
std::string placementDocument(const NodeId &node, const ExplainPlacementRequest &request,
                              const PlacementExplanation &explanation);

} // namespace shallotlever
