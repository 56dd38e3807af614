// Dispatch of session messages, admission, and statements that need no database. Session start is
// in session_start.cpp, attempts on a database are in session_attempt.cpp, messages that wait are
// in session_queue.cpp.

#include "session.h"

#include <utility>

#include "shallotlever/base/clock.h"
#include "token_wait.h"

namespace shallotlever {

namespace {

/// Timeout of a statement whose database is not in the configuration.
constexpr Duration kDefaultStatementTimeout = 1800ms;

} // namespace

CallerSession::CallerSession(ProxyState &state, StatementDispatcher &dispatcher, QTcpSocket *socket,
                             TimePoint now)
    : m_state(state)
    , m_dispatcher(dispatcher)
    , m_account(*state.memory)
    , m_openedAt(now)
    , m_lastActiveAt(now)
    , m_sentAt(now)
{
    LineSocket::Callbacks callbacks;
    callbacks.line = [this](std::string_view line) { onLine(line); };
    callbacks.closed = [this] { onClosed(); };
    callbacks.takesInput = [this](std::size_t bytes) { return takesInput(bytes); };
    callbacks.sent = [this] { onSent(); };
    m_socket = std::make_unique<LineSocket>(socket, m_account, std::move(callbacks));
}

CallerSession::~CallerSession()
{
    cancelPendingWait();
    endTransaction(monotonicNow());
}

bool CallerSession::cancelPendingWait()
{
    if (!m_execution)
        return true;
    if (m_execution->phase == Phase::AwaitingToken)
        m_state.teams.at(m_team).bucket->endWait();
    return m_execution->phase != Phase::Running || m_dispatcher.cancel(m_execution->dispatchId);
}

void CallerSession::startExecution(Statement statement, TimePoint now)
{
    m_execution.emplace();
    m_execution->statement = std::move(statement);
    m_execution->arrivedAt = now;
    m_execution->deadline = now;
    updateCharges(now);
}

void CallerSession::onLine(std::string_view line)
{
    const TimePoint now = monotonicNow();
    m_lastActiveAt = now;
    m_account.noteProgress(now);
    if (m_disconnected) {
        onLateMessage(line, now);
        return;
    }
    CallerMessage message = m_state.protocol->decodeCaller(line);
    if (const auto *start = std::get_if<SessionStart>(&message)) {
        if (m_started || m_awaitingLease)
            refuseStart(ErrorKind::MalformedRequest);
        else
            onStart(*start, now);
    } else if (std::holds_alternative<SessionEnd>(message)) {
        m_socket->closeGracefully(now);
        onClosed();
    } else if (!m_started) {
        refuseStart(ErrorKind::MalformedRequest);
    } else {
        enqueue(std::move(message));
        serveQueue();
    }
}

void CallerSession::onClosed()
{
    m_disconnected = true;
    m_queue.clear();
    m_queuedBytes = 0;
    m_account.stopWaiting();
    const TimePoint now = monotonicNow();
    if (!m_execution) {
        abortTransaction(now);
        m_transaction.reset();
        updateCharges(now);
        return;
    }
    // A statement that waits is dropped. One that was sent may finish at the database, but its
    // answer is not needed any more.
    cancelPendingWait();
    m_execution.reset();
    updateCharges(now);
    abortTransaction(now);
    m_transaction.reset();
}

TransactionState CallerSession::state() const
{
    if (!m_transaction)
        return TransactionState::None;
    return m_transaction->failed ? TransactionState::Failed : TransactionState::Open;
}

void CallerSession::answer(const std::string &lines)
{
    if (m_disconnected)
        return;
    if (m_socket->unsentBytes() == 0)
        m_sentAt = monotonicNow();
    m_socket->write(lines);
}

void CallerSession::onStatement(Statement statement, TimePoint now)
{
    if (answerLocally(statement, now))
        return;
    if (statement.kind == StatementKind::Execute && !resolvePrepared(statement))
        return;
    if (!m_transaction)
        beginOperation(std::move(statement), now);
    else if (statement.kind == StatementKind::Commit)
        commit(std::move(statement), now);
    else
        runInTransaction(std::move(statement), now);
}

/// Answers statements that only change session state, and rejects those that are not valid in the
/// current transaction state.
bool CallerSession::answerLocally(const Statement &statement, TimePoint now)
{
    const SessionProtocol &protocol = *m_state.protocol;
    const bool ends =
        statement.kind == StatementKind::Commit || statement.kind == StatementKind::Rollback;
    const bool begins =
        statement.kind == StatementKind::Begin || statement.kind == StatementKind::BeginReadOnly;
    const bool failed = m_transaction && m_transaction->failed;
    if ((failed && !ends) || (m_transaction && begins) || (!m_transaction && ends)) {
        refuse(ErrorKind::MalformedRequest, statement.id);
        return true;
    }
    bool kept = true;
    switch (statement.kind) {
    case StatementKind::Set:
        kept = setVariable(m_sessionState, statement.name, statement.arguments.value_or(""));
        break;
    case StatementKind::Prepare:
        kept = prepare(m_sessionState, statement.name, statement.prepared);
        break;
    case StatementKind::Deallocate:
        deallocate(m_sessionState, statement.name);
        break;
    case StatementKind::Rollback:
        rollback(now);
        break;
    default:
        return false;
    }
    if (m_transaction)
        m_transaction->lastActiveAt = now;
    if (!kept) {
        refuse(ErrorKind::RequestTooLarge, statement.id);
        return true;
    }
    answer(protocol.complete() + protocol.ready(state()));
    return true;
}

bool CallerSession::resolvePrepared(const Statement &statement)
{
    if (m_sessionState.prepared.contains(statement.name))
        return true;
    if (m_transaction)
        m_transaction->failed = true;
    refuse(ErrorKind::UnknownStatement, statement.id);
    endTransaction(monotonicNow());
    return false;
}

void CallerSession::beginOperation(Statement statement, TimePoint now)
{
    startExecution(std::move(statement), now);
    const auto database = m_state.config.databases.find(m_database);
    if (!m_state.fresh(now) && m_state.expectsLease(now)) {
        const bool known = database != m_state.config.databases.end();
        m_execution->deadline =
            now + (known ? database->second.statementTimeout : kDefaultStatementTimeout);
        m_execution->phase = Phase::AwaitingLease;
        return;
    }
    admit(now);
}

/// Checks the authorisation of the operation, then requests a rate token.
void CallerSession::admit(TimePoint now)
{
    m_execution->phase = Phase::AwaitingUpstream;
    if (const auto refused = refusalReason(now)) {
        fail(*refused, now);
        return;
    }
    const auto database = m_state.config.databases.find(m_database);
    if (database == m_state.config.databases.end()) {
        fail(ErrorKind::UnknownService, now);
        return;
    }
    m_team = teamOfKey();
    m_operationConfig = database->second;
    m_execution->deadline = m_execution->arrivedAt + m_operationConfig.statementTimeout;
    const auto admission = m_state.teams.find(m_team);
    if (admission == m_state.teams.end()) {
        startAdmitted(now);
        return;
    }
    if (!std::exchange(m_execution->arrivalCounted, true))
        admission->second.bucket->countArrival();
    // Without shares every bucket is empty, whatever the team's rate. An operation that is admitted
    // after this wait needs time to run.
    const TimePoint waitLimit = m_execution->arrivedAt
        + std::min<Duration>(kMaxInsideRateWait, m_operationConfig.statementTimeout / 2);
    if (m_state.expectsShares(now) && now < waitLimit) {
        m_execution->phase = Phase::AwaitingLease;
        return;
    }
    m_execution->phaseDeadline = now + tokenWaitLimit(*admission->second.bucket, now);
    takeToken(now);
}

void CallerSession::onTeamChanged(TimePoint now)
{
    m_state.logger->info("session_team_changed",
                         { { "request", m_execution->statement.id },
                           { "former_team", m_team.value() },
                           { "team", teamOfKey().value() },
                           { "transaction", m_transaction.has_value() } });
    if (m_execution->phase == Phase::AwaitingToken)
        m_state.teams.at(m_team).bucket->endWait();
    m_execution->arrivalCounted = false;
    if (m_transaction)
        fail(ErrorKind::TransactionLost, now);
    else
        admit(now);
}

void CallerSession::takeToken(TimePoint now)
{
    if (teamOfKey() != m_team) {
        onTeamChanged(now);
        return;
    }
    const auto admission = m_state.teams.find(m_team);
    if (admission == m_state.teams.end()) {
        fail(ErrorKind::InvalidKey, now);
        return;
    }
    TokenBucket &bucket = *admission->second.bucket;
    const bool waited = m_execution->phase == Phase::AwaitingToken;
    if (bucket.tryTake(now)) {
        if (waited)
            bucket.endWait();
        admission->second.counters.admitted->increment();
        startAdmitted(now);
        return;
    }
    const auto next = bucket.timeUntilToken(now);
    const auto denied = bucket.deniedFor(now);
    const TimePoint limit = std::min(m_execution->phaseDeadline, m_execution->deadline);
    if (tokenComesTooLate(bucket, now, limit)) {
        if (waited)
            bucket.endWait();
        m_execution->phase = Phase::AwaitingUpstream;
        admission->second.counters.refused->increment();
        if (bucket.refusalClass(now) == RateRefusal::InsideRate)
            admission->second.counters.refusedInsideRate->increment();
        fail(ErrorKind::RateLimited, now, next ? next : denied);
        return;
    }
    if (!waited)
        bucket.beginWait();
    m_execution->phase = Phase::AwaitingToken;
}

void CallerSession::startAdmitted(TimePoint now)
{
    const StatementKind kind = m_execution->statement.kind;
    if (kind != StatementKind::Begin && kind != StatementKind::BeginReadOnly) {
        startAttempt(now);
        return;
    }
    m_transaction.emplace();
    m_transaction->database = m_operationConfig;
    m_transaction->readOnly = kind == StatementKind::BeginReadOnly;
    m_transaction->lastActiveAt = now;
    answer(m_state.protocol->complete() + m_state.protocol->ready(state()));
    finishExecution();
}

void CallerSession::runInTransaction(Statement statement, TimePoint now)
{
    startExecution(std::move(statement), now);
    m_execution->deadline = now + m_transaction->database.statementTimeout;
    m_transaction->lastActiveAt = now;
    if (m_transaction->lost) {
        fail(ErrorKind::TransactionLost, now);
        return;
    }
    // A transaction does not continue once its key or the fleet view may be out of date.
    if (const auto refused = refusalReason(now)) {
        fail(*refused == ErrorKind::InvalidKey ? *refused : ErrorKind::TransactionLost, now);
        return;
    }
    startAttempt(now);
}

void CallerSession::commit(Statement statement, TimePoint now)
{
    if (!m_transaction->failed) {
        runInTransaction(std::move(statement), now);
        return;
    }
    m_transaction.reset();
    refuse(ErrorKind::TransactionLost, statement.id);
}

void CallerSession::refuse(ErrorKind kind, const std::string &request)
{
    m_state.metrics->refusal(kind).increment();
    if (acquireLogToken(m_state.logRateLimiter, LogTopic::Failure, monotonicNow()))
        m_state.logger->info("statement_rejected",
                             { { "request", request },
                               { "database", m_database.value() },
                               { "team", m_team.value() },
                               { "reason", errorRow(kind).name },
                               { "transaction", m_transaction.has_value() } });
    answer(m_state.protocol->error({ kind, {}, std::nullopt }) + m_state.protocol->ready(state()));
}

void CallerSession::rollback(TimePoint now)
{
    endTransaction(now);
    m_transaction.reset();
}

void CallerSession::abortTransaction(TimePoint now)
{
    if (!m_transaction || m_execution)
        return;
    endTransaction(now);
    m_transaction->lost = true;
}

void CallerSession::close()
{
    m_socket->closeGracefully(monotonicNow());
    m_disconnected = true;
    m_socket->resume();
}

void CallerSession::finishExecution()
{
    m_execution.reset();
    if (m_transaction)
        m_transaction->lastActiveAt = monotonicNow();
    if (m_disconnected) {
        abortTransaction(monotonicNow());
        m_transaction.reset();
        updateCharges(monotonicNow());
        return;
    }
    m_lastActiveAt = monotonicNow();
    serveQueue();
    // At the drain limit the statements that were sent ahead are refused before the session ends.
    if (m_state.draining && !m_state.atDrainLimit && quiescent())
        closeForStop(StopClose::AfterStatement);
}

void CallerSession::fail(ErrorKind kind, TimePoint now, std::optional<Duration> retryAfter)
{
    m_state.metrics->refusal(kind).increment();
    logOutcome("statement_failed", errorRow(kind).name, LogTopic::Failure, now);
    endTransaction(now);
    if (m_transaction && m_execution->statement.kind == StatementKind::Commit)
        m_transaction.reset();
    else if (m_transaction)
        m_transaction->failed = true;
    Error error { kind, {}, std::nullopt };
    if (retryAfter)
        error.retryAfter = std::chrono::ceil<std::chrono::milliseconds>(*retryAfter);
    answer(m_state.protocol->error(error) + m_state.protocol->ready(state()));
    finishExecution();
}

bool CallerSession::insideRate(TimePoint now) const
{
    const auto admission = m_state.teams.find(m_team);
    return admission == m_state.teams.end()
        || admission->second.bucket->refusalClass(now) == RateRefusal::InsideRate;
}

void CallerSession::logOutcome(std::string_view event, std::string_view reason, LogTopic topic,
                               TimePoint now)
{
    if (!acquireLogToken(m_state.logRateLimiter, topic, now))
        return;
    const auto ms = [](Duration d) {
        return std::chrono::duration_cast<std::chrono::milliseconds>(d).count();
    };
    const Execution &execution = *m_execution;
    m_state.logger->info(event,
                         { { "request", execution.statement.id },
                           { "database", m_database.value() },
                           { "team", m_team.value() },
                           { "reason", reason },
                           { "transaction", m_transaction.has_value() },
                           { "inside_rate", insideRate(now) },
                           { "attempts", execution.attempts },
                           { "elapsed_ms", ms(now - execution.arrivedAt) },
                           { "last_failure", errorRow(execution.lastFailure).name },
                           { "upstream", execution.upstream.value() },
                           { "owner", execution.owner.value() },
                           { "config", m_state.config.installed.number.value() },
                           { "lease_left_ms", ms(m_state.freshUntil - now) } });
}

} // namespace shallotlever
