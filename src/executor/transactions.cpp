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

/// A caller that has gone away must not hold a scarce connection and its locks.
constexpr Duration kIdleLimit = 5s;
constexpr Duration kTransactionLimit = 60s;
std::shared_ptr<RunState> makeRun(ExecutorContext &context, WorkItem item, RunDone done = {})
{
    if (!done)
        done = [](Duration) {};
    return std::make_shared<RunState>(
        RunState { context, std::move(item), std::move(done), monotonicNow(), 1, false });
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

void TransactionTable::begin(WorkItem item, RunDone done)
{
    const auto run = makeRun(m_context, std::move(item));
    const auto slot = std::make_shared<RunDone>(std::move(done));
    const auto refuseBegin = [run, slot](const Error &error) {
        finishRun(*run, error);
        (*slot)(monotonicNow() - run->startedAt);
    };
    UpstreamHandle *primary = usablePrimary(m_context);
    if (primary == nullptr || monotonicNow() >= m_context.view.freshUntil) {
        const ErrorKind kind = primary == nullptr ? ErrorKind::NoPrimary : ErrorKind::ConfigStale;
        refuseBegin(Error { kind, {}, std::nullopt });
        return;
    }
    const UpstreamId id = primary->info.id;
    const Term term = m_context.view.group.term;
    acquireConnection(*run, id, [=, this](absl::StatusOr<PooledConnection> connection) {
        if (!connection.ok()) {
            refuseBegin(connectFailure().error);
            return;
        }
        const AccessMode mode = std::get<BeginWork>(run->item.body).mode;
        const auto entry = std::make_shared<OpenTransaction>(OpenTransaction {
            makeTransactionId(m_context.options.node, run->item.team, m_context.options.secret),
            run->item.team,
            run->item.token.session,
            mode,
            id,
            term,
            std::move(*connection),
            true,
            {},
            {},
            *slot });
        const BeginFailed failed = [refuseBegin](const QueryError &error) {
            refuseBegin(classifyFailure(error, FailurePoint::BeforeCommit).error);
        };
        if (mode == AccessMode::Write)
            ensureTable(entry, run, failed);
        else
            open(entry, run, failed);
    });
}

void TransactionTable::ensureTable(const Entry &entry, const std::shared_ptr<RunState> &run,
                                   const BeginFailed &failed)
{
    const std::pair known(entry->primary, entry->term);
    if (m_context.idempotencyTable == known) {
        open(entry, run, failed);
        return;
    }
    entry->connection->execute(std::string(kCreateIdempotencyTable), {},
                               timeLeft(run->item.deadline, monotonicNow()),
                               [this, entry, run, failed, known](const QueryReply &reply) {
                                   if (const auto *error = std::get_if<QueryError>(&reply)) {
                                       failed(*error);
                                       return;
                                   }
                                   m_context.idempotencyTable = known;
                                   open(entry, run, failed);
                               });
}

void TransactionTable::open(const Entry &entry, const std::shared_ptr<RunState> &run,
                            const BeginFailed &failed)
{
    const char *sql = entry->mode == AccessMode::Read ? "BEGIN READ ONLY" : "BEGIN";
    entry->connection->execute(
        sql, {}, timeLeft(run->item.deadline, monotonicNow()),
        [this, entry, run, failed](const QueryReply &reply) {
            if (const auto *error = std::get_if<QueryError>(&reply)) {
                failed(*error);
                return;
            }
            const TimePoint now = monotonicNow();
            entry->busy = false;
            entry->expiresAt = now + kIdleLimit;
            entry->mustEndBy = now + kTransactionLimit;
            m_open.emplace(entry->id, entry);
            finishRun(*run, TransactionResponse { entry->id, tokenFor(*run, std::nullopt) });
        });
}

TransactionTable::Entry TransactionTable::take(const WorkItem &item, const TransactionId &id)
{
    const auto open = m_open.find(id);
    if (open == m_open.end()) {
        refuse(item, ErrorKind::TransactionLost, "the transaction has ended or is not on this VM");
        return nullptr;
    }
    const Entry &entry = open->second;
    // The answer does not tell a foreign transaction from an unknown one.
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
    const Entry entry = take(item, work.transaction);
    if (!entry)
        return;
    const auto run = makeRun(m_context, std::move(item));
    const StatementWork &statement = std::get<TransactionStatementWork>(run->item.body).statement;
    entry->connection->execute(
        statement.sql, statement.params, timeLeft(run->item.deadline, monotonicNow()),
        [this, entry, run](QueryReply reply) { onStatement(entry, run, std::move(reply)); });
}

void TransactionTable::onStatement(const Entry &entry, const std::shared_ptr<RunState> &run,
                                   QueryReply reply)
{
    if (const auto *error = std::get_if<QueryError>(&reply)) {
        if (error->kind != QueryErrorKind::Refused) {
            end(entry);
            finishRun(*run, transactionLost());
            return;
        }
        entry->busy = false;
        const FailurePoint point =
            entry->mode == AccessMode::Read ? FailurePoint::Read : FailurePoint::BeforeCommit;
        finishRun(*run, classifyFailure(*error, point).error);
        return;
    }
    if (entry->connection->transactionStatus() == TransactionStatus::Idle) {
        // The statement itself committed or rolled back, which of the two is not known.
        end(entry);
        finishRun(*run,
                  Error { ErrorKind::OutcomeUnknown, "the statement ended the transaction",
                          std::nullopt });
        return;
    }
    entry->busy = false;
    entry->expiresAt = monotonicNow() + kIdleLimit;
    StatementResponse answer = answerFrom(std::move(std::get<QueryResult>(reply)), entry->primary);
    answer.sessionToken = tokenFor(*run, std::nullopt);
    finishRun(*run, std::move(answer));
}

void TransactionTable::commit(WorkItem item)
{
    const TransactionId id = std::get<CommitWork>(item.body).transaction;
    if (!m_open.contains(id)) {
        if (!isGenuineTransactionId(id, item.team, m_context.options.secret)) {
            refuse(item, ErrorKind::UnknownTransaction);
            return;
        }
        std::make_shared<TransactionResolution>(makeRun(m_context, std::move(item)), id)->start();
        return;
    }
    const Entry entry = take(item, id);
    if (!entry)
        return;
    const auto run = makeRun(m_context, std::move(item));
    if (entry->mode == AccessMode::Read)
        sendCommit(entry, run);
    else
        recordCommit(entry, run);
}

void TransactionTable::recordCommit(const Entry &entry, const std::shared_ptr<RunState> &run)
{
    const std::vector<SqlParam> record {
        entry->team.value(), commitRecordKey(entry->id), "", std::string(kRecordCommitted),
        QString::number(QDateTime::currentMSecsSinceEpoch()).toStdString()
    };
    entry->connection->execute(kInsertIdempotencyRecord, record,
                               timeLeft(run->item.deadline, monotonicNow()),
                               [this, entry, run](const QueryReply &reply) {
                                   if (const auto *error = std::get_if<QueryError>(&reply))
                                       fail(entry, run, *error, FailurePoint::BeforeCommit);
                                   else
                                       sendCommit(entry, run);
                               });
}

void TransactionTable::sendCommit(const Entry &entry, const std::shared_ptr<RunState> &run)
{
    entry->connection->execute("COMMIT", {}, timeLeft(run->item.deadline, monotonicNow()),
                               [this, entry, run](const QueryReply &reply) {
                                   if (const auto *error = std::get_if<QueryError>(&reply))
                                       fail(entry, run, *error, FailurePoint::Commit);
                                   else if (!wasCommitted(std::get<QueryResult>(reply)))
                                       onRolledBack(entry, run);
                                   else
                                       onCommitted(entry, run);
                               });
}

void TransactionTable::onRolledBack(const Entry &entry, const std::shared_ptr<RunState> &run)
{
    end(entry);
    finishRun(*run, transactionLost());
}

void TransactionTable::onCommitted(const Entry &entry, const std::shared_ptr<RunState> &run)
{
    if (entry->mode == AccessMode::Read) {
        end(entry);
        finishRun(*run, AckResponse { tokenFor(*run, std::nullopt) });
        return;
    }
    entry->connection->execute(
        ControlStatements().status, {}, timeLeft(run->item.deadline, monotonicNow()),
        [this, entry, run](const QueryReply &reply) {
            const auto *result = std::get_if<QueryResult>(&reply);
            const std::optional<HistoryPoint> point =
                result == nullptr ? std::nullopt : commitPointFrom(*result, entry->term);
            end(entry);
            if (point)
                awaitMajority(run, *point);
            else
                finishRun(*run,
                          Error { ErrorKind::OutcomeUnknown,
                                  "the primary changed during the commit", std::nullopt });
        });
}

void TransactionTable::awaitMajority(const std::shared_ptr<RunState> &run,
                                     const HistoryPoint &point)
{
    m_context.acknowledger.wait(
        m_context, point, monotonicNow(), run->item.deadline, [run, point](AckOutcome outcome) {
            if (outcome == AckOutcome::Acknowledged)
                finishRun(*run, AckResponse { tokenFor(*run, point) });
            else
                finishRun(*run,
                          Error { ErrorKind::OutcomeUnknown,
                                  "no majority of the group confirmed the commit", std::nullopt });
        });
}

void TransactionTable::rollback(WorkItem item)
{
    const TransactionId id = std::get<RollbackWork>(item.body).transaction;
    const Entry entry = take(item, id);
    if (!entry)
        return;
    end(entry);
    const auto run = makeRun(m_context, std::move(item));
    finishRun(*run, AckResponse { tokenFor(*run, std::nullopt) });
}

void TransactionTable::expire(TimePoint now)
{
    std::vector<Entry> expired;
    for (const auto &[id, entry] : m_open) {
        if (!entry->busy && (entry->expiresAt <= now || entry->mustEndBy <= now))
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

void TransactionTable::fail(const Entry &entry, const std::shared_ptr<RunState> &run,
                            const QueryError &error, FailurePoint point)
{
    const Failure failure = classifyFailure(error, point);
    end(entry);
    if (failure.outcomeUnknown)
        finishRun(*run, failure.error);
    else
        finishRun(*run, transactionLost());
}

} // namespace shallotlever
