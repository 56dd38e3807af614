#pragma once

#include <string>

#include <absl/status/statusor.h>

#include "shallotlever/types/config.h"

namespace shallotlever {

/// Applies one operation. Returns its description for the decision log, or InvalidArgument naming
/// the field that is wrong, in which case the configuration is unchanged.
absl::StatusOr<std::string> applyChange(ClusterConfig &config, const Change &change);

/// The same for a decision of the controller.
absl::StatusOr<std::string> applyDecision(ClusterState &state, const GroupDecision &decision);

} // namespace shallotlever
