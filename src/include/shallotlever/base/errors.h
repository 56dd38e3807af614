#pragma once

#include <optional>
#include <span>
#include <string>
#include <string_view>

#include "shallotlever/base/time.h"

namespace shallotlever {

/// Every error that a caller or operator can receive. A new kind needs a row in errorTable().
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
    PrepareFailed,
    UnusableName,
};

/// Whether the request took effect.
enum class Outcome {
    /// The request did not run and will not run later.
    NotRun,
    /// The request may have run, or may still take effect.
    Unknown,
    /// The request ran; the error is its result.
    Ran,
};

/// Properties of the answer for one ErrorKind.
struct ErrorRow
{
    ErrorKind kind;
    /// Name in answers, logs and metrics, in snake_case.
    std::string_view name;
    int httpStatus;
    Outcome outcome;
    /// The caller may send the same request again.
    bool retryable;
    /// Minimum recommended delay before a retry; zero if none is recommended.
    std::chrono::milliseconds retryAfter;
};

/// All rows, in the order of ErrorKind.
std::span<const ErrorRow> errorTable();
const ErrorRow &errorRow(ErrorKind kind);
std::optional<ErrorKind> errorKindFromName(std::string_view name);
std::string_view outcomeName(Outcome outcome);

/// An error to be returned to the caller.
struct Error
{
    ErrorKind kind = ErrorKind::Internal;
    /// Shown to the caller; must not contain keys, tokens or statement parameters.
    std::string message;
    /// Overrides the delay of the table if a more precise one is known.
    std::optional<std::chrono::milliseconds> retryAfter;
};

} // namespace shallotlever
