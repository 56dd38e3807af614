#pragma once

#include <atomic>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "shallotlever/base/time.h"

namespace shallotlever {

/// Label names and values of one series, in output order.
using Labels = std::vector<std::pair<std::string, std::string>>;

/// Monotonic counter. Thread-safe and lock-free.
class Counter
{
public:
    void increment(std::uint64_t amount = 1)
    {
        m_value.fetch_add(amount, std::memory_order_relaxed);
    }
    std::uint64_t value() const { return m_value.load(std::memory_order_relaxed); }

private:
    // A cache line per counter avoids false sharing.
    alignas(64) std::atomic<std::uint64_t> m_value { 0 };
};

/// A value that can increase and decrease. Thread-safe and lock-free.
class Gauge
{
public:
    void set(std::int64_t value) { m_value.store(value, std::memory_order_relaxed); }
    void add(std::int64_t amount) { m_value.fetch_add(amount, std::memory_order_relaxed); }
    std::int64_t value() const { return m_value.load(std::memory_order_relaxed); }

private:
    alignas(64) std::atomic<std::int64_t> m_value { 0 };
};

/// Histogram of durations with fixed buckets from 100 us to 30 s. Thread-safe and lock-free: each
/// thread updates one of several stripes, which snapshot() sums up.
class LatencyHistogram
{
public:
    LatencyHistogram();
    ~LatencyHistogram();
    LatencyHistogram(const LatencyHistogram &) = delete;
    LatencyHistogram &operator=(const LatencyHistogram &) = delete;

    /// Counts a negative duration as zero.
    void observe(Duration duration);

    struct Snapshot
    {
        /// Inclusive upper bound of each bucket.
        std::vector<Duration> bounds;
        /// Observations in the bucket of the same index; not cumulative.
        std::vector<std::uint64_t> counts;
        /// Observations above the last bound.
        std::uint64_t overflow = 0;
        Duration sum { 0 };
    };
    Snapshot snapshot() const;

private:
    struct Stripe;
    std::vector<std::unique_ptr<Stripe>> m_stripes;
};

/// Owns all time series of a process. Lookups take a lock, so callers should keep the returned
/// references, which stay valid for the registry's lifetime and are used without a lock.
class MetricsRegistry
{
public:
    MetricsRegistry();
    ~MetricsRegistry();
    MetricsRegistry(const MetricsRegistry &) = delete;
    MetricsRegistry &operator=(const MetricsRegistry &) = delete;

    /// Returns the series with this name and these labels, creating it with value 0 if needed. The
    /// `help` of the first call for a name is kept. All series of a name have the same metric type.
    Counter &counter(std::string_view name, std::string_view help, const Labels &labels = {});
    Gauge &gauge(std::string_view name, std::string_view help, const Labels &labels = {});
    /// Exported in seconds, so the name should end in _seconds.
    LatencyHistogram &histogram(std::string_view name, std::string_view help,
                                const Labels &labels = {});

    /// All series in the Prometheus text format 0.0.4, sorted by name.
    std::string prometheusText() const;

private:
    struct State;
    std::unique_ptr<State> m_state;
};

} // namespace shallotlever
