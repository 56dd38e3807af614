#pragma once

#include <string>
#include <vector>

#include "checks.h"

namespace shallotlever::soak {

/// What databases ran is what callers asked for: no other statement, in no other shape, with no
/// other values of session variables, in no other transaction, for no other team, and no single
/// write twice. Each prepared name that a caller executes is known. A second finding is broken if
/// there was nothing to judge.
std::vector<Finding> judgeStatements(const Deployment &deployment);

/// One JSON line for each of the first statements that broke a rule, for each rule.
std::vector<std::string> describeStatements(const Deployment &deployment);

} // namespace shallotlever::soak
