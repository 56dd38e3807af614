#pragma once

#include <map>
#include <memory>

#include "execution.h"

namespace shallotlever {

/// A caller's transaction, open on one connection to the primary.
struct OpenTransaction
{
    TransactionId id;
    TeamId team;
    SessionId session;
    AccessMode mode = AccessMode::Write;
    UpstreamId primary;
    Term term;
    PooledConnection connection;
    /// A request is in progress. A transaction serves one request at a time.
    bool busy = false;
    TimePoint idleDeadline;
    /// End of the maximum duration. A request in progress is finished before the rollback.
    TimePoint lifetimeDeadline;
    CompletionCallback done;
};

/// Open transactions of one service on this node.
class TransactionTable
{
public:
    explicit TransactionTable(ExecutorContext &context);

    /// Opens a transaction. `done` is called when the transaction has ended and its slot is free.
    void begin(WorkItem item, CompletionCallback done);
    void statement(WorkItem item);
    void commit(WorkItem item);
    void rollback(WorkItem item);

    /// Rolls back transactions that have been idle or open for too long.
    void expire(TimePoint now);

    std::size_t size() const { return m_open.size(); }

private:
    using Entry = std::shared_ptr<OpenTransaction>;
    using BeginFailureCallback = std::function<void(const QueryError &)>;

    /// Creates the table of commit records unless it is known to exist, then opens the transaction.
    void ensureRecordTable(const Entry &entry, const std::shared_ptr<ExecutionState> &execution,
                           const BeginFailureCallback &onFailure);
    void open(const Entry &entry, const std::shared_ptr<ExecutionState> &execution,
              const BeginFailureCallback &onFailure);
    /// Marks the transaction as busy and returns it if it is open, not busy and belongs to the
    /// item's team and session; otherwise answers the item with an error and returns nullptr.
    Entry claim(const WorkItem &item, const TransactionId &id);
    void onStatement(const Entry &entry, const std::shared_ptr<ExecutionState> &execution,
                     QueryReply reply);
    void recordCommit(const Entry &entry, const std::shared_ptr<ExecutionState> &execution);
    void sendCommit(const Entry &entry, const std::shared_ptr<ExecutionState> &execution);
    void onRolledBack(const Entry &entry, const std::shared_ptr<ExecutionState> &execution);
    void onCommitted(const Entry &entry, const std::shared_ptr<ExecutionState> &execution);
    void awaitMajority(const std::shared_ptr<ExecutionState> &execution, const HistoryPoint &point);
    void end(const Entry &entry);
    void fail(const Entry &entry, const std::shared_ptr<ExecutionState> &execution,
              const QueryError &error, FailurePoint point);

    ExecutorContext &m_context;
    std::map<TransactionId, Entry> m_open;
};

} // namespace shallotlever
