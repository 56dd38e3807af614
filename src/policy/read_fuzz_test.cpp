#include <algorithm>
#include <functional>
#include <map>

#include "fuzz_main_test.h"
#include "shallotlever/base/random.h"
#include "shallotlever/policy/replica_choice.h"
#include "shallotlever/policy/retry.h"

namespace shallotlever {
namespace {

/// Injected faults that the oracle must detect.
struct ReadFaults
{
    bool useAverageLag = false;
    bool useReceiptTime = false;
};

/// Simulates the log of a primary, with the time of every write, and replicas that follow it with
/// random delays.
class FuzzSimulation
{
public:
    FuzzSimulation(std::uint64_t seed, ReadFaults faults)
        : m_random(seed)
        , m_faults(faults)
    {
        m_history.useAverageLag = faults.useAverageLag;
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
        if (oneIn(500))
            m_writing = !m_writing;
        if (m_writing && oneIn(2))
            m_writes.push_back(m_now);
        advanceReplicas();
        if (oneIn(1000))
            changePrimary();
        if (oneIn(3))
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

    bool oneIn(std::uint64_t in) { return uniformBelow(m_random, in) == 0; }

    void advanceReplicas()
    {
        m_position[*m_group.primary] = m_writes.size();
        for (auto &[id, position] : m_position) {
            if (oneIn(300))
                m_stalledUntil[id] = m_now + uniformDuration(m_random, 0ms, 2s);
            const auto maxAdvance = static_cast<std::size_t>(uniformBelow(m_random, 4));
            if (id != *m_group.primary && m_stalledUntil[id] <= m_now)
                position = std::min(m_writes.size(), position + maxAdvance);
        }
    }

    /// Promotes the replica with the highest position at a new term; the others follow its history.
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

    /// Polls the status of an upstream. The upstream determines its answer some time later, and the
    /// answer arrives after another delay.
    void poll(UpstreamObservation &observation)
    {
        const TimePoint sent = m_now;
        const std::size_t index = static_cast<std::size_t>(&observation - m_observations.data());
        m_answers.push_back(
            { m_now + uniformDuration(m_random, 0ms, 20ms), [this, sent, index] {
                 const UpstreamId &id = m_observations[index].id;
                 const HistoryPoint point { m_group.term, LogPosition(m_position[id]) };
                 const Duration returnDelay = uniformDuration(m_random, 0ms, 20ms);
                 m_answers.push_back(
                     { m_now + returnDelay, [this, sent, index, point] {
                          m_observations[index].point = point;
                          m_observations[index].pointRequestedAt = sent;
                          if (m_observations[index].id == m_group.primary
                              && point.term == m_group.term)
                              recordPrimaryObservation(
                                  m_history, { m_faults.useReceiptTime ? m_now : sent, point });
                      } });
             } });
    }

    Violation readOnce()
    {
        ReadRequirements requirements;
        if (oneIn(2))
            requirements.maxStaleness = uniformDuration(m_random, 1ms, 500ms);
        if (oneIn(2) && !m_writes.empty())
            requirements.token = HistoryPoint { m_group.term, LogPosition(m_writes.size()) };
        const ReadContext context { &m_group, {}, nullptr, &m_history, m_observations, 0 };
        const ReadChoice choice = chooseUpstream(context, requirements, m_now, m_random);
        if (choice.kind != ReadChoice::Kind::UseReplica)
            return std::nullopt;
        const std::size_t position = m_position[choice.upstream];
        if (requirements.token && position < requirements.token->position.value())
            return "a session read went to a replica without its writes";
        const Duration age = position >= m_writes.size() ? Duration(0) : m_now - m_writes[position];
        if (choice.staleness && age > *choice.staleness)
            return "data older than the stated bound";
        if (requirements.maxStaleness && age > *requirements.maxStaleness)
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
    /// Time of each write in the history of the current primary.
    std::vector<TimePoint> m_writes;
    std::map<UpstreamId, std::size_t> m_position;
    std::map<UpstreamId, TimePoint> m_stalledUntil;
    std::vector<Answer> m_answers;
};

Violation run(std::uint64_t seed, std::uint64_t steps, const ReadFaults &faults)
{
    FuzzSimulation simulation(seed, faults);
    for (std::uint64_t i = 0; i < steps; ++i) {
        if (const Violation found = simulation.step())
            return found;
    }
    return std::nullopt;
}

constexpr std::uint64_t kSteps = 20000;

// Guards against reads that miss the session's writes or return data older than stated, under
// replication lag, stalled replicas, delayed observations and changes of primary.
TEST(ReadFuzz, FreshnessHolds)
{
    const Violation found = fuzzSeeds(run, kSteps, ReadFaults {});
    EXPECT_FALSE(found) << *found;
}

class ReadFault : public testing::TestWithParam<ReadFaults>
{
};

// Guards against an oracle that does not detect the injected fault.
TEST_P(ReadFault, IsDetected)
{
    EXPECT_TRUE(fuzzSeeds(run, kSteps, GetParam()));
}

INSTANTIATE_TEST_SUITE_P(Faults, ReadFault,
                         testing::Values(ReadFaults { .useAverageLag = true },
                                         ReadFaults { .useReceiptTime = true }));

Violation runRetries(std::uint64_t seed, std::uint64_t steps, bool ignoreRetrySafety)
{
    Random random(seed);
    const PresetPolicy policy;
    RetryBudget budget;
    double maxRetries = budget.maxTokens;
    double retries = 0;
    for (std::uint64_t i = 0; i < steps; ++i) {
        creditRetryBudget(budget, policy);
        maxRetries += policy.retryBudgetRatio;
        RetryContext q;
        q.reason = static_cast<RetryReason>(uniformBelow(random, retryReasonTable().size()));
        q.read = uniformBelow(random, 2) == 0;
        q.idempotent = uniformBelow(random, 4) == 0;
        q.insideTransaction = uniformBelow(random, 4) == 0;
        q.attempts = 1 + static_cast<std::uint32_t>(uniformBelow(random, 4));
        q.expectedServiceTime = uniformDuration(random, 0ms, 50ms);
        q.ignoreRetrySafety = ignoreRetrySafety;
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
        if (retries > maxRetries)
            return "retry budget exceeded";
    }
    return std::nullopt;
}

// Guards against retries that are not safe, cannot finish before the deadline, or exceed the limit
// of attempts or the retry budget.
TEST(RetryFuzz, RetriesOnlyWhenPermitted)
{
    const Violation found = fuzzSeeds(runRetries, kSteps, false);
    EXPECT_FALSE(found) << *found;
}

// Guards against an oracle that does not detect the injected fault.
TEST(RetryFuzz, IgnoredPermissionIsDetected)
{
    EXPECT_TRUE(fuzzSeeds(runRetries, kSteps, true));
}

} // namespace
} // namespace shallotlever

int main(int argc, char **argv)
{
    return shallotlever::fuzzMain(argc, argv);
}
