#pragma once

#include <cstdint>
#include <string_view>

#include "shallotlever/policy/token_bucket.h"

/// When a node sends its next report, and why. Pure decisions; the time is an argument.
namespace shallotlever {

enum class ReportReason : std::uint8_t {
    /// Nothing but the interval, which keeps the lease alive.
    Interval,
    /// The controller asked.
    Requested,
    /// A configuration or fleet view was applied, which others wait for.
    ViewApplied,
    /// Others wait for a part of a share that was taken away.
    ShareReduced,
    /// A database became reachable or unreachable.
    Observed,
    /// A database leaves or ended.
    Announced,
    /// Traffic has stopped, and others may need the share.
    Demand,
    /// Reports of other nodes are passed on.
    Relayed,
    Count
};

std::string_view reportReasonName(ReportReason reason);

struct ReportSchedule
{
    TimePoint due;
    ReportReason reason = ReportReason::Interval;
    TimePoint lastSent;
};

/// Moves the next report to `at` if it would be sent later.
void scheduleReport(ReportSchedule &schedule, TimePoint at, ReportReason reason);

bool isReportDue(const ReportSchedule &schedule, TimePoint now);

/// Returns the reason of the report that is sent now.
ReportReason noteReportSent(ReportSchedule &schedule, TimePoint now);

} // namespace shallotlever
