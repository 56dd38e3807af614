#include "write_run.h"

#include <QDateTime>

#include "answer.h"
#include "commit_point.h"
#include "idempotency.h"
#include "shallotlever/base/clock.h"

namespace shallotlever {

namespace {

/// Pause before another attempt on a primary that cannot be reached.
constexpr Duration kPrimaryRetryPause = 50ms;

/// The write is known not to have run and only the primary can take it, so it is repeated until
/// its deadline: a new primary may be in office before that. The writes that do so are bounded by
/// the slots of the queue, so they cause no storm.
bool isConnectionFailure(const Failure &failure)
{
    return failure.reason == RetryReason::ConnectFailed
        || failure.reason == RetryReason::UpstreamLostBeforeSend
        || failure.reason == RetryReason::UpstreamLeaving;
}

} // namespace

WriteRun::WriteRun(ExecutorContext &context, WorkItem item, RunDone done)
    : m_run { context, std::move(item), std::move(done), monotonicNow(), 1, false }
{
}

void WriteRun::start()
{
    const TimePoint now = monotonicNow();
    if (now >= m_run.item.deadline) {
        finishWith(Error { ErrorKind::DeadlineExceeded, {}, std::nullopt });
        return;
    }
    if (now >= m_run.context.view.freshUntil) {
        finishWith(Error { ErrorKind::ConfigStale, {}, std::nullopt });
        return;
    }
    UpstreamHandle *primary = usablePrimary(m_run.context);
    if (primary == nullptr) {
        waitForPrimary(RetryReason::NotPrimary, Term());
        return;
    }
    m_primary = primary->info.id;
    m_term = m_run.context.view.group.term;
    connect();
}

void WriteRun::connect()
{
    acquireConnection(m_run, m_primary,
                      [self = shared_from_this()](absl::StatusOr<PooledConnection> connection) {
                          if (!connection.ok()) {
                              self->fail(connectFailure());
                              return;
                          }
                          self->m_connection = std::move(*connection);
                          if (self->idempotent())
                              self->ensureTable();
                          else
                              self->runAlone();
                      });
}

void WriteRun::execute(const std::string &sql, const std::vector<SqlParam> &params,
                       FailurePoint point, Next next)
{
    const Duration timeout = timeLeft(m_run.item.deadline, monotonicNow());
    (*m_connection)
        ->execute(sql, params, timeout, [self = shared_from_this(), point, next](QueryReply reply) {
            if (auto *result = std::get_if<QueryResult>(&reply))
                (self.get()->*next)(std::move(*result));
            else
                self->fail(classifyFailure(std::get<QueryError>(reply), point));
        });
}

void WriteRun::runAlone()
{
    execute(statement().sql, statement().params, FailurePoint::Commit, &WriteRun::committed);
}

void WriteRun::committed(QueryResult result)
{
    m_answer = answerFrom(std::move(result), m_primary);
    if ((*m_connection)->transactionStatus() != TransactionStatus::Idle) {
        fail({ std::nullopt,
               Error { ErrorKind::SqlError, "use the transactions interface to open a transaction",
                       std::nullopt },
               false });
        return;
    }
    findCommitPoint();
}

void WriteRun::ensureTable()
{
    const std::pair known(m_primary, m_term);
    if (m_run.context.idempotencyTable == known) {
        beginTransaction({});
        return;
    }
    execute(std::string(kCreateIdempotencyTable), {}, FailurePoint::BeforeCommit,
            &WriteRun::beginTransaction);
}

void WriteRun::beginTransaction(QueryResult)
{
    m_run.context.idempotencyTable = { m_primary, m_term };
    execute("BEGIN", {}, FailurePoint::BeforeCommit, &WriteRun::findRecord);
}

void WriteRun::findRecord(QueryResult)
{
    execute(std::string(kFindIdempotencyRecord),
            { m_run.item.team.value(), *m_run.item.idempotencyKey }, FailurePoint::BeforeCommit,
            &WriteRun::onRecord);
}

void WriteRun::onRecord(QueryResult result)
{
    if (result.rows.empty())
        runInTransaction();
    else
        repeatRecorded(result.rows.front());
}

void WriteRun::runInTransaction()
{
    execute(statement().sql, statement().params, FailurePoint::BeforeCommit,
            &WriteRun::insertRecord);
}

void WriteRun::insertRecord(QueryResult result)
{
    m_answer = answerFrom(std::move(result), m_primary);
    const std::vector<SqlParam> record {
        m_run.item.team.value(), *m_run.item.idempotencyKey,
        statementDigest(statement().sql, statement().params), encodeRecordedAnswer(m_answer),
        QString::number(QDateTime::currentMSecsSinceEpoch()).toStdString()
    };
    execute(std::string(kInsertIdempotencyRecord), record, FailurePoint::BeforeCommit,
            &WriteRun::commit);
}

void WriteRun::commit(QueryResult)
{
    // A statement that ended the transaction would have been committed without its record.
    if ((*m_connection)->transactionStatus() != TransactionStatus::InTransaction) {
        fail({ std::nullopt,
               Error { ErrorKind::OutcomeUnknown, "the statement ended its transaction",
                       std::nullopt },
               true });
        return;
    }
    execute("COMMIT", {}, FailurePoint::Commit, &WriteRun::afterCommit);
}

void WriteRun::afterCommit(QueryResult result)
{
    // A COMMIT of a failed transaction succeeds as a rollback.
    if (!wasCommitted(result)) {
        fail({ std::nullopt,
               Error { ErrorKind::SqlError, "the transaction was rolled back", std::nullopt },
               false });
        return;
    }
    findCommitPoint();
}

void WriteRun::repeatRecorded(const std::vector<SqlParam> &record)
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
    // The first commit may not have reached a majority yet. The current position is at or past it.
    execute("ROLLBACK", {}, FailurePoint::BeforeCommit, &WriteRun::afterRollback);
}

void WriteRun::afterRollback(QueryResult)
{
    findCommitPoint();
}

void WriteRun::findCommitPoint()
{
    const ControlStatements statements;
    execute(statements.status, {}, FailurePoint::AfterCommit, &WriteRun::onCommitPoint);
}

void WriteRun::onCommitPoint(QueryResult result)
{
    const std::optional<HistoryPoint> point = commitPointFrom(result, m_term);
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

void WriteRun::awaitMajority(const HistoryPoint &point)
{
    m_run.context.acknowledger.wait(m_run.context, point, monotonicNow(), m_run.item.deadline,
                                    [self = shared_from_this(), point](AckOutcome outcome) {
                                        self->onMajority(outcome, point);
                                    });
}

void WriteRun::onMajority(AckOutcome outcome, const HistoryPoint &point)
{
    if (outcome != AckOutcome::Acknowledged) {
        fail({ RetryReason::IdempotentRepeat,
               Error { ErrorKind::OutcomeUnknown, "no majority of the group confirmed the write",
                       std::nullopt },
               true });
        return;
    }
    m_answer.sessionToken = tokenFor(m_run, point);
    finishRun(m_run, std::move(m_answer));
}

void WriteRun::fail(const Failure &failure)
{
    recycleConnection();
    if (failure.reason == RetryReason::Fenced || failure.reason == RetryReason::NotPrimary) {
        waitForPrimary(*failure.reason, m_term);
        return;
    }
    m_outcomeUnknown |= failure.outcomeUnknown;
    if (isConnectionFailure(failure)) {
        retryOnPrimary(*failure.reason);
        return;
    }
    if (failure.outcomeUnknown && !idempotent()) {
        finishWith(failure.error);
        return;
    }
    Failure last = failure;
    last.error = reported(failure.error);
    retryOrFail(m_run, last, false, idempotent(), [self = shared_from_this()] { self->start(); });
}

Error WriteRun::reported(const Error &error) const
{
    // A mismatch is found in the record of the first attempt, so it is certain.
    if (!m_outcomeUnknown || error.kind == ErrorKind::IdempotencyMismatch)
        return error;
    return { ErrorKind::OutcomeUnknown, "an earlier attempt may have taken effect", std::nullopt };
}

void WriteRun::finishWith(const Error &error)
{
    finishRun(m_run, reported(error));
}

void WriteRun::retryOnPrimary(RetryReason reason)
{
    m_run.context.metrics->retry(reason).increment();
    ++m_run.attempts;
    callLater(m_run.context, kPrimaryRetryPause, [self = shared_from_this()] { self->start(); });
}

void WriteRun::waitForPrimary(RetryReason reason, Term afterTerm)
{
    m_run.context.metrics->retry(reason).increment();
    m_run.context.waitingForPrimary.push_back(
        { m_run.item.deadline, afterTerm, [self = shared_from_this()] { self->start(); } });
}

void WriteRun::recycleConnection()
{
    if (!m_connection)
        return;
    rollBackAndRelease(std::move(*m_connection));
    m_connection.reset();
}

} // namespace shallotlever
