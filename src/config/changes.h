#pragma once

#include <string>

#include <absl/status/statusor.h>

#include "shallotlever/types/config.h"

namespace shallotlever {

/// Validates and applies one operation. Returns its description for the decision log, or
/// InvalidArgument with the name of the invalid field; the configuration is then unchanged.
absl::StatusOr<std::string> applyChange(ClusterConfig &config, const Change &change);

/// Validates and applies a decision of the controller, with the same kinds of result.
absl::StatusOr<std::string> applyDecision(ClusterState &state, const GroupDecision &decision);

} // namespace shallotlever
