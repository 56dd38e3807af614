// Attempts to run a statement of a session on a database, and their retries.

#include <algorithm>
#include <utility>

#include "session.h"
#include "shallotlever/base/clock.h"
#include "upstream_loads.h"

namespace shallotlever {

namespace {

/// Backoff before a database is selected again when none could serve the statement; also the base
/// of the exponential backoff between attempts.
constexpr Duration kRetryBackoff = 20ms;
constexpr std::uint32_t kMaxRetryBackoffDoublings = 5;
/// Number of attempts after which the error of a read that databases execute and fail is returned
/// to the caller.
constexpr std::uint32_t kMaxReadAttempts = 3;
/// Number of attempts after which a statement is refused that databases do not prepare.
constexpr std::uint32_t kMaxPrepareAttempts = 3;

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

} // namespace

const DatabaseConfig &CallerSession::database() const
{
    return m_transaction ? m_transaction->database : m_operationConfig;
}

bool CallerSession::writes(const Statement &statement) const
{
    if (statement.kind == StatementKind::Execute) {
        const auto prepared = m_sessionState.prepared.find(statement.name);
        return prepared != m_sessionState.prepared.end() && prepared->second.writes;
    }
    return statement.kind == StatementKind::Write;
}

bool CallerSession::needsPrimary() const
{
    if (database().consistency == Consistency::Primary)
        return true;
    return m_transaction ? !m_transaction->readOnly : writes(m_execution->statement);
}

std::optional<UpstreamId> CallerSession::selectDatabase(TimePoint now) const
{
    const auto service = m_state.services.find(database().service);
    if (service == m_state.services.end())
        return std::nullopt;
    const std::vector<UpstreamLoad> loads = upstreamLoads(m_state, m_dispatcher, service->second,
                                                          m_team, m_execution->excludedOwners, now);
    const auto candidates = weighUpstreams(loads, !needsPrimary(), m_execution->excluded, now);
    const PlacementCandidate *chosen = drawCandidate(candidates, service->second.chance.next());
    if (chosen == nullptr)
        return std::nullopt;
    m_state.placementMetrics.observe(candidates, *chosen);
    return chosen->id;
}

/// Whether nothing can run the statement until an operator ends an evacuation.
bool CallerSession::onlyEvacuated() const
{
    const auto service = m_state.services.find(database().service);
    return service != m_state.services.end() && m_state.onlyEvacuated(service->second);
}

bool CallerSession::commitsWrite() const
{
    if (m_execution->statement.kind == StatementKind::Commit)
        return m_transaction->wrote;
    return !m_transaction && writes(m_execution->statement);
}

bool CallerSession::transactionReleased(TimePoint now) const
{
    const bool begun = m_transaction && m_transaction->hasExecuted && !m_transaction->readOnly;
    return begun && (commitsWrite() || writes(m_execution->statement))
        && !m_state.mayAcknowledge(database().service, m_transaction->tenure, now);
}

/// Selects a database and sends the statement there. A transaction stays where it was begun.
void CallerSession::startAttempt(TimePoint now)
{
    Execution &execution = *m_execution;
    if (const auto refused = refusalReason(now)) {
        fail(*refused, now);
        return;
    }
    if (teamOfKey() != m_team) {
        onTeamChanged(now);
        return;
    }
    if (transactionReleased(now)) {
        fail(ErrorKind::TransactionLost, now);
        return;
    }
    const bool begun = m_transaction && m_transaction->hasExecuted;
    const std::optional<UpstreamId> target = begun ? m_transaction->upstream : selectDatabase(now);
    if (!target && onlyEvacuated()) {
        execution.lastFailure = ErrorKind::NoUpstream;
        giveUp(now);
        return;
    }
    if (!target) {
        execution.phase = Phase::AwaitingUpstream;
        execution.retryAt = now + kRetryBackoff;
        execution.excluded.clear();
        execution.excludedOwners.clear();
        if (needsPrimary())
            execution.lastFailure = ErrorKind::NoPrimary;
        return;
    }
    execution.upstream = *target;
    dispatch(begun, now);
}

void CallerSession::dispatch(bool transactionBegun, TimePoint now)
{
    Execution &execution = *m_execution;
    if (transactionBegun) {
        execution.owner = m_transaction->owner;
        execution.tenure = m_transaction->tenure;
    } else {
        const ServiceDatabases &service = m_state.services.at(database().service);
        const DatabaseRoute &route = service.routes.at(execution.upstream);
        execution.owner = *m_dispatcher.owner(route.info, execution.excludedOwners);
        execution.tenure = tenureOf(service.tenures, execution.upstream);
        if (m_transaction) {
            m_transaction->number = ++m_state.lastTransaction;
            m_transaction->upstream = execution.upstream;
            m_transaction->owner = execution.owner;
            m_transaction->tenure = execution.tenure;
        }
    }
    // The outcome of a write would be unknown, even if the other node turned out unable to run it.
    const bool mustBeKnown =
        !m_transaction && execution.attempts > 0 && writes(execution.statement);
    if (execution.owner != m_state.self
        && !forwardedTimeLimit(execution.deadline - now, mustBeKnown)) {
        giveUp(now);
        return;
    }
    execution.phase = Phase::Running;
    ++execution.attempts;
    const std::weak_ptr<bool> alive = m_alive;
    const std::uint64_t id = m_dispatcher.run(
        execution.owner, makeRequest(now),
        [this, alive](const StatementReply &reply) {
            if (!alive.expired())
                onReply(reply);
        },
        now);
    // The callback may have finished the execution, or the session, already.
    if (id != 0 && !alive.expired() && m_execution)
        m_execution->dispatchId = id;
}

StatementRequest CallerSession::makeRequest(TimePoint now) const
{
    const Statement &statement = m_execution->statement;
    StatementRequest request;
    request.service = database().service;
    request.upstream = m_execution->upstream;
    request.team = m_team;
    request.priority = database().priority;
    request.variables = m_sessionState.variables;
    request.id = statement.id;
    request.text = statement.text;
    if (statement.kind == StatementKind::Execute) {
        request.prepared = m_sessionState.prepared.at(statement.name);
        request.text = statement.arguments.value_or("");
        request.hasArguments = statement.arguments.has_value();
    }
    request.writes = writes(statement);
    request.commits = statement.kind == StatementKind::Commit;
    if (m_transaction) {
        request.transaction = m_transaction->number;
        request.readOnlyTransaction = m_transaction->readOnly;
        request.transactionBegun = m_transaction->hasExecuted;
    }
    request.primaryOnly = needsPrimary();
    request.maxStaleness = database().maxStaleness;
    if (database().consistency == Consistency::ReadYourWrites)
        request.ownCommit = m_lastCommit;
    request.timeLeft = m_execution->deadline - now;
    if (m_execution->owner != m_state.self)
        request.timeLeft = forwardedTimeLimit(request.timeLeft, false).value_or(request.timeLeft);
    return request;
}

void CallerSession::onReply(const StatementReply &reply)
{
    if (!m_execution || m_execution->phase != Phase::Running)
        return;
    const TimePoint now = monotonicNow();
    if (reply.result != StatementResult::Answered)
        onUnanswered(reply.reason, reply.result == StatementResult::Unknown, now);
    else if (reply.succeeded())
        onSuccess(reply, now);
    else
        onError(reply, now);
}

void CallerSession::onSuccess(const StatementReply &reply, TimePoint now)
{
    const bool write = writes(m_execution->statement);
    const bool commits = m_execution->statement.kind == StatementKind::Commit;
    const bool committed = commitsWrite();
    if (committed && !m_state.mayAcknowledge(database().service, m_execution->tenure, now)) {
        failUnacknowledged(now);
        return;
    }
    if (committed && reply.point)
        m_lastCommit = std::max(m_lastCommit.value_or(HistoryPoint()), *reply.point);
    m_state.responseTime->observe(now - m_execution->arrivedAt);
    if (m_transaction) {
        m_transaction->hasExecuted = true;
        m_transaction->wrote = m_transaction->wrote || write;
    }
    if (commits)
        m_transaction.reset();
    answer(reply.lines + m_state.protocol->ready(state()));
    finishExecution();
}

void CallerSession::failUnacknowledged(TimePoint now)
{
    m_state.unacknowledgedCommits->increment();
    if (acquireLogToken(m_state.logRateLimiter, LogTopic::Failure, now))
        m_state.logger->info("commit_unacknowledged",
                             { { "request", m_execution->statement.id },
                               { "upstream", m_execution->upstream.value() },
                               { "lease_valid", m_state.fresh(now) } });
    fail(ErrorKind::OutcomeUnknown, now);
}

void CallerSession::onError(const StatementReply &reply, TimePoint now)
{
    const UpstreamErrorKind kind = reply.error->kind;
    const bool commits = m_execution->statement.kind == StatementKind::Commit;
    const bool restartable = !m_transaction || (!m_transaction->hasExecuted && !commits);
    if (kind == UpstreamErrorKind::UnknownPrepared
        && (!restartable || ++m_execution->prepareFailures >= kMaxPrepareAttempts)) {
        fail(m_transaction ? ErrorKind::TransactionLost : ErrorKind::PrepareFailed, now);
        return;
    }
    const bool repeatable = provesNotRun(kind)
        || (!m_transaction && !writes(m_execution->statement)
            && m_execution->attempts < kMaxReadAttempts);
    if (restartable && repeatable) {
        retry(retryReasonFor(kind), now);
        return;
    }
    m_state.refusedByDatabase->increment();
    logOutcome("statement_refused", reply.error->message, LogTopic::Failure, now);
    // The owner has rolled back the transaction.
    if (m_transaction && commits)
        m_transaction.reset();
    else if (m_transaction)
        m_transaction->failed = true;
    answer(reply.lines + m_state.protocol->ready(state()));
    finishExecution();
}

void CallerSession::onUnanswered(RetryReason reason, bool sent, TimePoint now)
{
    const bool commits = m_execution->statement.kind == StatementKind::Commit;
    const bool write = writes(m_execution->statement);
    m_execution->mayHaveRun = m_execution->mayHaveRun || sent;
    if (reason == RetryReason::Unsendable) {
        fail(ErrorKind::RequestTooLarge, now);
        return;
    }
    if (m_transaction) {
        // The database keeps nothing of a transaction unless its commit was sent.
        const bool repeatable = !m_transaction->hasExecuted && !(commits && sent)
            && reason != RetryReason::AnswerTooLarge;
        const bool unknown = commits && sent && m_transaction->wrote;
        if (repeatable)
            retry(sent ? RetryReason::UpstreamLostBeforeSend : reason, now);
        else
            fail(unknown ? ErrorKind::OutcomeUnknown : ErrorKind::TransactionLost, now);
        return;
    }
    if (sent && (write || reason == RetryReason::AnswerTooLarge))
        fail(ErrorKind::OutcomeUnknown, now);
    else
        retry(reason, now);
}

/// The owner has not answered in time.
void CallerSession::onDeadline(TimePoint now)
{
    const bool notRun = m_dispatcher.cancel(m_execution->dispatchId);
    onUnanswered(notRun ? RetryReason::ConnectionWait : RetryReason::ReadTimedOut, !notRun, now);
}

void CallerSession::retry(RetryReason reason, TimePoint now)
{
    Execution &execution = *m_execution;
    const RetryReasonRow &row = retryReasonRow(reason);
    execution.lastFailure = errorKindFor(reason);
    execution.mayHaveRun = execution.mayHaveRun || !row.notRun;
    endTransaction(now);
    if (row.avoidUpstream)
        execution.excluded.insert(execution.upstream);
    if (reason == RetryReason::OwnerUnavailable)
        execution.excludedOwners.insert(execution.owner);
    execution.phase = Phase::AwaitingUpstream;
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

void CallerSession::endTransaction(TimePoint now)
{
    if (!m_transaction || m_transaction->number == 0)
        return;
    m_dispatcher.endTransaction(m_transaction->owner, std::exchange(m_transaction->number, 0), now);
}

} // namespace shallotlever
