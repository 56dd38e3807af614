#include "shallotlever/telemetry/metrics.h"

#include <algorithm>
#include <array>
#include <cassert>
#include <iterator>
#include <map>
#include <mutex>
#include <variant>

#include <boost/histogram.hpp>
#include <fmt/format.h>

namespace shallotlever {

namespace {

namespace bh = boost::histogram;

constexpr std::array kBounds {
    Duration(100us),   Duration(250us),   Duration(500us),  Duration(1ms),    Duration(2500us),
    Duration(5ms),     Duration(10ms),    Duration(25ms),   Duration(50ms),   Duration(100ms),
    Duration(250ms),   Duration(500ms),   Duration(1000ms), Duration(2500ms), Duration(5000ms),
    Duration(10000ms), Duration(30000ms),
};

// Enough for the edge and executor threads of one node to rarely share a stripe.
constexpr std::size_t kStripes = 16;

using Axis = bh::axis::variable<double>;
using Storage = bh::dense_storage<bh::accumulators::thread_safe<std::uint64_t>>;
using Histogram = bh::histogram<std::tuple<Axis>, Storage>;

Histogram makeHistogram()
{
    // Boost's bins exclude their upper edge and Prometheus' buckets include it. Observations are
    // whole microseconds, so an edge of bound + 1 us is the same as an inclusive bound.
    std::vector<double> edges { 0 };
    for (const Duration bound : kBounds)
        edges.push_back(static_cast<double>(bound.count() + 1));
    return bh::make_histogram_with(Storage(), Axis(edges));
}

std::size_t stripeOfThisThread()
{
    static std::atomic<std::size_t> next { 0 };
    thread_local const std::size_t stripe = next.fetch_add(1, std::memory_order_relaxed) % kStripes;
    return stripe;
}

std::string escaped(std::string_view text, bool quoted)
{
    std::string out;
    for (const char c : text) {
        if (c == '\\')
            out += "\\\\";
        else if (c == '\n')
            out += "\\n";
        else if (c == '"' && quoted)
            out += "\\\"";
        else
            out += c;
    }
    return out;
}

std::string labelText(const Labels &labels)
{
    std::string out;
    for (const auto &[name, value] : labels)
        out += fmt::format("{}{}=\"{}\"", out.empty() ? "" : ",", name, escaped(value, true));
    return out;
}

std::string braced(const std::string &labels)
{
    return labels.empty() ? labels : "{" + labels + "}";
}

double inSeconds(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

using Text = fmt::memory_buffer;

template <typename... Args>
void print(Text &out, fmt::format_string<Args...> format, Args &&...args)
{
    fmt::format_to(std::back_inserter(out), format, std::forward<Args>(args)...);
}

template <typename Value>
void printSeries(Text &out, const std::string &name, const std::string &labels, const Value &series)
{
    print(out, "{}{} {}\n", name, braced(labels), series.value());
}

void printSeries(Text &out, const std::string &name, const std::string &labels,
                 const LatencyHistogram &series)
{
    const LatencyHistogram::Snapshot snapshot = series.snapshot();
    const std::string prefix = labels.empty() ? labels : labels + ",";
    std::uint64_t cumulative = 0;
    for (std::size_t i = 0; i < snapshot.bounds.size(); ++i) {
        cumulative += snapshot.counts[i];
        print(out, "{}_bucket{{{}le=\"{}\"}} {}\n", name, prefix, inSeconds(snapshot.bounds[i]),
              cumulative);
    }
    cumulative += snapshot.overflow;
    print(out, "{}_bucket{{{}le=\"+Inf\"}} {}\n", name, prefix, cumulative);
    print(out, "{}_sum{} {}\n", name, braced(labels), inSeconds(snapshot.sum));
    print(out, "{}_count{} {}\n", name, braced(labels), cumulative);
}

template <typename Series>
struct Family
{
    std::string help;
    /// By label text. Pointers, because references are handed out.
    std::map<std::string, std::unique_ptr<Series>> series;
};

constexpr std::string_view typeName(const Family<Counter> &)
{
    return "counter";
}
constexpr std::string_view typeName(const Family<Gauge> &)
{
    return "gauge";
}
constexpr std::string_view typeName(const Family<LatencyHistogram> &)
{
    return "histogram";
}

using AnyFamily = std::variant<Family<Counter>, Family<Gauge>, Family<LatencyHistogram>>;

} // namespace

struct alignas(64) LatencyHistogram::Stripe
{
    Histogram histogram = makeHistogram();
    std::atomic<std::int64_t> sumMicros { 0 };
};

LatencyHistogram::LatencyHistogram()
{
    for (std::size_t i = 0; i < kStripes; ++i)
        m_stripes.push_back(std::make_unique<Stripe>());
}

LatencyHistogram::~LatencyHistogram() = default;

void LatencyHistogram::observe(Duration duration)
{
    const Duration counted = std::max(duration, Duration(0));
    Stripe &stripe = *m_stripes[stripeOfThisThread()];
    stripe.histogram(static_cast<double>(counted.count()));
    stripe.sumMicros.fetch_add(counted.count(), std::memory_order_relaxed);
}

LatencyHistogram::Snapshot LatencyHistogram::snapshot() const
{
    Snapshot result;
    result.bounds.assign(kBounds.begin(), kBounds.end());
    result.counts.assign(kBounds.size(), 0);
    for (const auto &stripe : m_stripes) {
        for (std::size_t i = 0; i < kBounds.size(); ++i)
            result.counts[i] += stripe->histogram.at(static_cast<int>(i)).load();
        result.overflow += stripe->histogram.at(static_cast<int>(kBounds.size())).load();
        result.sum += Duration(stripe->sumMicros.load(std::memory_order_relaxed));
    }
    return result;
}

struct MetricsRegistry::State
{
    mutable std::mutex mutex;
    std::map<std::string, AnyFamily, std::less<>> families;

    template <typename Series>
    Series &find(std::string_view name, std::string_view help, const Labels &labels)
    {
        const std::lock_guard lock(mutex);
        const auto [position, isNew] =
            families.try_emplace(std::string(name), Family<Series> { std::string(help), {} });
        auto *family = std::get_if<Family<Series>>(&position->second);
        assert(family != nullptr && "a metric name belongs to one kind of metric");
        std::unique_ptr<Series> &series = family->series[labelText(labels)];
        if (!series)
            series = std::make_unique<Series>();
        return *series;
    }
};

MetricsRegistry::MetricsRegistry()
    : m_state(std::make_unique<State>())
{
}

MetricsRegistry::~MetricsRegistry() = default;

Counter &MetricsRegistry::counter(std::string_view name, std::string_view help,
                                  const Labels &labels)
{
    return m_state->find<Counter>(name, help, labels);
}

Gauge &MetricsRegistry::gauge(std::string_view name, std::string_view help, const Labels &labels)
{
    return m_state->find<Gauge>(name, help, labels);
}

LatencyHistogram &MetricsRegistry::histogram(std::string_view name, std::string_view help,
                                             const Labels &labels)
{
    return m_state->find<LatencyHistogram>(name, help, labels);
}

std::string MetricsRegistry::prometheusText() const
{
    const std::lock_guard lock(m_state->mutex);
    Text out;
    for (const auto &[name, anyFamily] : m_state->families) {
        std::visit(
            [&out, &familyName = name](const auto &family) {
                print(out, "# HELP {} {}\n", familyName, escaped(family.help, false));
                print(out, "# TYPE {} {}\n", familyName, typeName(family));
                for (const auto &[labels, series] : family.series)
                    printSeries(out, familyName, labels, *series);
            },
            anyFamily);
    }
    return fmt::to_string(out);
}

} // namespace shallotlever
