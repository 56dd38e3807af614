#pragma once

#include <functional>

#include "context.h"
#include "failure.h"
#include "work_queue.h"

namespace shallotlever {

/// Called after the caller has been answered, with the time for which the slot was held.
using CompletionCallback = std::function<void(Duration)>;

/// State common to the execution of reads, writes and transaction requests.
struct ExecutionState
{
    ExecutorContext &context;
    WorkItem item;
    CompletionCallback done;
    TimePoint startedAt;
    std::uint32_t attempts = 1;
    /// Set when the caller has been answered.
    bool answered = false;
};

/// Answers the caller and calls `done`. Later calls have no effect.
void finishExecution(ExecutionState &execution, EdgeResponse answer);

/// Advances the session token to `point`, if given, and returns it encoded. Empty for open routes.
std::string updateSessionToken(ExecutionState &execution, const std::optional<HistoryPoint> &point);

/// Calls `nextAttempt` after the delay set by the retry policy, or answers with the failure.
/// `idempotent` permits a retry of a write whose outcome is unknown.
void retryOrFail(ExecutionState &execution, const Failure &failure, bool read, bool idempotent,
                 std::function<void()> nextAttempt);

/// Runs `function` after `pause`, unless the executor is destroyed first.
void callLater(ExecutorContext &context, Duration pause, std::function<void()> function);

/// Acquires a connection from the upstream's pool; fails at the item's deadline.
void acquireConnection(ExecutionState &execution, const UpstreamId &upstream,
                       std::function<void(absl::StatusOr<PooledConnection>)> callback);

/// Rolls back an open transaction and returns the connection to its pool. A connection on which a
/// statement was abandoned is closed instead.
void rollBackAndRelease(PooledConnection connection);

} // namespace shallotlever
