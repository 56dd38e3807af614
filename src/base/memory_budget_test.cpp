#include "shallotlever/base/memory_budget.h"

#include <memory>
#include <random>
#include <vector>

#include <gtest/gtest.h>

namespace shallotlever {
namespace {

constexpr std::size_t kFloor = 100;
constexpr MemoryLimits kLimits { 1000, kFloor };
constexpr TimePoint kStart { 1s };

struct Holding
{
    std::size_t bytes = 0;
    Duration withoutProgress { 0 };
    bool mustClose = false;
};

struct ReclaimCase
{
    const char *name;
    std::vector<Holding> holdings;
    /// Bytes that a further connection asks for, and how long ago.
    std::size_t wanted = 0;
    Duration waited { 0 };
    MemoryLimits limits = kLimits;
};

void PrintTo(const ReclaimCase &load, std::ostream *out)
{
    *out << load.name;
}

class MemoryReclaim : public testing::TestWithParam<ReclaimCase>
{
};

TEST_P(MemoryReclaim, ClosesWhoHoldsMostForLongest)
{
    const ReclaimCase &load = GetParam();
    const TimePoint now = kStart + 100s;
    MemoryBudget budget(load.limits);
    std::vector<std::unique_ptr<MemoryAccount>> accounts;
    for (const Holding &holding : load.holdings) {
        accounts.push_back(std::make_unique<MemoryAccount>(budget));
        accounts.back()->setCharge(ChargeKind::SessionInput, holding.bytes,
                                   now - holding.withoutProgress);
    }
    MemoryAccount waiting(budget);
    if (load.wanted > 0)
        waiting.mayTake(load.wanted, now - load.waited);
    budget.reclaim(now);
    for (std::size_t i = 0; i < accounts.size(); ++i)
        EXPECT_EQ(accounts[i]->mustClose(), load.holdings[i].mustClose) << i;
    EXPECT_FALSE(waiting.mustClose());
}

INSTANTIATE_TEST_SUITE_P(
    Loads, MemoryReclaim,
    testing::Values(
        ReclaimCase { "the limit is kept", { { 500, 9s }, { 500, 1s } } },
        ReclaimCase { "over the limit the longest goes", { { 510, 9s, true }, { 510, 1s } } },
        ReclaimCase { "over the limit the largest goes", { { 101, 2s }, { 950, 2s, true } } },
        ReclaimCase { "as many go as needed",
                      { { 500, 9s, true }, { 900, 8s, true }, { 600, 1s } } },
        ReclaimCase { "floors are kept", std::vector<Holding>(20, { kFloor, 9s }) },
        ReclaimCase { "one goes for who waits", { { 500, 9s, true }, { 450, 1s } }, 200, 1s },
        ReclaimCase { "a short wait is waited", { { 500, 9s }, { 450, 1s } }, 200, 10ms },
        ReclaimCase { "the floor needs no wait", { { 500, 9s }, { 500, 1s } }, kFloor, 1s },
        ReclaimCase { "without a limit nobody goes", { { 500, 9s } }, 5000, 1s, MemoryLimits {} }));

struct LimitsCase
{
    std::optional<std::size_t> processBytes;
    std::size_t connections;
    std::size_t floor;
};

class MemoryLimitsOf : public testing::TestWithParam<LimitsCase>
{
};

// Guards against connections that all hold their floor and leave nothing for one large message.
TEST_P(MemoryLimitsOf, LeavesRoomAboveTheFloors)
{
    const LimitsCase &given = GetParam();
    const MemoryLimits limits = memoryLimitsOf(given.processBytes, given.connections);
    EXPECT_EQ(limits.floor, given.floor);
    EXPECT_LE(given.connections * limits.floor, limits.total / 2);
}

INSTANTIATE_TEST_SUITE_P(Processes, MemoryLimitsOf,
                         testing::Values(LimitsCase { std::nullopt, 1000, 32U << 10U },
                                         LimitsCase { 112U << 20U, 80, 32U << 10U },
                                         LimitsCase { 112U << 20U, 1792, 8U << 10U },
                                         LimitsCase { 128U << 20U, 4096, 4U << 10U }));

/// Connections that come, use memory and go at random.
class MemorySimulation
{
public:
    explicit MemorySimulation(std::uint64_t seed)
        : m_random(seed)
        , m_budget(kLimits)
    {
    }

    void step()
    {
        m_now += std::chrono::milliseconds(pick(50));
        const std::size_t index = m_accounts.empty() ? 0 : pick(m_accounts.size());
        switch (m_accounts.empty() ? 0 : pick(6)) {
        case 0:
            m_accounts.push_back(std::make_unique<MemoryAccount>(m_budget));
            break;
        case 1:
            m_accounts.erase(m_accounts.begin() + static_cast<std::ptrdiff_t>(index));
            break;
        case 2:
            m_accounts[index]->noteProgress(m_now);
            break;
        case 3:
            checkReclaim();
            break;
        default:
            charge(*m_accounts[index]);
        }
        checkSums();
    }

private:
    std::size_t pick(std::size_t count) { return m_random() % count; }

    void charge(MemoryAccount &account)
    {
        const auto kind = static_cast<ChargeKind>(pick(kChargeKindCount));
        const std::size_t bytes = pick(2 * kFloor);
        const bool granted = account.mayTake(bytes, m_now);
        EXPECT_TRUE(granted || account.charged() + bytes > kFloor);
        EXPECT_NE(granted, account.isWaiting());
        // Some kinds are known only when the memory is used already.
        if (granted || pick(4) == 0)
            account.setCharge(kind, bytes, m_now);
    }

    void checkReclaim()
    {
        m_budget.reclaim(m_now);
        std::size_t kept = 0;
        bool aboveFloor = false;
        for (const auto &account : m_accounts) {
            if (account->mustClose())
                continue;
            kept += account->charged();
            aboveFloor = aboveFloor || account->charged() > kFloor;
        }
        EXPECT_TRUE(kept <= kLimits.total || !aboveFloor);
    }

    void checkSums() const
    {
        std::size_t held = 0;
        std::size_t waiting = 0;
        for (const auto &account : m_accounts) {
            held += account->charged();
            waiting += account->isWaiting() ? 1 : 0;
        }
        std::size_t byKind = 0;
        for (std::size_t kind = 0; kind < kChargeKindCount; ++kind) {
            const std::size_t charged = m_budget.charged(static_cast<ChargeKind>(kind));
            // A negative charge would be a very large one.
            EXPECT_LE(charged, held);
            byKind += charged;
        }
        EXPECT_EQ(m_budget.charged(), held);
        EXPECT_EQ(byKind, held);
        EXPECT_EQ(m_budget.waiting(), waiting);
    }

    std::mt19937_64 m_random;
    MemoryBudget m_budget;
    std::vector<std::unique_ptr<MemoryAccount>> m_accounts;
    TimePoint m_now = kStart;
};

TEST(MemoryFuzz, SumsEqualTheirPartsAndFloorsAreGranted)
{
    constexpr std::uint64_t kSeeds = 16;
    constexpr int kSteps = 2000;
    for (std::uint64_t seed = 1; seed <= kSeeds && !HasFailure(); ++seed) {
        SCOPED_TRACE(seed);
        MemorySimulation simulation(seed);
        for (int i = 0; i < kSteps && !HasFailure(); ++i)
            simulation.step();
    }
}

} // namespace
} // namespace shallotlever
