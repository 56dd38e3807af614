#include "write_execution.h"

#include <QDateTime>

#include "answer.h"
#include "commit_point.h"
#include "idempotency.h"
#include "shallotlever/base/clock.h"

namespace shallotlever {

namespace {

/// Delay before the next attempt on a primary that cannot be reached.
constexpr Duration kPrimaryRetryDelay = 50ms;

/// Whether the connection or the database failed before the write could take effect. The write is
/// known not to have run and only the primary can execute it, so it is retried until its deadline:
/// a new primary may be elected before that. The slots of the queue limit how many writes retry at
/// a time, which prevents a retry storm.
bool isConnectionFailure(const Failure &failure)
{
    return failure.reason == RetryReason::ConnectFailed
        || failure.reason == RetryReason::UpstreamLostBeforeSend
        || failure.reason == RetryReason::UpstreamLeaving;
}

} // namespace

WriteExecution::WriteExecution(ExecutorContext &context, WorkItem item, CompletionCallback done)
    : m_execution { context, std::move(item), std::move(done), monotonicNow(), 1, false }
{
}

void WriteExecution::start()
{
    const TimePoint now = monotonicNow();
    if (now >= m_execution.item.deadline) {
        finishWithError(Error { ErrorKind::DeadlineExceeded, {}, std::nullopt });
        return;
    }
    if (now >= m_execution.context.view.freshUntil) {
        finishWithError(Error { ErrorKind::ConfigStale, {}, std::nullopt });
        return;
    }
    UpstreamHandle *primary = usablePrimary(m_execution.context);
    if (primary == nullptr) {
        waitForPrimary(RetryReason::NotPrimary, Term());
        return;
    }
    m_primary = primary->info.id;
    m_term = m_execution.context.view.group.term;
    connect();
}

void WriteExecution::connect()
{
    acquireConnection(m_execution, m_primary,
                      [self = shared_from_this()](absl::StatusOr<PooledConnection> connection) {
                          if (!connection.ok()) {
                              self->fail(connectFailure());
                              return;
                          }
                          self->m_connection = std::move(*connection);
                          if (self->idempotent())
                              self->ensureRecordTable();
                          else
                              self->runAutocommit();
                      });
}

void WriteExecution::execute(const std::string &sql, const std::vector<SqlParam> &params,
                             FailurePoint point, Next next)
{
    const Duration timeout = timeLeft(m_execution.item.deadline, monotonicNow());
    (*m_connection)
        ->execute(sql, params, timeout, [self = shared_from_this(), point, next](QueryReply reply) {
            if (auto *result = std::get_if<QueryResult>(&reply))
                (self.get()->*next)(std::move(*result));
            else
                self->fail(classifyFailure(std::get<QueryError>(reply), point));
        });
}

void WriteExecution::runAutocommit()
{
    execute(statement().sql, statement().params, FailurePoint::Commit,
            &WriteExecution::onAutocommitResult);
}

void WriteExecution::onAutocommitResult(QueryResult result)
{
    m_answer = makeStatementAnswer(std::move(result), m_primary);
    if ((*m_connection)->transactionStatus() != TransactionStatus::Idle) {
        fail({ std::nullopt,
               Error { ErrorKind::SqlError, "use the transactions interface to open a transaction",
                       std::nullopt },
               false });
        return;
    }
    queryCommitPoint();
}

void WriteExecution::ensureRecordTable()
{
    const std::pair currentPrimary(m_primary, m_term);
    if (m_execution.context.idempotencyTablePrimary == currentPrimary) {
        beginTransaction({});
        return;
    }
    execute(std::string(kCreateIdempotencyTable), {}, FailurePoint::BeforeCommit,
            &WriteExecution::beginTransaction);
}

void WriteExecution::beginTransaction(QueryResult)
{
    m_execution.context.idempotencyTablePrimary = { m_primary, m_term };
    execute("BEGIN", {}, FailurePoint::BeforeCommit, &WriteExecution::findRecord);
}

void WriteExecution::findRecord(QueryResult)
{
    execute(std::string(kFindIdempotencyRecord),
            { m_execution.item.team.value(), *m_execution.item.idempotencyKey },
            FailurePoint::BeforeCommit, &WriteExecution::onRecord);
}

void WriteExecution::onRecord(QueryResult result)
{
    if (result.rows.empty())
        runInTransaction();
    else
        replayRecordedAnswer(result.rows.front());
}

void WriteExecution::runInTransaction()
{
    execute(statement().sql, statement().params, FailurePoint::BeforeCommit,
            &WriteExecution::insertRecord);
}

void WriteExecution::insertRecord(QueryResult result)
{
    m_answer = makeStatementAnswer(std::move(result), m_primary);
    const std::vector<SqlParam> record {
        m_execution.item.team.value(), *m_execution.item.idempotencyKey,
        statementDigest(statement().sql, statement().params), encodeRecordedAnswer(m_answer),
        QString::number(QDateTime::currentMSecsSinceEpoch()).toStdString()
    };
    execute(std::string(kInsertIdempotencyRecord), record, FailurePoint::BeforeCommit,
            &WriteExecution::commit);
}

void WriteExecution::commit(QueryResult)
{
    // If the statement itself ended the transaction, it may have been committed without its record.
    if ((*m_connection)->transactionStatus() != TransactionStatus::InTransaction) {
        fail({ std::nullopt,
               Error { ErrorKind::OutcomeUnknown, "the statement ended its transaction",
                       std::nullopt },
               true });
        return;
    }
    execute("COMMIT", {}, FailurePoint::Commit, &WriteExecution::afterCommit);
}

void WriteExecution::afterCommit(QueryResult result)
{
    // COMMIT of a failed transaction succeeds, but rolls back.
    if (!wasCommitted(result)) {
        fail({ std::nullopt,
               Error { ErrorKind::SqlError, "the transaction was rolled back", std::nullopt },
               false });
        return;
    }
    queryCommitPoint();
}

void WriteExecution::replayRecordedAnswer(const std::vector<SqlParam> &record)
{
    const std::string digest = statementDigest(statement().sql, statement().params);
    absl::StatusOr<StatementResponse> answer = decodeRecordedAnswer(record.at(1).value_or(""));
    if (record.at(0) != digest || !answer.ok()) {
        fail({ std::nullopt, Error { ErrorKind::IdempotencyMismatch, {}, std::nullopt }, false });
        return;
    }
    m_answer = std::move(*answer);
    m_answer.upstream = m_primary;
    m_answer.repeated = true;
    // The first commit may not have been replicated to a majority yet. The current log position is
    // at or past it, so waiting for that position covers the commit.
    execute("ROLLBACK", {}, FailurePoint::BeforeCommit, &WriteExecution::afterRollback);
}

void WriteExecution::afterRollback(QueryResult)
{
    queryCommitPoint();
}

void WriteExecution::queryCommitPoint()
{
    const ControlStatements statements;
    execute(statements.status, {}, FailurePoint::AfterCommit, &WriteExecution::onCommitPoint);
}

void WriteExecution::onCommitPoint(QueryResult result)
{
    const std::optional<HistoryPoint> point = parseCommitPoint(result, m_term);
    if (!point) {
        fail({ RetryReason::IdempotentRepeat,
               Error { ErrorKind::OutcomeUnknown, "the primary changed during the write",
                       std::nullopt },
               true });
        return;
    }
    m_connection->release(SessionReset::DiscardAll);
    m_connection.reset();
    awaitMajority(*point);
}

void WriteExecution::awaitMajority(const HistoryPoint &point)
{
    m_execution.context.acknowledger.wait(m_execution.context, point, monotonicNow(),
                                          m_execution.item.deadline,
                                          [self = shared_from_this(), point](AckOutcome outcome) {
                                              self->onAckOutcome(outcome, point);
                                          });
}

void WriteExecution::onAckOutcome(AckOutcome outcome, const HistoryPoint &point)
{
    if (outcome != AckOutcome::Acknowledged) {
        fail({ RetryReason::IdempotentRepeat,
               Error { ErrorKind::OutcomeUnknown, "no majority of the group confirmed the write",
                       std::nullopt },
               true });
        return;
    }
    m_answer.sessionToken = updateSessionToken(m_execution, point);
    finishExecution(m_execution, std::move(m_answer));
}

void WriteExecution::fail(const Failure &failure)
{
    returnConnection();
    if (failure.reason == RetryReason::Fenced || failure.reason == RetryReason::NotPrimary) {
        waitForPrimary(*failure.reason, m_term);
        return;
    }
    m_outcomeUnknown |= failure.outcomeUnknown;
    if (isConnectionFailure(failure)) {
        retryAfterDelay(*failure.reason);
        return;
    }
    if (failure.outcomeUnknown && !idempotent()) {
        finishWithError(failure.error);
        return;
    }
    Failure finalFailure = failure;
    finalFailure.error = reportedError(failure.error);
    retryOrFail(m_execution, finalFailure, false, idempotent(),
                [self = shared_from_this()] { self->start(); });
}

Error WriteExecution::reportedError(const Error &error) const
{
    // A mismatch is read from the committed record of the first attempt, so it is certain.
    if (!m_outcomeUnknown || error.kind == ErrorKind::IdempotencyMismatch)
        return error;
    return { ErrorKind::OutcomeUnknown, "an earlier attempt may have taken effect", std::nullopt };
}

void WriteExecution::finishWithError(const Error &error)
{
    finishExecution(m_execution, reportedError(error));
}

void WriteExecution::retryAfterDelay(RetryReason reason)
{
    m_execution.context.metrics->retry(reason).increment();
    ++m_execution.attempts;
    callLater(m_execution.context, kPrimaryRetryDelay,
              [self = shared_from_this()] { self->start(); });
}

void WriteExecution::waitForPrimary(RetryReason reason, Term afterTerm)
{
    m_execution.context.metrics->retry(reason).increment();
    m_execution.context.waitingForPrimary.push_back(
        { m_execution.item.deadline, afterTerm, [self = shared_from_this()] { self->start(); } });
}

void WriteExecution::returnConnection()
{
    if (!m_connection)
        return;
    rollBackAndRelease(std::move(*m_connection));
    m_connection.reset();
}

} // namespace shallotlever
