#include "shallotlever/policy/service_rate.h"

#include <algorithm>
#include <cmath>

namespace shallotlever {
namespace {

/// Time constant with which observations lose their weight.
constexpr Duration kMemory = 500ms;
/// Weight of the assumption with which a line starts, as a time of observation.
constexpr Duration kInitialElapsed = 100ms;

double microseconds(Duration duration)
{
    return static_cast<double>(duration.count());
}

void advance(ServiceRate &rate, TimePoint now)
{
    const double passed = microseconds(std::max(now - rate.updatedAt, Duration(0)));
    const double kept = std::exp(-passed / microseconds(kMemory));
    rate.work *= kept;
    rate.elapsed = rate.elapsed * kept + microseconds(kMemory) * (1 - kept);
    rate.updatedAt = std::max(rate.updatedAt, now);
}

} // namespace

ServiceRate makeServiceRate(double slots, TimePoint now)
{
    const double elapsed = microseconds(kInitialElapsed);
    return { slots * elapsed, elapsed, now };
}

void recordWork(ServiceRate &rate, double work, TimePoint now)
{
    advance(rate, now);
    rate.work += work;
}

double workRate(const ServiceRate &rate, TimePoint now)
{
    ServiceRate current = rate;
    advance(current, now);
    return current.work / current.elapsed;
}

} // namespace shallotlever
