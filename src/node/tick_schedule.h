#pragma once

#include <optional>

#include "shallotlever/base/due.h"

/// When the periodic work of a node runs. Sans-I/O.
namespace shallotlever {

/// Minimum interval between ticks: work that is due waits for at most this long.
constexpr Duration kMinTickInterval = 10ms;
/// Maximum time until the due times are read again. The timer's clock stands still while the
/// machine is suspended, and due times do not.
constexpr Duration kMaxTickWait = 100ms;
/// The due times are not read more often than this, because that costs about as much as a tick.
constexpr Duration kMinPlanInterval = 5ms;
/// Delays from this on are logged: half the lease of a leader of the control group.
constexpr Duration kLoggedDelay = 200ms;

struct TickSchedule
{
    TimePoint lastTick;
    /// When the due times were read last.
    TimePoint plannedAt;
    /// When to read them again, and to tick if something is due.
    TimePoint wakeAt;
};

/// Whether the due times may have changed since they were read, and may be read again.
inline bool mayPlan(const TickSchedule &schedule, TimePoint now)
{
    return now >= schedule.plannedAt + kMinPlanInterval;
}

/// Plans the next wake-up. `due` is the earliest due time of all work.
void planTick(TickSchedule &schedule, TimePoint due, TimePoint now);

/// Records an event after which the due times were not read.
void noteUnplannedEvent(TickSchedule &schedule);

/// Whether to tick now, with `due` as above. If so, records the tick.
bool takeTick(TickSchedule &schedule, TimePoint due, TimePoint now);

/// How much later than `expected` it is, if that is worth a log line.
std::optional<Duration> loggedDelay(TimePoint expected, TimePoint now);

} // namespace shallotlever
