#pragma once

#include <string>
#include <vector>

#include "deployment.h"
#include "fault_plan.h"

namespace shallotlever::soak {

/// Result of one check.
struct Finding
{
    std::string check;
    bool broken = false;
    /// Figures as the members of a JSON object.
    std::string figures;
};

/// Name of the finding of judgeStart().
constexpr const char *kStartCheck = "start";

/// Whether service began in time: broken if `served` is false. `limit` is the time that was given
/// since `callersStartedAt`.
Finding judgeStart(Deployment &deployment, bool served, RunTime callersStartedAt, RunTime limit);

/// Judges a run from what callers, databases and the operator saw, with what explains it from the
/// logs of the nodes. `origin` is that of the plan's times.
std::vector<Finding> judge(Deployment &deployment, const FaultPlan &plan, RunTime origin);

/// One JSON line for each statement that was cut around an announced stop.
std::vector<std::string> describeCuts(Deployment &deployment, const FaultPlan &plan,
                                      RunTime origin);

/// One JSON line for each second of the run: operations by the second in which they were sent.
std::vector<std::string> describeSeconds(const Deployment &deployment, RunTime origin);

} // namespace shallotlever::soak
