#pragma once

#include "shallotlever/base/time.h"

namespace shallotlever {

/// The machine's monotonic clock. For shells only; deciding functions take the time as an argument.
inline TimePoint monotonicNow()
{
    return TimePoint(
        std::chrono::duration_cast<Duration>(std::chrono::steady_clock::now().time_since_epoch()));
}

} // namespace shallotlever
