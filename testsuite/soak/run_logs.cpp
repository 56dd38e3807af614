#include "run_logs.h"

#include <algorithm>

#include <fmt/format.h>

namespace shallotlever::soak {

namespace {

/// Shorter delays are usual on a machine with other work.
constexpr RunTime kShortestStall { 50 };
constexpr std::size_t kMaxDescribed = 8;

void addOverlapping(const std::vector<Stall> &stalls, const Span &span, std::vector<Stall> &found)
{
    std::copy_if(stalls.begin(), stalls.end(), std::back_inserter(found), [&](const Stall &stall) {
        return stall.length >= kShortestStall && stall.endedAt >= span.from
            && stall.endedAt - stall.length <= span.until;
    });
}

std::string describe(const Stall &stall)
{
    return fmt::format(R"({{"process":"{}","event":"{}","ended_ms":{},"length_ms":{}}})",
                       stall.process, stall.event, stall.endedAt.count(), stall.length.count());
}

} // namespace

RunLogs readRunLogs(Deployment &deployment)
{
    RunLogs logs;
    for (auto *nodes : { &deployment.controlMembers(), &deployment.fronts() }) {
        for (const auto &node : *nodes) {
            const NodeCommand &command = node->command();
            logs.nodes[command.host] =
                readNodeLog(command.name, command.logFile, deployment.startedAt());
        }
    }
    for (const auto &[second, stall] : deployment.stalls())
        logs.soakStalls.push_back(stall);
    return logs;
}

std::string describeStalls(const RunLogs &logs, const Span &span,
                           const std::set<std::string> &hosts)
{
    std::vector<Stall> found;
    addOverlapping(logs.soakStalls, span, found);
    for (const auto &[host, log] : logs.nodes) {
        if (hosts.empty() || hosts.contains(host))
            addOverlapping(log.stalls, span, found);
    }
    std::stable_sort(found.begin(), found.end(),
                     [](const Stall &a, const Stall &b) { return a.length > b.length; });
    std::string text;
    for (std::size_t i = 0; i < std::min(found.size(), kMaxDescribed); ++i)
        text += (i > 0 ? "," : "") + describe(found[i]);
    return fmt::format(R"("stalls":[{}])", text);
}

std::string describeControl(const RunLogs &logs, const Span &span)
{
    std::string text;
    int leasesLost = 0;
    for (const auto &[host, log] : logs.nodes) {
        for (const LogEvent &event : log.controlEvents) {
            if (event.at < span.from || event.at > span.until)
                continue;
            if (event.name == "lease_lost")
                ++leasesLost;
            else
                text += fmt::format(R"({}{{"event":"{}","node":"{}","at_ms":{}}})",
                                    text.empty() ? "" : ",", event.name, host, event.at.count());
        }
    }
    return fmt::format(R"("control":[{}],"leases_lost":{})", text, leasesLost);
}

} // namespace shallotlever::soak
