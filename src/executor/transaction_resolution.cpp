#include "transaction_resolution.h"

#include <QDateTime>

#include "commit_point.h"
#include "idempotency.h"
#include "shallotlever/base/clock.h"

namespace shallotlever {

std::string commitRecordKey(const TransactionId &id)
{
    return "transaction\n" + id.value();
}

TransactionResolution::TransactionResolution(std::shared_ptr<ExecutionState> execution,
                                             TransactionId id)
    : m_execution(std::move(execution))
    , m_id(std::move(id))
{
}

void TransactionResolution::start()
{
    UpstreamHandle *primary = usablePrimary(m_execution->context);
    if (primary == nullptr) {
        finishWithUnknownOutcome();
        return;
    }
    m_term = m_execution->context.view.group.term;
    acquireConnection(*m_execution, primary->info.id,
                      [self = shared_from_this()](absl::StatusOr<PooledConnection> connection) {
                          if (!connection.ok()) {
                              self->finishWithUnknownOutcome();
                              return;
                          }
                          self->m_connection = std::move(*connection);
                          self->execute(kCreateIdempotencyTable, {},
                                        &TransactionResolution::beginTransaction);
                      });
}

void TransactionResolution::execute(std::string_view sql, const std::vector<SqlParam> &params,
                                    Next next)
{
    (*m_connection)
        ->execute(sql, params, timeLeft(m_execution->item.deadline, monotonicNow()),
                  [self = shared_from_this(), next](const QueryReply &reply) {
                      if (const auto *result = std::get_if<QueryResult>(&reply))
                          (self.get()->*next)(*result);
                      else
                          self->finishWithUnknownOutcome();
                  });
}

void TransactionResolution::beginTransaction(const QueryResult &)
{
    execute("BEGIN", {}, &TransactionResolution::findRecord);
}

void TransactionResolution::findRecord(const QueryResult &)
{
    execute(kFindIdempotencyRecord, { m_execution->item.team.value(), commitRecordKey(m_id) },
            &TransactionResolution::onRecord);
}

void TransactionResolution::onRecord(const QueryResult &result)
{
    if (!result.rows.empty()) {
        m_committed = result.rows[0].at(1) == std::string(kRecordCommitted);
        execute("ROLLBACK", {}, &TransactionResolution::queryCommitPoint);
        return;
    }
    const std::vector<SqlParam> record {
        m_execution->item.team.value(), commitRecordKey(m_id), "", std::string(kRecordRolledBack),
        QString::number(QDateTime::currentMSecsSinceEpoch()).toStdString()
    };
    execute(kInsertIdempotencyRecord, record, &TransactionResolution::commitRecord);
}

void TransactionResolution::commitRecord(const QueryResult &)
{
    execute("COMMIT", {}, &TransactionResolution::afterCommit);
}

void TransactionResolution::afterCommit(const QueryResult &result)
{
    if (wasCommitted(result))
        queryCommitPoint({});
    else
        finishWithUnknownOutcome();
}

void TransactionResolution::queryCommitPoint(const QueryResult &)
{
    execute(ControlStatements().status, {}, &TransactionResolution::onCommitPoint);
}

void TransactionResolution::onCommitPoint(const QueryResult &result)
{
    const std::optional<HistoryPoint> point = parseCommitPoint(result, m_term);
    if (!point) {
        finishWithUnknownOutcome();
        return;
    }
    m_connection->release(SessionReset::DiscardAll);
    m_connection.reset();
    m_execution->context.acknowledger.wait(
        m_execution->context, *point, monotonicNow(), m_execution->item.deadline,
        [self = shared_from_this(), point = *point](AckOutcome outcome) {
            if (outcome == AckOutcome::Acknowledged)
                self->answerCaller(point);
            else
                self->finishWithUnknownOutcome();
        });
}

void TransactionResolution::answerCaller(const HistoryPoint &point)
{
    if (m_committed)
        finishExecution(*m_execution, AckResponse { updateSessionToken(*m_execution, point) });
    else
        finishExecution(
            *m_execution,
            Error { ErrorKind::TransactionLost, "the transaction was rolled back", std::nullopt });
}

void TransactionResolution::finishWithUnknownOutcome()
{
    if (m_connection) {
        rollBackAndRelease(std::move(*m_connection));
        m_connection.reset();
    }
    finishExecution(*m_execution,
                    Error { ErrorKind::OutcomeUnknown,
                            "how the transaction ended cannot be found out now", std::nullopt });
}

} // namespace shallotlever
