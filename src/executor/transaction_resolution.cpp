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

TransactionResolution::TransactionResolution(std::shared_ptr<RunState> run, TransactionId id)
    : m_run(std::move(run))
    , m_id(std::move(id))
{
}

void TransactionResolution::start()
{
    UpstreamHandle *primary = usablePrimary(m_run->context);
    if (primary == nullptr) {
        giveUp();
        return;
    }
    m_term = m_run->context.view.group.term;
    acquireConnection(*m_run, primary->info.id,
                      [self = shared_from_this()](absl::StatusOr<PooledConnection> connection) {
                          if (!connection.ok()) {
                              self->giveUp();
                              return;
                          }
                          self->m_connection = std::move(*connection);
                          self->execute(kCreateIdempotencyTable, {}, &TransactionResolution::begin);
                      });
}

void TransactionResolution::execute(std::string_view sql, const std::vector<SqlParam> &params,
                                    Next next)
{
    (*m_connection)
        ->execute(sql, params, timeLeft(m_run->item.deadline, monotonicNow()),
                  [self = shared_from_this(), next](const QueryReply &reply) {
                      if (const auto *result = std::get_if<QueryResult>(&reply))
                          (self.get()->*next)(*result);
                      else
                          self->giveUp();
                  });
}

void TransactionResolution::begin(const QueryResult &)
{
    execute("BEGIN", {}, &TransactionResolution::find);
}

void TransactionResolution::find(const QueryResult &)
{
    execute(kFindIdempotencyRecord, { m_run->item.team.value(), commitRecordKey(m_id) },
            &TransactionResolution::onRecord);
}

void TransactionResolution::onRecord(const QueryResult &result)
{
    if (!result.rows.empty()) {
        m_committed = result.rows[0].at(1) == std::string(kRecordCommitted);
        execute("ROLLBACK", {}, &TransactionResolution::findPoint);
        return;
    }
    const std::vector<SqlParam> record {
        m_run->item.team.value(), commitRecordKey(m_id), "", std::string(kRecordRolledBack),
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
        findPoint({});
    else
        giveUp();
}

void TransactionResolution::findPoint(const QueryResult &)
{
    execute(ControlStatements().status, {}, &TransactionResolution::onPoint);
}

void TransactionResolution::onPoint(const QueryResult &result)
{
    const std::optional<HistoryPoint> point = commitPointFrom(result, m_term);
    if (!point) {
        giveUp();
        return;
    }
    m_connection->release(SessionReset::DiscardAll);
    m_connection.reset();
    m_run->context.acknowledger.wait(
        m_run->context, *point, monotonicNow(), m_run->item.deadline,
        [self = shared_from_this(), point = *point](AckOutcome outcome) {
            if (outcome == AckOutcome::Acknowledged)
                self->answer(point);
            else
                self->giveUp();
        });
}

void TransactionResolution::answer(const HistoryPoint &point)
{
    if (m_committed)
        finishRun(*m_run, AckResponse { tokenFor(*m_run, point) });
    else
        finishRun(
            *m_run,
            Error { ErrorKind::TransactionLost, "the transaction was rolled back", std::nullopt });
}

void TransactionResolution::giveUp()
{
    if (m_connection) {
        rollBackAndRelease(std::move(*m_connection));
        m_connection.reset();
    }
    finishRun(*m_run,
              Error { ErrorKind::OutcomeUnknown,
                      "how the transaction ended cannot be found out now", std::nullopt });
}

} // namespace shallotlever
