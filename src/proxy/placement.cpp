#include "shallotlever/proxy/placement.h"

#include <algorithm>
#include <array>

namespace shallotlever {

namespace {

LeftOut reasonToLeaveOut(const UpstreamLoad &load, bool allowReplicas,
                         const std::set<UpstreamId> &excluded)
{
    if (load.state != UpstreamState::Live)
        return LeftOut::NotLive;
    if (!load.reachable)
        return LeftOut::Unreachable;
    if (load.leasedConnections == 0)
        return LeftOut::NoConnections;
    if (!allowReplicas && !load.primary)
        return LeftOut::NotPrimary;
    return excluded.contains(load.id) ? LeftOut::AlreadyTried : LeftOut::No;
}

Duration currentServiceTime(const UpstreamLoad &load, TimePoint now)
{
    const bool known = now <= load.serviceTimeUpdatedAt + kMaxServiceTimeAge;
    return known ? load.serviceTime : kInitialServiceTime;
}

double parallelStatements(const UpstreamLoad &load)
{
    return std::max(1U, std::min(load.slots, load.leasedConnections));
}

Duration reachTime(const UpstreamLoad &load)
{
    return load.roundTrip
        + (load.needsConnection ? load.openTime * kOpenTimeCostFactor : Duration(0));
}

LoadFigure figureOf(const UpstreamLoad &load, TimePoint now)
{
    LoadFigure figure;
    figure.outstanding = load.outstanding;
    figure.meanOutstanding = load.meanOutstanding;
    figure.age = load.figureAge;
    figure.sentSince = load.sentSinceReport;
    figure.pending = load.pending;
    figure.parallel = parallelStatements(load);
    figure.serviceTime = currentServiceTime(load, now);
    figure.reachTime = reachTime(load);
    figure.cost = load.primary ? kPrimaryCostFactor : 1;
    return figure;
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
    return estimatedAnswerTime(figureOf(load, now));
}

std::optional<Duration> forwardedTimeLimit(Duration timeLeft, bool mustBeKnown)
{
    if (mustBeKnown && timeLeft <= kMaxAnswerMargin)
        return std::nullopt;
    return timeLeft - std::min(kMaxAnswerMargin, timeLeft / 2);
}

std::string_view leftOutName(LeftOut reason)
{
    constexpr std::array<std::string_view, static_cast<std::size_t>(LeftOut::Count)> kNames {
        "no",          "not_live",      "unreachable",    "no_connections",
        "not_primary", "already_tried", "recent_refusal",
    };
    return kNames.at(static_cast<std::size_t>(reason));
}

std::vector<PlacementCandidate> weighUpstreams(std::span<const UpstreamLoad> loads,
                                               bool allowReplicas,
                                               const std::set<UpstreamId> &excluded, TimePoint now)
{
    std::vector<PlacementCandidate> candidates;
    bool anyWithoutRefusal = false;
    for (const UpstreamLoad &load : loads) {
        const LeftOut reason = reasonToLeaveOut(load, allowReplicas, excluded);
        candidates.push_back({ load.id, reason, figureOf(load, now), 0 });
        anyWithoutRefusal = anyWithoutRefusal || (reason == LeftOut::No && now >= load.avoidUntil);
    }
    std::vector<LoadFigure> figures;
    for (std::size_t i = 0; i < candidates.size(); ++i) {
        PlacementCandidate &candidate = candidates[i];
        if (candidate.leftOut == LeftOut::No && anyWithoutRefusal && now < loads[i].avoidUntil)
            candidate.leftOut = LeftOut::RecentRefusal;
        if (candidate.leftOut == LeftOut::No)
            figures.push_back(candidate.figure);
    }
    if (figures.empty())
        return candidates;
    const std::vector<double> shares = evenShares(figures);
    auto share = shares.begin();
    for (PlacementCandidate &candidate : candidates) {
        if (candidate.leftOut == LeftOut::No)
            candidate.share = *share++;
    }
    return candidates;
}

const PlacementCandidate *drawCandidate(std::span<const PlacementCandidate> candidates,
                                        double chance)
{
    std::vector<double> shares;
    for (const PlacementCandidate &candidate : candidates)
        shares.push_back(candidate.share);
    if (std::none_of(shares.begin(), shares.end(), [](double share) { return share > 0; }))
        return nullptr;
    return &candidates[drawShare(shares, chance)];
}

std::optional<double> unevenness(std::span<const PlacementCandidate> candidates)
{
    double count = 0;
    double outstanding = 0;
    double sum = 0;
    double fullest = 0;
    for (const PlacementCandidate &candidate : candidates) {
        if (candidate.leftOut != LeftOut::No)
            continue;
        const double estimated = estimatedOutstanding(candidate.figure);
        const double perSlot = estimated / candidate.figure.parallel;
        ++count;
        outstanding += estimated;
        sum += perSlot;
        fullest = std::max(fullest, perSlot);
    }
    if (count < 2 || outstanding < count)
        return std::nullopt;
    return fullest * count / sum;
}

} // namespace shallotlever
