#pragma once

#include <ctime>

#include "shallotlever/base/time.h"

namespace shallotlever {

/// The machine's monotonic clock, which counts the time that the machine is suspended: a lease must
/// not outlive a suspension. For shells only; deciding functions take the time as an argument.
inline TimePoint monotonicNow()
{
    timespec now {};
    clock_gettime(CLOCK_BOOTTIME, &now);
    return TimePoint(std::chrono::duration_cast<Duration>(std::chrono::seconds(now.tv_sec)
                                                          + std::chrono::nanoseconds(now.tv_nsec)));
}

} // namespace shallotlever
