#pragma once

#include <memory>
#include <optional>
#include <vector>

#include "execution.h"

namespace shallotlever {

/// One read: chooses an upstream, runs the statement in a read-only transaction and repeats it on
/// another upstream where that is permitted.
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
    ReadNeed need() const;
    ReadChoice choose();
    /// The primary was chosen, but what is known of the replicas may be older than the token: a
    /// majority has already confirmed the write, so a status query often finds a fresh replica.
    bool replicaMayCatchUp() const;
    void waitForReplica(const ReadChoice &choice);
    void awaitFreshUpstream(const ReadChoice &choice);
    void connect(const ReadChoice &choice);
    void runStatement();
    void onResult(QueryReply reply);
    void succeed(QueryResult result);
    void fail(const Failure &failure);
    /// What the caller is told, in view of earlier attempts.
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
    /// An attempt was sent and not answered.
    bool m_mayHaveRun = false;
};

} // namespace shallotlever
