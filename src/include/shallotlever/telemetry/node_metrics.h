#pragma once

#include <array>
#include <span>
#include <string_view>
#include <vector>

#include "shallotlever/base/errors.h"
#include "shallotlever/base/ids.h"
#include "shallotlever/base/retry_reason.h"
#include "shallotlever/telemetry/metrics.h"

namespace shallotlever {

enum class ReadSource { Replica, Primary };

/// Freshness that a read demands. The targets for the share of reads served by replicas differ by
/// demand.
enum class ReadDemand {
    /// The caller states a maximum staleness.
    StaleAllowed,
    /// The session token demands read-your-writes consistency.
    OwnWrites,
    /// The read demands neither a maximum staleness nor a log position.
    Unbounded,
};

/// Counters of one team. The referenced counters live as long as the registry.
struct TeamCounters
{
    Counter *admitted = nullptr;
    /// Refused for any reason, including those counted by refusedInsideRate.
    Counter *refused = nullptr;
    /// Refused although the team was within its rate limit.
    Counter *refusedInsideRate = nullptr;
};

/// Metrics of one node as specified on the design page. Series with a fixed set of label values are
/// created up front, so that they are exported before their first use.
class NodeMetrics
{
public:
    explicit NodeMetrics(MetricsRegistry &registry);

    MetricsRegistry &registry() { return m_registry; }

    /// Lock-free.
    Counter &refusal(ErrorKind kind) { return *m_refusals[static_cast<std::size_t>(kind)]; }
    Counter &retry(RetryReason reason) { return *m_retries[static_cast<std::size_t>(reason)]; }
    Counter &read(ReadSource source, ReadDemand demand);

    /// Takes the registry's lock, so call it once per configuration and keep the result.
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
