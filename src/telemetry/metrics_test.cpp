#include "shallotlever/telemetry/metrics.h"
#include "shallotlever/telemetry/node_metrics.h"

#include <set>
#include <thread>

#include <gmock/gmock.h>
#include <gtest/gtest.h>

namespace shallotlever {
namespace {

using testing::HasSubstr;

// Guards against label values and help texts that break the Prometheus text format.
TEST(Prometheus, EscapesLabelsAndHelp)
{
    MetricsRegistry registry;
    registry.counter("c_total", "two\nlines \\", { { "team", "a\"b\\c\nd" }, { "x", "y" } })
        .increment(3);
    registry.gauge("g", "A gauge.").set(-2);
    EXPECT_EQ(registry.prometheusText(),
              "# HELP c_total two\\nlines \\\\\n"
              "# TYPE c_total counter\n"
              "c_total{team=\"a\\\"b\\\\c\\nd\",x=\"y\"} 3\n"
              "# HELP g A gauge.\n"
              "# TYPE g gauge\n"
              "g -2\n");
}

// Guards against one odd name that makes all metrics of a node unreadable: the format is UTF-8.
TEST(Prometheus, ReplacesInvalidUtf8)
{
    MetricsRegistry registry;
    registry
        .counter("c_total", "C.",
                 { { "team",
                     "a\xff"
                     "b\xed\xa0\x80\xc3\xa9" } })
        .increment();
    EXPECT_THAT(registry.prometheusText(),
                HasSubstr("c_total{team=\"a\xef\xbf\xbd"
                          "b\xef\xbf\xbd\xef\xbf\xbd\xef\xbf\xbd\xc3\xa9\"} 1\n"));
}

struct BucketCase
{
    Duration observed;
    std::string countingBucket;
    std::string bucketBelow;
};

class HistogramBucket : public testing::TestWithParam<BucketCase>
{
};

// Guards against exclusive upper bounds: Prometheus counts a value equal to the bound in its
// bucket.
TEST_P(HistogramBucket, HasAnInclusiveBound)
{
    MetricsRegistry registry;
    registry.histogram("h_seconds", "H.", { { "a", "b" } }).observe(GetParam().observed);
    const std::string text = registry.prometheusText();
    EXPECT_THAT(
        text, HasSubstr("h_seconds_bucket{a=\"b\",le=\"" + GetParam().countingBucket + "\"} 1\n"));
    if (!GetParam().bucketBelow.empty()) {
        EXPECT_THAT(
            text, HasSubstr("h_seconds_bucket{a=\"b\",le=\"" + GetParam().bucketBelow + "\"} 0\n"));
    }
    EXPECT_THAT(text, HasSubstr("h_seconds_count{a=\"b\"} 1\n"));
}

INSTANTIATE_TEST_SUITE_P(
    All, HistogramBucket,
    testing::Values(BucketCase { -5us, "0.0001", "" }, BucketCase { 0us, "0.0001", "" },
                    BucketCase { 100us, "0.0001", "" }, BucketCase { 101us, "0.00025", "0.0001" },
                    BucketCase { 30s, "30", "10" }, BucketCase { 31s, "+Inf", "30" }));

// Guards against lost updates when several threads use the same series.
TEST(Histogram, CountsObservationsOfAllThreads)
{
    constexpr int kThreads = 8;
    constexpr int kObservations = 5000;
    MetricsRegistry registry;
    LatencyHistogram &histogram = registry.histogram("h_seconds", "H.");
    Counter &counter = registry.counter("c_total", "C.");
    std::vector<std::thread> threads;
    for (int t = 0; t < kThreads; ++t)
        threads.emplace_back([&] {
            for (int i = 0; i < kObservations; ++i) {
                histogram.observe(2ms);
                counter.increment();
            }
        });
    for (std::thread &thread : threads)
        thread.join();
    const LatencyHistogram::Snapshot snapshot = histogram.snapshot();
    EXPECT_EQ(snapshot.counts.at(4), kThreads * kObservations);
    EXPECT_EQ(snapshot.sum, kThreads * kObservations * Duration(2ms));
    EXPECT_EQ(counter.value(), kThreads * kObservations);
}

// Guards against refusal, retry or read counters that are missing from /metrics until first used.
TEST(NodeMetricsTest, ExportsFixedLabelSetsBeforeFirstUse)
{
    MetricsRegistry registry;
    NodeMetrics metrics(registry);
    const std::string text = registry.prometheusText();
    for (const ErrorRow &row : errorTable())
        EXPECT_THAT(
            text,
            HasSubstr("shallotlever_refusals_total{kind=\"" + std::string(row.name) + "\"} 0\n"));
    for (const RetryReasonRow &row : retryReasonTable())
        EXPECT_THAT(
            text,
            HasSubstr("shallotlever_retries_total{reason=\"" + std::string(row.name) + "\"} 0\n"));
    EXPECT_THAT(
        text, HasSubstr("shallotlever_reads_total{source=\"primary\",demand=\"own_writes\"} 0\n"));
}

// Guards against rows out of enum order and against two reasons that share a counter.
TEST(RetryReasons, TableOrderMatchesEnum)
{
    std::set<std::string_view> names;
    const auto table = retryReasonTable();
    for (std::size_t i = 0; i < table.size(); ++i) {
        EXPECT_EQ(static_cast<std::size_t>(table[i].reason), i);
        names.insert(table[i].name);
    }
    EXPECT_EQ(names.size(), static_cast<std::size_t>(RetryReason::AnswerTooLarge) + 1);
}

// Guards against counters that are attributed to the wrong team.
TEST(NodeMetricsTest, KeepsCountersPerTeam)
{
    MetricsRegistry registry;
    NodeMetrics metrics(registry);
    metrics.team(TeamId("a")).refusedInsideRate->increment();
    metrics.team(TeamId("a")).admitted->increment(2);
    metrics.team(TeamId("b")).refused->increment(3);
    const std::string text = registry.prometheusText();
    EXPECT_THAT(text, HasSubstr("shallotlever_team_refused_inside_rate_total{team=\"a\"} 1\n"));
    EXPECT_THAT(text, HasSubstr("shallotlever_team_admitted_total{team=\"a\"} 2\n"));
    EXPECT_THAT(text, HasSubstr("shallotlever_team_refused_total{team=\"b\"} 3\n"));
}

} // namespace
} // namespace shallotlever
