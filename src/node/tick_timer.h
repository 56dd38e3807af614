#pragma once

#include <functional>
#include <memory>

#include <QObject>
#include <QTimer>

#include "shallotlever/telemetry/metrics.h"
#include "tick_schedule.h"

namespace shallotlever {

/// Runs the periodic work of a node when it is due instead of at a fixed interval, so that a node
/// without work seldom wakes up. The due times are read again before the event loop of the thread
/// waits, since any event may have changed them. In a loop that never waits the work runs every
/// kMinTickInterval. Must be used on one thread.
class TickTimer
{
public:
    struct Callbacks
    {
        std::function<void(TimePoint now)> tick;
        /// When tick has something to do if no event comes first; kNever if it does not.
        std::function<TimePoint(TimePoint now)> due;
        /// The thread could not run the timer in time, as the process or the machine stood still or
        /// an event took long.
        std::function<void(Duration delay)> delayed;
    };

    /// Counts in `wakeups` how often the event loop waited, and in `ticks` the calls of tick.
    TickTimer(Callbacks callbacks, Counter &wakeups, Counter &ticks);
    TickTimer(const TickTimer &) = delete;
    TickTimer &operator=(const TickTimer &) = delete;

    void start();

private:
    void onTimeout();
    void onAboutToWait();
    void startTimer(TimePoint now, Duration interval);

    Callbacks m_callbacks;
    Counter &m_wakeups;
    Counter &m_ticks;
    TickSchedule m_schedule;
    /// What m_timer is set to.
    TimePoint m_timerSetTo;
    /// When m_timer fires if nothing delays it.
    TimePoint m_timeoutExpectedAt;
    /// Context of the connections; destroyed before the members that they access.
    QObject m_context;
    QTimer m_timer;
};

} // namespace shallotlever
