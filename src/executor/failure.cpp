#include "failure.h"

#include <array>
#include <string_view>

namespace shallotlever {

namespace {

/// SQLSTATE code that does not mean an error in the statement itself.
struct SqlStateRow
{
    std::string_view sqlState;
    RetryReason reason;
    ErrorKind kind;
};

constexpr std::array kSqlStateTable {
    // The database is fenced and refused the commit.
    SqlStateRow { "57P04", RetryReason::Fenced, ErrorKind::NoPrimary },
    // read_only_sql_transaction: the database has become a replica.
    SqlStateRow { "25006", RetryReason::NotPrimary, ErrorKind::NoPrimary },
    SqlStateRow { "40001", RetryReason::SerializationConflict, ErrorKind::SqlError },
    SqlStateRow { "40P01", RetryReason::Deadlock, ErrorKind::SqlError },
    SqlStateRow { "53300", RetryReason::ConnectFailed, ErrorKind::ConnectFailed },
    SqlStateRow { "57P01", RetryReason::UpstreamLeaving, ErrorKind::ConnectFailed },
    SqlStateRow { "57P03", RetryReason::UpstreamLeaving, ErrorKind::ConnectFailed },
};

Failure retryableFailure(RetryReason reason, ErrorKind kind, std::string message)
{
    return { reason, Error { kind, std::move(message), std::nullopt }, false };
}

Failure unknownCommitOutcome()
{
    return { RetryReason::IdempotentRepeat,
             Error { ErrorKind::OutcomeUnknown, "the database did not answer the commit",
                     std::nullopt },
             true };
}

Failure classifyServerError(const QueryError &error, FailurePoint point)
{
    if (point == FailurePoint::Read && error.sqlState == "25006") {
        return { std::nullopt,
                 Error { ErrorKind::ReadOnlyViolation, "the statement writes, but its mode is read",
                         std::nullopt },
                 false };
    }
    // A shutdown may interrupt the wait for the answer to COMMIT after the commit was written.
    if (point == FailurePoint::Commit && error.sqlState == "57P01")
        return unknownCommitOutcome();
    for (const SqlStateRow &row : kSqlStateTable) {
        if (row.sqlState == error.sqlState)
            return retryableFailure(row.reason, row.kind, error.message);
    }
    return { std::nullopt, Error { ErrorKind::SqlError, error.message, std::nullopt }, false };
}

Failure classifyLostConnection(const QueryError &error, FailurePoint point)
{
    const bool timedOut = error.kind == QueryErrorKind::Abandoned;
    switch (point) {
    case FailurePoint::BeforeCommit:
        return retryableFailure(RetryReason::UpstreamLostBeforeSend, ErrorKind::ConnectFailed,
                                "the connection to the database was lost before the commit");
    case FailurePoint::Read:
        return retryableFailure(timedOut ? RetryReason::ReadTimedOut
                                         : RetryReason::ReadConnectionLost,
                                ErrorKind::OutcomeUnknown, "the database did not answer the read");
    case FailurePoint::Commit:
    case FailurePoint::AfterCommit:
        break;
    }
    return unknownCommitOutcome();
}

} // namespace

Failure classifyFailure(const QueryError &error, FailurePoint point)
{
    if (point == FailurePoint::AfterCommit)
        return unknownCommitOutcome();
    switch (error.kind) {
    case QueryErrorKind::NotSent:
        return retryableFailure(
            RetryReason::UpstreamLostBeforeSend, ErrorKind::ConnectFailed,
            "the connection to the database was lost before the statement was sent");
    case QueryErrorKind::Refused:
        return classifyServerError(error, point);
    case QueryErrorKind::LostAfterSend:
    case QueryErrorKind::Abandoned:
        break;
    }
    return classifyLostConnection(error, point);
}

Failure connectFailure()
{
    return retryableFailure(RetryReason::ConnectFailed, ErrorKind::ConnectFailed,
                            "no connection to the database");
}

Error errorAfterUnansweredRead(const Error &error)
{
    if (errorRow(error.kind).outcome != Outcome::NotRun
        || error.kind == ErrorKind::ReadOnlyViolation)
        return error;
    return { ErrorKind::OutcomeUnknown, "an earlier attempt of the read may have run",
             std::nullopt };
}

} // namespace shallotlever
