#include "shallotlever/base/errors.h"

#include <algorithm>
#include <array>
#include <cassert>

namespace shallotlever {

namespace {

using std::chrono::milliseconds;

constexpr std::array kErrorTable {
    ErrorRow { ErrorKind::MalformedRequest, "malformed_request", 400, Outcome::NotRun, false, 0ms },
    ErrorRow { ErrorKind::RequestTooLarge, "request_too_large", 413, Outcome::NotRun, false, 0ms },
    ErrorRow { ErrorKind::RequestTimeout, "request_timeout", 408, Outcome::NotRun, true, 0ms },
    ErrorRow { ErrorKind::TooManyConnections, "too_many_connections", 503, Outcome::NotRun, true,
               500ms },
    ErrorRow { ErrorKind::MissingKey, "missing_key", 401, Outcome::NotRun, false, 0ms },
    ErrorRow { ErrorKind::InvalidKey, "invalid_key", 401, Outcome::NotRun, false, 0ms },
    ErrorRow { ErrorKind::NotAllowed, "not_allowed", 403, Outcome::NotRun, false, 0ms },
    ErrorRow { ErrorKind::UnknownService, "unknown_service", 404, Outcome::NotRun, false, 0ms },
    ErrorRow { ErrorKind::UnknownRoute, "unknown_route", 404, Outcome::NotRun, false, 0ms },
    ErrorRow { ErrorKind::UnknownTransaction, "unknown_transaction", 404, Outcome::NotRun, false,
               0ms },
    ErrorRow { ErrorKind::UnknownStatement, "unknown_statement", 404, Outcome::NotRun, false, 0ms },
    ErrorRow { ErrorKind::TransactionLost, "transaction_lost", 409, Outcome::NotRun, false, 0ms },
    ErrorRow { ErrorKind::InvalidSession, "invalid_session", 400, Outcome::NotRun, false, 0ms },
    ErrorRow { ErrorKind::IdempotencyMismatch, "idempotency_mismatch", 422, Outcome::NotRun, false,
               0ms },
    ErrorRow { ErrorKind::RateLimited, "rate_limited", 429, Outcome::NotRun, true, 100ms },
    ErrorRow { ErrorKind::QueueFull, "queue_full", 503, Outcome::NotRun, true, 100ms },
    ErrorRow { ErrorKind::DeadlineTooShort, "deadline_too_short", 503, Outcome::NotRun, true,
               100ms },
    ErrorRow { ErrorKind::DeadlineExceeded, "deadline_exceeded", 504, Outcome::NotRun, true, 0ms },
    ErrorRow { ErrorKind::ConfigStale, "config_stale", 503, Outcome::NotRun, true, 1000ms },
    ErrorRow { ErrorKind::NoPrimary, "no_primary", 503, Outcome::NotRun, true, 500ms },
    ErrorRow { ErrorKind::NoFreshReplica, "no_fresh_replica", 503, Outcome::NotRun, true, 200ms },
    ErrorRow { ErrorKind::NoUpstream, "no_upstream", 503, Outcome::NotRun, true, 500ms },
    ErrorRow { ErrorKind::ConnectFailed, "connect_failed", 503, Outcome::NotRun, true, 200ms },
    ErrorRow { ErrorKind::SqlError, "sql_error", 422, Outcome::Ran, false, 0ms },
    ErrorRow { ErrorKind::ReadOnlyViolation, "read_only_violation", 422, Outcome::NotRun, false,
               0ms },
    ErrorRow { ErrorKind::OutcomeUnknown, "outcome_unknown", 504, Outcome::Unknown, false, 0ms },
    ErrorRow { ErrorKind::Draining, "draining", 503, Outcome::NotRun, true, 0ms },
    ErrorRow { ErrorKind::ConfigConflict, "config_conflict", 409, Outcome::NotRun, false, 0ms },
    ErrorRow { ErrorKind::InvalidChange, "invalid_change", 422, Outcome::NotRun, false, 0ms },
    ErrorRow { ErrorKind::NoController, "no_controller", 503, Outcome::NotRun, true, 500ms },
    ErrorRow { ErrorKind::Internal, "internal", 500, Outcome::Unknown, false, 0ms },
    ErrorRow { ErrorKind::PrepareFailed, "prepare_failed", 503, Outcome::NotRun, true, 200ms },
    ErrorRow { ErrorKind::UnusableName, "unusable_name", 422, Outcome::NotRun, false, 0ms },
};

} // namespace

std::span<const ErrorRow> errorTable()
{
    return kErrorTable;
}

const ErrorRow &errorRow(ErrorKind kind)
{
    const auto index = static_cast<std::size_t>(kind);
    assert(index < kErrorTable.size());
    return kErrorTable[index];
}

std::optional<ErrorKind> errorKindFromName(std::string_view name)
{
    const auto row = std::find_if(kErrorTable.begin(), kErrorTable.end(),
                                  [name](const ErrorRow &r) { return r.name == name; });
    if (row == kErrorTable.end())
        return std::nullopt;
    return row->kind;
}

std::string_view outcomeName(Outcome outcome)
{
    switch (outcome) {
    case Outcome::NotRun:
        return "not_run";
    case Outcome::Unknown:
        return "unknown";
    case Outcome::Ran:
        return "ran";
    }
    return "unknown";
}

} // namespace shallotlever
