#pragma once

#include <chrono>
#include <cstdint>

namespace shallotlever {

/// Clock type of the monotonic time that decision functions take as an argument. It has no now() on
/// purpose: only I/O code reads a clock (see monotonicNow in clock.h).
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
/// Microseconds since an arbitrary epoch. Not comparable between machines.
using TimePoint = MonotonicClock::time_point;

using namespace std::chrono_literals;

} // namespace shallotlever
