#include "statistics.h"

#include <algorithm>
#include <cmath>

namespace shallotlever::load {

namespace {

constexpr unsigned kLatencyBuckets = 700;
constexpr double kLowestMs = 0.01;
constexpr double kHighestMs = 100000;
/// Bounds the series if an answer comes very late.
constexpr std::size_t kMaxBuckets = 36000;

} // namespace

LatencyHistogram::LatencyHistogram()
    : m_histogram(boost::histogram::make_histogram(Axis(kLatencyBuckets, kLowestMs, kHighestMs)))
{
}

void LatencyHistogram::add(double milliseconds)
{
    m_histogram(std::clamp(milliseconds, kLowestMs, kHighestMs * 0.999));
    ++m_count;
}

double LatencyHistogram::quantile(double q) const
{
    if (m_count == 0)
        return 0;
    const double wanted = std::max(1.0, std::ceil(q * static_cast<double>(m_count)));
    double seen = 0;
    for (int i = 0; i < m_histogram.axis().size(); ++i) {
        seen += static_cast<double>(m_histogram.at(i));
        if (seen >= wanted)
            return m_histogram.axis().bin(i).upper();
    }
    return kHighestMs;
}

double TeamStatistics::served() const
{
    if (sentInsideRate == 0)
        return 1;
    return std::min(1.0, static_cast<double>(answeredSends) / static_cast<double>(sentInsideRate));
}

std::uint64_t TeamStatistics::refusedInError() const
{
    const std::uint64_t admitted = sent - limited;
    const std::uint64_t missing = sentInsideRate > admitted ? sentInsideRate - admitted : 0;
    return std::min(refusedInsideRate, missing);
}

void GapMeter::event(double seconds)
{
    if (seconds - m_last > m_longest) {
        m_longest = seconds - m_last;
        m_start = m_last;
    }
    m_last = std::max(m_last, seconds);
}

namespace {

void recordKind(KindStatistics &kind, const Outcome &outcome)
{
    ++kind.asked;
    if (!outcome.error.empty()) {
        ++kind.refused[outcome.error];
        return;
    }
    ++kind.answered;
    kind.byReplica += outcome.replica ? 1 : 0;
    kind.degraded += outcome.degraded ? 1 : 0;
    kind.repeated += outcome.repeated ? 1 : 0;
    kind.latency.add(outcome.latencyMs);
}

void recordRate(TeamStatistics &team, const Outcome &outcome)
{
    if (!outcome.takesToken)
        return;
    ++team.sent;
    team.sentInsideRate += outcome.insideRate ? 1 : 0;
    team.answeredSends += outcome.error.empty() ? 1 : 0;
    const bool limited = outcome.error == "rate_limited" || outcome.error == "queue_full";
    team.limited += limited ? 1 : 0;
    team.refusedInsideRate += outcome.insideRate && limited ? 1 : 0;
}

void recordBucket(std::vector<Bucket> &series, const Outcome &outcome)
{
    const auto index =
        static_cast<std::size_t>(std::max(0.0, outcome.endSeconds) * 1000 / kBucketMs);
    if (index >= kMaxBuckets)
        return;
    if (series.size() <= index)
        series.resize(index + 1);
    Bucket &bucket = series[index];
    if (!outcome.error.empty()) {
        ++bucket.refused;
        return;
    }
    ++bucket.answered[outcome.kind];
    ++bucket.latencyCount;
    bucket.latencySumMs += outcome.latencyMs;
    bucket.latencyMaxMs = std::max(bucket.latencyMaxMs, outcome.latencyMs);
}

} // namespace

void Statistics::record(const Outcome &outcome)
{
    TeamStatistics &team = teams[outcome.team];
    recordKind(team.kinds[outcome.kind], outcome);
    recordRate(team, outcome);
    recordBucket(series, outcome);
    if (outcome.error.empty())
        (isWrite(outcome.kind) ? writeGaps : readGaps)[outcome.service].event(outcome.endSeconds);
}

void Statistics::finish(double seconds)
{
    for (auto *gaps : { &writeGaps, &readGaps }) {
        for (auto &[service, gap] : *gaps)
            gap.finish(seconds);
    }
}

} // namespace shallotlever::load
