#pragma once

#include <cstdint>
#include <span>
#include <string_view>

namespace shallotlever {

/// Every reason for which the node sends a request again by itself. The list is closed: a new
/// reason needs a row in retryReasonTable().
enum class RetryReason : std::uint8_t {
    /// The connection could not be opened; nothing was sent.
    ConnectFailed,
    /// The connection was lost before the statement was sent, or before the commit of a
    /// transaction that the database then rolls back.
    UpstreamLostBeforeSend,
    /// The connection was lost while a read ran.
    ReadConnectionLost,
    /// A read did not finish in time on one database and is repeated on another.
    ReadTimedOut,
    /// The replica turned out to lag behind the requested position or age.
    ReplicaStale,
    /// The upstream was ejected while the request waited for it.
    UpstreamEjected,
    /// The upstream began to leave or was drained before the statement was sent.
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
    /// The database answered that the read ran and failed.
    ReadFailed,
    /// The connection did not know the prepared statement.
    PreparedUnknown,
    /// The outcome of a write with an idempotency key was unknown, so the record is looked up.
    IdempotentRepeat,
};

struct RetryReasonRow
{
    RetryReason reason;
    /// Name in logs and metrics (snake_case).
    std::string_view name;
    /// The request is known not to have run.
    bool notRun;
    /// Another upstream may succeed where this one failed.
    bool avoidUpstream;
};

/// All rows, in the order of RetryReason.
std::span<const RetryReasonRow> retryReasonTable();
const RetryReasonRow &retryReasonRow(RetryReason reason);
std::string_view retryReasonName(RetryReason reason);

} // namespace shallotlever
