#include <algorithm>
#include <cmath>
#include <map>

#include "fuzz_main_test.h"
#include "shallotlever/base/random.h"
#include "shallotlever/policy/fair_queue.h"

namespace shallotlever {
namespace {

constexpr Duration kService = 10ms;
/// Number of requests by which a team may fall behind another one while both wait: one round of
/// deficits each.
constexpr double kFairnessBound = 6;

/// Keeps requests of several teams and of open routes waiting; one team sends far more than the
/// others.
class FuzzSimulation
{
public:
    FuzzSimulation(std::uint64_t seed, bool fifo)
        : m_random(seed)
        , m_options { 64, 5, 0.2, fifo }
        , m_queue(m_options)
    {
    }

    Violation step()
    {
        m_now += 1ms;
        arrive();
        std::erase_if(m_running, [&](const auto &item) {
            if (item.first > m_now)
                return false;
            m_queue.finished(item.second, kService);
            return true;
        });
        std::vector<QueueRefusal> refused;
        while (const auto request = m_queue.next(m_now, refused)) {
            if (const Violation found = start(*request))
                return found;
        }
        for (const QueueRefusal &refusal : refused) {
            if (m_waiting.erase(refusal.ticket) != 1)
                return "refused a request that does not wait";
        }
        return checkServed();
    }

private:
    std::string pick() { return "t" + std::to_string(uniformBelow(m_random, 4)); }

    void arrive()
    {
        for (std::uint64_t i = uniformBelow(m_random, 6); i > 0; --i) {
            const std::string name = uniformBelow(m_random, 3) == 0 ? pick() : "t0";
            QueuedRequest request { TicketId(++m_tickets), TeamId(name),
                                    m_now + uniformDuration(m_random, 50ms, 3s) };
            request.openRoute = uniformBelow(m_random, 12) == 0;
            if (!m_queue.enqueue(request, m_now))
                m_waiting.emplace(request.ticket, request);
        }
        if (!m_waiting.empty() && uniformBelow(m_random, 50) == 0) {
            const TicketId victim = m_waiting.begin()->first;
            m_cancelFailed = !m_queue.cancel(victim) || m_queue.cancel(victim);
            m_waiting.erase(victim);
        }
    }

    Violation start(const QueuedRequest &request)
    {
        if (m_waiting.erase(request.ticket) != 1)
            return "served a request that does not wait";
        if (m_now + kService > request.deadline + 1ms && m_now > TimePoint(1s))
            return "served a request that cannot finish before its deadline";
        m_running.push_back({ m_now + kService, request });
        if (m_running.size() > m_options.slots)
            return "more requests than slots";
        if (!request.openRoute) {
            m_served[request.team] += 1;
            for (const auto &[id, other] : m_waiting) {
                if (!m_options.fifoQueue && other.team == request.team && !other.openRoute
                    && other.deadline < request.deadline)
                    return "not earliest deadline first within the team";
            }
        }
        return std::nullopt;
    }

    /// Checks that a team that waits continuously does not fall behind another one by more than
    /// kFairnessBound.
    Violation checkServed()
    {
        if (m_cancelFailed)
            return "cancellation did not take the request out exactly once";
        if (m_queue.size() != m_waiting.size())
            return "size differs from the model";
        std::map<TeamId, int> waiting;
        for (const auto &[id, request] : m_waiting)
            waiting[request.team] += request.openRoute ? 0 : 1;
        for (int t = 0; t < 4; ++t) {
            const TeamId team("t" + std::to_string(t));
            if (waiting[team] == 0)
                m_servedAtStart[team] = m_served;
            for (const auto &[other, count] : m_served) {
                const double behind = (count - m_servedAtStart[team][other])
                    - (m_served[team] - m_servedAtStart[team][team]);
                if (behind > kFairnessBound)
                    return team.value() + " waits but fell behind " + other.value();
            }
        }
        return std::nullopt;
    }

    Random m_random;
    FairQueueOptions m_options;
    FairQueue m_queue;
    TimePoint m_now;
    std::uint64_t m_tickets = 0;
    bool m_cancelFailed = false;
    std::map<TicketId, QueuedRequest> m_waiting;
    std::vector<std::pair<TimePoint, QueuedRequest>> m_running;
    std::map<TeamId, double> m_served;
    std::map<TeamId, std::map<TeamId, double>> m_servedAtStart;
};

Violation run(std::uint64_t seed, std::uint64_t steps, bool fifo)
{
    FuzzSimulation simulation(seed, fifo);
    for (std::uint64_t i = 0; i < steps; ++i) {
        if (const Violation found = simulation.step())
            return found;
    }
    return std::nullopt;
}

constexpr std::uint64_t kSteps = 5000;

// Guards against a team that starves or falls behind, a wrong order within a team, requests that
// are lost or served twice, and requests that are started too late.
TEST(QueueFuzz, SharesSlotsFairly)
{
    const Violation found = fuzzSeeds(run, kSteps, false);
    EXPECT_FALSE(found) << *found;
}

// Guards against an oracle that does not detect the injected fault.
TEST(QueueFuzz, FifoQueueIsDetected)
{
    EXPECT_TRUE(fuzzSeeds(run, kSteps, true));
}

} // namespace
} // namespace shallotlever

int main(int argc, char **argv)
{
    return shallotlever::fuzzMain(argc, argv);
}
