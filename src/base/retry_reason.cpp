#include "shallotlever/base/retry_reason.h"

#include <array>
#include <cassert>

namespace shallotlever {

namespace {

constexpr std::array kRetryReasonTable {
    RetryReasonRow { RetryReason::ConnectFailed, "connect_failed", true, true },
    RetryReasonRow { RetryReason::UpstreamLostBeforeSend, "upstream_lost_before_send", true, true },
    RetryReasonRow { RetryReason::ReadConnectionLost, "read_connection_lost", false, true },
    RetryReasonRow { RetryReason::ReadTimedOut, "read_timed_out", false, true },
    RetryReasonRow { RetryReason::ReplicaStale, "replica_stale", true, true },
    RetryReasonRow { RetryReason::UpstreamEjected, "upstream_ejected", true, true },
    RetryReasonRow { RetryReason::UpstreamLeaving, "upstream_leaving", true, true },
    RetryReasonRow { RetryReason::Fenced, "fenced", true, true },
    RetryReasonRow { RetryReason::NotPrimary, "not_primary", true, true },
    // Serialization conflicts and deadlocks arise between transactions on the same primary, so the
    // retry does not avoid it.
    RetryReasonRow { RetryReason::SerializationConflict, "serialization_conflict", true, false },
    RetryReasonRow { RetryReason::Deadlock, "deadlock", true, false },
    RetryReasonRow { RetryReason::NoSlot, "no_slot", true, true },
    RetryReasonRow { RetryReason::ConnectionWait, "connection_wait", true, true },
    RetryReasonRow { RetryReason::ReadFailed, "read_failed", false, true },
    RetryReasonRow { RetryReason::PreparedUnknown, "prepared_unknown", true, false },
    RetryReasonRow { RetryReason::IdempotentRepeat, "idempotent_repeat", false, false },
    RetryReasonRow { RetryReason::OwnerUnavailable, "owner_unavailable", true, false },
    RetryReasonRow { RetryReason::Unsendable, "unsendable", true, false },
    RetryReasonRow { RetryReason::AnswerTooLarge, "answer_too_large", false, false },
    RetryReasonRow { RetryReason::DeadlineTooShort, "deadline_too_short", true, true },
};

} // namespace

std::span<const RetryReasonRow> retryReasonTable()
{
    return kRetryReasonTable;
}

const RetryReasonRow &retryReasonRow(RetryReason reason)
{
    const auto index = static_cast<std::size_t>(reason);
    assert(index < kRetryReasonTable.size());
    return kRetryReasonTable[index];
}

std::string_view retryReasonName(RetryReason reason)
{
    return retryReasonRow(reason).name;
}

} // namespace shallotlever
