#include "tick_timer.h"

#include <algorithm>
#include <utility>

#include <QAbstractEventDispatcher>

#include "shallotlever/base/clock.h"

namespace shallotlever {

TickTimer::TickTimer(Callbacks callbacks, Counter &wakeups, Counter &ticks)
    : m_callbacks(std::move(callbacks))
    , m_wakeups(wakeups)
    , m_ticks(ticks)
{
    m_timer.setTimerType(Qt::PreciseTimer);
    QObject::connect(&m_timer, &QTimer::timeout, &m_context, [this] { onTimeout(); });
}

void TickTimer::start()
{
    startTimer(monotonicNow(), kMinTickInterval);
    if (const QAbstractEventDispatcher *dispatcher = QAbstractEventDispatcher::instance())
        QObject::connect(dispatcher, &QAbstractEventDispatcher::aboutToBlock, &m_context,
                         [this] { onAboutToWait(); });
}

void TickTimer::onTimeout()
{
    const TimePoint now = monotonicNow();
    if (const std::optional<Duration> delay = loggedDelay(m_timeoutExpectedAt, now))
        m_callbacks.delayed(*delay);
    // Until the loop is about to wait; it may be one that never waits.
    startTimer(now, kMinTickInterval);
    m_timerSetTo = TimePoint();
    if (!takeTick(m_schedule, m_callbacks.due(now), now))
        return;
    m_ticks.increment();
    m_callbacks.tick(now);
    m_schedule.plannedAt = TimePoint();
}

void TickTimer::onAboutToWait()
{
    m_wakeups.increment();
    const TimePoint now = monotonicNow();
    if (mayPlan(m_schedule, now))
        planTick(m_schedule, m_callbacks.due(now), now);
    else
        noteUnplannedEvent(m_schedule);
    if (m_schedule.wakeAt == m_timerSetTo)
        return;
    m_timerSetTo = m_schedule.wakeAt;
    startTimer(now, std::max(m_schedule.wakeAt - now, Duration(0)));
}

void TickTimer::startTimer(TimePoint now, Duration interval)
{
    m_timeoutExpectedAt = now + interval;
    m_timer.start(std::chrono::ceil<std::chrono::milliseconds>(interval));
}

} // namespace shallotlever
