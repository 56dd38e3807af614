#pragma once

#include <cstdint>
#include <span>
#include <string_view>

namespace shallotlever {

/// Every reason for which the node itself retries a request. A new reason needs a row in
/// retryReasonTable().
enum class RetryReason : std::uint8_t {
    /// The connection could not be opened; nothing was sent.
    ConnectFailed,
    /// The connection was lost before the statement was sent, or before the commit of a
    /// transaction that the database then rolls back.
    UpstreamLostBeforeSend,
    /// The connection was lost while a read ran.
    ReadConnectionLost,
    /// A read timed out on one database and is retried on another.
    ReadTimedOut,
    /// The replica lags behind the requested position, or its data is older than the request
    /// permits.
    ReplicaStale,
    /// The upstream was ejected (circuit breaker) while the request waited for it.
    UpstreamEjected,
    /// The upstream announced that it is leaving, or was drained, before the statement was sent.
    UpstreamLeaving,
    /// The database refused the commit because a higher term has fenced it.
    Fenced,
    /// The database is no longer the primary.
    NotPrimary,
    /// The database rolled back the transaction because of a conflict.
    SerializationConflict,
    Deadlock,
    /// The database had no free slot.
    NoSlot,
    /// No connection to the database became free in time.
    ConnectionWait,
    /// The read ran and the database reported an error.
    ReadFailed,
    /// The connection did not know the prepared statement.
    PreparedUnknown,
    /// The outcome of a write with an idempotency key is unknown, so its idempotency record is
    /// looked up.
    IdempotentRepeat,
    /// The node that holds the connections to the database has none to offer, has no valid lease,
    /// or
    /// is not reachable.
    OwnerUnavailable,
    /// No message to the database can represent the statement. Another attempt would fail as well.
    Unsendable,
    /// The statement ran, and its answer is too long for a message between nodes. Another attempt
    /// would fail as well.
    AnswerTooLarge,
    /// The statement could not have finished before its deadline.
    DeadlineTooShort,
};

struct RetryReasonRow
{
    RetryReason reason;
    /// Name in logs and metrics, in snake_case.
    std::string_view name;
    /// Whether the request is known not to have run.
    bool notRun;
    /// Whether the retry should avoid the upstream that failed, because another one may succeed.
    bool avoidUpstream;
};

/// All rows, in the order of RetryReason.
std::span<const RetryReasonRow> retryReasonTable();
const RetryReasonRow &retryReasonRow(RetryReason reason);
std::string_view retryReasonName(RetryReason reason);

} // namespace shallotlever
