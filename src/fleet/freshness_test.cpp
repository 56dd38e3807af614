#include <gtest/gtest.h>

#include "shallotlever/fleet/freshness.h"

namespace shallotlever {
namespace {

struct LeaseCase
{
    const char *name;
    std::uint64_t incarnation = 7;
    std::uint64_t report = 2;
    std::uint64_t controlTerm = 5;
    std::uint64_t logIndex = 100;
    std::uint64_t configFrom = 10;
    std::uint64_t configTo = 11;
    Duration arrives = 11s;
    LeaseVerdict verdict;
};

class AcceptLease : public testing::TestWithParam<LeaseCase>
{
};

TEST_P(AcceptLease, NeverMovesBackward)
{
    const LeaseCase &c = GetParam();
    NodeFreshness node;
    node.incarnation = Incarnation(7);
    node.controlTerm = ControlTerm(5);
    node.logIndex = LogIndex(100);
    node.appliedConfig = ConfigVersion(10);
    noteReportSent(node, TimePoint(9s));
    noteReportSent(node, TimePoint(10s));
    NodeLease lease;
    lease.incarnation = Incarnation(c.incarnation);
    lease.report = c.report;
    lease.length = 5s;
    lease.controlTerm = ControlTerm(c.controlTerm);
    lease.logIndex = LogIndex(c.logIndex);
    lease.config.from = ConfigVersion(c.configFrom);
    lease.config.to = ConfigVersion(c.configTo);
    EXPECT_EQ(acceptLease(node, lease, TimePoint(c.arrives)), c.verdict);
    EXPECT_GE(node.appliedConfig, ConfigVersion(10));
    // The lease starts when the report was sent and never exceeds kFreshnessLease.
    const bool applied = c.verdict == LeaseVerdict::Applied;
    EXPECT_EQ(node.leaseUntil, applied ? TimePoint(12s) : TimePoint());
}

LeaseCase leaseCase(const char *name, LeaseVerdict verdict, void (*change)(LeaseCase &))
{
    LeaseCase c { .name = name, .verdict = verdict };
    change(c);
    return c;
}

INSTANTIATE_TEST_SUITE_P(
    Rules, AcceptLease,
    testing::Values(
        leaseCase("good", LeaseVerdict::Applied, [](LeaseCase &) {}),
        leaseCase("former_process", LeaseVerdict::OtherIncarnation,
                  [](LeaseCase &c) { c.incarnation = 6; }),
        leaseCase("unknown_report", LeaseVerdict::UnknownReport,
                  [](LeaseCase &c) { c.report = 9; }),
        leaseCase("stale_controller", LeaseVerdict::Outdated,
                  [](LeaseCase &c) { c.controlTerm = 4; }),
        leaseCase("lower_log_index", LeaseVerdict::Outdated, [](LeaseCase &c) { c.logIndex = 99; }),
        leaseCase("lower_version", LeaseVerdict::Outdated,
                  [](LeaseCase &c) { c.configFrom = c.configTo = 9; }),
        leaseCase("missing_changes", LeaseVerdict::WrongBase,
                  [](LeaseCase &c) { c.configFrom = 11, c.configTo = 12; }),
        leaseCase("came_too_late", LeaseVerdict::Expired, [](LeaseCase &c) { c.arrives = 12s; })),
    [](const auto &info) { return info.param.name; });

NodeReport reportOf(const char *node, std::uint64_t number, std::uint64_t applied)
{
    NodeReport report;
    report.node = NodeId(node);
    report.incarnation = Incarnation(1);
    report.number = number;
    report.appliedConfig = ConfigVersion(applied);
    return report;
}

// A change must not be reported as in force while a node may still act on the old configuration.
TEST(InForce, WaitsForLiveHoldersAndPredecessor)
{
    LeaseTable table = makeLeaseTable(TimePoint(10s));
    EXPECT_TRUE(configInForce(table, ConfigVersion(1), TimePoint(12s)).waitsForPredecessor);
    EXPECT_TRUE(grantLease(table, reportOf("a", 1, 4), TimePoint(13s)));
    EXPECT_TRUE(grantLease(table, reportOf("b", 1, 5), TimePoint(13s)));
    const InForce waiting = configInForce(table, ConfigVersion(5), TimePoint(15s));
    EXPECT_EQ(waiting.outstanding, std::vector { NodeId("a") });
    EXPECT_FALSE(grantLease(table, reportOf("a", 1, 9), TimePoint(14s)));
    // The lease ends 2 s after receipt of the report, plus the margin for clock drift.
    EXPECT_FALSE(configInForce(table, ConfigVersion(5), TimePoint(15s) + 99ms).inForce);
    EXPECT_TRUE(configInForce(table, ConfigVersion(5), TimePoint(15s) + 100ms).inForce);
}

} // namespace
} // namespace shallotlever
