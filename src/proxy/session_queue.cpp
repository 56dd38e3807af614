// Messages that a caller sends ahead of responses, and the end of a session whose node stops.

#include <utility>

#include "session.h"
#include "shallotlever/base/clock.h"

namespace shallotlever {

namespace {

/// Statements that may wait in a session; a further one closes it. hasRoomForInput() bounds their
/// bytes.
constexpr std::size_t kMaxQueuedStatements = 64;
/// Unread response bytes at which a further statement closes the session. Only met at the drain
/// limit; before it, hasRoomForInput() stops reading earlier.
constexpr std::size_t kMaxUnsentBytes = 1U << 20U;
/// A session is closed by a stop when its caller has sent nothing for this long, so that a caller
/// that sends one statement after the other is told with an answer instead.
constexpr Duration kMinIdleTime = 100ms;

} // namespace

/// Adds a message to those that wait, or closes the session if too many wait.
void CallerSession::enqueue(CallerMessage message)
{
    if (m_queue.size() < kMaxQueuedStatements && m_socket->unsentBytes() < kMaxUnsentBytes) {
        m_queuedBytes += messageBytes(message);
        m_queue.push_back(std::move(message));
        return;
    }
    m_state.metrics->refusal(ErrorKind::RequestTooLarge).increment();
    m_state.logger->warning("session_closed",
                            { { "database", m_database.value() },
                              { "team", m_team.value() },
                              { "reason", errorRow(ErrorKind::RequestTooLarge).name },
                              { "queued", m_queue.size() } });
    m_socket->closeGracefully(monotonicNow());
    onClosed();
}

/// Serves the messages that wait, in the order in which they were sent, until one needs a database.
void CallerSession::serveQueue()
{
    // A statement that fails at once ends its execution inside the loop.
    if (m_servingQueue || m_state.atDrainLimit)
        return;
    m_servingQueue = true;
    while (!m_execution && !m_disconnected && !m_queue.empty() && hasRoomForAnswer()) {
        CallerMessage message = std::move(m_queue.front());
        m_queue.pop_front();
        m_queuedBytes -= messageBytes(message);
        if (auto *statement = std::get_if<Statement>(&message))
            onStatement(std::move(*statement), monotonicNow());
        else if (const auto *malformed = std::get_if<MalformedMessage>(&message))
            refuse(ErrorKind::MalformedRequest, malformed->id);
    }
    m_servingQueue = false;
    updateCharges(monotonicNow());
}

/// Whether the caller is owed nothing: no message of it is being served or waits to be read.
bool CallerSession::quiescent() const
{
    return idle() && !m_disconnected && !m_awaitingLease && m_queue.empty()
        && !m_socket->hasUnservedInput();
}

bool CallerSession::closeIfIdle(TimePoint now)
{
    if (now < m_lastActiveAt + kMinIdleTime || !quiescent())
        return false;
    closeForStop(StopClose::Idle);
    return true;
}

/// A caller may send a statement before it learns that its session has ended. It is not run.
void CallerSession::onLateMessage(std::string_view line, TimePoint now)
{
    if (!m_state.draining)
        return;
    m_state.stopCounters->countUnanswered();
    const CallerMessage message = m_state.protocol->decodeCaller(line);
    const auto *statement = std::get_if<Statement>(&message);
    if (statement != nullptr && acquireLogToken(m_state.logRateLimiter, LogTopic::Failure, now))
        m_state.logger->info("statement_unanswered",
                             { { "request", statement->id }, { "database", m_database.value() } });
}

void CallerSession::closeForStop(StopClose when)
{
    m_state.stopCounters->countClose(when, m_socket->hasUnservedInput(),
                                     m_socket->unsentBytes() > 0);
    close();
}

void CallerSession::endOpenStatements(TimePoint now)
{
    m_socket->resume();
    for (std::size_t read = 0; read < kMaxLineBytes && m_socket->hasUnreadInput();
         read += static_cast<std::size_t>(kReadAheadBytes))
        m_socket->readWaitingLines();
    if (m_disconnected)
        return;
    std::deque<CallerMessage> unserved = std::exchange(m_queue, {});
    m_queuedBytes = 0;
    if (m_execution)
        failOpenStatement(now);
    for (const CallerMessage &message : unserved)
        refuseUnserved(message);
    closeForStop(StopClose::AtLimit);
}

void CallerSession::failOpenStatement(TimePoint now)
{
    const bool sent = !cancelPendingWait();
    const bool commits = m_execution->statement.kind == StatementKind::Commit;
    m_execution->mayHaveRun = m_execution->mayHaveRun || sent;
    // Nothing is kept of a transaction unless its commit was sent.
    if (m_transaction && !(commits && sent && m_transaction->wrote))
        fail(ErrorKind::TransactionLost, now);
    else
        fail(m_execution->mayHaveRun ? ErrorKind::OutcomeUnknown : ErrorKind::Draining, now);
}

void CallerSession::refuseUnserved(const CallerMessage &message)
{
    if (const auto *malformed = std::get_if<MalformedMessage>(&message)) {
        refuse(ErrorKind::MalformedRequest, malformed->id);
    } else if (const auto *statement = std::get_if<Statement>(&message)) {
        m_state.stopCounters->countRefused();
        if (m_transaction)
            m_transaction->failed = true;
        refuse(m_transaction ? ErrorKind::TransactionLost : ErrorKind::Draining, statement->id);
    }
}

} // namespace shallotlever
