#pragma once

#include <memory>
#include <string>

#include "execution.h"

namespace shallotlever {

/// Key of the record that a transaction writes when it commits. It contains a newline, so it cannot
/// collide with a caller's key, which is sent in an HTTP header.
std::string commitRecordKey(const TransactionId &id);

/// Values of the record.
constexpr std::string_view kRecordCommitted = "committed";
constexpr std::string_view kRecordRolledBack = "rolled back";

/// Determines the outcome of a transaction that is not open on this node, because its VM failed or
/// the transaction timed out. If there is no commit record, a "rolled back" record is inserted
/// under the same key. A commit still in progress then fails with a unique violation, so the
/// reported outcome remains correct.
class TransactionResolution : public std::enable_shared_from_this<TransactionResolution>
{
public:
    TransactionResolution(std::shared_ptr<ExecutionState> execution, TransactionId id);

    void start();

private:
    using Next = void (TransactionResolution::*)(const QueryResult &);

    void execute(std::string_view sql, const std::vector<SqlParam> &params, Next next);
    void beginTransaction(const QueryResult &);
    void findRecord(const QueryResult &);
    void onRecord(const QueryResult &result);
    void commitRecord(const QueryResult &);
    void afterCommit(const QueryResult &result);
    void queryCommitPoint(const QueryResult &);
    void onCommitPoint(const QueryResult &result);
    void answerCaller(const HistoryPoint &point);
    void finishWithUnknownOutcome();

    std::shared_ptr<ExecutionState> m_execution;
    TransactionId m_id;
    Term m_term;
    bool m_committed = false;
    std::optional<PooledConnection> m_connection;
};

} // namespace shallotlever
