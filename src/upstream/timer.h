#pragma once

#include <algorithm>
#include <chrono>

#include "shallotlever/base/time.h"

namespace shallotlever {

/// Upper bound of timer intervals, because QTimer holds milliseconds in an int. Longer intervals
/// are truncated to it.
inline constexpr std::chrono::milliseconds kMaxTimerInterval = std::chrono::hours(24);

/// Converts to whole milliseconds, rounded up so that a timer never fires early.
inline std::chrono::milliseconds timerInterval(Duration duration)
{
    if (duration >= kMaxTimerInterval)
        return kMaxTimerInterval;
    return std::max(std::chrono::ceil<std::chrono::milliseconds>(duration),
                    std::chrono::milliseconds(0));
}

} // namespace shallotlever
