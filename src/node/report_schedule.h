#pragma once

#include <cstdint>
#include <string_view>

#include "shallotlever/policy/token_bucket.h"

/// Schedules a node's next report and records the reason for it. Sans-I/O.
namespace shallotlever {

enum class ReportReason : std::uint8_t {
    /// The regular interval has elapsed; the report renews the lease.
    Interval,
    /// The controller requested a report, was named by another member, or a link to it has opened.
    Requested,
    /// A configuration or fleet view was applied; others wait for the confirmation.
    ViewApplied,
    /// A share was reduced; other nodes wait for the part that this node has to give up.
    ShareReduced,
    /// A database became reachable or unreachable.
    Observed,
    /// A database announced that it is leaving or has stopped.
    Announced,
    /// Traffic has stopped, so other nodes may need the share.
    Demand,
    /// Reports of other nodes are ready to be relayed.
    Relayed,
    /// The controller lacks the fleet view of this node.
    FleetViewRequested,
    /// The node is stopping; other nodes take over the connections that it holds for them.
    Leaving,
    Count
};

std::string_view reportReasonName(ReportReason reason);

struct ReportSchedule
{
    TimePoint due;
    ReportReason reason = ReportReason::Interval;
    TimePoint lastSent;
};

/// Moves the next report to `at`, unless it is due earlier.
void scheduleReport(ReportSchedule &schedule, TimePoint at, ReportReason reason);

bool isReportDue(const ReportSchedule &schedule, TimePoint now);

/// Schedules the next regular report. Returns the reason for the one that is sent now.
ReportReason noteReportSent(ReportSchedule &schedule, TimePoint now);

} // namespace shallotlever
