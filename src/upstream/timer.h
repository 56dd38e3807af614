#pragma once

#include <algorithm>
#include <chrono>

#include "shallotlever/base/time.h"

namespace shallotlever {

/// QTimer counts milliseconds in an int; longer waits are cut to this.
inline constexpr std::chrono::milliseconds kMaxTimerInterval = std::chrono::hours(24);

/// Rounded up, so that a timer never fires before its time.
inline std::chrono::milliseconds timerInterval(Duration duration)
{
    if (duration >= kMaxTimerInterval)
        return kMaxTimerInterval;
    return std::max(std::chrono::ceil<std::chrono::milliseconds>(duration),
                    std::chrono::milliseconds(0));
}

} // namespace shallotlever
