#include "shallotlever/policy/return_schedule.h"

#include <algorithm>

namespace shallotlever {
namespace {

constexpr Duration kMinReturn = 100ms;
/// Callers may be gone after longer ones; the turns start anew.
constexpr Duration kMaxReturn = 2s;

} // namespace

Duration takeReturn(ReturnSchedule &schedule, Duration interval, TimePoint now)
{
    schedule.nextAt = std::max(schedule.nextAt, now + kMinReturn);
    if (schedule.nextAt > now + kMaxReturn)
        schedule.nextAt = now + kMinReturn;
    const Duration delay = schedule.nextAt - now;
    schedule.nextAt += interval;
    return delay;
}

} // namespace shallotlever
