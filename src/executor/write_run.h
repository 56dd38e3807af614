#pragma once

#include <memory>
#include <optional>

#include "run.h"

namespace shallotlever {

/// One write on the primary, outside of a caller's transaction. With an idempotency key, the
/// statement and its record are committed together, and a repeat returns the record.
class WriteRun : public std::enable_shared_from_this<WriteRun>
{
public:
    WriteRun(ExecutorContext &context, WorkItem item, RunDone done);

    void start();

private:
    using Next = void (WriteRun::*)(QueryResult);

    const StatementWork &statement() const { return std::get<StatementWork>(m_run.item.body); }
    bool idempotent() const { return m_run.item.idempotencyKey.has_value(); }

    void connect();
    void execute(const std::string &sql, const std::vector<SqlParam> &params, FailurePoint point,
                 Next next);

    // Steps of a write without a key.
    void runAlone();
    void committed(QueryResult result);

    // Steps of a write with a key.
    void ensureTable();
    void beginTransaction(QueryResult);
    void findRecord(QueryResult);
    void onRecord(QueryResult result);
    void runInTransaction();
    void insertRecord(QueryResult result);
    void commit(QueryResult);
    void afterCommit(QueryResult result);
    void afterRollback(QueryResult);
    void repeatRecorded(const std::vector<SqlParam> &record);

    // Steps of every write.
    void findCommitPoint();
    void onCommitPoint(QueryResult result);
    void awaitMajority(const HistoryPoint &point);
    void onMajority(AckOutcome outcome, const HistoryPoint &point);
    void fail(const Failure &failure);
    void retryOnPrimary(RetryReason reason);
    void waitForPrimary(RetryReason reason, Term afterTerm);
    void recycleConnection();
    /// The error to answer: unknown if an earlier attempt may have taken effect.
    Error reported(const Error &error) const;
    void finishWith(const Error &error);

    RunState m_run;
    UpstreamId m_primary;
    /// Term of the primary when this attempt began.
    Term m_term;
    std::optional<PooledConnection> m_connection;
    /// An earlier attempt may have taken effect or may still do so.
    bool m_outcomeUnknown = false;
    StatementResponse m_answer;
};

} // namespace shallotlever
