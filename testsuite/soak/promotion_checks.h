#pragma once

#include <string>
#include <vector>

#include "checks.h"

namespace shallotlever::soak {

/// For each service, no call for a promotion arrives at the platform with a lower fence than one
/// before it, and no two holders use the same fence.
Finding judgeFences(const Deployment &deployment);

/// When a promotion takes effect, the log of the promoted database holds all commits that callers
/// have acknowledgements of.
Finding judgePromotedLogs(const Deployment &deployment);

/// At the end of a run, each service has a primary.
Finding judgePrimaries(const Deployment &deployment);

/// One JSON line for each call for a promotion, each promotion that took effect, and each commit
/// that a promotion lost.
std::vector<std::string> describePromotions(const Deployment &deployment);

} // namespace shallotlever::soak
