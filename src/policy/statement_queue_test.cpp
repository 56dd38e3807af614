#include "shallotlever/policy/statement_queue.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include "experiment/statement_world.h"

namespace shallotlever {
namespace {

using experiment::ClassFigures;
using experiment::StatementCounts;
using experiment::StatementLoad;
using testing::ElementsAre;

const TimePoint kStart(100s);

std::vector<experiment::StatementClass> threeClasses()
{
    return { { "first", 0, 8ms, 500ms, 10s, 0.14 },
             { "second", 1, 24ms, 1s, 10s, 0.63 },
             { "third", 2, 40ms, 2500ms, 20s, 0.23 } };
}

/// Half of the statements of the second class for which there is room at twice the load: the first
/// class takes 9% of the slots and the third one 10%, and the second asks for 119%.
constexpr double kHalfOfWhatFits = 0.5 * 0.81 / 1.19;
/// Half of the share of the third class, which asks for 72% of the slots.
constexpr double kHalfOfItsShare = 0.5 * kLowerClassesShare / 0.72;

/// What callers of a load must get, and a broken variant of the queue that does not give it.
struct LoadCase
{
    const char *name;
    StatementLoad load;
    StatementQueueOptions broken;
    bool (*served)(const std::vector<ClassFigures> &);
};

class QueueUnderLoad : public testing::TestWithParam<LoadCase>
{
};

// Guards against callers of one class or team that pay for the load of others.
TEST_P(QueueUnderLoad, ServesWhomItShould)
{
    EXPECT_TRUE(GetParam().served(experiment::playStatements(GetParam().load, {})));
    EXPECT_FALSE(GetParam().served(experiment::playStatements(GetParam().load, GetParam().broken)));
}

bool teamsAreEven(const ClassFigures &figures)
{
    return figures.worstTeam(experiment::kNoTeam) >= 0.8 * figures.all.share();
}

/// Whether statements sent more than the longest objective after the burst are served in time.
bool hasRecovered(const ClassFigures &figures)
{
    constexpr std::size_t kFirstPeriod = 8;
    StatementCounts after;
    for (std::size_t period = kFirstPeriod; period < figures.periods.size(); ++period) {
        after.asked += figures.periods[period].asked;
        after.inTime += figures.periods[period].inTime;
    }
    return after.share() >= 0.95;
}

INSTANTIATE_TEST_SUITE_P(
    Loads, QueueUnderLoad,
    testing::Values(
        LoadCase { "TwiceWhatFits",
                   { .classes = threeClasses(), .load = 2, .seed = 1 },
                   { .order = StatementOrder::Arrival },
                   [](const std::vector<ClassFigures> &f) {
                       return f[0].all.share() >= 0.95 && f[1].all.share() >= kHalfOfWhatFits
                           && teamsAreEven(f[1]);
                   } },
        LoadCase { "TwiceWhatThreeSlotsServe",
                   { .classes = threeClasses(), .slots = 3, .load = 2, .seed = 2 },
                   { .order = StatementOrder::Arrival },
                   [](const std::vector<ClassFigures> &f) {
                       return f[0].all.share() >= 0.95 && f[1].all.share() >= kHalfOfWhatFits;
                   } },
        LoadCase {
            "BurstOfSixSeconds",
            { .classes = threeClasses(), .load = 0.8, .burst = 2.3, .length = 24s, .seed = 3 },
            { .order = StatementOrder::Arrival },
            [](const std::vector<ClassFigures> &f) {
                return f[0].worstPeriod() >= 0.95 && hasRecovered(f[1]) && hasRecovered(f[2]);
            } },
        LoadCase { "LowestClassKeepsItsShare",
                   { .classes = threeClasses(), .load = 2, .seed = 4 },
                   { .lowerClassesShare = 0 },
                   [](const std::vector<ClassFigures> &f) {
                       return f[2].all.share() >= kHalfOfItsShare;
                   } },
        LoadCase { "TeamsOfUnequalCost",
                   { .classes = { { "only", 0, 10ms, 1s, 10s, 1 } },
                     .load = 2,
                     .heavyCost = 3,
                     .seed = 5 },
                   { .order = StatementOrder::FairByCount },
                   [](const std::vector<ClassFigures> &f) { return teamsAreEven(f[0]); } },
        LoadCase { "OneTeamAtTenTimesItsRate",
                   { .classes = { { "only", 0, 10ms, 500ms, 10s, 1 } },
                     .load = 0.8,
                     .hotTeam = 10,
                     .seed = 6 },
                   { .order = StatementOrder::Arrival },
                   [](const std::vector<ClassFigures> &f) { return f[0].worstTeam(0) >= 0.95; } }),
    [](const auto &info) { return info.param.name; });

const TeamId kA("a");
const TeamId kB("b");

struct Waiting
{
    std::uint64_t id;
    StatementTraits statement;
};

struct OrderCase
{
    const char *name;
    std::vector<Waiting> waiting;
    std::set<TeamId> ready;
    std::vector<WaiterId> served;
};

class QueueOrder : public testing::TestWithParam<OrderCase>
{
};

TEST_P(QueueOrder, IsTheOrderOfTheTurns)
{
    StatementQueue queue;
    queue.setSlots(5);
    for (const Waiting &waiting : GetParam().waiting)
        ASSERT_TRUE(queue.enqueue(WaiterId(waiting.id), waiting.statement, kStart));
    std::vector<WaiterId> served;
    while (const auto id = queue.next(GetParam().ready, kStart))
        served.push_back(*id);
    EXPECT_EQ(served, GetParam().served);
}

INSTANTIATE_TEST_SUITE_P(
    Orders, QueueOrder,
    testing::Values(
        OrderCase { "Priority",
                    { { 1, { .team = kA, .priority = 1 } }, { 2, { .team = kB } } },
                    { kA, kB },
                    { WaiterId(2), WaiterId(1) } },
        OrderCase { "PrimaryOnlyFirst",
                    { { 1, { .team = kA, .replicaEligible = true } }, { 2, { .team = kA } } },
                    { kA },
                    { WaiterId(2), WaiterId(1) } },
        OrderCase { "TeamsInTurn",
                    { { 1, { .team = kA } }, { 2, { .team = kA } }, { 3, { .team = kB } } },
                    { kA, kB },
                    { WaiterId(1), WaiterId(3), WaiterId(2) } },
        OrderCase { "EarliestDeadline",
                    { { 1, { .team = kA, .deadline = kStart + 2s } },
                      { 2, { .team = kA, .deadline = kStart + 1s } } },
                    { kA },
                    { WaiterId(2), WaiterId(1) } },
        OrderCase { "LateLast",
                    { { 1, { .team = kA, .objective = kStart - 1s } }, { 2, { .team = kA } } },
                    { kA },
                    { WaiterId(2), WaiterId(1) } },
        OrderCase { "OnlyTeamsWithAConnection",
                    { { 1, { .team = kA } }, { 2, { .team = kB } } },
                    { kB },
                    { WaiterId(2) } }),
    [](const auto &info) { return info.param.name; });

// Guards against a team without a connection that others overtake without bound.
TEST(QueuePassedOver, IsOverdueAfterItsBound)
{
    StatementQueue queue;
    queue.enqueue(WaiterId(1), { .team = kA }, kStart);
    queue.enqueue(WaiterId(2), { .team = kB }, kStart);
    EXPECT_EQ(queue.next({ kB }, kStart), WaiterId(2));
    EXPECT_TRUE(queue.overdueTeams(kStart + kMaxHeldBack - 1ms).empty());
    EXPECT_THAT(queue.overdueTeams(kStart + kMaxHeldBack), ElementsAre(kA));
    EXPECT_EQ(queue.next({ kA }, kStart + kMaxHeldBack), WaiterId(1));
}

// Guards against a team that is refused while slots are free, because another one waits long for a
// connection and little else is asked for.
TEST(QueueFreeSlot, DelaysNoTeam)
{
    StatementQueue queue;
    queue.setSlots(5);
    queue.enqueue(WaiterId(1), { .team = kA }, kStart);
    for (std::uint64_t id = 2; id < 20; ++id) {
        const TimePoint now = kStart + id * 300ms;
        EXPECT_TRUE(queue.enqueue(WaiterId(id), { .team = kB, .deadline = now + 1s }, now));
        EXPECT_EQ(queue.next({ kB }, now), WaiterId(id));
        queue.recordFreeSlot(now);
        EXPECT_EQ(queue.expectedWait({ .team = kB }, now + 200ms) / 10ms, 0);
    }
}

// Guards against statements that wait until nobody waits for their answer.
TEST(QueueDeadline, RefusesWhatCannotFinish)
{
    StatementQueue queue;
    queue.recordCost(0, StatementCostKind::Read, 50ms);
    EXPECT_FALSE(queue.enqueue(WaiterId(1), { .team = kA, .deadline = kStart + 40ms }, kStart));
    for (std::uint64_t id = 2; id <= 3; ++id)
        EXPECT_TRUE(
            queue.enqueue(WaiterId(id), { .team = kA, .deadline = kStart + 120ms }, kStart));
    EXPECT_FALSE(queue.enqueue(WaiterId(4), { .team = kA, .deadline = kStart + 120ms }, kStart));
    EXPECT_TRUE(queue.takeInfeasible(kStart + 60ms).empty());
    EXPECT_THAT(queue.takeInfeasible(kStart + 80ms), ElementsAre(WaiterId(2), WaiterId(3)));
    EXPECT_EQ(queue.size(), 0U);
}

} // namespace
} // namespace shallotlever
