#include "shallotlever/proxy/placement.h"

#include <algorithm>

namespace shallotlever {

namespace {

bool canServe(const UpstreamLoad &load)
{
    return load.state == UpstreamState::Live && load.reachable && load.connections > 0;
}

} // namespace

void noteServiceTime(UpstreamLoad &load, Duration elapsed, TimePoint now)
{
    const Duration service = std::max(elapsed - load.roundTrip, Duration(0));
    const double weight = now > load.serviceTimeAt + kServiceTimeAge ? 1 : kServiceTimeWeight;
    const double average = static_cast<double>(load.serviceTime.count()) * (1 - weight)
        + static_cast<double>(service.count()) * weight;
    load.serviceTime = Duration(static_cast<std::int64_t>(average));
    load.serviceTimeAt = now;
}

void noteWindowAnswer(SendWindow &window)
{
    window.size = std::min(window.size + kWindowGrowth / window.size, kLargestWindow);
}

void noteWindowRefusal(SendWindow &window, TimePoint now)
{
    if (now < window.shrunkAt + kWindowShrinkInterval)
        return;
    window.size = std::max(window.size * kWindowShrink, kSmallestWindow);
    window.shrunkAt = now;
}

Duration expectedAnswer(const UpstreamLoad &load, TimePoint now)
{
    const bool known = now <= load.serviceTimeAt + kServiceTimeAge;
    const Duration service = known ? load.serviceTime : kInitialServiceTime;
    const std::uint32_t parallel = std::max(1U, std::min(load.slots, load.connections));
    const Duration opening = load.needsConnection ? load.openTime * kOpenCost : Duration(0);
    const Duration answer =
        opening + load.roundTrip + service + service * load.outstanding / parallel;
    const double cost = load.primary ? kPrimaryCost : 1;
    return Duration(static_cast<std::int64_t>(static_cast<double>(answer.count()) * cost));
}

std::optional<UpstreamId> placeRead(std::span<const UpstreamLoad> loads, bool replicas,
                                    const std::set<UpstreamId> &excluded, TimePoint now)
{
    const UpstreamLoad *best = nullptr;
    bool bestAvoided = false;
    for (const UpstreamLoad &load : loads) {
        if (!canServe(load) || excluded.contains(load.id) || (!replicas && !load.primary))
            continue;
        const bool avoided = now < load.avoidUntil;
        const bool better = best == nullptr || (bestAvoided && !avoided)
            || (bestAvoided == avoided && expectedAnswer(load, now) < expectedAnswer(*best, now));
        if (!better)
            continue;
        best = &load;
        bestAvoided = avoided;
    }
    return best == nullptr ? std::nullopt : std::optional(best->id);
}

} // namespace shallotlever
