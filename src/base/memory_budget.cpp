#include "shallotlever/base/memory_budget.h"

#include <algorithm>
#include <vector>

namespace shallotlever {

namespace {

/// The budget for what others fill is the memory of the process divided by this. The rest is for
/// the program itself, and for the copies that a message needs on its way.
constexpr std::size_t kMemoryDivisor = 4;
/// The floors of all connections take at most the limit divided by this; bounds of one, in bytes.
constexpr std::size_t kFloorsDivisor = 2;
constexpr std::size_t kMinFloor = 4U << 10U;
constexpr std::size_t kMaxFloor = 32U << 10U;
/// Wait for memory after which another connection is closed.
constexpr Duration kMaxWait = 100ms;
/// Connections closed at a time for those that wait.
constexpr std::size_t kClosesForWaiting = 1;

} // namespace

std::string_view chargeKindName(ChargeKind kind)
{
    switch (kind) {
    case ChargeKind::SessionInput:
        return "session_input";
    case ChargeKind::SessionOutput:
        return "session_output";
    case ChargeKind::QueuedStatements:
        return "queued_statements";
    case ChargeKind::SessionState:
        return "session_state";
    case ChargeKind::RunningStatements:
        return "running_statements";
    case ChargeKind::CollectedAnswers:
        return "collected_answers";
    case ChargeKind::HttpInput:
        return "http_input";
    case ChargeKind::Count:
        break;
    }
    return "unknown";
}

MemoryLimits memoryLimitsOf(std::optional<std::size_t> processBytes, std::size_t connections)
{
    MemoryLimits limits;
    if (!processBytes)
        return limits;
    limits.total = *processBytes / kMemoryDivisor;
    const std::size_t share = limits.total / kFloorsDivisor / std::max<std::size_t>(connections, 1);
    limits.floor = std::clamp(share, kMinFloor, kMaxFloor);
    return limits;
}

MemoryBudget::MemoryBudget(const MemoryLimits &limits)
    : m_limits(limits)
{
}

std::size_t MemoryBudget::charged() const
{
    const std::scoped_lock lock(m_mutex);
    return m_charged;
}

std::size_t MemoryBudget::charged(ChargeKind kind) const
{
    const std::scoped_lock lock(m_mutex);
    return m_chargedByKind[static_cast<std::size_t>(kind)];
}

std::size_t MemoryBudget::waiting() const
{
    const std::scoped_lock lock(m_mutex);
    return m_waiting;
}

bool MemoryBudget::needsReclaim() const
{
    const std::scoped_lock lock(m_mutex);
    return m_charged > m_limits.total || m_waiting > 0;
}

void MemoryBudget::reclaim(TimePoint now)
{
    const std::scoped_lock lock(m_mutex);
    if (m_charged > m_limits.total) {
        selectForClosing(m_limits.total, m_accounts.size(), now);
        return;
    }
    if (m_waiting == 0 || now < m_lastReclaimAt + kMaxWait)
        return;
    const bool waitedLong =
        std::any_of(m_accounts.begin(), m_accounts.end(), [now](const MemoryAccount *account) {
            return account->m_waitingSince && now >= *account->m_waitingSince + kMaxWait;
        });
    if (waitedLong)
        selectForClosing(0, kClosesForWaiting, now);
}

/// Marks accounts for closing until the others hold at most `target` bytes. What is within the
/// floor of a connection is never reclaimed.
void MemoryBudget::selectForClosing(std::size_t target, std::size_t maxCount, TimePoint now)
{
    struct Candidate
    {
        MemoryAccount *account = nullptr;
        double heldTime = 0;
    };
    std::size_t remaining = m_charged;
    std::vector<Candidate> candidates;
    for (MemoryAccount *account : m_accounts) {
        if (account->m_mustClose)
            remaining -= account->m_charged;
        else if (account->m_charged > m_limits.floor)
            candidates.push_back(
                { account,
                  static_cast<double>(account->m_charged)
                      * std::chrono::duration<double>(now - account->m_progressAt).count() });
    }
    std::sort(candidates.begin(), candidates.end(),
              [](const Candidate &a, const Candidate &b) { return a.heldTime > b.heldTime; });
    std::size_t marked = 0;
    for (const Candidate &candidate : candidates) {
        if (remaining <= target || marked == maxCount)
            break;
        candidate.account->m_mustClose = true;
        remaining -= candidate.account->m_charged;
        ++marked;
    }
    m_lastReclaimAt = now;
}

MemoryAccount::MemoryAccount(MemoryBudget &budget)
    : m_budget(budget)
{
    const std::scoped_lock lock(m_budget.m_mutex);
    m_budget.m_accounts.insert(this);
}

MemoryAccount::~MemoryAccount()
{
    const std::scoped_lock lock(m_budget.m_mutex);
    m_budget.m_charged -= m_charged;
    for (std::size_t kind = 0; kind < kChargeKindCount; ++kind)
        m_budget.m_chargedByKind[kind] -= m_charges[kind];
    if (m_waitingSince)
        --m_budget.m_waiting;
    m_budget.m_accounts.erase(this);
}

void MemoryAccount::setCharge(ChargeKind kind, std::size_t bytes, TimePoint now)
{
    std::size_t &charge = m_charges[static_cast<std::size_t>(kind)];
    if (charge == bytes)
        return;
    const std::scoped_lock lock(m_budget.m_mutex);
    if (m_charged == 0)
        m_progressAt = now;
    const std::size_t added = bytes - charge;
    charge = bytes;
    m_charged += added;
    m_budget.m_charged += added;
    m_budget.m_chargedByKind[static_cast<std::size_t>(kind)] += added;
    // Closing it would free nothing for others.
    if (m_charged <= m_budget.m_limits.floor)
        m_mustClose = false;
}

bool MemoryAccount::mayTake(std::size_t bytes, TimePoint now)
{
    const std::scoped_lock lock(m_budget.m_mutex);
    const MemoryLimits &limits = m_budget.m_limits;
    const bool granted = m_charged + bytes <= limits.floor
        || (m_budget.m_charged <= limits.total && bytes <= limits.total - m_budget.m_charged);
    if (granted && m_waitingSince) {
        m_waitingSince.reset();
        --m_budget.m_waiting;
    } else if (!granted && !m_waitingSince) {
        m_waitingSince = now;
        ++m_budget.m_waiting;
    }
    return granted;
}

void MemoryAccount::stopWaiting()
{
    if (!m_waitingSince)
        return;
    const std::scoped_lock lock(m_budget.m_mutex);
    m_waitingSince.reset();
    --m_budget.m_waiting;
}

void MemoryAccount::noteProgress(TimePoint now)
{
    // Without a charge the time of the next one counts.
    if (m_charged == 0)
        return;
    const std::scoped_lock lock(m_budget.m_mutex);
    m_progressAt = now;
}

bool MemoryAccount::mustClose() const
{
    return m_mustClose;
}

bool MemoryAccount::isReclaimable() const
{
    return isWaiting() || m_charged > m_budget.m_limits.floor;
}

} // namespace shallotlever
