#include "shallotlever/proxy/placement.h"

#include <algorithm>

namespace shallotlever {

namespace {

bool canServe(const UpstreamLoad &load)
{
    return load.state == UpstreamState::Live && load.reachable && load.leasedConnections > 0;
}

} // namespace

void recordServiceTime(UpstreamLoad &load, Duration elapsed, TimePoint now)
{
    const Duration service = std::max(elapsed - load.roundTrip, Duration(0));
    const double weight =
        now > load.serviceTimeUpdatedAt + kMaxServiceTimeAge ? 1 : kServiceTimeWeight;
    const double average = static_cast<double>(load.serviceTime.count()) * (1 - weight)
        + static_cast<double>(service.count()) * weight;
    load.serviceTime = Duration(static_cast<std::int64_t>(average));
    load.serviceTimeUpdatedAt = now;
}

void setMaxWindow(ConcurrencyWindow &window, double maxSize)
{
    if (window.maxSize == maxSize)
        return;
    window.maxSize = maxSize;
    window.size = maxSize;
}

void recordWindowSuccess(ConcurrencyWindow &window)
{
    window.size = std::min(window.size + kWindowIncrement / window.size, window.maxSize);
}

void recordWindowRefusal(ConcurrencyWindow &window, TimePoint now)
{
    if (now < window.lastDecreaseAt + kMinWindowDecreaseInterval)
        return;
    window.size = std::max(window.size * kWindowDecreaseFactor, kMinWindow);
    window.lastDecreaseAt = now;
}

Duration expectedResponseTime(const UpstreamLoad &load, TimePoint now)
{
    const bool known = now <= load.serviceTimeUpdatedAt + kMaxServiceTimeAge;
    const Duration service = known ? load.serviceTime : kInitialServiceTime;
    const std::uint32_t parallel = std::max(1U, std::min(load.slots, load.leasedConnections));
    const Duration opening =
        load.needsConnection ? load.openTime * kOpenTimeCostFactor : Duration(0);
    // A statement waits only if more are outstanding than run at the same time.
    const std::uint32_t ahead = load.outstanding + 1 - std::min(load.outstanding + 1, parallel);
    const Duration answer = opening + load.roundTrip + service + service * ahead / parallel;
    const double cost = load.primary ? kPrimaryCostFactor : 1;
    return Duration(static_cast<std::int64_t>(static_cast<double>(answer.count()) * cost));
}

std::optional<Duration> forwardedTimeLimit(Duration timeLeft, bool mustBeKnown)
{
    if (mustBeKnown && timeLeft <= kMaxAnswerMargin)
        return std::nullopt;
    return timeLeft - std::min(kMaxAnswerMargin, timeLeft / 2);
}

std::optional<UpstreamId> selectUpstream(std::span<const UpstreamLoad> loads, bool allowReplicas,
                                         const std::set<UpstreamId> &excluded, TimePoint now)
{
    const UpstreamLoad *best = nullptr;
    bool bestAvoided = false;
    for (const UpstreamLoad &load : loads) {
        if (!canServe(load) || excluded.contains(load.id) || (!allowReplicas && !load.primary))
            continue;
        const bool avoided = now < load.avoidUntil;
        const bool better = best == nullptr || (bestAvoided && !avoided)
            || (bestAvoided == avoided
                && expectedResponseTime(load, now) < expectedResponseTime(*best, now));
        if (!better)
            continue;
        best = &load;
        bestAvoided = avoided;
    }
    return best == nullptr ? std::nullopt : std::optional(best->id);
}

} // namespace shallotlever
