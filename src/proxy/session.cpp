// Messages of a session and answers that need no database. The first message is in
// session_start.cpp, attempts are in session_attempt.cpp.

#include "session.h"

#include <utility>

#include "shallotlever/base/clock.h"

namespace shallotlever {

namespace {

/// Longest wait for a rate token while the team is over its rate, and while it is not.
constexpr Duration kOverRateWait = 150ms;
constexpr Duration kInsideRateWait = 1500ms;
/// Time to send the first message.
constexpr Duration kStartTimeout = 5s;
/// Time limit of a statement whose service is no longer in the configuration.
constexpr Duration kDefaultStatementTimeout = 1800ms;
/// Statements that a caller may send ahead of answers, and bytes of answers it may leave unread.
constexpr std::size_t kMaxQueuedStatements = 64;
constexpr std::size_t kMaxUnsentBytes = 1U << 20U;

} // namespace

CallerSession::CallerSession(ProxyState &state, QTcpSocket *socket, TimePoint now)
    : m_state(state)
    , m_openedAt(now)
{
    LineSocket::Callbacks callbacks;
    callbacks.line = [this](std::string_view line) { onLine(line); };
    callbacks.closed = [this] { onClosed(); };
    m_socket = std::make_unique<LineSocket>(socket, std::move(callbacks));
}

CallerSession::~CallerSession()
{
    endWait();
    if (m_link != nullptr)
        discardLink(monotonicNow());
}

void CallerSession::endWait()
{
    if (m_work && m_work->phase == Phase::AwaitingLink)
        m_work->pool->cancel(m_work->waiter);
    if (m_work && m_work->phase == Phase::AwaitingRate)
        m_state.teams.at(m_team).bucket->endWait();
}

void CallerSession::startWork(Statement statement, TimePoint now)
{
    m_work.emplace();
    m_work->statement = std::move(statement);
    m_work->arrivedAt = now;
    m_work->deadline = now;
}

void CallerSession::onLine(std::string_view line)
{
    const TimePoint now = monotonicNow();
    CallerMessage message = m_state.protocol->decodeCaller(line);
    if (auto *statement = std::get_if<Statement>(&message)) {
        if (!m_started)
            refuseStart(ErrorKind::MalformedRequest);
        else if (m_work)
            enqueue(std::move(*statement));
        else
            onStatement(std::move(*statement), now);
    } else if (const auto *start = std::get_if<SessionStart>(&message)) {
        if (m_started || m_starting)
            refuseStart(ErrorKind::MalformedRequest);
        else
            onStart(*start, now);
    } else if (const auto *unreadable = std::get_if<UnreadableMessage>(&message)) {
        refuse(ErrorKind::MalformedRequest, unreadable->id);
    } else {
        m_socket->closeGracefully();
        onClosed();
    }
}

void CallerSession::onClosed()
{
    m_gone = true;
    m_queue.clear();
    const TimePoint now = monotonicNow();
    if (!m_work) {
        abortTransaction(now);
        m_transaction.reset();
        return;
    }
    // What has not reached a database yet is dropped; what runs there is left to end.
    if (m_work->phase != Phase::Running && m_work->phase != Phase::Preparing) {
        endWait();
        m_work.reset();
        abortTransaction(now);
        m_transaction.reset();
    }
}

TransactionState CallerSession::state() const
{
    if (!m_transaction)
        return TransactionState::None;
    return m_transaction->failed ? TransactionState::Failed : TransactionState::Open;
}

void CallerSession::answer(const std::string &lines)
{
    if (!m_gone)
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

/// Statements about the session itself, and those that a failed transaction or none does not
/// permit.
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
    switch (statement.kind) {
    case StatementKind::Set:
        m_values.insert_or_assign(statement.name, statement.arguments);
        break;
    case StatementKind::Prepare:
        m_prepared.insert_or_assign(statement.name, statement.prepared);
        break;
    case StatementKind::Deallocate:
        m_prepared.erase(statement.name);
        break;
    case StatementKind::Rollback:
        rollback(now);
        break;
    default:
        return false;
    }
    if (m_transaction)
        m_transaction->activeAt = now;
    answer(protocol.complete() + protocol.ready(state()));
    return true;
}

bool CallerSession::resolvePrepared(const Statement &statement)
{
    if (m_prepared.contains(statement.name))
        return true;
    if (m_transaction)
        m_transaction->failed = true;
    refuse(ErrorKind::UnknownStatement, statement.id);
    if (m_link != nullptr)
        rollBackLink(monotonicNow());
    return false;
}

void CallerSession::beginOperation(Statement statement, TimePoint now)
{
    startWork(std::move(statement), now);
    const auto database = m_state.config.databases.find(m_database);
    if (!m_state.fresh(now) && m_state.expectsLease(now)) {
        const bool known = database != m_state.config.databases.end();
        m_work->deadline =
            now + (known ? database->second.statementTimeout : kDefaultStatementTimeout);
        m_work->phase = Phase::AwaitingLease;
        return;
    }
    admit(now);
}

/// The operation is permitted; it still needs a token.
void CallerSession::admit(TimePoint now)
{
    m_work->phase = Phase::AwaitingUpstream;
    if (const auto refused = unauthorized(now)) {
        fail(*refused, now);
        return;
    }
    const auto database = m_state.config.databases.find(m_database);
    if (database == m_state.config.databases.end()) {
        fail(ErrorKind::UnknownService, now);
        return;
    }
    m_operation = database->second;
    m_work->deadline = m_work->arrivedAt + m_operation.statementTimeout;
    const auto gate = m_state.teams.find(m_team);
    if (gate == m_state.teams.end()) {
        startAdmitted(now);
        return;
    }
    gate->second.bucket->countArrival();
    const bool inside = gate->second.bucket->refusalClass(now) == RateRefusal::InsideRate;
    m_work->patience = now + (inside ? kInsideRateWait : kOverRateWait);
    takeToken(now);
}

void CallerSession::takeToken(TimePoint now)
{
    const auto gate = m_state.teams.find(m_team);
    if (gate == m_state.teams.end()) {
        fail(ErrorKind::InvalidKey, now);
        return;
    }
    TokenBucket &bucket = *gate->second.bucket;
    const bool waited = m_work->phase == Phase::AwaitingRate;
    if (bucket.tryTake(now)) {
        if (waited)
            bucket.endWait();
        gate->second.counters.admitted->increment();
        startAdmitted(now);
        return;
    }
    const auto next = bucket.timeUntilToken(now);
    const auto denied = bucket.deniedFor(now);
    const TimePoint limit = std::min(m_work->patience, m_work->deadline);
    if (now >= limit || (next && now + *next > limit) || (!next && denied)) {
        if (waited)
            bucket.endWait();
        m_work->phase = Phase::AwaitingUpstream;
        gate->second.counters.refused->increment();
        if (bucket.refusalClass(now) == RateRefusal::InsideRate)
            gate->second.counters.refusedInsideRate->increment();
        fail(ErrorKind::RateLimited, now, next ? next : denied);
        return;
    }
    if (!waited)
        bucket.beginWait();
    m_work->phase = Phase::AwaitingRate;
}

void CallerSession::startAdmitted(TimePoint now)
{
    const StatementKind kind = m_work->statement.kind;
    if (kind != StatementKind::Begin && kind != StatementKind::BeginReadOnly) {
        place(now);
        return;
    }
    m_transaction.emplace();
    m_transaction->database = m_operation;
    m_transaction->readOnly = kind == StatementKind::BeginReadOnly;
    m_transaction->activeAt = now;
    answer(m_state.protocol->complete() + m_state.protocol->ready(state()));
    finishWork();
}

void CallerSession::runInTransaction(Statement statement, TimePoint now)
{
    startWork(std::move(statement), now);
    m_work->deadline = now + m_transaction->database.statementTimeout;
    m_transaction->activeAt = now;
    if (m_transaction->lost) {
        fail(ErrorKind::TransactionLost, now);
        return;
    }
    // What was begun under a key or a view that may be out of date does not go on.
    if (const auto refused = unauthorized(now)) {
        fail(*refused == ErrorKind::InvalidKey ? *refused : ErrorKind::TransactionLost, now);
        return;
    }
    if (m_link != nullptr)
        setUpLink(now);
    else
        place(now);
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
    if (takeLine(m_state.lines, LineTopic::Failure, monotonicNow()))
        m_state.logger->info("statement_rejected",
                             { { "request", request },
                               { "database", m_database.value() },
                               { "team", m_team.value() },
                               { "reason", errorRow(kind).name },
                               { "transaction", m_transaction.has_value() } });
    answer(m_state.protocol->error({ kind, {}, std::nullopt }) + m_state.protocol->ready(state()));
}

/// A caller that sends on without waiting for answers must not fill the memory.
void CallerSession::enqueue(Statement statement)
{
    if (m_queue.size() < kMaxQueuedStatements && m_socket->unsentBytes() < kMaxUnsentBytes) {
        m_queue.push_back(std::move(statement));
        return;
    }
    m_state.metrics->refusal(ErrorKind::RequestTooLarge).increment();
    m_state.logger->warning("session_closed",
                            { { "database", m_database.value() },
                              { "team", m_team.value() },
                              { "reason", errorRow(ErrorKind::RequestTooLarge).name },
                              { "queued", m_queue.size() } });
    m_socket->closeGracefully();
    onClosed();
}

void CallerSession::rollback(TimePoint now)
{
    if (m_link != nullptr)
        rollBackLink(now);
    m_transaction.reset();
}

void CallerSession::abortTransaction(TimePoint now)
{
    if (!m_transaction || m_work)
        return;
    if (m_link != nullptr)
        rollBackLink(now);
    m_transaction->lost = true;
}

void CallerSession::linkLostWhileIdle()
{
    m_link = nullptr;
    m_linkPool.reset();
    if (m_transaction)
        m_transaction->lost = true;
}

void CallerSession::close()
{
    m_socket->closeGracefully();
    m_gone = true;
}

void CallerSession::finishWork()
{
    m_work.reset();
    if (m_transaction)
        m_transaction->activeAt = monotonicNow();
    if (m_gone) {
        abortTransaction(monotonicNow());
        m_transaction.reset();
        return;
    }
    if (m_queue.empty())
        return;
    Statement next = std::move(m_queue.front());
    m_queue.pop_front();
    onStatement(std::move(next), monotonicNow());
}

void CallerSession::fail(ErrorKind kind, TimePoint now, std::optional<Duration> retryAfter)
{
    m_state.metrics->refusal(kind).increment();
    logOutcome("statement_failed", errorRow(kind).name, LineTopic::Failure, now);
    if (m_link != nullptr)
        rollBackLink(now);
    if (m_transaction && m_work->statement.kind == StatementKind::Commit)
        m_transaction.reset();
    else if (m_transaction)
        m_transaction->failed = true;
    Error error { kind, {}, std::nullopt };
    if (retryAfter)
        error.retryAfter = std::chrono::ceil<std::chrono::milliseconds>(*retryAfter);
    answer(m_state.protocol->error(error) + m_state.protocol->ready(state()));
    finishWork();
}

bool CallerSession::insideRate(TimePoint now) const
{
    const auto gate = m_state.teams.find(m_team);
    return gate == m_state.teams.end()
        || gate->second.bucket->refusalClass(now) == RateRefusal::InsideRate;
}

void CallerSession::logOutcome(std::string_view event, std::string_view reason, LineTopic topic,
                               TimePoint now)
{
    if (!takeLine(m_state.lines, topic, now))
        return;
    const auto ms = [](Duration d) {
        return std::chrono::duration_cast<std::chrono::milliseconds>(d).count();
    };
    const Work &work = *m_work;
    m_state.logger->info(event,
                         { { "request", work.statement.id },
                           { "database", m_database.value() },
                           { "team", m_team.value() },
                           { "reason", reason },
                           { "transaction", m_transaction.has_value() },
                           { "inside_rate", insideRate(now) },
                           { "attempts", work.attempts },
                           { "elapsed_ms", ms(now - work.arrivedAt) },
                           { "last_failure", errorRow(work.lastFailure).name },
                           { "upstream", work.pool ? work.pool->info().id.value() : std::string() },
                           { "config", m_state.config.installed.number.value() },
                           { "lease_left_ms", ms(m_state.freshUntil - now) } });
}

void CallerSession::tick(TimePoint now)
{
    if (m_starting && !m_gone)
        answerStart(now);
    if (!m_started && !m_gone && now >= m_openedAt + kStartTimeout)
        close();
    if (m_work) {
        switch (m_work->phase) {
        case Phase::AwaitingLease:
            if (m_state.fresh(now) || now >= m_work->deadline || !m_state.expectsLease(now))
                admit(now);
            return;
        case Phase::AwaitingRate:
            takeToken(now);
            return;
        case Phase::AwaitingUpstream:
            if (now >= m_work->deadline)
                giveUp(now);
            else if (now >= m_work->retryAt)
                place(now);
            return;
        case Phase::AwaitingLink:
            if (now >= m_work->deadline || now >= m_work->patience) {
                endWait();
                retry(RetryReason::ConnectionWait, now);
            }
            return;
        case Phase::Preparing:
        case Phase::Running:
            if (now >= m_work->deadline || now >= m_work->patience)
                onSilence(now);
            return;
        }
    }
    const auto idleLimit = m_state.config.installed.transactionIdleLimit;
    if (m_transaction && !m_transaction->lost && !m_transaction->failed && idleLimit.count() > 0
        && now >= m_transaction->activeAt + idleLimit)
        abortTransaction(now);
}

} // namespace shallotlever
