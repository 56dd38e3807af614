#include <cmath>
#include <functional>

#include <gtest/gtest.h>

#include "arrivals.h"
#include "checker.h"
#include "statistics.h"
#include "workload.h"

namespace shallotlever::load {
namespace {

struct ViolationCase
{
    const char *name;
    std::vector<ViolationKind> expected;
    std::function<void(Checker &)> run;
};

WriteRecord record(Kind kind, std::string partner = {})
{
    return { "s", kind, WriteState::Pending, std::move(partner) };
}

void writeThenRead(Checker &checker, Kind kind, std::vector<WriteState> states, TableContent rows)
{
    checker.registerWrite("a", record(kind));
    for (const WriteState state : states)
        checker.setState("a", state);
    checker.checkTable("s", rows);
}

using Kinds = std::vector<ViolationKind>;
using enum WriteState;

const std::vector<ViolationCase> &violationCases()
{
    static const std::vector<ViolationCase> cases {
        { "Clean",
          {},
          [](Checker &c) {
              writeThenRead(c, Kind::Once, { Acknowledged }, { { "a", 1 } });
          } },
        { "UnknownMayBeAbsent",
          {},
          [](Checker &c) { writeThenRead(c, Kind::Once, { Unknown }, {}); } },
        { "UnknownMayBePresent",
          {},
          [](Checker &c) {
              writeThenRead(c, Kind::Once, { Unknown }, { { "a", 1 } });
          } },
        { "UnknownTwice",
          { ViolationKind::DuplicateWrite },
          [](Checker &c) {
              writeThenRead(c, Kind::Once, { Unknown }, { { "a", 2 } });
          } },
        { "IdempotentTwice",
          { ViolationKind::DuplicateWrite },
          [](Checker &c) {
              writeThenRead(c, Kind::Idempotent, { Acknowledged }, { { "a", 2 } });
          } },
        { "AcknowledgedLost",
          { ViolationKind::AcknowledgedWriteLost },
          [](Checker &c) { writeThenRead(c, Kind::Write, { Acknowledged }, {}); } },
        { "RefusedRan",
          { ViolationKind::RefusedWriteRan },
          [](Checker &c) {
              writeThenRead(c, Kind::Write, { NotRun }, { { "a", 1 } });
          } },
        { "LaterRefusalDoesNotHideAcknowledgement",
          { ViolationKind::AcknowledgedWriteLost },
          [](Checker &c) {
              writeThenRead(c, Kind::Write, { Acknowledged, NotRun }, {});
          } },
        { "LaterRefusalKeepsUnknown",
          {},
          [](Checker &c) {
              writeThenRead(c, Kind::Write, { Unknown, NotRun }, { { "a", 1 } });
          } },
        { "RowNobodyWrote",
          { ViolationKind::UnknownRow },
          [](Checker &c) {
              c.checkTable("s", { { "x", 1 } });
          } },
        { "RowInOtherService",
          { ViolationKind::UnknownRow },
          [](Checker &c) {
              c.registerWrite("a", record(Kind::Write));
              c.checkTable("t", { { "a", 1 } });
          } },
        { "HalfTransaction",
          { ViolationKind::PartialTransaction },
          [](Checker &c) {
              c.registerWrite("a", record(Kind::Transaction, "b"));
              c.registerWrite("b", record(Kind::Transaction, "a"));
              c.setState("a", Unknown);
              c.setState("b", Unknown);
              c.checkTable("s", { { "b", 1 } });
          } },
        { "EchoOfOther",
          { ViolationKind::WrongAnswer },
          [](Checker &c) { c.checkEcho("a", "b"); } },
        { "EchoMissing", { ViolationKind::WrongAnswer }, [](Checker &c) { c.checkEcho("a", ""); } },
        { "EchoRight", {}, [](Checker &c) { c.checkEcho("a", "a"); } },
        { "OwnWriteMissing",
          { ViolationKind::OwnWriteMissing },
          [](Checker &c) { c.checkOwnWrite("a", 0); } },
        { "OwnWriteSeen", {}, [](Checker &c) { c.checkOwnWrite("a", 1); } },
        { "BoardWithoutRows",
          { ViolationKind::BlankBoard },
          [](Checker &c) { c.checkBoard("r", 0, ""); } },
        { "BoardRefused",
          { ViolationKind::BlankBoard },
          [](Checker &c) { c.checkBoard("r", 3, "no_upstream"); } },
        { "BoardShown", {}, [](Checker &c) { c.checkBoard("r", 3, ""); } },
    };
    return cases;
}

class ViolationTest : public testing::TestWithParam<ViolationCase>
{
};

// Guards against a checker that overlooks a broken guarantee, or reports one that holds.
TEST_P(ViolationTest, ReportsExactlyTheExpectedKinds)
{
    Checker checker;
    GetParam().run(checker);
    Kinds found;
    for (const Violation &violation : checker.listed())
        found.push_back(violation.kind);
    EXPECT_EQ(found, GetParam().expected);
    EXPECT_EQ(checker.total(), found.size());
}

INSTANTIATE_TEST_SUITE_P(Checker, ViolationTest, testing::ValuesIn(violationCases()),
                         [](const auto &info) { return info.param.name; });

struct WorkloadCase
{
    const char *name;
    const char *team;
    /// Start of the error; empty if the workload is valid.
    const char *error;
};

class WorkloadTest : public testing::TestWithParam<WorkloadCase>
{
};

// Guards against a mistyped workload that runs with other numbers than its author meant.
TEST_P(WorkloadTest, NamesTheFaultyField)
{
    const QByteArray json = QByteArray(R"({"services":["s"],"teams":[{)") + GetParam().team + "}]}";
    const auto workload = parseWorkload(json);
    if (*GetParam().error == '\0')
        EXPECT_TRUE(workload.ok()) << workload.status();
    else
        EXPECT_TRUE(std::string(workload.status().message()).starts_with(GetParam().error))
            << workload.status();
}

INSTANTIATE_TEST_SUITE_P(
    Teams, WorkloadTest,
    testing::Values(
        WorkloadCase { "Valid", R"("id":"t","rate":5,"burst":2,"mix":{"write":1})", "" },
        WorkloadCase { "NoId", R"("rate":5,"burst":2,"mix":{"write":1})", "teams.id" },
        WorkloadCase { "NoRate", R"("id":"t","burst":2,"mix":{"write":1})", "teams.rate" },
        WorkloadCase { "NoMix", R"("id":"t","rate":5,"burst":2)", "mix" },
        WorkloadCase { "UnknownKind", R"("id":"t","rate":5,"burst":2,"mix":{"x":1})", "mix" },
        WorkloadCase { "NegativeWeight", R"("id":"t","rate":5,"burst":2,"mix":{"write":-1})",
                       "mix" },
        WorkloadCase { "UnknownService",
                       R"("id":"t","rate":5,"burst":2,"services":["x"],"mix":{"write":1})",
                       "teams.services" },
        WorkloadCase { "BoardWithoutRoute", R"("id":"t","rate":5,"burst":2,"mix":{"board":1})",
                       "teams" },
        WorkloadCase { "LatePhase",
                       R"("id":"t","rate":5,"burst":2,"send":[{"from_s":1,"multiple":1}])",
                       "send" }),
    [](const auto &info) { return info.param.name; });

struct ArrivalCase
{
    const char *name;
    std::vector<Phase> phases;
    double expected;
};

class ArrivalTest : public testing::TestWithParam<ArrivalCase>
{
};

// Guards against a demand that differs from the workload: its mean over 100 s must be within five
// standard deviations of the phases' sum. The seed is fixed.
TEST_P(ArrivalTest, FollowsThePhases)
{
    ArrivalProcess process(50, GetParam().phases, 7);
    double count = 0;
    double last = 0;
    for (double time = process.next(); time < 100; time = process.next()) {
        EXPECT_GE(time, last);
        EXPECT_GT(multipleAt(GetParam().phases, time), 0);
        last = time;
        ++count;
    }
    EXPECT_NEAR(count, GetParam().expected, 5 * std::sqrt(GetParam().expected));
}

INSTANTIATE_TEST_SUITE_P(
    Phases, ArrivalTest,
    testing::Values(ArrivalCase { "Constant", { { 0, 1 } }, 5000 },
                    ArrivalCase { "FiveTimes", { { 0, 1 }, { 50, 5 } }, 15000 },
                    ArrivalCase { "Pause", { { 0, 1 }, { 20, 0 }, { 60, 0.5 } }, 2000 },
                    ArrivalCase { "Silent", { { 0, 0 } }, 0 }),
    [](const auto &info) { return info.param.name; });

// Guards against a run that cannot be repeated.
TEST(ArrivalProcessTest, SameSeedGivesSameTimes)
{
    ArrivalProcess first(50, { { 0, 1 } }, 3);
    ArrivalProcess second(50, { { 0, 1 } }, 3);
    for (int i = 0; i < 100; ++i)
        EXPECT_EQ(first.next(), second.next());
}

// Guards against sends beyond rate and burst that are counted as refused in error.
TEST(RateAccountTest, CountsBurstAndRate)
{
    RateAccount account(10, 2);
    EXPECT_TRUE(account.takeAt(0));
    EXPECT_TRUE(account.takeAt(0));
    EXPECT_FALSE(account.takeAt(0));
    EXPECT_TRUE(account.takeAt(0.11));
    EXPECT_FALSE(account.takeAt(0.11));
    EXPECT_TRUE(account.takeAt(100));
}

// Guards against percentiles that are too low, and against gaps at the start and end of the run.
TEST(StatisticsTest, QuantilesAndGaps)
{
    LatencyHistogram histogram;
    for (int i = 1; i <= 1000; ++i)
        histogram.add(i);
    EXPECT_NEAR(histogram.quantile(0.5), 500, 15);
    EXPECT_NEAR(histogram.quantile(0.99), 990, 30);
    EXPECT_GE(histogram.quantile(0.999), 999);
    GapMeter gap;
    gap.event(1);
    gap.event(1.5);
    gap.finish(4);
    EXPECT_EQ(gap.longestMs(), 2500);
    EXPECT_EQ(gap.startSeconds(), 1.5);
}

// Guards against a team at several times its rate that looks badly served.
TEST(StatisticsTest, ServedIsMeasuredAgainstTheDemandInsideTheRate)
{
    TeamStatistics team;
    team.sent = 500;
    team.sentInsideRate = 100;
    team.answeredSends = 100;
    EXPECT_EQ(team.served(), 1);
    team.answeredSends = 90;
    EXPECT_EQ(team.served(), 0.9);
}

// Guards against refusals of a team over its rate that are counted as errors of the system, and
// against those of a team inside its rate that are not.
TEST(StatisticsTest, RefusedInErrorIsWhatTheRateWouldHavePermitted)
{
    TeamStatistics flooding { {}, 500, 100, 100, 60, 400 };
    EXPECT_EQ(flooding.refusedInError(), 0);
    TeamStatistics starved { {}, 500, 100, 90, 60, 410 };
    EXPECT_EQ(starved.refusedInError(), 10);
    TeamStatistics inside { {}, 100, 100, 95, 5, 5 };
    EXPECT_EQ(inside.refusedInError(), 5);
}

} // namespace
} // namespace shallotlever::load
