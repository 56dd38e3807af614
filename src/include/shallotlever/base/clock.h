#pragma once

#include <ctime>

#include "shallotlever/base/time.h"

namespace shallotlever {

/// Reads the machine's monotonic clock. It includes the time during which the machine is suspended,
/// so that a lease also expires while the machine sleeps. For I/O code only; decision functions
/// take the time as an argument, which keeps them deterministic.
inline TimePoint monotonicNow()
{
    timespec now {};
    clock_gettime(CLOCK_BOOTTIME, &now);
    return TimePoint(std::chrono::duration_cast<Duration>(std::chrono::seconds(now.tv_sec)
                                                          + std::chrono::nanoseconds(now.tv_nsec)));
}

} // namespace shallotlever
