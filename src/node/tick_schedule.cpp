#include "tick_schedule.h"

#include <algorithm>

namespace shallotlever {

void planTick(TickSchedule &schedule, TimePoint due, TimePoint now)
{
    schedule.plannedAt = now;
    schedule.wakeAt =
        std::min(std::max(due, schedule.lastTick + kMinTickInterval), now + kMaxTickWait);
}

void noteUnplannedEvent(TickSchedule &schedule)
{
    schedule.wakeAt = std::min(schedule.wakeAt, schedule.plannedAt + kMinTickInterval);
}

bool takeTick(TickSchedule &schedule, TimePoint due, TimePoint now)
{
    if (now < due || now < schedule.lastTick + kMinTickInterval)
        return false;
    schedule.lastTick = now;
    return true;
}

std::optional<Duration> loggedDelay(TimePoint expected, TimePoint now)
{
    if (now < expected + kLoggedDelay)
        return std::nullopt;
    return now - expected;
}

} // namespace shallotlever
