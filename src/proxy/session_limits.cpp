// Limits of what callers use of the node, and sessions that are closed because of them.

#include "session_limits.h"

#include <algorithm>
#include <map>
#include <string>
#include <utility>

#include "session.h"
#include "shallotlever/base/clock.h"

namespace shallotlever {

namespace {

/// Statements that were sent ahead are read up to this many bytes; the last one may exceed it.
constexpr std::size_t kMaxQueuedBytes = 64U << 10U;
/// No further statement of a session is run while its caller has left this much unread.
constexpr std::size_t kMaxUnreadBytes = 256U << 10U;
/// Time for a further kReadAheadBytes of an incomplete line, and for a caller to take a part of its
/// unread answers.
constexpr Duration kMaxUnfinishedTime = 30s;
/// Copies of a statement while it runs: that of the session, and those on the way to the database.
constexpr std::size_t kCopiesOfRunning = 3;

std::size_t bytesOf(const Statement &statement)
{
    return statement.text.size() + statement.name.size()
        + (statement.arguments ? statement.arguments->size() : 0) + statement.prepared.shape.size();
}

} // namespace

std::string_view limitReasonName(LimitReason reason)
{
    switch (reason) {
    case LimitReason::Memory:
        return "memory";
    case LimitReason::UnfinishedLine:
        return "unfinished_line";
    case LimitReason::UnreadAnswer:
        return "unread_answer";
    case LimitReason::Descriptors:
        return "descriptors";
    case LimitReason::Count:
        break;
    }
    return "unknown";
}

LimitMetrics::LimitMetrics(MetricsRegistry &registry)
    : m_waiting(registry.gauge("shallotlever_connections_paused",
                               "Connections that wait for memory and are not read."))
{
    for (std::size_t i = 0; i < m_closed.size(); ++i)
        m_closed[i] = &registry.counter(
            "shallotlever_sessions_closed_total", "Sessions closed by a limit of the node.",
            { { "reason", std::string(limitReasonName(static_cast<LimitReason>(i))) } });
    for (std::size_t i = 0; i < m_charged.size(); ++i)
        m_charged[i] = &registry.gauge(
            "shallotlever_memory_charged_bytes", "Memory that others have filled, by use.",
            { { "kind", std::string(chargeKindName(static_cast<ChargeKind>(i))) } });
}

void LimitMetrics::countClosed(LimitReason reason)
{
    m_closed[static_cast<std::size_t>(reason)]->increment();
}

void LimitMetrics::setCharges(const MemoryBudget &budget)
{
    for (std::size_t i = 0; i < m_charged.size(); ++i)
        m_charged[i]->set(static_cast<std::int64_t>(budget.charged(static_cast<ChargeKind>(i))));
    m_waiting.set(static_cast<std::int64_t>(budget.waiting()));
}

std::optional<std::size_t> sessionToClose(const std::vector<SessionSummary> &sessions)
{
    std::map<KeyHash, std::size_t> held;
    for (const SessionSummary &session : sessions)
        ++held[session.key];
    std::optional<std::size_t> chosen;
    for (std::size_t i = 0; i < sessions.size(); ++i) {
        const SessionSummary &session = sessions[i];
        if (!session.closable)
            continue;
        const auto rank = [&](const SessionSummary &item) {
            return std::pair(held.at(item.key), -item.lastActiveAt.time_since_epoch());
        };
        if (!chosen || rank(session) > rank(sessions[*chosen]))
            chosen = i;
    }
    return chosen;
}

SessionSummary CallerSession::summary() const
{
    const bool owedNothing =
        idle() && m_queue.empty() && !m_awaitingLease && m_socket->unsentBytes() == 0;
    return { m_key, m_lastActiveAt, owedNothing };
}

std::size_t CallerSession::messageBytes(const CallerMessage &message)
{
    const auto *statement = std::get_if<Statement>(&message);
    return statement == nullptr ? 0 : bytesOf(*statement);
}

bool CallerSession::hasRoomForInput() const
{
    return m_queuedBytes < kMaxQueuedBytes && m_socket->unsentBytes() < kMaxUnreadBytes;
}

bool CallerSession::takesInput(std::size_t bytes)
{
    // At the drain limit everything that was sent is refused.
    if (m_disconnected || m_state.atDrainLimit)
        return true;
    if (hasRoomForInput())
        return bytes == 0 || m_account.mayTake(bytes, monotonicNow());
    m_account.stopWaiting();
    return false;
}

bool CallerSession::hasRoomForAnswer() const
{
    return m_socket->unsentBytes() < kMaxUnreadBytes;
}

void CallerSession::onSent()
{
    m_sentAt = monotonicNow();
    if (m_socket->unsentBytes() == 0)
        m_account.noteProgress(m_sentAt);
    if (!m_queue.empty())
        serveQueue();
}

void CallerSession::updateCharges(TimePoint now)
{
    m_account.setCharge(ChargeKind::QueuedStatements, m_queuedBytes, now);
    m_account.setCharge(ChargeKind::SessionState, m_sessionState.bytes, now);
    const std::size_t running = m_execution ? bytesOf(m_execution->statement) : 0;
    m_account.setCharge(ChargeKind::RunningStatements, kCopiesOfRunning * running, now);
}

/// Closes the session if it exceeds a limit, or goes on reading from it if it paused.
void CallerSession::applyLimits(TimePoint now)
{
    // A session that is closing may still hold answers that its caller does not read.
    if (m_account.mustClose() && !m_socket->isClosed()) {
        closeForLimit(LimitReason::Memory, now);
        return;
    }
    if (m_disconnected)
        return;
    const auto unfinished = m_socket->unfinishedSince();
    if (unfinished && now >= *unfinished + kMaxUnfinishedTime)
        closeForLimit(LimitReason::UnfinishedLine, now);
    else if (m_socket->unsentBytes() > 0 && now >= m_sentAt + kMaxUnfinishedTime)
        closeForLimit(LimitReason::UnreadAnswer, now);
    else
        m_socket->resume();
}

TimePoint CallerSession::nextLimit(TimePoint now) const
{
    if (m_account.mustClose() && !m_socket->isClosed())
        return now;
    if (m_disconnected)
        return kNever;
    TimePoint due = kNever;
    if (m_socket->isPaused() && hasRoomForInput())
        return now;
    if (const auto unfinished = m_socket->unfinishedSince())
        due = std::min(due, *unfinished + kMaxUnfinishedTime);
    if (m_socket->unsentBytes() > 0)
        due = std::min(due, m_sentAt + kMaxUnfinishedTime);
    return due;
}

void CallerSession::closeForLimit(LimitReason reason, TimePoint now)
{
    m_state.limitMetrics->countClosed(reason);
    if (acquireLogToken(m_state.logRateLimiter, LogTopic::Failure, now))
        m_state.logger->warning("session_closed",
                                { { "database", m_database.value() },
                                  { "team", m_team.value() },
                                  { "reason", limitReasonName(reason) },
                                  { "queued", m_queue.size() },
                                  { "held_bytes", m_account.charged() } });
    m_socket->abort();
}

} // namespace shallotlever
