#include "report_schedule.h"

#include <utility>

namespace shallotlever {

std::string_view reportReasonName(ReportReason reason)
{
    switch (reason) {
    case ReportReason::Interval:
        return "interval";
    case ReportReason::Requested:
        return "requested";
    case ReportReason::ViewApplied:
        return "view_applied";
    case ReportReason::ShareReduced:
        return "share_reduced";
    case ReportReason::Observed:
        return "observed";
    case ReportReason::Announced:
        return "announced";
    case ReportReason::Demand:
        return "demand";
    case ReportReason::Relayed:
        return "relayed";
    case ReportReason::FleetViewRequested:
        return "fleet_view_requested";
    case ReportReason::Leaving:
        return "leaving";
    case ReportReason::Count:
        break;
    }
    return "unknown";
}

void scheduleReport(ReportSchedule &schedule, TimePoint at, ReportReason reason)
{
    if (at >= schedule.due)
        return;
    schedule.due = at;
    schedule.reason = reason;
}

bool isReportDue(const ReportSchedule &schedule, TimePoint now)
{
    return now >= schedule.due;
}

ReportReason noteReportSent(ReportSchedule &schedule, TimePoint now)
{
    schedule.due = now + kReportInterval;
    schedule.lastSent = now;
    return std::exchange(schedule.reason, ReportReason::Interval);
}

} // namespace shallotlever
