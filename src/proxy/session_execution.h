#pragma once

#include <memory>
#include <optional>
#include <set>

#include "proxy_state.h"

namespace shallotlever {

/// State of the statement being served.
enum class SessionPhase : std::uint8_t {
    /// Waits for the node's freshness lease.
    AwaitingLease,
    /// Waits for a token of the team's rate limit.
    AwaitingToken,
    /// Waits for an available database or for the backoff before a retry.
    AwaitingUpstream,
    /// Waits for a connection of the pool.
    AwaitingLink,
    /// Sets up the session variables or begins the transaction on the connection.
    Preparing,
    /// Sent to the database; waits for the response.
    Running,
};

/// The statement being served and the state of its attempts.
struct SessionExecution
{
    Statement statement;
    SessionPhase phase = SessionPhase::AwaitingUpstream;
    TimePoint arrivedAt;
    TimePoint deadline;
    /// Deadline of the current phase: of the wait for a token or connection, or of the attempt.
    TimePoint phaseDeadline;
    TimePoint retryAt;
    std::uint32_t attempts = 0;
    /// Databases not selected again after a failed attempt; cleared when no other one can serve.
    std::set<UpstreamId> excluded;
    /// Log position that the database must have reached; nullopt if only the primary may serve.
    std::optional<HistoryPoint> minPosition;
    std::shared_ptr<UpstreamPool> pool;
    /// Identifies the pending acquire() call of `pool`.
    std::uint64_t waiterId = 0;
    std::size_t pendingSetupReplies = 0;
    bool setupFailed = false;
    /// A read was sent and its outcome is unknown. It may be sent again, but must not be reported
    /// as not run.
    bool mayHaveRun = false;
    /// Reason of the last failed attempt.
    ErrorKind lastFailure = ErrorKind::NoUpstream;
};

/// The open transaction of a session.
struct SessionTransaction
{
    DatabaseConfig database;
    bool readOnly = false;
    /// The transaction was begun on the database.
    bool begun = false;
    /// At least one statement was executed in the transaction.
    bool hasExecuted = false;
    bool wrote = false;
    /// The caller was informed of a failure; only commit and rollback are accepted.
    bool failed = false;
    /// Ended, for example by a lost connection, and the caller has not been informed yet.
    bool lost = false;
    TimePoint lastActiveAt;
};

} // namespace shallotlever
