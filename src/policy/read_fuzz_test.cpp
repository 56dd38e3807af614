#include <algorithm>
#include <functional>
#include <map>

#include "fuzz_main_test.h"
#include "shallotlever/base/random.h"
#include "shallotlever/policy/replica_choice.h"
#include "shallotlever/policy/retry.h"

namespace shallotlever {
namespace {

/// Faults that the oracle must detect.
struct ReadFaults
{
    bool averageStaleness = false;
    bool stampAtReceipt = false;
};

/// A simulated log: the time of every write of the primary, and replicas that follow at random.
class World
{
public:
    World(std::uint64_t seed, ReadFaults faults)
        : m_random(seed)
        , m_faults(faults)
    {
        m_history.averageStaleness = faults.averageStaleness;
        m_history.averageLagUs = 20000;
        m_group.term = Term(1);
        m_group.primary = UpstreamId("p");
        for (const char *id : { "p", "r1", "r2" }) {
            UpstreamInfo info;
            info.id = UpstreamId(id);
            m_group.upstreams[info.id] = info;
            UpstreamObservation observation;
            observation.id = info.id;
            m_observations.push_back(observation);
            m_position[info.id] = 0;
        }
    }

    Violation step()
    {
        m_now += uniformDuration(m_random, 100us, 5ms);
        if (chance(500))
            m_writing = !m_writing;
        if (m_writing && chance(2))
            m_writes.push_back(m_now);
        follow();
        if (chance(1000))
            changePrimary();
        if (chance(3))
            poll(m_observations[uniformBelow(m_random, m_observations.size())]);
        const auto due = std::stable_partition(m_answers.begin(), m_answers.end(),
                                               [&](const auto &a) { return a.first > m_now; });
        const std::vector<Answer> answers(due, m_answers.end());
        m_answers.erase(due, m_answers.end());
        for (const Answer &answer : answers)
            answer.second();
        return readOnce();
    }

private:
    using Answer = std::pair<TimePoint, std::function<void()>>;

    bool chance(std::uint64_t in) { return uniformBelow(m_random, in) == 0; }

    void follow()
    {
        m_position[*m_group.primary] = m_writes.size();
        for (auto &[id, position] : m_position) {
            if (chance(300))
                m_frozen[id] = m_now + uniformDuration(m_random, 0ms, 2s);
            const auto most = static_cast<std::size_t>(uniformBelow(m_random, 4));
            if (id != *m_group.primary && m_frozen[id] <= m_now)
                position = std::min(m_writes.size(), position + most);
        }
    }

    /// The replica that is furthest becomes primary at a new term; the others follow its history.
    void changePrimary()
    {
        UpstreamId best = *m_group.primary;
        std::size_t position = 0;
        for (const auto &[id, at] : m_position) {
            if (id != *m_group.primary && at >= position) {
                best = id;
                position = at;
            }
        }
        m_writes.resize(position);
        for (auto &[id, at] : m_position)
            at = std::min(at, position);
        m_group.primary = best;
        m_group.term = m_group.term.next();
    }

    /// Asks an upstream for its status; the answer is made and received some time later.
    void poll(UpstreamObservation &observation)
    {
        const TimePoint sent = m_now;
        const std::size_t index = static_cast<std::size_t>(&observation - m_observations.data());
        m_answers.push_back(
            { m_now + uniformDuration(m_random, 0ms, 20ms), [this, sent, index] {
                 const UpstreamId &id = m_observations[index].id;
                 const HistoryPoint point { m_group.term, LogPosition(m_position[id]) };
                 const Duration way = uniformDuration(m_random, 0ms, 20ms);
                 m_answers.push_back(
                     { m_now + way, [this, sent, index, point] {
                          m_observations[index].point = point;
                          m_observations[index].pointAt = sent;
                          if (m_observations[index].id == m_group.primary
                              && point.term == m_group.term)
                              observePrimary(m_history,
                                             { m_faults.stampAtReceipt ? m_now : sent, point });
                      } });
             } });
    }

    Violation readOnce()
    {
        ReadNeed need;
        if (chance(2))
            need.maxStaleness = uniformDuration(m_random, 1ms, 500ms);
        if (chance(2) && !m_writes.empty())
            need.token = HistoryPoint { m_group.term, LogPosition(m_writes.size()) };
        const ReadSituation situation { &m_group, {}, nullptr, &m_history, m_observations, 0 };
        const ReadChoice choice = chooseUpstream(situation, need, m_now, m_random);
        if (choice.kind != ReadChoice::Kind::UseReplica)
            return std::nullopt;
        const std::size_t position = m_position[choice.upstream];
        if (need.token && position < need.token->position.value())
            return "a session read went to a replica without its writes";
        const Duration age = position >= m_writes.size() ? Duration(0) : m_now - m_writes[position];
        if (choice.staleness && age > *choice.staleness)
            return "data older than the stated bound";
        if (need.maxStaleness && age > *need.maxStaleness)
            return "data older than the request accepts";
        return std::nullopt;
    }

    Random m_random;
    ReadFaults m_faults;
    TimePoint m_now { 10s };
    bool m_writing = true;
    GroupView m_group;
    std::vector<UpstreamObservation> m_observations;
    PrimaryHistory m_history;
    /// Time of each write of the current history.
    std::vector<TimePoint> m_writes;
    std::map<UpstreamId, std::size_t> m_position;
    std::map<UpstreamId, TimePoint> m_frozen;
    std::vector<Answer> m_answers;
};

Violation run(std::uint64_t seed, std::uint64_t steps, const ReadFaults &faults)
{
    World world(seed, faults);
    for (std::uint64_t i = 0; i < steps; ++i) {
        if (const Violation found = world.step())
            return found;
    }
    return std::nullopt;
}

constexpr std::uint64_t kSteps = 20000;

// Guards against reads that miss the session's writes or are older than stated, under lag,
// freezes, delayed observations and changes of primary.
TEST(ReadFuzz, FreshnessHolds)
{
    const Violation found = fuzzSeeds(run, kSteps, ReadFaults {});
    EXPECT_FALSE(found) << *found;
}

class ReadFault : public testing::TestWithParam<ReadFaults>
{
};

// Guards against an oracle that would not notice the fault.
TEST_P(ReadFault, IsDetected)
{
    EXPECT_TRUE(fuzzSeeds(run, kSteps, GetParam()));
}

INSTANTIATE_TEST_SUITE_P(Faults, ReadFault,
                         testing::Values(ReadFaults { .averageStaleness = true },
                                         ReadFaults { .stampAtReceipt = true }));

Violation retryRun(std::uint64_t seed, std::uint64_t steps, bool ignorePermission)
{
    Random random(seed);
    const PresetPolicy policy;
    RetryBudget budget;
    double most = budget.maxTokens;
    double retries = 0;
    for (std::uint64_t i = 0; i < steps; ++i) {
        earnRetryBudget(budget, policy);
        most += policy.retryBudgetRatio;
        RetryQuestion q;
        q.reason = static_cast<RetryReason>(uniformBelow(random, retryReasonTable().size()));
        q.read = uniformBelow(random, 2) == 0;
        q.idempotent = uniformBelow(random, 4) == 0;
        q.insideTransaction = uniformBelow(random, 4) == 0;
        q.attempts = 1 + static_cast<std::uint32_t>(uniformBelow(random, 4));
        q.expectedServiceTime = uniformDuration(random, 0ms, 50ms);
        q.ignorePermission = ignorePermission;
        const TimePoint now(1s);
        q.deadline = now + uniformDuration(random, 0ms, 100ms);
        const RetryDecision decision = decideRetry(q, budget, policy, now, random);
        retries += decision.retry ? 1 : 0;
        const bool mayHaveRun = q.reason == RetryReason::ReadConnectionLost
            || q.reason == RetryReason::ReadTimedOut || q.reason == RetryReason::ReadFailed
            || q.reason == RetryReason::IdempotentRepeat;
        if (decision.retry && (q.insideTransaction || (mayHaveRun && !q.read && !q.idempotent)))
            return "repeated a request that may have run";
        if (decision.retry && now + decision.delay + q.expectedServiceTime > q.deadline)
            return "retry cannot finish before the deadline";
        if (decision.retry && q.attempts >= policy.maxAttempts)
            return "too many attempts";
        if (retries > most)
            return "retry budget exceeded";
    }
    return std::nullopt;
}

// Guards against retries that are not permitted, too late or over the budget.
TEST(RetryFuzz, RetriesOnlyWhenPermitted)
{
    const Violation found = fuzzSeeds(retryRun, kSteps, false);
    EXPECT_FALSE(found) << *found;
}

// Guards against an oracle that would not notice the fault.
TEST(RetryFuzz, IgnoredPermissionIsDetected)
{
    EXPECT_TRUE(fuzzSeeds(retryRun, kSteps, true));
}

} // namespace
} // namespace shallotlever

int main(int argc, char **argv)
{
    return shallotlever::fuzzMain(argc, argv);
}
