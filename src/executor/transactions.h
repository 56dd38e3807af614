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
    /// A statement is under way; transactions are used by one request at a time.
    bool busy = false;
    TimePoint idleDeadline;
    TimePoint lifetimeDeadline;
    CompletionCallback done;
};

/// The transactions that are open on this node, for one service.
class TransactionTable
{
public:
    explicit TransactionTable(ExecutorContext &context);

    /// Opens a transaction; `done` is called when it has ended and its slot is free.
    void begin(WorkItem item, CompletionCallback done);
    void statement(WorkItem item);
    void commit(WorkItem item);
    void rollback(WorkItem item);

    /// Rolls back what has been idle or open for too long.
    void expire(TimePoint now);

    std::size_t size() const { return m_open.size(); }

private:
    using Entry = std::shared_ptr<OpenTransaction>;

    /// The transaction if it is open, idle, and belongs to the item's team and session; otherwise
    /// the item is answered.
    using BeginFailureCallback = std::function<void(const QueryError &)>;

    /// Creates the table of the commit records if it may be missing, then opens the transaction.
    void ensureRecordTable(const Entry &entry, const std::shared_ptr<ExecutionState> &execution,
                           const BeginFailureCallback &onFailure);
    void open(const Entry &entry, const std::shared_ptr<ExecutionState> &execution,
              const BeginFailureCallback &onFailure);
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
