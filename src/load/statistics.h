#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include <boost/histogram.hpp>

#include "workload.h"

namespace shallotlever::load {

/// Latencies in logarithmic buckets of about 2.3 %, from 10 us to 100 s.
class LatencyHistogram
{
public:
    LatencyHistogram();
    void add(double milliseconds);
    /// Upper edge of the bucket that holds the quantile (0 to 1); 0 without samples.
    double quantile(double q) const;

private:
    using Axis = boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>;
    decltype(boost::histogram::make_histogram(Axis())) m_histogram;
    std::uint64_t m_count = 0;
};

struct KindStatistics
{
    std::uint64_t asked = 0;
    std::uint64_t answered = 0;
    std::uint64_t byReplica = 0;
    std::uint64_t degraded = 0;
    std::uint64_t repeated = 0;
    /// By error kind, or `connection_lost`, `not_sent` and `dropped_by_tool`.
    std::map<std::string, std::uint64_t> refused;
    LatencyHistogram latency;
};

struct TeamStatistics
{
    std::map<Kind, KindStatistics> kinds;
    /// Requests that take a rate token, by the tool's own account of the team's sends.
    std::uint64_t sent = 0;
    std::uint64_t sentInsideRate = 0;
    std::uint64_t answeredSends = 0;
    /// Refused for the rate or a full queue although sent inside the rate.
    std::uint64_t refusedInsideRate = 0;
    /// Refused for the rate or a full queue, whether inside the rate or not.
    std::uint64_t limited = 0;

    /// Sends refused although fewer than the rate permits were admitted. The system may admit other
    /// sends of a team over its rate than those that the tool counts as inside.
    std::uint64_t refusedInError() const;
    /// Share of the demand inside the rate that was answered.
    double served() const;
};

/// Counts of one interval of kBucketMs.
struct Bucket
{
    std::map<Kind, std::uint64_t> answered;
    std::uint64_t refused = 0;
    std::uint64_t latencyCount = 0;
    double latencySumMs = 0;
    double latencyMaxMs = 0;
};

inline constexpr int kBucketMs = 100;

/// Longest time between two events, the start and the end included.
class GapMeter
{
public:
    void event(double seconds);
    void finish(double seconds) { event(seconds); }
    double longestMs() const { return m_longest * 1000; }
    /// Start of the longest gap.
    double startSeconds() const { return m_start; }

private:
    double m_last = 0;
    double m_longest = 0;
    double m_start = 0;
};

/// Outcome of one request, as recorded for the report.
struct Outcome
{
    std::string team;
    std::string service;
    Kind kind = Kind::Board;
    /// Empty if answered.
    std::string error;
    bool replica = false;
    bool degraded = false;
    bool repeated = false;
    bool takesToken = false;
    bool insideRate = false;
    double endSeconds = 0;
    double latencyMs = 0;
};

class Statistics
{
public:
    void record(const Outcome &outcome);
    void finish(double seconds);

    std::map<std::string, TeamStatistics> teams;
    std::vector<Bucket> series;
    /// Gaps per service: of acknowledged writes and of answered reads, boards included.
    std::map<std::string, GapMeter> writeGaps;
    std::map<std::string, GapMeter> readGaps;
};

} // namespace shallotlever::load
