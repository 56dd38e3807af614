#pragma once

#include <array>
#include <span>
#include <string_view>
#include <vector>

#include "shallotlever/base/errors.h"
#include "shallotlever/base/ids.h"
#include "shallotlever/telemetry/metrics.h"

namespace shallotlever {

/// Every reason for which the node sends a request again by itself. The list is closed: a new
/// reason needs a row in retryReasonTable().
enum class RetryReason {
    ConnectFailed,
    /// The connection was lost before the statement was sent.
    UpstreamLostBeforeSend,
    /// The connection was lost while a read ran.
    ReadConnectionLost,
    /// A read did not finish in time on one database and is repeated on another.
    ReadTimedOut,
    /// The replica turned out to lag behind the requested position or age.
    ReplicaStale,
    UpstreamEjected,
    /// The upstream began to leave or was drained before the statement was sent.
    UpstreamLeaving,
    /// The database refused the commit because a higher term has fenced it.
    Fenced,
    /// The database is no longer the primary.
    NotPrimary,
    SerializationConflict,
    Deadlock,
    /// The outcome of a write with an idempotency key was unknown, so the record is looked up.
    IdempotentRepeat,
};

struct RetryReasonRow
{
    RetryReason reason;
    /// Name in logs and metrics (snake_case).
    std::string_view name;
};

/// All rows, in the order of RetryReason.
std::span<const RetryReasonRow> retryReasonTable();
std::string_view retryReasonName(RetryReason reason);

enum class ReadSource { Replica, Primary };

/// What a read demanded of the data; the targets for the share of replicas differ.
enum class ReadDemand {
    /// The caller stated a permitted age.
    StaleAllowed,
    /// The session token demands the session's own writes.
    OwnWrites,
    /// Neither an age nor a position was demanded.
    Unbounded,
};

/// Counters of one team. The referenced counters live as long as the registry.
struct TeamCounters
{
    Counter *admitted = nullptr;
    /// Refused for any reason, including those counted by refusedInsideRate.
    Counter *refused = nullptr;
    /// Refused although the team was within its rate.
    Counter *refusedInsideRate = nullptr;
};

/// The counters named on the design page. All series with a closed label set exist from the start.
class NodeMetrics
{
public:
    explicit NodeMetrics(MetricsRegistry &registry);

    MetricsRegistry &registry() { return m_registry; }

    /// Lock-free.
    Counter &refusal(ErrorKind kind) { return *m_refusals[static_cast<std::size_t>(kind)]; }
    Counter &retry(RetryReason reason) { return *m_retries[static_cast<std::size_t>(reason)]; }
    Counter &read(ReadSource source, ReadDemand demand);

    /// Takes the registry's lock: look up once per configuration and keep the result.
    TeamCounters team(const TeamId &team);

private:
    static constexpr std::size_t kReadSources = 2;
    static constexpr std::size_t kReadDemands = 3;

    MetricsRegistry &m_registry;
    std::vector<Counter *> m_refusals;
    std::vector<Counter *> m_retries;
    std::array<Counter *, kReadSources * kReadDemands> m_reads {};
};

} // namespace shallotlever
