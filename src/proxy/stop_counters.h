#pragma once

#include <array>

#include "shallotlever/telemetry/log.h"
#include "shallotlever/telemetry/metrics.h"

namespace shallotlever {

/// When a session was closed because the node stops.
enum class StopClose : std::uint8_t { Idle, AfterStatement, AtLimit, Count };

/// Counters of the sessions that were closed because the node stops, and of what was lost with
/// them. The registry must outlive them.
class StopCounters
{
public:
    explicit StopCounters(MetricsRegistry &registry);

    /// Counts a session that is being closed, with input that nobody has read or output that the
    /// caller has not taken.
    void countClose(StopClose when, bool unreadInput, bool unsentOutput);
    void countRefused() { m_refused.increment(); }
    void countUnanswered() { m_unanswered.increment(); }
    /// Writes all counters in one line.
    void log(const Logger &logger) const;

private:
    std::array<Counter *, static_cast<std::size_t>(StopClose::Count)> m_closed {};
    Counter &m_unreadInput;
    Counter &m_unsentOutput;
    Counter &m_refused;
    Counter &m_unanswered;
};

} // namespace shallotlever
