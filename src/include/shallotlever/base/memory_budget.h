#pragma once

#include <array>
#include <atomic>
#include <cstddef>
#include <cstdint>
#include <limits>
#include <mutex>
#include <optional>
#include <set>
#include <string_view>

#include "shallotlever/base/time.h"

namespace shallotlever {

/// What memory is used for that others fill.
enum class ChargeKind : std::uint8_t {
    SessionInput,
    SessionOutput,
    QueuedStatements,
    /// Variables and prepared statements of sessions.
    SessionState,
    /// Statements that are being run.
    RunningStatements,
    /// Answers of databases that are not complete.
    CollectedAnswers,
    HttpInput,
    Count
};
constexpr auto kChargeKindCount = static_cast<std::size_t>(ChargeKind::Count);

/// Name used in metrics.
std::string_view chargeKindName(ChargeKind kind);

struct MemoryLimits
{
    /// Sum of all charges, in bytes.
    std::size_t total = std::numeric_limits<std::size_t>::max();
    /// Bytes that each connection may always use.
    std::size_t floor = 32U << 10U;
};

/// Limits for a process that may use `processBytes` and that callers may open `connections` to;
/// without a limit for nullopt.
MemoryLimits memoryLimitsOf(std::optional<std::size_t> processBytes, std::size_t connections);

class MemoryAccount;

/// The memory that the connections of a process use together. Thread-safe. Must outlive its
/// accounts.
class MemoryBudget
{
public:
    explicit MemoryBudget(const MemoryLimits &limits = {});
    MemoryBudget(const MemoryBudget &) = delete;
    MemoryBudget &operator=(const MemoryBudget &) = delete;

    bool isLimited() const { return m_limits.total != std::numeric_limits<std::size_t>::max(); }
    std::size_t charged() const;
    std::size_t charged(ChargeKind kind) const;
    /// Accounts that were refused memory and wait for it.
    std::size_t waiting() const;
    /// reclaim() may have something to do.
    bool needsReclaim() const;
    /// Marks accounts for closing if the limit is exceeded, or one of them if a connection has
    /// waited for memory for 100 ms: first those with the largest product of bytes held and time
    /// without progress.
    void reclaim(TimePoint now);

private:
    friend class MemoryAccount;

    void selectForClosing(std::size_t target, std::size_t maxCount, TimePoint now);

    const MemoryLimits m_limits;
    mutable std::mutex m_mutex;
    std::size_t m_charged = 0;
    std::array<std::size_t, kChargeKindCount> m_chargedByKind {};
    std::set<MemoryAccount *> m_accounts;
    std::size_t m_waiting = 0;
    TimePoint m_lastReclaimAt;
};

/// What one connection uses of the budget. Its functions may be called on one thread at a time.
class MemoryAccount
{
public:
    explicit MemoryAccount(MemoryBudget &budget);
    /// Returns everything.
    ~MemoryAccount();
    MemoryAccount(const MemoryAccount &) = delete;
    MemoryAccount &operator=(const MemoryAccount &) = delete;

    /// Notes what is used for `kind`, also beyond the limit.
    void setCharge(ChargeKind kind, std::size_t bytes, TimePoint now);
    /// Whether the connection may use `bytes` more. It waits for memory from the first refusal to
    /// the next permission.
    bool mayTake(std::size_t bytes, TimePoint now);
    /// The connection does not need more memory at present.
    void stopWaiting();
    /// A message of the peer was completed, or an answer was taken by it.
    void noteProgress(TimePoint now);
    /// The connection has to be closed, because others need its memory.
    bool mustClose() const;
    bool isWaiting() const { return m_waitingSince.has_value(); }
    /// Uses more than the floor or waits for memory, so that reclaim() may concern the connection.
    bool isReclaimable() const;
    std::size_t charged() const { return m_charged; }
    std::size_t charged(ChargeKind kind) const { return m_charges[static_cast<std::size_t>(kind)]; }

private:
    friend class MemoryBudget;

    MemoryBudget &m_budget;
    // Changed on the thread of the connection with the lock held, so that this thread reads them
    // without it.
    std::array<std::size_t, kChargeKindCount> m_charges {};
    std::size_t m_charged = 0;
    TimePoint m_progressAt;
    std::optional<TimePoint> m_waitingSince;
    std::atomic<bool> m_mustClose = false;
};

} // namespace shallotlever
