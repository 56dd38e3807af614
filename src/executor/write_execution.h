#pragma once

#include <memory>
#include <optional>

#include "execution.h"

namespace shallotlever {

/// Executes one write on the primary, outside of a caller's transaction. With an idempotency key,
/// the statement and its record are committed in one transaction, and a repeated request is
/// answered from the record.
class WriteExecution : public std::enable_shared_from_this<WriteExecution>
{
public:
    WriteExecution(ExecutorContext &context, WorkItem item, CompletionCallback done);

    void start();

private:
    using Next = void (WriteExecution::*)(QueryResult);

    const StatementWork &statement() const
    {
        return std::get<StatementWork>(m_execution.item.body);
    }
    bool idempotent() const { return m_execution.item.idempotencyKey.has_value(); }

    void connect();
    void execute(const std::string &sql, const std::vector<SqlParam> &params, FailurePoint point,
                 Next next);

    // Steps of a write without an idempotency key.
    void runAutocommit();
    void onAutocommitResult(QueryResult result);

    // Steps of a write with an idempotency key.
    void ensureRecordTable();
    void beginTransaction(QueryResult);
    void findRecord(QueryResult);
    void onRecord(QueryResult result);
    void runInTransaction();
    void insertRecord(QueryResult result);
    void commit(QueryResult);
    void afterCommit(QueryResult result);
    void afterRollback(QueryResult);
    void replayRecordedAnswer(const std::vector<SqlParam> &record);

    // Steps of every write.
    void queryCommitPoint();
    void onCommitPoint(QueryResult result);
    void awaitMajority(const HistoryPoint &point);
    void onAckOutcome(AckOutcome outcome, const HistoryPoint &point);
    void fail(const Failure &failure);
    void retryAfterDelay(RetryReason reason);
    void waitForPrimary(RetryReason reason, Term afterTerm);
    void returnConnection();
    /// Error for the caller: OutcomeUnknown if an earlier attempt may have taken effect.
    Error reportedError(const Error &error) const;
    void finishWithError(const Error &error);

    ExecutionState m_execution;
    UpstreamId m_primary;
    /// Term of the primary when this attempt started.
    Term m_term;
    std::optional<PooledConnection> m_connection;
    /// An earlier attempt may have taken effect or may still do so.
    bool m_outcomeUnknown = false;
    StatementResponse m_answer;
};

} // namespace shallotlever
