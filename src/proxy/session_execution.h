#pragma once

#include <memory>
#include <optional>
#include <set>

#include "statement_dispatcher.h"

namespace shallotlever {

/// State of the statement being served.
enum class SessionPhase : std::uint8_t {
    /// Waits for the node's freshness lease or its first shares.
    AwaitingLease,
    /// Waits for a token of the team's rate limit.
    AwaitingToken,
    /// Waits for an available database or for the backoff before a retry.
    AwaitingUpstream,
    /// Handed to the node that holds the connections to the database; waits for the answer.
    Running,
};

/// The statement being served and the state of its attempts.
struct SessionExecution
{
    Statement statement;
    SessionPhase phase = SessionPhase::AwaitingUpstream;
    TimePoint arrivedAt;
    TimePoint deadline;
    /// Deadline of the wait for a token.
    TimePoint phaseDeadline;
    TimePoint retryAt;
    /// The team's bucket has counted the operation, so that the node's demand is known before it
    /// has shares.
    bool arrivalCounted = false;
    std::uint32_t attempts = 0;
    /// Attempts in which a database did not know or not prepare the prepared statement.
    std::uint32_t prepareFailures = 0;
    /// Databases not selected again after a failed attempt; cleared when no other one can serve.
    std::set<UpstreamId> excluded;
    /// Likewise for the owners of databases.
    std::set<NodeId> excludedOwners;
    /// Database and owner of the last attempt.
    UpstreamId upstream;
    NodeId owner;
    /// Of the database when the last attempt, or its transaction, was sent there; unset unless it
    /// was the primary.
    std::optional<PrimaryTenure> tenure;
    /// Identifies the pending call of the dispatcher.
    std::uint64_t dispatchId = 0;
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
    /// Number under which the owner of the database knows the transaction; 0 before the first
    /// attempt. Each attempt to begin it has a new number.
    std::uint64_t number = 0;
    /// Database and owner of the transaction, once it has a number.
    UpstreamId upstream;
    NodeId owner;
    /// Of the database when the transaction was begun there; unset unless it was the primary.
    std::optional<PrimaryTenure> tenure;
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
