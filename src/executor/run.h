#pragma once

#include <functional>

#include "context.h"
#include "failure.h"
#include "work_queue.h"

namespace shallotlever {

/// Called when a run has answered its caller, with the time it held its slot.
using RunDone = std::function<void(Duration)>;

/// What reads, writes and transactions have in common: one item, its attempts and its answer.
struct RunState
{
    ExecutorContext &context;
    WorkItem item;
    RunDone done;
    TimePoint startedAt;
    std::uint32_t attempts = 1;
    /// Set when the caller has been answered.
    bool answered = false;
};

/// Answers the caller, once, and reports the run as done.
void finishRun(RunState &run, EdgeResponse answer);

/// Answers with the session token moved forward to `point` if there is one.
std::string tokenFor(RunState &run, const std::optional<HistoryPoint> &point);

/// Calls `again` after the pause that the retry policy gives, or answers with the failure.
/// `idempotent` allows repeating a write whose outcome is unknown.
void retryOrFail(RunState &run, const Failure &failure, bool read, bool idempotent,
                 std::function<void()> again);

/// Runs `function` after `pause`, unless the executor is destroyed first.
void callLater(ExecutorContext &context, Duration pause, std::function<void()> function);

/// Takes a connection from the upstream's pool, until the item's deadline.
void acquireConnection(RunState &run, const UpstreamId &upstream,
                       std::function<void(absl::StatusOr<PooledConnection>)> callback);

/// Rolls back what is open and gives the connection back to its pool. A connection on which a
/// statement was abandoned is closed instead.
void rollBackAndRelease(PooledConnection connection);

} // namespace shallotlever
