#pragma once

#include <cstdint>

#include "shallotlever/base/time.h"

namespace shallotlever {

/// Log lines about single requests that a process writes per second on average, and at once.
constexpr double kLinesPerSecond = 100;
constexpr double kLinesAtOnce = 200;

/// What a line is about. Lines about failures may use the whole budget, others a half of it.
enum class LineTopic : std::uint8_t { Failure, Retry };

/// Bounds the lines that requests cause, so that overload does not cost processor time for logs.
/// Counters go on; what is left out is counted.
struct LineBudget
{
    double lines = kLinesAtOnce;
    TimePoint filledAt;
    std::uint64_t suppressed = 0;
};

/// Whether a line may be written at `now`.
bool takeLine(LineBudget &budget, LineTopic topic, TimePoint now);

} // namespace shallotlever
