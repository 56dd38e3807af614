#include <cmath>
#include <thread>

#include <gtest/gtest.h>

#include "shallotlever/policy/fair_queue.h"
#include "shallotlever/policy/rate_allocator.h"
#include "shallotlever/policy/read_split.h"
#include "shallotlever/policy/replica_choice.h"
#include "shallotlever/policy/retry.h"
#include "shallotlever/policy/slot_allocator.h"
#include "shallotlever/policy/token_bucket.h"
#include "shallotlever/policy/upstream_health.h"

namespace shallotlever {
namespace {

const TeamId kTeam("team");
const UpstreamId kUpstream("u");

/// Sends reports of nodes to one controller, which answers them at once; the answers are applied.
struct RateReporter
{
    RateAllocator allocator = makeRateAllocator(ControlTerm(1), TimePoint(0s));
    std::map<std::string, ReportStamp> stamps;

    RateReporter()
    {
        applyTeamConfig(allocator, { { kTeam, { kTeam, 100, 50, {} } } }, TimePoint(0s));
    }

    RateShare report(const std::string &node, double arrivals, TimePoint now)
    {
        ReportStamp &stamp = stamps[node];
        stamp = { NodeId(node), Incarnation(1), stamp.sequence + 1, stamp.appliedGrant };
        const RateGrant grant = onRateReport(allocator, { stamp, { { kTeam, arrivals } } }, now);
        stamp.appliedGrant = grant.number;
        return grant.shares.empty() ? RateShare {} : grant.shares.front();
    }
};

// Guards against rate that stays leased to a node after the traffic has moved to another node.
TEST(RateAllocator, RateFollowsTrafficWithinOneReportRound)
{
    RateReporter reporter;
    EXPECT_DOUBLE_EQ(reporter.report("a", 100, TimePoint(3s)).ratePerSecond, 100);
    reporter.report("b", 100, TimePoint(3400ms));
    reporter.report("a", 0, TimePoint(3500ms));
    reporter.report("a", 0, TimePoint(3520ms));
    EXPECT_DOUBLE_EQ(reporter.report("b", 100, TimePoint(3540ms)).ratePerSecond, 100);
}

// Guards against a new controller that grants shares while its predecessor's leases may still be in
// use.
TEST(RateAllocator, GrantsNothingUntilPredecessorLeasesExpire)
{
    RateReporter reporter;
    EXPECT_EQ(reporter.report("a", 100, TimePoint(1999ms)).ratePerSecond, 0);
    EXPECT_GT(reporter.report("a", 100, TimePoint(2s)).ratePerSecond, 0);
}

// Guards against refusals while a new controller waits for its predecessor's leases to expire.
TEST(RateAllocator, NewControllerRenewsSharesInForce)
{
    TokenBucket bucket;
    bucket.applyShare({ kTeam, 40, 10, 10 }, TimePoint(3s), TimePoint(1s));
    RateReporter reporter;
    reporter.allocator = makeRateAllocator(ControlTerm(2), TimePoint(2s));
    applyTeamConfig(reporter.allocator, { { kTeam, { kTeam, 100, 50, {} } } }, TimePoint(2s));
    const RateReport report { { NodeId("a"), Incarnation(1), 1, GrantNumber(7) },
                              { bucket.takeDemand(kTeam, TimePoint(2s)) } };
    const RateGrant grant = onRateReport(reporter.allocator, report, TimePoint(2s));
    EXPECT_TRUE(grant.renewal);
    ASSERT_EQ(grant.shares.size(), 1U);
    bucket.renewShare(grant.shares.front(), TimePoint(4s), TimePoint(2s));
    EXPECT_TRUE(bucket.tryTake(TimePoint(3500ms)));
    // The renewed share is counted until it has expired.
    EXPECT_EQ(reporter.report("b", 100, TimePoint(3999ms)).ratePerSecond, 0);
    EXPECT_LE(reporter.allocator.teams[kTeam].leasedRate, 40);
}

// Guards against rate of a node that stopped reporting being lost, or granted to another node
// before its lease has expired.
TEST(RateAllocator, ReclaimsRateAfterLeaseExpiry)
{
    RateReporter reporter;
    reporter.report("a", 100, TimePoint(3s));
    EXPECT_EQ(reporter.report("b", 100, TimePoint(4999ms)).ratePerSecond, 0);
    EXPECT_DOUBLE_EQ(reporter.report("b", 100, TimePoint(5100ms)).ratePerSecond, 100);
}

// Guards against a bucket that still admits requests after its share has expired, and against
// tokens that appear when a share is deepened or renewed.
TEST(TokenBucket, StopsAtExpiryAndRestartsEmpty)
{
    TokenBucket bucket;
    EXPECT_FALSE(bucket.tryTake(TimePoint(1s)));
    EXPECT_EQ(bucket.refusalClass(TimePoint(1s)), RateRefusal::InsideRate);
    bucket.applyShare({ kTeam, 10, 2, 2, false }, TimePoint(3s), TimePoint(1s));
    EXPECT_TRUE(bucket.tryTake(TimePoint(1s)));
    EXPECT_TRUE(bucket.tryTake(TimePoint(1s)));
    EXPECT_FALSE(bucket.tryTake(TimePoint(1s)));
    EXPECT_EQ(bucket.refusalClass(TimePoint(1s)), RateRefusal::OverRate);
    EXPECT_EQ(bucket.timeUntilToken(TimePoint(1s)), Duration(100ms));
    EXPECT_TRUE(bucket.tryTake(TimePoint(1100ms)));
    EXPECT_FALSE(bucket.tryTake(TimePoint(3s)));
    EXPECT_FALSE(bucket.applyShare({ kTeam, 10, 2 }, TimePoint(5s), TimePoint(3s)));
    EXPECT_FALSE(bucket.tryTake(TimePoint(3s)));
    EXPECT_TRUE(bucket.applyShare({ kTeam, 10, 1 }, TimePoint(6s), TimePoint(4s)));
    EXPECT_DOUBLE_EQ(bucket.takeDemand(kTeam, TimePoint(4s)).returnedTokens, 1);
}

// Guards against tokens that are added again when the same grant is applied repeatedly.
TEST(TokenBucket, RepeatedGrantAddsNoTokens)
{
    TokenBucket bucket;
    for (int i = 0; i < 3; ++i)
        bucket.applyShare({ kTeam, 0, 5, 1, true, 7 }, TimePoint(3s), TimePoint(1s));
    EXPECT_TRUE(bucket.tryTake(TimePoint(1s)));
    EXPECT_FALSE(bucket.tryTake(TimePoint(1s)));
}

// Guards against tokens that concurrent threads take twice or refill twice while shares change.
TEST(TokenBucket, ConcurrentTakesStayWithinShares)
{
    TokenBucket bucket;
    std::atomic<std::int64_t> clock { 1'000'000 };
    std::atomic<int> taken { 0 };
    std::atomic<std::uint64_t> attempts { 0 };
    std::vector<std::thread> threads;
    bucket.applyShare({ kTeam, 1000, 50, 50 }, TimePoint(9s), TimePoint(1s));
    for (int t = 0; t < 4; ++t)
        threads.emplace_back([&] {
            while (clock < 2'000'000) {
                taken += bucket.tryTake(TimePoint(Duration(clock.load()))) ? 1 : 0;
                ++attempts;
            }
        });
    for (int i = 0; i < 10000; ++i) {
        const std::uint64_t attemptsBefore = attempts;
        while (attempts < attemptsBefore + 4)
            std::this_thread::yield();
        clock += 100;
        if (i % 10 == 0)
            bucket.applyShare({ kTeam, 1000, 50 }, TimePoint(9s),
                              TimePoint(Duration(clock.load())));
    }
    for (std::thread &thread : threads)
        thread.join();
    EXPECT_LE(taken, 1050);
    EXPECT_GT(taken, 50);
}

// Guards against a node without any connection, and against idle connections that are not leased to
// nodes with waiting work.
TEST(SlotAllocator, IdleConnectionsMoveToWaitingWork)
{
    SlotAllocator allocator = makeSlotAllocator(ControlTerm(1), TimePoint(0s));
    FleetView fleet;
    fleet.groups[ServiceId("s")].upstreams[kUpstream].connectionLimit = 11;
    applyUpstreamLimits(allocator, fleet);
    std::map<std::string, ReportStamp> stamps;
    const auto report = [&](const std::string &node, SlotDemand demand, TimePoint now) {
        ReportStamp &stamp = stamps[node];
        stamp = { NodeId(node), Incarnation(1), stamp.sequence + 1, stamp.appliedGrant };
        const SlotGrant grant = onSlotReport(allocator, { stamp, { demand } }, now);
        stamp.appliedGrant = grant.number;
        return grant.shares.front().connections;
    };
    EXPECT_EQ(report("a", { kUpstream, 0, 0, 20 }, TimePoint(3s)), 10U);
    EXPECT_EQ(report("b", { kUpstream, 0, 0, 20 }, TimePoint(3s)), 0U);
    EXPECT_EQ(report("a", { kUpstream, 10, 0, 0 }, TimePoint(3500ms)), 1U);
    EXPECT_EQ(report("b", { kUpstream, 0, 0, 20 }, TimePoint(3500ms)), 0U);
    EXPECT_EQ(report("a", { kUpstream, 4, 0, 0 }, TimePoint(4s)), 1U);
    EXPECT_EQ(report("b", { kUpstream, 0, 0, 20 }, TimePoint(4s)), 6U);
    report("a", { kUpstream, 1, 0, 0 }, TimePoint(4500ms));
    EXPECT_EQ(report("b", { kUpstream, 6, 6, 20 }, TimePoint(4500ms)), 9U);
}

// Guards against queueing requests that cannot finish before their deadline.
TEST(FairQueue, RefusesRequestsThatCannotFinish)
{
    FairQueue queue({ 2, 1, 0, false });
    std::vector<QueueRefusal> refused;
    EXPECT_EQ(queue.enqueue({ TicketId(1), kTeam, TimePoint(1s) }, TimePoint(1s)),
              ErrorKind::DeadlineExceeded);
    EXPECT_FALSE(queue.enqueue({ TicketId(2), kTeam, TimePoint(9s) }, TimePoint(1s)));
    queue.finished(*queue.next(TimePoint(1s), refused), 100ms);
    EXPECT_EQ(queue.enqueue({ TicketId(3), kTeam, TimePoint(1050ms) }, TimePoint(1s)),
              ErrorKind::DeadlineTooShort);
    EXPECT_FALSE(queue.enqueue({ TicketId(4), kTeam, TimePoint(1300ms) }, TimePoint(1s)));
    EXPECT_FALSE(queue.enqueue({ TicketId(5), kTeam, TimePoint(9s) }, TimePoint(1s)));
    EXPECT_EQ(queue.enqueue({ TicketId(6), kTeam, TimePoint(9s) }, TimePoint(1s)),
              ErrorKind::QueueFull);
    EXPECT_EQ(queue.next(TimePoint(1250ms), refused)->ticket, TicketId(5));
    ASSERT_EQ(refused.size(), 1U);
    EXPECT_EQ(refused.front().kind, ErrorKind::DeadlineTooShort);
}

struct ReadCase
{
    const char *name;
    /// Position of the replica "r", whose term is replicaTerm; 0 if unknown. The primary "p" is at
    /// term 2.
    std::uint64_t replica;
    std::uint64_t replicaTerm;
    bool primaryHealthy;
    ReadRequirements requirements;
    ReadChoice::Kind kind;
    bool degraded;
};

class ReadChoiceCase : public testing::TestWithParam<ReadCase>
{
};

// Guards against reads from databases that lack the session's writes or whose data is too old, and
// against open routes that fail while an upstream has any data.
TEST_P(ReadChoiceCase, ChoosesUpstream)
{
    const ReadCase &c = GetParam();
    GroupView group;
    group.term = Term(2);
    group.primary = UpstreamId("p");
    group.upstreams[UpstreamId("p")] = {};
    group.upstreams[UpstreamId("r")] = {};
    PrimaryHistory history;
    recordPrimaryObservation(history, { TimePoint(9s), { Term(2), LogPosition(100) } });
    recordPrimaryObservation(history, { TimePoint(9900ms), { Term(2), LogPosition(200) } });
    std::vector<UpstreamObservation> observations(2);
    observations[0].id = UpstreamId("p");
    observations[0].healthy = c.primaryHealthy;
    observations[0].inFlight = 1;
    observations[1].id = UpstreamId("r");
    observations[1].applyRate = 10000;
    observations[1].pointRequestedAt = TimePoint(10s);
    if (c.replica > 0)
        observations[1].point = HistoryPoint { Term(c.replicaTerm), LogPosition(c.replica) };
    Random random(1);
    const ReadChoice choice = chooseUpstream({ &group, {}, nullptr, &history, observations, 0 },
                                             c.requirements, TimePoint(10s), random);
    EXPECT_EQ(choice.kind, c.kind);
    EXPECT_EQ(choice.degraded, c.degraded);
}

ReadRequirements token(std::uint64_t term, std::uint64_t position, Duration catchUp = Duration(0))
{
    ReadRequirements requirements;
    requirements.token = HistoryPoint { Term(term), LogPosition(position) };
    requirements.catchUpWait = catchUp;
    return requirements;
}

ReadRequirements age(Duration maxAge, bool openRoute = false)
{
    ReadRequirements requirements;
    requirements.maxStaleness = maxAge;
    requirements.openRoute = openRoute;
    return requirements;
}

using Kind = ReadChoice::Kind;
INSTANTIATE_TEST_SUITE_P(
    Cases, ReadChoiceCase,
    testing::Values(
        ReadCase { "reached", 150, 2, true, token(2, 150), Kind::UseReplica, false },
        ReadCase { "behind", 150, 2, true, token(2, 151), Kind::UsePrimary, false },
        ReadCase { "catches up", 150, 2, true, token(2, 160, 5ms), Kind::Wait, false },
        ReadCase { "too far", 150, 2, true, token(2, 260, 5ms), Kind::UsePrimary, false },
        ReadCase { "later term", 150, 2, true, token(1, 150), Kind::UseReplica, false },
        ReadCase { "former term", 999, 1, true, token(2, 150), Kind::UsePrimary, false },
        ReadCase { "young", 200, 2, true, age(100ms), Kind::UseReplica, false },
        ReadCase { "old", 199, 2, true, age(100ms), Kind::UsePrimary, false },
        ReadCase { "old, no primary", 199, 2, false, age(100ms), Kind::Refuse, false },
        ReadCase { "open route, old", 99, 2, false, age(100ms, true), Kind::UseReplica, true },
        ReadCase { "open route, unknown", 0, 2, false, age(100ms, true), Kind::UseReplica, true }),
    [](const auto &info) {
        std::string name = info.param.name;
        std::erase_if(name, [](char c) { return c == ' ' || c == ','; });
        return name;
    });

// Guards against a split that overloads a slow server or does not minimise the mean delay.
TEST(ReadSplit, MinimisesMeanDelay)
{
    const std::vector<ServerMoments> servers { { 0.001, 0.002, 0.000008 },
                                               { 0.001, 0.004, 0.000032 },
                                               { 0.02, 0.002, 0.000008 } };
    for (const double rate : { 50.0, 300.0, 600.0, 1100.0 }) {
        const std::vector<double> best = splitReads(servers, rate);
        EXPECT_NEAR(best[0] + best[1] + best[2], 1, 1e-9);
        const double delay = meanDelay(servers, best, rate);
        for (int i = 0; i < 9; ++i) {
            std::vector<double> other = best;
            const double moved = std::min(0.01, other[static_cast<std::size_t>(i % 3)]);
            other[static_cast<std::size_t>(i % 3)] -= moved;
            other[static_cast<std::size_t>(i / 3)] += moved;
            EXPECT_LE(delay, meanDelay(servers, other, rate) + 1e-9) << rate;
        }
    }
}

// Guards against an upstream that is used while it fails or gets full weight at once after its
// ejection, and against a group that is ejected as a whole.
TEST(UpstreamHealth, EjectsProbesAndReturnsGradually)
{
    const HealthOptions options;
    Random random(1);
    std::vector<UpstreamHealth> group(3);
    UpstreamHealth &health = group[0];
    TimePoint now(1s);
    for (int i = 0; i < 3; ++i) {
        EXPECT_EQ(healthWeight(health, options, now), 1);
        recordFailure(health, options, now, random);
    }
    EXPECT_EQ(healthWeight(health, options, now), 0);
    EXPECT_FALSE(tryStartProbe(health, options, now, random));
    now += 200ms;
    EXPECT_TRUE(tryStartProbe(health, options, now, random));
    recordFailure(health, options, now, random);
    EXPECT_FALSE(tryStartProbe(health, options, now + 199ms, random));
    now += 400ms;
    for (int i = 0; i < 2; ++i) {
        EXPECT_TRUE(tryStartProbe(health, options, now, random));
        recordSuccess(health, options, now);
    }
    EXPECT_LT(healthWeight(health, options, now + 1s), 0.6);
    EXPECT_EQ(healthWeight(health, options, now + 2s), 1);
    for (UpstreamHealth &each : group) {
        for (int i = 0; i < 3; ++i)
            recordFailure(each, options, now, random);
    }
    EXPECT_EQ(groupWeights(group, options, now), std::vector<double>(3, 1.0));
}

// Guards against two retry reasons that share a metric label.
TEST(Retry, ReasonNamesDiffer)
{
    std::set<std::string_view> names;
    for (const RetryReasonRow &row : retryReasonTable())
        names.insert(row.name);
    EXPECT_EQ(names.size(), retryReasonTable().size());
}

} // namespace
} // namespace shallotlever
