#pragma once

#include <optional>
#include <string>

#include "shallotlever/base/errors.h"
#include "shallotlever/policy/retry.h"
#include "shallotlever/upstream/query.h"

namespace shallotlever {

/// Where in a request a statement failed, which decides what a lost connection means.
enum class FailurePoint {
    /// Nothing that the failure can leave behind: before the statement, or inside a transaction
    /// that the database rolls back with the connection.
    BeforeCommit,
    /// A statement of a read-only transaction.
    Read,
    /// The statement that commits.
    Commit,
    /// A statement after the commit: whatever happens to it, the write may have taken effect.
    AfterCommit,
};

/// What a failed statement means for the request.
struct Failure
{
    /// Set if the request may be repeated as far as the kind of failure goes.
    std::optional<RetryReason> reason;
    /// Error for the caller if it is not repeated.
    Error error;
    /// Whether the write may have been committed.
    bool outcomeUnknown = false;
};

Failure classifyFailure(const QueryError &error, FailurePoint point);

/// A connection could not be had; nothing was sent.
Failure connectFailure();

/// Error for the caller of a read of which an earlier attempt may have run: one that says that
/// nothing ran becomes OutcomeUnknown. A read that writes is refused by every attempt.
Error errorAfterUnansweredRead(const Error &error);

} // namespace shallotlever
