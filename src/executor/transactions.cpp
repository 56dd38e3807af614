#include "transactions.h"

#include <QDateTime>

#include "answer.h"
#include "commit_point.h"
#include "idempotency.h"
#include "shallotlever/base/clock.h"
#include "shallotlever/session/transaction_id.h"
#include "transaction_resolution.h"

namespace shallotlever {

namespace {

/// A caller that has disappeared must not keep holding a scarce connection and its locks.
constexpr Duration kTransactionIdleTimeout = 5s;
constexpr Duration kMaxTransactionDuration = 60s;
std::shared_ptr<ExecutionState> makeExecutionState(ExecutorContext &context, WorkItem item,
                                                   CompletionCallback done = {})
{
    if (!done)
        done = [](Duration) {};
    return std::make_shared<ExecutionState>(
        ExecutionState { context, std::move(item), std::move(done), monotonicNow(), 1, false });
}

Error transactionLost()
{
    return { ErrorKind::TransactionLost, "the transaction was rolled back", std::nullopt };
}

} // namespace

TransactionTable::TransactionTable(ExecutorContext &context)
    : m_context(context)
{
}

void TransactionTable::begin(WorkItem item, CompletionCallback done)
{
    const auto execution = makeExecutionState(m_context, std::move(item));
    const auto releaseSlot = std::make_shared<CompletionCallback>(std::move(done));
    const auto refuseBegin = [execution, releaseSlot](const Error &error) {
        finishExecution(*execution, error);
        (*releaseSlot)(monotonicNow() - execution->startedAt);
    };
    UpstreamHandle *primary = usablePrimary(m_context);
    if (primary == nullptr || monotonicNow() >= m_context.view.freshUntil) {
        const ErrorKind kind = primary == nullptr ? ErrorKind::NoPrimary : ErrorKind::ConfigStale;
        refuseBegin(Error { kind, {}, std::nullopt });
        return;
    }
    const UpstreamId id = primary->info.id;
    const Term term = m_context.view.group.term;
    acquireConnection(*execution, id, [=, this](absl::StatusOr<PooledConnection> connection) {
        if (!connection.ok()) {
            refuseBegin(connectFailure().error);
            return;
        }
        const AccessMode mode = std::get<BeginWork>(execution->item.body).mode;
        const auto entry = std::make_shared<OpenTransaction>(
            OpenTransaction { makeTransactionId(m_context.options.node, execution->item.team,
                                                m_context.options.secret),
                              execution->item.team,
                              execution->item.token.session,
                              mode,
                              id,
                              term,
                              std::move(*connection),
                              true,
                              {},
                              {},
                              *releaseSlot });
        const BeginFailureCallback onFailure = [refuseBegin](const QueryError &error) {
            refuseBegin(classifyFailure(error, FailurePoint::BeforeCommit).error);
        };
        if (mode == AccessMode::Write)
            ensureRecordTable(entry, execution, onFailure);
        else
            open(entry, execution, onFailure);
    });
}

void TransactionTable::ensureRecordTable(const Entry &entry,
                                         const std::shared_ptr<ExecutionState> &execution,
                                         const BeginFailureCallback &onFailure)
{
    const std::pair currentPrimary(entry->primary, entry->term);
    if (m_context.idempotencyTablePrimary == currentPrimary) {
        open(entry, execution, onFailure);
        return;
    }
    entry->connection->execute(
        std::string(kCreateIdempotencyTable), {},
        timeLeft(execution->item.deadline, monotonicNow()),
        [this, entry, execution, onFailure, currentPrimary](const QueryReply &reply) {
            if (const auto *error = std::get_if<QueryError>(&reply)) {
                onFailure(*error);
                return;
            }
            m_context.idempotencyTablePrimary = currentPrimary;
            open(entry, execution, onFailure);
        });
}

void TransactionTable::open(const Entry &entry, const std::shared_ptr<ExecutionState> &execution,
                            const BeginFailureCallback &onFailure)
{
    const char *sql = entry->mode == AccessMode::Read ? "BEGIN READ ONLY" : "BEGIN";
    entry->connection->execute(
        sql, {}, timeLeft(execution->item.deadline, monotonicNow()),
        [this, entry, execution, onFailure](const QueryReply &reply) {
            if (const auto *error = std::get_if<QueryError>(&reply)) {
                onFailure(*error);
                return;
            }
            const TimePoint now = monotonicNow();
            entry->busy = false;
            entry->idleDeadline = now + kTransactionIdleTimeout;
            entry->lifetimeDeadline = now + kMaxTransactionDuration;
            m_open.emplace(entry->id, entry);
            finishExecution(
                *execution,
                TransactionResponse { entry->id, updateSessionToken(*execution, std::nullopt) });
        });
}

TransactionTable::Entry TransactionTable::claim(const WorkItem &item, const TransactionId &id)
{
    const auto open = m_open.find(id);
    if (open == m_open.end()) {
        refuse(item, ErrorKind::TransactionLost, "the transaction has ended or is not on this VM");
        return nullptr;
    }
    const Entry &entry = open->second;
    // A transaction of another team or session is reported as unknown, so that the answer does not
    // confirm that it exists.
    if (entry->team != item.team || entry->session != item.token.session) {
        refuse(item, ErrorKind::UnknownTransaction);
        return nullptr;
    }
    if (entry->busy) {
        refuse(item, ErrorKind::NotAllowed, "another request of this transaction is under way");
        return nullptr;
    }
    entry->busy = true;
    return entry;
}

void TransactionTable::statement(WorkItem item)
{
    const auto &work = std::get<TransactionStatementWork>(item.body);
    const Entry entry = claim(item, work.transaction);
    if (!entry)
        return;
    const auto execution = makeExecutionState(m_context, std::move(item));
    const StatementWork &statement =
        std::get<TransactionStatementWork>(execution->item.body).statement;
    entry->connection->execute(statement.sql, statement.params,
                               timeLeft(execution->item.deadline, monotonicNow()),
                               [this, entry, execution](QueryReply reply) {
                                   onStatement(entry, execution, std::move(reply));
                               });
}

void TransactionTable::onStatement(const Entry &entry,
                                   const std::shared_ptr<ExecutionState> &execution,
                                   QueryReply reply)
{
    if (const auto *error = std::get_if<QueryError>(&reply)) {
        if (error->kind != QueryErrorKind::Refused) {
            end(entry);
            finishExecution(*execution, transactionLost());
            return;
        }
        entry->busy = false;
        const FailurePoint point =
            entry->mode == AccessMode::Read ? FailurePoint::Read : FailurePoint::BeforeCommit;
        finishExecution(*execution, classifyFailure(*error, point).error);
        return;
    }
    if (entry->connection->transactionStatus() == TransactionStatus::Idle) {
        // The statement itself ended the transaction; whether it committed or rolled back is
        // unknown.
        end(entry);
        finishExecution(*execution,
                        Error { ErrorKind::OutcomeUnknown, "the statement ended the transaction",
                                std::nullopt });
        return;
    }
    entry->busy = false;
    entry->idleDeadline = monotonicNow() + kTransactionIdleTimeout;
    StatementResponse answer =
        makeStatementAnswer(std::move(std::get<QueryResult>(reply)), entry->primary);
    answer.sessionToken = updateSessionToken(*execution, std::nullopt);
    finishExecution(*execution, std::move(answer));
}

void TransactionTable::commit(WorkItem item)
{
    const TransactionId id = std::get<CommitWork>(item.body).transaction;
    if (!m_open.contains(id)) {
        if (!isAuthenticTransactionId(id, item.team, m_context.options.secret)) {
            refuse(item, ErrorKind::UnknownTransaction);
            return;
        }
        std::make_shared<TransactionResolution>(makeExecutionState(m_context, std::move(item)), id)
            ->start();
        return;
    }
    const Entry entry = claim(item, id);
    if (!entry)
        return;
    const auto execution = makeExecutionState(m_context, std::move(item));
    if (entry->mode == AccessMode::Read)
        sendCommit(entry, execution);
    else
        recordCommit(entry, execution);
}

void TransactionTable::recordCommit(const Entry &entry,
                                    const std::shared_ptr<ExecutionState> &execution)
{
    const std::vector<SqlParam> record {
        entry->team.value(), commitRecordKey(entry->id), "", std::string(kRecordCommitted),
        QString::number(QDateTime::currentMSecsSinceEpoch()).toStdString()
    };
    entry->connection->execute(kInsertIdempotencyRecord, record,
                               timeLeft(execution->item.deadline, monotonicNow()),
                               [this, entry, execution](const QueryReply &reply) {
                                   if (const auto *error = std::get_if<QueryError>(&reply))
                                       fail(entry, execution, *error, FailurePoint::BeforeCommit);
                                   else
                                       sendCommit(entry, execution);
                               });
}

void TransactionTable::sendCommit(const Entry &entry,
                                  const std::shared_ptr<ExecutionState> &execution)
{
    entry->connection->execute("COMMIT", {}, timeLeft(execution->item.deadline, monotonicNow()),
                               [this, entry, execution](const QueryReply &reply) {
                                   if (const auto *error = std::get_if<QueryError>(&reply))
                                       fail(entry, execution, *error, FailurePoint::Commit);
                                   else if (!wasCommitted(std::get<QueryResult>(reply)))
                                       onRolledBack(entry, execution);
                                   else
                                       onCommitted(entry, execution);
                               });
}

void TransactionTable::onRolledBack(const Entry &entry,
                                    const std::shared_ptr<ExecutionState> &execution)
{
    end(entry);
    finishExecution(*execution, transactionLost());
}

void TransactionTable::onCommitted(const Entry &entry,
                                   const std::shared_ptr<ExecutionState> &execution)
{
    if (entry->mode == AccessMode::Read) {
        end(entry);
        finishExecution(*execution, AckResponse { updateSessionToken(*execution, std::nullopt) });
        return;
    }
    entry->connection->execute(
        ControlStatements().status, {}, timeLeft(execution->item.deadline, monotonicNow()),
        [this, entry, execution](const QueryReply &reply) {
            const auto *result = std::get_if<QueryResult>(&reply);
            const std::optional<HistoryPoint> point =
                result == nullptr ? std::nullopt : parseCommitPoint(*result, entry->term);
            end(entry);
            if (point)
                awaitMajority(execution, *point);
            else
                finishExecution(*execution,
                                Error { ErrorKind::OutcomeUnknown,
                                        "the primary changed during the commit", std::nullopt });
        });
}

void TransactionTable::awaitMajority(const std::shared_ptr<ExecutionState> &execution,
                                     const HistoryPoint &point)
{
    m_context.acknowledger.wait(
        m_context, point, monotonicNow(), execution->item.deadline,
        [execution, point](AckOutcome outcome) {
            if (outcome == AckOutcome::Acknowledged)
                finishExecution(*execution, AckResponse { updateSessionToken(*execution, point) });
            else
                finishExecution(*execution,
                                Error { ErrorKind::OutcomeUnknown,
                                        "no majority of the group confirmed the commit",
                                        std::nullopt });
        });
}

void TransactionTable::rollback(WorkItem item)
{
    const TransactionId id = std::get<RollbackWork>(item.body).transaction;
    const Entry entry = claim(item, id);
    if (!entry)
        return;
    end(entry);
    const auto execution = makeExecutionState(m_context, std::move(item));
    finishExecution(*execution, AckResponse { updateSessionToken(*execution, std::nullopt) });
}

void TransactionTable::expire(TimePoint now)
{
    std::vector<Entry> expired;
    for (const auto &[id, entry] : m_open) {
        if (!entry->busy && (entry->idleDeadline <= now || entry->lifetimeDeadline <= now))
            expired.push_back(entry);
    }
    for (const Entry &entry : expired)
        end(entry);
}

void TransactionTable::end(const Entry &entry)
{
    if (m_open.erase(entry->id) == 0)
        return;
    entry->done(Duration(0));
    rollBackAndRelease(std::move(entry->connection));
}

void TransactionTable::fail(const Entry &entry, const std::shared_ptr<ExecutionState> &execution,
                            const QueryError &error, FailurePoint point)
{
    const Failure failure = classifyFailure(error, point);
    end(entry);
    if (failure.outcomeUnknown)
        finishExecution(*execution, failure.error);
    else
        finishExecution(*execution, transactionLost());
}

} // namespace shallotlever
