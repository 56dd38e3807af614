#pragma once

#include <cstdint>

#include "shallotlever/base/time.h"

namespace shallotlever {

/// Refill rate and capacity of the token bucket that limits log lines about single requests.
constexpr double kLogLinesPerSecond = 100;
constexpr double kLogLineBurst = 200;

/// Subject of a log line. Half of the bucket is reserved for lines about failures, and a quarter
/// for those and lines about retries.
enum class LogTopic : std::uint8_t { Failure, Retry, Preparation };

/// Token bucket for log lines about single requests, one token per line. Keeps an overloaded
/// process from spending processor time on logging. Metrics are not affected, and suppressed lines
/// are counted.
struct LogRateLimiter
{
    double tokens = kLogLineBurst;
    TimePoint refilledAt;
    std::uint64_t suppressed = 0;
};

/// Takes a token if one is available to `topic` at `now`. Returns false, and counts the line as
/// suppressed, if the line must not be written.
bool acquireLogToken(LogRateLimiter &limiter, LogTopic topic, TimePoint now);

} // namespace shallotlever
