#pragma once

#include <string>

#include "deployment.h"
#include "fault_plan.h"

namespace shallotlever::soak {

/// Injects the fault. Returns a JSON line that names it and what it hit.
std::string inject(const Fault &fault, const SoakOptions &options, Deployment &deployment);

} // namespace shallotlever::soak
