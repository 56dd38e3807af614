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

/// Label names and values of one series, in the order of output.
using Labels = std::vector<std::pair<std::string, std::string>>;

/// Only grows. Lock-free from any thread.
class Counter
{
public:
    void increment(std::uint64_t amount = 1)
    {
        m_value.fetch_add(amount, std::memory_order_relaxed);
    }
    std::uint64_t value() const { return m_value.load(std::memory_order_relaxed); }

private:
    // Own cache line, so that unrelated counters do not slow each other down.
    alignas(64) std::atomic<std::uint64_t> m_value { 0 };
};

/// A value that rises and falls. Lock-free from any thread.
class Gauge
{
public:
    void set(std::int64_t value) { m_value.store(value, std::memory_order_relaxed); }
    void add(std::int64_t amount) { m_value.fetch_add(amount, std::memory_order_relaxed); }
    std::int64_t value() const { return m_value.load(std::memory_order_relaxed); }

private:
    alignas(64) std::atomic<std::int64_t> m_value { 0 };
};

/// Distribution of durations with fixed buckets from 100 us to 30 s. Lock-free from any thread:
/// each thread adds to one of several stripes, which are summed when they are read.
class LatencyHistogram
{
public:
    LatencyHistogram();
    ~LatencyHistogram();
    LatencyHistogram(const LatencyHistogram &) = delete;
    LatencyHistogram &operator=(const LatencyHistogram &) = delete;

    /// A negative duration counts as zero.
    void observe(Duration duration);

    struct Snapshot
    {
        /// Inclusive upper bound of each bucket.
        std::vector<Duration> bounds;
        /// Observations at or below the bound of the same index; not cumulative.
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

/// Owns all series of a process. Lookups take a lock and are meant to be done once; the references
/// they return stay valid for the registry's lifetime and need no lock.
class MetricsRegistry
{
public:
    MetricsRegistry();
    ~MetricsRegistry();
    MetricsRegistry(const MetricsRegistry &) = delete;
    MetricsRegistry &operator=(const MetricsRegistry &) = delete;

    /// Returns the series with this name and these labels, made with value 0 if it is new. `help`
    /// of the first call for a name is kept. A name belongs to one kind of metric only.
    Counter &counter(std::string_view name, std::string_view help, const Labels &labels = {});
    Gauge &gauge(std::string_view name, std::string_view help, const Labels &labels = {});
    /// Exposed in seconds, so the name should end in _seconds.
    LatencyHistogram &histogram(std::string_view name, std::string_view help,
                                const Labels &labels = {});

    /// All series in the Prometheus text format 0.0.4, sorted by name.
    std::string prometheusText() const;

private:
    struct State;
    std::unique_ptr<State> m_state;
};

} // namespace shallotlever
