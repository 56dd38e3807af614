#include "report_requests.h"

#include <utility>

#include "shallotlever/fleet/distribution.h"

namespace shallotlever {

std::vector<NodeId> nodesToRequest(ReportRequests &requests, const std::vector<NodeId> &nodes,
                                   TimePoint now)
{
    std::vector<NodeId> due;
    for (const NodeId &node : nodes) {
        const auto [entry, added] = requests.outstanding.try_emplace(node, now);
        if (!added && now < entry->second + kReportRequestTimeout)
            continue;
        entry->second = now;
        due.push_back(node);
    }
    return due;
}

void noteReportReceived(ReportRequests &requests, const NodeReport &report)
{
    for (const NodeReport *received : flattenReport(report))
        requests.outstanding.erase(received->node);
}

void holdReport(ReportRequests &requests, HeldReport report)
{
    if (report.report.nodes.empty())
        requests.held.insert_or_assign(report.from.node, std::move(report));
}

std::optional<HeldReport> takeHeldReport(ReportRequests &requests, const PeerProcess &process,
                                         TimePoint now)
{
    const auto found = requests.held.find(process.node);
    if (found == requests.held.end())
        return std::nullopt;
    HeldReport held = std::move(found->second);
    requests.held.erase(found);
    if (held.from != process)
        return std::nullopt;
    // The lease counts from the node's sending, and what the report says has aged meanwhile.
    held.report.age += now - std::exchange(held.receivedAt, now);
    return held;
}

} // namespace shallotlever
