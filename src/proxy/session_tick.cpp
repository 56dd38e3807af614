// Timeouts and retries of a session.

#include <algorithm>

#include "session.h"

namespace shallotlever {

namespace {

/// Time limit for the first message after the connection was accepted.
constexpr Duration kFirstMessageTimeout = 5s;

} // namespace

void CallerSession::tick(TimePoint now)
{
    m_socket->tick(now);
    applyLimits(now);
    if (m_awaitingLease && !m_disconnected)
        answerStart(now);
    if (!m_started && !m_disconnected && now >= m_openedAt + kFirstMessageTimeout
        && !m_socket->hasUnreadInput())
        close();
    if (m_execution) {
        switch (m_execution->phase) {
        case Phase::AwaitingLease:
            if (m_state.fresh(now) || now >= m_execution->deadline || !m_state.expectsLease(now))
                admit(now);
            return;
        case Phase::AwaitingToken:
            takeToken(now);
            return;
        case Phase::AwaitingUpstream:
            if (now >= m_execution->deadline)
                giveUp(now);
            else if (now >= m_execution->retryAt)
                startAttempt(now);
            return;
        case Phase::Running:
            if (now >= m_execution->deadline)
                onDeadline(now);
            return;
        }
    }
    const auto idleLimit = m_state.config.installed.transactionIdleLimit;
    if (m_transaction && !m_transaction->lost && !m_transaction->failed && m_queue.empty()
        && idleLimit.count() > 0 && now >= m_transaction->lastActiveAt + idleLimit)
        abortTransaction(now);
}

TimePoint CallerSession::nextTick(TimePoint now) const
{
    if (finished() || (m_awaitingLease && !m_disconnected))
        return now;
    TimePoint due = std::min(m_socket->nextTick(now), nextLimit(now));
    if (!m_started && !m_disconnected)
        due = std::min(due, m_openedAt + kFirstMessageTimeout);
    if (m_execution) {
        switch (m_execution->phase) {
        case Phase::AwaitingLease:
        case Phase::AwaitingToken:
            return now;
        case Phase::AwaitingUpstream:
            return std::min({ due, m_execution->deadline, m_execution->retryAt });
        case Phase::Running:
            return std::min(due, m_execution->deadline);
        }
    }
    const Duration idleLimit = m_state.config.installed.transactionIdleLimit;
    if (m_transaction && !m_transaction->lost && !m_transaction->failed && m_queue.empty()
        && idleLimit.count() > 0)
        due = std::min(due, m_transaction->lastActiveAt + idleLimit);
    return due;
}

} // namespace shallotlever
