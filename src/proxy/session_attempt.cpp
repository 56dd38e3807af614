// Attempts to run a statement of a session on a database, and their retries.

#include <algorithm>
#include <utility>

#include "session.h"
#include "shallotlever/base/clock.h"

namespace shallotlever {

namespace {

/// Backoff before a database is selected again when none could serve the statement; also the base
/// of the exponential backoff between attempts.
constexpr Duration kRetryBackoff = 20ms;
constexpr std::uint32_t kMaxRetryBackoffDoublings = 5;
/// Number of attempts after which the error of a read that databases execute and fail is returned
/// to the caller.
constexpr std::uint32_t kMaxReadAttempts = 3;
/// Timeout of an attempt, after which its connection is considered dead: this minimum, or this
/// multiple of the typical response time.
constexpr Duration kMinAttemptTimeout = 400ms;
constexpr int kAttemptTimeoutFactor = 6;
/// While the database responds to other statements, a timed-out attempt of a repeatable statement
/// is extended by kAttemptExtension at a time, until kMaxAttemptDuration after the statement
/// arrived.
constexpr Duration kMaxAttemptDuration = 1500ms;
constexpr Duration kAttemptExtension = 100ms;
/// Expected response times are rough estimates: a statement is refused immediately only if its
/// response is expected after this multiple of its timeout.
constexpr int kMaxExpectedTimeFactor = 2;
/// Maximum wait for a connection before another database is tried.
constexpr Duration kLinkAcquireTimeout = 300ms;

RetryReason retryReasonFor(UpstreamErrorKind kind)
{
    switch (kind) {
    case UpstreamErrorKind::Busy:
        return RetryReason::NoSlot;
    case UpstreamErrorKind::Lagging:
        return RetryReason::ReplicaStale;
    case UpstreamErrorKind::NotPrimary:
        return RetryReason::NotPrimary;
    case UpstreamErrorKind::WrongUpstream:
    case UpstreamErrorKind::ConnectionLimit:
        return RetryReason::ConnectFailed;
    case UpstreamErrorKind::UnknownPrepared:
        return RetryReason::PreparedUnknown;
    case UpstreamErrorKind::Failed:
    case UpstreamErrorKind::Other:
        return RetryReason::ReadFailed;
    }
    return RetryReason::ReadFailed;
}

/// Error returned to the caller if there is no time for another attempt.
ErrorKind errorKindFor(RetryReason reason)
{
    switch (reason) {
    case RetryReason::NoSlot:
    case RetryReason::ConnectionWait:
        return ErrorKind::QueueFull;
    case RetryReason::ReplicaStale:
        return ErrorKind::NoFreshReplica;
    case RetryReason::NotPrimary:
        return ErrorKind::NoPrimary;
    case RetryReason::UpstreamLeaving:
        return ErrorKind::NoUpstream;
    default:
        return ErrorKind::ConnectFailed;
    }
}

/// Whether the error proves that the statement did not run, so that it may be sent again.
bool provesNotRun(UpstreamErrorKind kind)
{
    return kind != UpstreamErrorKind::Failed && kind != UpstreamErrorKind::Other;
}

/// Name of a prepared statement on a database connection. Sessions share connections, so the name
/// is derived from the statement's content.
std::string sharedStatementName(const PreparedStatement &prepared)
{
    return (prepared.writes ? "w_" : "r_") + prepared.shape;
}

} // namespace

const DatabaseConfig &CallerSession::database() const
{
    return m_transaction ? m_transaction->database : m_operationConfig;
}

bool CallerSession::writes(const Statement &statement) const
{
    if (statement.kind == StatementKind::Execute) {
        const auto prepared = m_prepared.find(statement.name);
        return prepared != m_prepared.end() && prepared->second.writes;
    }
    return statement.kind == StatementKind::Write;
}

bool CallerSession::needsPrimary() const
{
    if (database().consistency == Consistency::Primary)
        return true;
    return m_transaction ? !m_transaction->readOnly : writes(m_execution->statement);
}

std::optional<HistoryPoint> CallerSession::requiredPosition(TimePoint now) const
{
    const auto service = m_state.services.find(database().service);
    if (needsPrimary() || service == m_state.services.end())
        return std::nullopt;
    const TimePoint from = std::min(now, m_execution->arrivedAt);
    auto position =
        lowestSufficientPosition(service->second.positions, database().maxStaleness, from);
    if (position && database().consistency == Consistency::ReadYourWrites && m_lastCommit)
        position = std::max(*position, *m_lastCommit);
    return position;
}

void CallerSession::acquireLink(TimePoint now)
{
    Execution &execution = *m_execution;
    if (const auto refused = unauthorized(now)) {
        fail(*refused, now);
        return;
    }
    const auto service = m_state.services.find(database().service);
    std::optional<UpstreamId> target;
    if (service != m_state.services.end()) {
        execution.minPosition = requiredPosition(now);
        const std::vector<UpstreamLoad> loads = service->second.loads(m_team);
        const bool replicasAllowed = execution.minPosition.has_value();
        target = selectUpstream(loads, replicasAllowed, execution.excluded, now);
    }
    if (!target) {
        execution.phase = Phase::AwaitingUpstream;
        execution.retryAt = now + kRetryBackoff;
        execution.excluded.clear();
        if (needsPrimary())
            execution.lastFailure = ErrorKind::NoPrimary;
        return;
    }
    execution.pool = service->second.pool(*target);
    // Fails fast if the response is not expected in time.
    const Duration expected = expectedResponseTime(execution.pool->load(), now);
    if (now + expected > execution.arrivedAt
            + kMaxExpectedTimeFactor * (execution.deadline - execution.arrivedAt)) {
        execution.lastFailure = ErrorKind::QueueFull;
        giveUp(now);
        return;
    }
    execution.phase = Phase::AwaitingLink;
    execution.phaseDeadline = now + kLinkAcquireTimeout;
    const std::weak_ptr<bool> alive = m_alive;
    ++execution.attempts;
    const std::uint64_t waiterId = execution.pool->acquire(
        m_team, m_variables, database().priority,
        [this, alive](const LinkResult &result) {
            if (!alive.expired())
                onLinkAcquired(result);
        },
        now);
    // The callback may have finished the execution already.
    if (m_execution && m_execution->phase == Phase::AwaitingLink)
        m_execution->waiterId = waiterId;
}

void CallerSession::onLinkAcquired(const LinkResult &result)
{
    const TimePoint now = monotonicNow();
    if (!m_execution)
        return;
    if (const auto *failure = std::get_if<LinkAcquireFailure>(&result)) {
        const bool leaving = *failure == LinkAcquireFailure::Cancelled;
        retry(leaving ? RetryReason::UpstreamLeaving : RetryReason::ConnectFailed, now);
        return;
    }
    m_link = std::get<PooledLink *>(result);
    m_linkPool = m_execution->pool;
    m_link->onConnectionLost = [this] { linkLostWhileIdle(); };
    setUpLink(now);
}

void CallerSession::setUpLink(TimePoint now)
{
    m_execution->pool = m_linkPool;
    m_execution->phase = Phase::Preparing;
    m_execution->phaseDeadline = now + attemptTimeout(now);
    m_execution->setupFailed = false;
    m_execution->pendingSetupReplies = 0;
    if (m_link->variables != m_variables)
        sendSessionVariables();
    if (m_execution && m_execution->phase == Phase::Preparing
        && m_execution->pendingSetupReplies == 0)
        beginTransactionOnLink(now);
}

/// Sets the session variables on the connection.
void CallerSession::sendSessionVariables()
{
    const SessionProtocol &protocol = *m_state.protocol;
    const bool hasStaleValues =
        std::any_of(m_link->variables.begin(), m_link->variables.end(),
                    [&](const auto &value) { return !m_variables.contains(value.first); });
    std::vector<std::string> texts;
    if (hasStaleValues) {
        texts.push_back(protocol.systemText(SystemStatement::Discard));
        m_link->variables.clear();
        m_link->prepared.clear();
    }
    for (const auto &[name, value] : m_variables) {
        const auto current = m_link->variables.find(name);
        if (current == m_link->variables.end() || current->second != value)
            texts.push_back(protocol.setText(name, value));
    }
    m_link->variables = m_variables;
    m_execution->pendingSetupReplies = texts.size();
    UpstreamLink &link = *m_link->link;
    const std::weak_ptr<bool> alive = m_alive;
    for (const std::string &text : texts) {
        link.send("", text, [this, alive](const UpstreamReply &reply) {
            if (!alive.expired())
                onSetupReply(reply);
        });
    }
}

void CallerSession::onSetupReply(const UpstreamReply &reply)
{
    if (!m_execution || m_execution->phase != Phase::Preparing || m_link == nullptr)
        return;
    const TimePoint now = monotonicNow();
    if (reply.lost) {
        onLost(RetryReason::ReadConnectionLost, now);
        return;
    }
    m_execution->setupFailed = m_execution->setupFailed || !reply.succeeded();
    if (--m_execution->pendingSetupReplies > 0)
        return;
    if (!m_execution->setupFailed) {
        beginTransactionOnLink(now);
        return;
    }
    // The values of the session variables on the connection are unknown.
    discardLink(now);
    retry(RetryReason::UpstreamLostBeforeSend, now);
}

void CallerSession::beginTransactionOnLink(TimePoint now)
{
    if (!m_transaction || m_transaction->begun) {
        run(now);
        return;
    }
    const SessionProtocol &protocol = *m_state.protocol;
    std::string text = protocol.systemText(m_transaction->readOnly ? SystemStatement::BeginReadOnly
                                                                   : SystemStatement::Begin);
    if (m_execution->minPosition)
        text = protocol.requirePositionText(*m_execution->minPosition, text);
    const std::weak_ptr<bool> alive = m_alive;
    m_link->link->send("", text, [this, alive](const UpstreamReply &reply) {
        if (alive.expired() || !m_execution || m_execution->phase != Phase::Preparing
            || m_link == nullptr)
            return;
        const TimePoint repliedAt = monotonicNow();
        if (reply.lost) {
            onLost(RetryReason::ReadConnectionLost, repliedAt);
        } else if (!reply.succeeded()) {
            onError(reply, repliedAt);
        } else {
            m_transaction->begun = true;
            run(repliedAt);
        }
    });
}

/// Sends the statement. Authorisation and the primary are checked again, because they may have
/// changed during the wait for a connection.
void CallerSession::run(TimePoint now)
{
    Execution &execution = *m_execution;
    const auto service = m_state.services.find(database().service);
    const bool primaryNeeded = needsPrimary() || !execution.minPosition;
    const bool hasExecuted = m_transaction && m_transaction->hasExecuted;
    const bool primaryChanged = service == m_state.services.end()
        || (primaryNeeded && service->second.primary != m_linkPool->info().id);
    if (const auto refused = unauthorized(now)) {
        fail(m_transaction && *refused != ErrorKind::InvalidKey ? ErrorKind::TransactionLost
                                                                : *refused,
             now);
        return;
    }
    if (primaryChanged && !hasExecuted) {
        rollBackLink(now);
        retry(RetryReason::NotPrimary, now);
        return;
    }
    execution.phase = Phase::Running;
    execution.phaseDeadline = now + attemptTimeout(now);
    const std::string text = statementText();
    const std::weak_ptr<bool> alive = m_alive;
    m_link->link->send(execution.statement.id, text, [this, alive](const UpstreamReply &reply) {
        if (!alive.expired())
            onReply(reply);
    });
}

/// Returns the text to send. Prepares the statement first if it is executed by name and not yet
/// prepared on the connection.
std::string CallerSession::statementText()
{
    const SessionProtocol &protocol = *m_state.protocol;
    const Statement &statement = m_execution->statement;
    std::string text = statement.text;
    if (statement.kind == StatementKind::Execute) {
        const PreparedStatement &prepared = m_prepared.at(statement.name);
        const std::string name = sharedStatementName(prepared);
        if (m_link->prepared.emplace(name, prepared).second)
            // If this fails, the Execute that follows fails with UnknownPrepared and the statement
            // is prepared again.
            m_link->link->send("", protocol.prepareText(name, prepared),
                               [](const UpstreamReply &) {});
        text = protocol.executeText(name, statement.arguments);
    }
    const bool single = !m_transaction;
    return single && m_execution->minPosition
        ? protocol.requirePositionText(*m_execution->minPosition, text)
        : text;
}

Duration CallerSession::attemptTimeout(TimePoint now) const
{
    const UpstreamLoad &load = m_linkPool->load();
    const Duration typical = (load.serviceTime + load.roundTrip) * kAttemptTimeoutFactor;
    const bool repeatable = !m_transaction && !writes(m_execution->statement);
    return repeatable ? std::max(kMinAttemptTimeout, typical) : m_execution->deadline - now;
}

void CallerSession::onReply(const UpstreamReply &reply)
{
    if (!m_execution || m_execution->phase != Phase::Running || m_link == nullptr)
        return;
    const TimePoint now = monotonicNow();
    if (reply.lost) {
        onLost(RetryReason::ReadConnectionLost, now);
        return;
    }
    if (reply.point)
        m_state.recordHistoryPoint(database().service, m_linkPool->info().id, *reply.point,
                                   reply.sentAt);
    if (reply.succeeded())
        onSuccess(reply, now);
    else
        onError(reply, now);
}

void CallerSession::onSuccess(const UpstreamReply &reply, TimePoint now)
{
    m_linkPool->recordResponse(now - reply.sentAt, now);
    const bool write = writes(m_execution->statement);
    const bool commits = m_execution->statement.kind == StatementKind::Commit;
    const bool committed = commits ? m_transaction->wrote : (write && !m_transaction);
    if (committed && reply.point)
        m_lastCommit = std::max(m_lastCommit.value_or(HistoryPoint()), *reply.point);
    m_state.responseTime->observe(now - m_execution->arrivedAt);
    if (m_transaction) {
        m_transaction->hasExecuted = true;
        m_transaction->wrote = m_transaction->wrote || write;
    }
    if (commits)
        m_transaction.reset();
    if (!m_transaction)
        releaseLink(now);
    answer(reply.lines + m_state.protocol->ready(state()));
    finishExecution();
}

void CallerSession::onError(const UpstreamReply &reply, TimePoint now)
{
    const UpstreamErrorKind kind = reply.error ? reply.error->kind : UpstreamErrorKind::Other;
    const bool commits = m_execution->statement.kind == StatementKind::Commit;
    const bool restartable = !m_transaction || (!m_transaction->hasExecuted && !commits);
    if (kind == UpstreamErrorKind::UnknownPrepared)
        m_link->prepared.clear();
    const bool repeatable = provesNotRun(kind)
        || (!m_transaction && !writes(m_execution->statement)
            && m_execution->attempts < kMaxReadAttempts);
    if (restartable && repeatable) {
        m_linkPool->recordRefusal(kind == UpstreamErrorKind::Busy, now);
        rollBackLink(now);
        retry(retryReasonFor(kind), now);
        return;
    }
    m_state.refusedByDatabase->increment();
    logOutcome("statement_refused", reply.error ? reply.error->message : "unreadable",
               LogTopic::Failure, now);
    rollBackLink(now);
    if (m_transaction && commits)
        m_transaction.reset();
    else if (m_transaction)
        m_transaction->failed = true;
    answer(reply.lines + m_state.protocol->ready(state()));
    finishExecution();
}

void CallerSession::onLost(RetryReason readReason, TimePoint now)
{
    const bool sent = m_execution->phase == Phase::Running;
    const bool commits = m_execution->statement.kind == StatementKind::Commit;
    const bool write = writes(m_execution->statement);
    discardLink(now);
    if (m_transaction) {
        // The database keeps nothing of a transaction unless its commit was sent.
        const bool repeatable = !m_transaction->hasExecuted && !(commits && sent);
        const bool unknown = commits && sent && m_transaction->wrote;
        m_transaction->begun = false;
        if (repeatable)
            retry(RetryReason::UpstreamLostBeforeSend, now);
        else
            fail(unknown ? ErrorKind::OutcomeUnknown : ErrorKind::TransactionLost, now);
        return;
    }
    if (sent && write)
        fail(ErrorKind::OutcomeUnknown, now);
    else
        retry(sent ? readReason : RetryReason::UpstreamLostBeforeSend, now);
}

void CallerSession::onAttemptTimeout(TimePoint now)
{
    // A database that responds to other statements is busy; a retry would only add to its load.
    if (now < m_execution->deadline && m_linkPool->recentlyResponsive(now)
        && now < m_execution->arrivedAt + kMaxAttemptDuration) {
        m_execution->phaseDeadline = now + kAttemptExtension;
        return;
    }
    m_linkPool->recordTimeout(now);
    onLost(RetryReason::ReadTimedOut, now);
}

void CallerSession::retry(RetryReason reason, TimePoint now)
{
    Execution &execution = *m_execution;
    const RetryReasonRow &row = retryReasonRow(reason);
    execution.lastFailure = errorKindFor(reason);
    execution.mayHaveRun = execution.mayHaveRun || !row.notRun;
    if (m_transaction)
        m_transaction->begun = false;
    if (row.avoidUpstream && execution.pool)
        execution.excluded.insert(execution.pool->info().id);
    execution.phase = Phase::AwaitingUpstream;
    if (m_disconnected) {
        m_transaction.reset();
        m_execution.reset();
        return;
    }
    if (now >= execution.deadline) {
        giveUp(now);
        return;
    }
    m_state.metrics->retry(reason).increment();
    logOutcome("statement_retried", row.name, LogTopic::Retry, now);
    // The first retry is immediate; later ones use exponential backoff.
    const std::uint32_t doublings = std::min(execution.attempts, kMaxRetryBackoffDoublings);
    execution.retryAt = execution.attempts < 2 ? now : now + kRetryBackoff * (1U << doublings) / 4;
}

void CallerSession::giveUp(TimePoint now)
{
    if (m_transaction)
        fail(ErrorKind::TransactionLost, now);
    else
        fail(m_execution->mayHaveRun ? ErrorKind::OutcomeUnknown : m_execution->lastFailure, now);
}

void CallerSession::releaseLink(TimePoint now)
{
    m_linkPool->release(std::exchange(m_link, nullptr), now);
    m_linkPool.reset();
}

void CallerSession::discardLink(TimePoint now)
{
    m_linkPool->discard(std::exchange(m_link, nullptr), now);
    m_linkPool.reset();
}

/// Rolls back the transaction open on the connection, if any, and returns the connection to the
/// pool.
void CallerSession::rollBackLink(TimePoint now)
{
    if (m_link == nullptr)
        return;
    if (!m_transaction || !m_transaction->begun) {
        const bool noPendingReplies = m_link->link->pending() == 0;
        noPendingReplies ? releaseLink(now) : discardLink(now);
        return;
    }
    m_transaction->begun = false;
    m_linkPool->rollBack(std::exchange(m_link, nullptr), now);
    m_linkPool.reset();
}

} // namespace shallotlever
