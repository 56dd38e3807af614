#include "report_schedule.h"

#include <set>

#include <gtest/gtest.h>

namespace shallotlever {
namespace {

const TimePoint kStart(100s);

// Guards against a lease that expires because a request delayed the regular report.
TEST(ReportSchedule, RequestsNeverDelayReport)
{
    ReportSchedule schedule;
    noteReportSent(schedule, kStart);
    scheduleReport(schedule, kStart + 2s, ReportReason::ShareReduced);
    EXPECT_FALSE(isReportDue(schedule, kStart + kReportInterval - 1ms));
    EXPECT_TRUE(isReportDue(schedule, kStart + kReportInterval));
    EXPECT_EQ(noteReportSent(schedule, kStart + kReportInterval), ReportReason::Interval);
}

// Guards against reports that are counted under the reason of an earlier report.
TEST(ReportSchedule, ReturnsReasonOfEarliestRequest)
{
    ReportSchedule schedule;
    noteReportSent(schedule, kStart);
    scheduleReport(schedule, kStart + 250ms, ReportReason::ShareReduced);
    scheduleReport(schedule, kStart + 100ms, ReportReason::Demand);
    scheduleReport(schedule, kStart + 200ms, ReportReason::Requested);
    EXPECT_TRUE(isReportDue(schedule, kStart + 100ms));
    EXPECT_EQ(noteReportSent(schedule, kStart + 100ms), ReportReason::Demand);
    EXPECT_EQ(noteReportSent(schedule, kStart + 600ms), ReportReason::Interval);
}

TEST(ReportSchedule, ReasonNamesAreUnique)
{
    std::set<std::string_view> names;
    for (int reason = 0; reason < static_cast<int>(ReportReason::Count); ++reason)
        names.insert(reportReasonName(static_cast<ReportReason>(reason)));
    EXPECT_EQ(names.size(), static_cast<std::size_t>(ReportReason::Count));
    EXPECT_FALSE(names.contains("unknown"));
}

} // namespace
} // namespace shallotlever
