#pragma once

#include <memory>
#include <string>

#include "execution.h"

namespace shallotlever {

/// Key of the record that a transaction writes when it commits. It contains a newline, which no
/// caller's key can (keys come in a header).
std::string commitRecordKey(const TransactionId &id);

/// Content of the record.
constexpr std::string_view kRecordCommitted = "committed";
constexpr std::string_view kRecordRolledBack = "rolled back";

/// Finds out how a transaction ended that is not open on this node, because its VM died or because
/// it timed out. If it has left no record, one is written that says it was rolled back: a commit
/// that is still under way then fails on the same key, so the answer stays true.
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
