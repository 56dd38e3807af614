#pragma once

#include <string>

#include "control_group.h"
#include "shallotlever/controller/controller.h"

/// JSON documents for operators.
namespace shallotlever {

/// Configuration, nodes, upstreams and control group. Contains no key hashes.
std::string statusDocument(const ControlGroup &group, const ControllerState &controller,
                           TimePoint now);

/// The decision log, oldest first.
std::string explainDocument(const ReplicatedState &state);

} // namespace shallotlever
