#pragma once

#include <chrono>
#include <cstdint>

namespace shallotlever {

/// Tag of the monotonic time that every deciding function takes as an argument. It has no
/// now() on purpose: only shells read a clock (see monotonicNow in clock.h).
struct MonotonicClock
{
    using rep = std::int64_t;
    using period = std::micro;
    using duration = std::chrono::duration<rep, period>;
    using time_point = std::chrono::time_point<MonotonicClock, duration>;
    static constexpr bool is_steady = true;
};

/// Microseconds.
using Duration = MonotonicClock::duration;
/// Microseconds since an arbitrary start, monotonic within one machine.
using TimePoint = MonotonicClock::time_point;

using namespace std::chrono_literals;

} // namespace shallotlever
