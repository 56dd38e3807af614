#include "shallotlever/telemetry/node_metrics.h"

namespace shallotlever {

namespace {

constexpr std::array<std::string_view, 2> kReadSourceNames { "replica", "primary" };
constexpr std::array<std::string_view, 3> kReadDemandNames { "stale_allowed", "own_writes",
                                                             "unbounded" };

} // namespace

NodeMetrics::NodeMetrics(MetricsRegistry &registry)
    : m_registry(registry)
{
    for (const ErrorRow &row : errorTable())
        m_refusals.push_back(&registry.counter("shallotlever_refusals_total",
                                               "Error answers by kind.",
                                               { { "kind", std::string(row.name) } }));
    for (const RetryReasonRow &row : retryReasonTable())
        m_retries.push_back(&registry.counter("shallotlever_retries_total",
                                              "Requests sent again by the node, by reason.",
                                              { { "reason", std::string(row.name) } }));
    for (std::size_t i = 0; i < m_reads.size(); ++i)
        m_reads[i] = &registry.counter(
            "shallotlever_reads_total", "Reads served, by source and by demanded freshness.",
            { { "source", std::string(kReadSourceNames[i / kReadDemands]) },
              { "demand", std::string(kReadDemandNames[i % kReadDemands]) } });
}

Counter &NodeMetrics::read(ReadSource source, ReadDemand demand)
{
    return *m_reads[static_cast<std::size_t>(source) * kReadDemands
                    + static_cast<std::size_t>(demand)];
}

TeamCounters NodeMetrics::team(const TeamId &team)
{
    const Labels labels { { "team", team.value() } };
    return TeamCounters {
        &m_registry.counter("shallotlever_team_admitted_total", "Requests admitted.", labels),
        &m_registry.counter("shallotlever_team_refused_total", "Requests refused.", labels),
        &m_registry.counter("shallotlever_team_refused_inside_rate_total",
                            "Requests refused although the team was within its rate.", labels),
    };
}

} // namespace shallotlever
