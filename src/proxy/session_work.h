#pragma once

#include <memory>
#include <optional>
#include <set>

#include "proxy_state.h"

namespace shallotlever {

/// What the statement being served waits for.
enum class SessionPhase : std::uint8_t {
    /// For the node's lease.
    AwaitingLease,
    /// For a token of the team's rate.
    AwaitingRate,
    /// For a database that can serve, or for the pause before a retry.
    AwaitingUpstream,
    AwaitingLink,
    /// The session's values or the transaction are set up on the connection.
    Preparing,
    Running,
};

/// The statement being served.
struct SessionWork
{
    Statement statement;
    SessionPhase phase = SessionPhase::AwaitingUpstream;
    TimePoint arrivedAt;
    TimePoint deadline;
    /// End of the present phase's patience: of the wait for a token, or of an attempt.
    TimePoint patience;
    TimePoint retryAt;
    std::uint32_t attempts = 0;
    std::set<UpstreamId> excluded;
    std::optional<HistoryPoint> floor;
    std::shared_ptr<UpstreamPool> pool;
    std::uint64_t waiter = 0;
    std::size_t unansweredSetup = 0;
    bool setupFailed = false;
    /// A read was sent and its outcome is not known; it may be sent again, but not be said not to
    /// have run.
    bool mayHaveRun = false;
    /// Reason of the last failed attempt.
    ErrorKind lastFailure = ErrorKind::NoUpstream;
};

/// The open transaction of a session.
struct SessionTransaction
{
    DatabaseConfig database;
    bool readOnly = false;
    /// Begun on the database.
    bool begun = false;
    /// A statement has run.
    bool established = false;
    bool wrote = false;
    /// The caller has been told of a failure; only its end is accepted.
    bool failed = false;
    /// Ended without the caller having been told.
    bool lost = false;
    TimePoint activeAt;
};

} // namespace shallotlever
