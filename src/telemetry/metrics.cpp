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

#include "utf8.h"

namespace shallotlever {

namespace {

namespace bh = boost::histogram;

constexpr std::array kBucketBounds {
    Duration(100us),   Duration(250us),   Duration(500us),  Duration(1ms),    Duration(2500us),
    Duration(5ms),     Duration(10ms),    Duration(25ms),   Duration(50ms),   Duration(100ms),
    Duration(250ms),   Duration(500ms),   Duration(1000ms), Duration(2500ms), Duration(5000ms),
    Duration(10000ms), Duration(30000ms),
};

// Enough stripes that the edge and executor threads of one node rarely share one.
constexpr std::size_t kStripeCount = 16;

using Axis = bh::axis::variable<double>;
using Storage = bh::dense_storage<bh::accumulators::thread_safe<std::uint64_t>>;
using Histogram = bh::histogram<std::tuple<Axis>, Storage>;

Histogram makeHistogram()
{
    // Boost bins exclude their upper edge, whereas Prometheus buckets include it. Observations are
    // whole microseconds, so an exclusive edge at bound + 1 us equals an inclusive bound.
    std::vector<double> edges { 0 };
    for (const Duration bound : kBucketBounds)
        edges.push_back(static_cast<double>(bound.count() + 1));
    return bh::make_histogram_with(Storage(), Axis(edges));
}

std::size_t threadStripeIndex()
{
    static std::atomic<std::size_t> next { 0 };
    thread_local const std::size_t stripe =
        next.fetch_add(1, std::memory_order_relaxed) % kStripeCount;
    return stripe;
}

void appendEscaped(std::string &out, char c, bool quoted)
{
    if (c == '\\')
        out += "\\\\";
    else if (c == '\n')
        out += "\\n";
    else if (c == '"' && quoted)
        out += "\\\"";
    else
        out += c;
}

/// Invalid UTF-8 is replaced by U+FFFD: a scraper would reject the whole text.
std::string escape(std::string_view text, bool quoted)
{
    constexpr std::string_view kReplacement = "\xef\xbf\xbd";
    std::string out;
    while (!text.empty()) {
        const std::size_t length = utf8SequenceLength(text);
        if (length == 1)
            appendEscaped(out, text.front(), quoted);
        else
            out += length == 0 ? kReplacement : text.substr(0, length);
        text.remove_prefix(std::max<std::size_t>(length, 1));
    }
    return out;
}

std::string formatLabels(const Labels &labels)
{
    std::string out;
    for (const auto &[name, value] : labels)
        out += fmt::format("{}{}=\"{}\"", out.empty() ? "" : ",", name, escape(value, true));
    return out;
}

std::string encloseInBraces(const std::string &labels)
{
    return labels.empty() ? labels : "{" + labels + "}";
}

double toSeconds(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

using TextBuffer = fmt::memory_buffer;

template <typename... Args>
void print(TextBuffer &out, fmt::format_string<Args...> format, Args &&...args)
{
    fmt::format_to(std::back_inserter(out), format, std::forward<Args>(args)...);
}

template <typename Value>
void printSeries(TextBuffer &out, const std::string &name, const std::string &labels,
                 const Value &series)
{
    print(out, "{}{} {}\n", name, encloseInBraces(labels), series.value());
}

void printSeries(TextBuffer &out, const std::string &name, const std::string &labels,
                 const LatencyHistogram &series)
{
    const LatencyHistogram::Snapshot snapshot = series.snapshot();
    const std::string prefix = labels.empty() ? labels : labels + ",";
    std::uint64_t cumulative = 0;
    for (std::size_t i = 0; i < snapshot.bounds.size(); ++i) {
        cumulative += snapshot.counts[i];
        print(out, "{}_bucket{{{}le=\"{}\"}} {}\n", name, prefix, toSeconds(snapshot.bounds[i]),
              cumulative);
    }
    cumulative += snapshot.overflow;
    print(out, "{}_bucket{{{}le=\"+Inf\"}} {}\n", name, prefix, cumulative);
    print(out, "{}_sum{} {}\n", name, encloseInBraces(labels), toSeconds(snapshot.sum));
    print(out, "{}_count{} {}\n", name, encloseInBraces(labels), cumulative);
}

template <typename Series>
struct Family
{
    std::string help;
    /// Keyed by the formatted labels. Pointers keep the references returned to callers valid.
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
    for (std::size_t i = 0; i < kStripeCount; ++i)
        m_stripes.push_back(std::make_unique<Stripe>());
}

LatencyHistogram::~LatencyHistogram() = default;

void LatencyHistogram::observe(Duration duration)
{
    const Duration counted = std::max(duration, Duration(0));
    Stripe &stripe = *m_stripes[threadStripeIndex()];
    stripe.histogram(static_cast<double>(counted.count()));
    stripe.sumMicros.fetch_add(counted.count(), std::memory_order_relaxed);
}

LatencyHistogram::Snapshot LatencyHistogram::snapshot() const
{
    Snapshot result;
    result.bounds.assign(kBucketBounds.begin(), kBucketBounds.end());
    result.counts.assign(kBucketBounds.size(), 0);
    for (const auto &stripe : m_stripes) {
        for (std::size_t i = 0; i < kBucketBounds.size(); ++i)
            result.counts[i] += stripe->histogram.at(static_cast<int>(i)).load();
        result.overflow += stripe->histogram.at(static_cast<int>(kBucketBounds.size())).load();
        result.sum += Duration(stripe->sumMicros.load(std::memory_order_relaxed));
    }
    return result;
}

struct MetricsRegistry::State
{
    mutable std::mutex mutex;
    std::map<std::string, AnyFamily, std::less<>> families;

    template <typename Series>
    Series &findOrCreate(std::string_view name, std::string_view help, const Labels &labels)
    {
        const std::lock_guard lock(mutex);
        const auto [position, isNew] =
            families.try_emplace(std::string(name), Family<Series> { std::string(help), {} });
        auto *family = std::get_if<Family<Series>>(&position->second);
        assert(family != nullptr && "all series of a metric name must have the same type");
        std::unique_ptr<Series> &series = family->series[formatLabels(labels)];
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
    return m_state->findOrCreate<Counter>(name, help, labels);
}

Gauge &MetricsRegistry::gauge(std::string_view name, std::string_view help, const Labels &labels)
{
    return m_state->findOrCreate<Gauge>(name, help, labels);
}

LatencyHistogram &MetricsRegistry::histogram(std::string_view name, std::string_view help,
                                             const Labels &labels)
{
    return m_state->findOrCreate<LatencyHistogram>(name, help, labels);
}

std::string MetricsRegistry::prometheusText() const
{
    const std::lock_guard lock(m_state->mutex);
    TextBuffer out;
    for (const auto &[name, anyFamily] : m_state->families) {
        std::visit(
            [&out, &familyName = name](const auto &family) {
                print(out, "# HELP {} {}\n", familyName, escape(family.help, false));
                print(out, "# TYPE {} {}\n", familyName, typeName(family));
                for (const auto &[labels, series] : family.series)
                    printSeries(out, familyName, labels, *series);
            },
            anyFamily);
    }
    return fmt::to_string(out);
}

} // namespace shallotlever
