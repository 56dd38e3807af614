#pragma once

#include <map>
#include <optional>
#include <vector>

#include "controller_link.h"
#include "shallotlever/fleet/messages.h"
#include "shallotlever/wire/peer.h"

/// The controller's requests for reports, and the reports that can't be answered yet. Sans-I/O.
namespace shallotlever {

/// A requested report that has not arrived after this time is requested again: the time after which
/// a node gives up a silent controller.
constexpr Duration kReportRequestTimeout = kControllerTimeout;

/// The report of a process that may hold no lease before its record is committed.
struct HeldReport
{
    NodeReport report;
    PeerProcess from;
    std::uint64_t requestId = 0;
    TimePoint receivedAt;
};

struct ReportRequests
{
    /// When a report was requested that has not arrived yet.
    std::map<NodeId, TimePoint> outstanding;
    /// The last report of each node that waits for its record.
    std::map<NodeId, HeldReport> held;
};

/// Returns those of `nodes` to request a report from now. A node from which one is on its way is
/// left out: the answer to that report will carry what is new.
std::vector<NodeId> nodesToRequest(ReportRequests &requests, const std::vector<NodeId> &nodes,
                                   TimePoint now);
/// Records that the report, and the reports nested in it, have arrived.
void noteReportReceived(ReportRequests &requests, const NodeReport &report);

/// Keeps a report until takeHeldReport(). Reports of a relay are not kept, as the nodes nested in
/// them are answered separately.
void holdReport(ReportRequests &requests, HeldReport report);
/// Returns the report kept for this process as it must be answered now, or nullopt if there is
/// none. Reports of other processes of the node are dropped.
std::optional<HeldReport> takeHeldReport(ReportRequests &requests, const PeerProcess &process,
                                         TimePoint now);

} // namespace shallotlever
