#pragma once

#include <optional>
#include <span>
#include <string>
#include <string_view>

#include "shallotlever/base/time.h"

namespace shallotlever {

/// Every reason for which a caller or operator can be refused. The list is closed: a new kind
/// needs a row in errorTable().
enum class ErrorKind {
    MalformedRequest,
    RequestTooLarge,
    RequestTimeout,
    TooManyConnections,
    MissingKey,
    InvalidKey,
    NotAllowed,
    UnknownService,
    UnknownRoute,
    UnknownTransaction,
    UnknownStatement,
    TransactionLost,
    InvalidSession,
    IdempotencyMismatch,
    RateLimited,
    QueueFull,
    DeadlineTooShort,
    DeadlineExceeded,
    ConfigStale,
    NoPrimary,
    NoFreshReplica,
    NoUpstream,
    ConnectFailed,
    SqlError,
    ReadOnlyViolation,
    OutcomeUnknown,
    Draining,
    ConfigConflict,
    InvalidChange,
    NoController,
    Internal,
};

/// Whether the request took effect.
enum class Outcome {
    /// Known not to have run and never to run later.
    NotRun,
    /// May have run, or may still take effect.
    Unknown,
    /// Ran; the error is its result.
    Ran,
};

/// One row of the table from kind to answer.
struct ErrorRow
{
    ErrorKind kind;
    /// Name in answers, logs and metrics (snake_case).
    std::string_view name;
    int httpStatus;
    Outcome outcome;
    /// The caller may send the same request again.
    bool retryable;
    /// Shortest sensible pause before a repeat; zero if none is advised.
    std::chrono::milliseconds retryAfter;
};

/// All rows, in the order of ErrorKind.
std::span<const ErrorRow> errorTable();
const ErrorRow &errorRow(ErrorKind kind);
std::optional<ErrorKind> errorKindFromName(std::string_view name);
std::string_view outcomeName(Outcome outcome);

/// A refusal or failure on its way to the caller.
struct Error
{
    ErrorKind kind = ErrorKind::Internal;
    /// For the caller; must not contain keys, tokens or parameters.
    std::string message;
    /// Overrides the table's pause where the deciding function knows a better one.
    std::optional<std::chrono::milliseconds> retryAfter;
};

} // namespace shallotlever
