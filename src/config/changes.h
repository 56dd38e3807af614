#pragma once

#include <string>

#include <absl/status/statusor.h>

#include "shallotlever/types/config.h"

namespace shallotlever {

/// Whether the change may be applied to the configuration, given the version that it is based on.
/// An order to evacuate a data centre, or to end that, competes only with the opposite order about
/// the same one: a later order must not be undone by an earlier one that was delayed, and nothing
/// else makes it fail.
bool isCurrent(const ClusterConfig &config, const OperatorChange &change);

/// Validates and applies one operation. Returns its description for the decision log, or
/// InvalidArgument with the name of the invalid field; the configuration is then unchanged.
absl::StatusOr<std::string> applyChange(ClusterConfig &config, const Change &change);

/// Validates and applies a decision of the controller, with the same kinds of result.
absl::StatusOr<std::string> applyDecision(ClusterState &state, const GroupDecision &decision);

} // namespace shallotlever
