#include "failure.h"

#include <array>
#include <string_view>

namespace shallotlever {

namespace {

/// SQLSTATE codes that mean something else than an error of the statement.
struct StateRow
{
    std::string_view sqlState;
    RetryReason reason;
    ErrorKind kind;
};

constexpr std::array kWriteStates {
    // The database is fenced: the commit was refused.
    StateRow { "57P04", RetryReason::Fenced, ErrorKind::NoPrimary },
    // read_only_sql_transaction: the database is a replica by now.
    StateRow { "25006", RetryReason::NotPrimary, ErrorKind::NoPrimary },
    StateRow { "40001", RetryReason::SerializationConflict, ErrorKind::SqlError },
    StateRow { "40P01", RetryReason::Deadlock, ErrorKind::SqlError },
    StateRow { "53300", RetryReason::ConnectFailed, ErrorKind::ConnectFailed },
    StateRow { "57P01", RetryReason::UpstreamLeaving, ErrorKind::ConnectFailed },
    StateRow { "57P03", RetryReason::UpstreamLeaving, ErrorKind::ConnectFailed },
};

Failure retryable(RetryReason reason, ErrorKind kind, std::string message)
{
    return { reason, Error { kind, std::move(message), std::nullopt }, false };
}

Failure commitUnknown()
{
    return { RetryReason::IdempotentRepeat,
             Error { ErrorKind::OutcomeUnknown, "the database did not answer the commit",
                     std::nullopt },
             true };
}

Failure refused(const QueryError &error, FailurePoint point)
{
    if (point == FailurePoint::Read && error.sqlState == "25006") {
        return { std::nullopt,
                 Error { ErrorKind::ReadOnlyViolation, "the statement writes, but its mode is read",
                         std::nullopt },
                 false };
    }
    // A shutdown can interrupt the wait for the answer after the commit was written.
    if (point == FailurePoint::Commit && error.sqlState == "57P01")
        return commitUnknown();
    for (const StateRow &row : kWriteStates) {
        if (row.sqlState == error.sqlState)
            return retryable(row.reason, row.kind, error.message);
    }
    return { std::nullopt, Error { ErrorKind::SqlError, error.message, std::nullopt }, false };
}

Failure lost(const QueryError &error, FailurePoint point)
{
    const bool timedOut = error.kind == QueryErrorKind::Abandoned;
    switch (point) {
    case FailurePoint::BeforeCommit:
        return retryable(RetryReason::UpstreamLostBeforeSend, ErrorKind::ConnectFailed,
                         "the connection to the database was lost before the commit");
    case FailurePoint::Read:
        return retryable(timedOut ? RetryReason::ReadTimedOut : RetryReason::ReadConnectionLost,
                         ErrorKind::OutcomeUnknown, "the database did not answer the read");
    case FailurePoint::Commit:
    case FailurePoint::AfterCommit:
        break;
    }
    return commitUnknown();
}

} // namespace

Failure classifyFailure(const QueryError &error, FailurePoint point)
{
    if (point == FailurePoint::AfterCommit)
        return commitUnknown();
    switch (error.kind) {
    case QueryErrorKind::NotSent:
        return retryable(RetryReason::UpstreamLostBeforeSend, ErrorKind::ConnectFailed,
                         "the connection to the database was lost before the statement was sent");
    case QueryErrorKind::Refused:
        return refused(error, point);
    case QueryErrorKind::LostAfterSend:
    case QueryErrorKind::Abandoned:
        break;
    }
    return lost(error, point);
}

Failure connectFailure()
{
    return retryable(RetryReason::ConnectFailed, ErrorKind::ConnectFailed,
                     "no connection to the database");
}

Error afterReadThatMayHaveRun(const Error &error)
{
    if (errorRow(error.kind).outcome != Outcome::NotRun
        || error.kind == ErrorKind::ReadOnlyViolation)
        return error;
    return { ErrorKind::OutcomeUnknown, "an earlier attempt of the read may have run",
             std::nullopt };
}

} // namespace shallotlever
