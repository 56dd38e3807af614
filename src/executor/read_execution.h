#pragma once

#include <memory>
#include <optional>
#include <vector>

#include "execution.h"

namespace shallotlever {

/// Executes one read: selects an upstream, runs the statement in a read-only transaction and
/// retries on another upstream where the retry policy permits.
class ReadExecution : public std::enable_shared_from_this<ReadExecution>
{
public:
    ReadExecution(ExecutorContext &context, WorkItem item, CompletionCallback done);

    void start();

private:
    const StatementWork &statement() const
    {
        return std::get<StatementWork>(m_execution.item.body);
    }
    ReadRequirements need() const;
    ReadChoice choose();
    /// Whether to query the replicas again before falling back to the primary. A majority has
    /// confirmed the write of the token, so a replica has often applied it although its last known
    /// position is older.
    bool replicaMayCatchUp() const;
    void waitForReplica(const ReadChoice &choice);
    /// Repeats the selection until an upstream is fresh enough; refuses the read at the timeout.
    void awaitFreshUpstream(const ReadChoice &choice);
    void connect(const ReadChoice &choice);
    void runStatement();
    void onResult(QueryReply reply);
    void succeed(QueryResult result);
    void fail(const Failure &failure);
    /// Error for the caller, taking into account that an earlier attempt may have run.
    Error reportedError(const Error &error) const;
    void finishWithError(const Error &error);
    void releaseUpstream(bool succeeded);
    Duration attemptTimeout() const;

    ExecutionState m_execution;
    ReadChoice m_choice;
    std::optional<PooledConnection> m_connection;
    std::vector<UpstreamId> m_triedUpstreams;
    Duration m_waited { 0 };
    TimePoint m_attemptedAt;
    /// An attempt was sent and got no answer, so the statement may have run.
    bool m_mayHaveRun = false;
};

} // namespace shallotlever
