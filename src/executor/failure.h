#pragma once

#include <optional>
#include <string>

#include "shallotlever/base/errors.h"
#include "shallotlever/policy/retry.h"
#include "shallotlever/upstream/query.h"

namespace shallotlever {

/// Stage of a request at which a statement failed. Determines whether the request may have taken
/// effect when the connection is lost.
enum class FailurePoint {
    /// The failure leaves no effects: it came before the statement, or inside a transaction that
    /// the database rolls back when the connection closes.
    BeforeCommit,
    /// A statement of a read-only transaction.
    Read,
    /// The statement that commits.
    Commit,
    /// A statement after the commit: the write may have taken effect, whatever the error.
    AfterCommit,
};

/// Consequence of a failed statement for its request.
struct Failure
{
    /// Set if this kind of failure permits a retry of the request.
    std::optional<RetryReason> reason;
    /// Error for the caller if the request is not retried.
    Error error;
    /// Whether the write may have been committed.
    bool outcomeUnknown = false;
};

Failure classifyFailure(const QueryError &error, FailurePoint point);

/// Failure to obtain a connection; nothing was sent.
Failure connectFailure();

/// Error for the caller of a read after an earlier attempt was sent and not answered. An error
/// whose outcome is "not run" becomes OutcomeUnknown. ReadOnlyViolation stays, because every
/// attempt of such a statement is refused.
Error errorAfterUnansweredRead(const Error &error);

} // namespace shallotlever
