#pragma once

#include <map>
#include <set>
#include <string>
#include <vector>

#include "deployment.h"
#include "node_log.h"

namespace shallotlever::soak {

/// What the nodes and the soak itself recorded during a run.
struct RunLogs
{
    /// By the address of the node.
    std::map<std::string, NodeLog> nodes;
    std::vector<Stall> soakStalls;
};

struct Span
{
    RunTime from { 0 };
    RunTime until { 0 };
};

RunLogs readRunLogs(Deployment &deployment);

/// The longest stalls of the soak and of the nodes named, of all nodes if none is, that overlap the
/// span: a member "stalls" of a JSON object.
std::string describeStalls(const RunLogs &logs, const Span &span,
                           const std::set<std::string> &hosts = {});

/// Members of a JSON object: controllers that were elected or stepped down in the span, and how
/// many leases were lost.
std::string describeControl(const RunLogs &logs, const Span &span);

} // namespace shallotlever::soak
