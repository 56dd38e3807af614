#include "shallotlever/policy/replica_choice.h"

#include <algorithm>

namespace shallotlever {
namespace {

constexpr Duration kMaxHistoryAge = 10min;
/// Bounds the memory of a history if the primary is polled very often.
constexpr std::size_t kMaxObservations = 8192;
/// Minimum wait for a replica: upstreams are not polled more often.
constexpr Duration kMinCatchUpWait = 500us;
/// A primary with at least this fraction of its slots in use is avoided if a replica is expected to
/// catch up in time.
constexpr double kBusyPrimaryUtilisation = 0.5;

const UpstreamInfo *eligibleUpstream(const ReadContext &context,
                                     const ReadRequirements &requirements, const UpstreamId &id)
{
    const auto it = context.group->upstreams.find(id);
    if (it == context.group->upstreams.end() || it->second.state != UpstreamState::Live)
        return nullptr;
    if (std::find(requirements.exclude.begin(), requirements.exclude.end(), id)
        != requirements.exclude.end())
        return nullptr;
    return &it->second;
}

bool isPrimary(const ReadContext &context, const UpstreamId &id)
{
    return context.group->primary == id;
}

bool isFreshEnough(const ReadContext &context, const ReadRequirements &requirements,
                   const UpstreamObservation &o, const std::optional<Duration> &staleness)
{
    if (!o.point)
        return false;
    // A database at another term may hold writes that were never acknowledged. Without a token only
    // the current term is admitted; with one, holdsHistory() decides.
    if (requirements.token ? !holdsHistory(*o.point, *requirements.token)
                           : o.point->term != context.group->term)
        return false;
    return !requirements.maxStaleness || (staleness && *staleness <= *requirements.maxStaleness);
}

std::optional<Duration> stalenessOf(const ReadContext &context, const UpstreamObservation &o,
                                    TimePoint now)
{
    if (!o.point || context.primaryHistory == nullptr)
        return std::nullopt;
    return stalenessBound(*context.primaryHistory, *o.point, now);
}

Distance distanceOf(const ReadContext &context, const UpstreamInfo &info)
{
    static const RegionMap kNoRegions;
    return distanceBetween(context.ownDataCentre, info.dataCentre,
                           context.regions == nullptr ? kNoRegions : *context.regions);
}

std::vector<ReadCandidate> freshReplicas(const ReadContext &context,
                                         const ReadRequirements &requirements, TimePoint now)
{
    std::vector<ReadCandidate> result;
    for (const UpstreamObservation &o : context.observations) {
        const UpstreamInfo *info = eligibleUpstream(context, requirements, o.id);
        if (info == nullptr || !o.healthy || isPrimary(context, o.id))
            continue;
        const auto staleness = stalenessOf(context, o, now);
        if (isFreshEnough(context, requirements, o, staleness))
            result.push_back({ &o, distanceOf(context, *info), staleness });
    }
    return result;
}

const UpstreamObservation *usablePrimary(const ReadContext &context,
                                         const ReadRequirements &requirements)
{
    for (const UpstreamObservation &o : context.observations) {
        if (isPrimary(context, o.id) && o.healthy
            && eligibleUpstream(context, requirements, o.id) != nullptr)
            return &o;
    }
    return nullptr;
}

/// Expected time until the replica reaches the token, from its recent apply rate.
std::optional<Duration> expectedCatchUp(const UpstreamObservation &o, const HistoryPoint &token,
                                        TimePoint now)
{
    if (!o.point || o.point->term != token.term || o.applyRate <= 0)
        return std::nullopt;
    const double elapsed = std::chrono::duration<double>(now - o.pointRequestedAt).count();
    const double missing = static_cast<double>(token.position.value())
        - static_cast<double>(o.point->position.value());
    const double seconds = std::max(0.0, missing / o.applyRate - elapsed);
    return Duration(static_cast<std::int64_t>(std::min(seconds, 3600.0) * 1e6));
}

/// Shortest expected wait for a replica to catch up, if waiting is permitted and better than using
/// the primary.
std::optional<Duration> usefulCatchUpWait(const ReadContext &context,
                                          const ReadRequirements &requirements,
                                          const UpstreamObservation *primary, TimePoint now)
{
    const Duration remaining = requirements.catchUpWait - requirements.waited;
    if (!requirements.token || remaining < kMinCatchUpWait)
        return std::nullopt;
    std::optional<Duration> best;
    Duration replicaLatency { 0 };
    for (const UpstreamObservation &o : context.observations) {
        if (!o.healthy || isPrimary(context, o.id)
            || eligibleUpstream(context, requirements, o.id) == nullptr)
            continue;
        const auto wait = expectedCatchUp(o, *requirements.token, now);
        if (wait && *wait <= remaining && (!best || *wait < *best)) {
            best = std::max(*wait, kMinCatchUpWait);
            replicaLatency = o.latency;
        }
    }
    if (!best || primary == nullptr)
        return best;
    const bool busy = primary->inFlight >= kBusyPrimaryUtilisation * std::max(1U, primary->slots);
    return busy || *best + replicaLatency < primary->latency ? best : std::nullopt;
}

/// The upstream with the newest data, preferring healthy ones.
const UpstreamObservation *newestUpstream(const ReadContext &context,
                                          const ReadRequirements &requirements)
{
    const UpstreamObservation *best = nullptr;
    const auto newer = [](const UpstreamObservation &a, const UpstreamObservation &b) {
        return a.healthy != b.healthy ? a.healthy : a.point > b.point;
    };
    for (const UpstreamObservation &o : context.observations) {
        if (eligibleUpstream(context, requirements, o.id) != nullptr
            && (best == nullptr || newer(o, *best)))
            best = &o;
    }
    return best;
}

ReadChoice chooseDegraded(const ReadContext &context, const ReadRequirements &requirements,
                          TimePoint now)
{
    ReadChoice choice;
    const UpstreamObservation *newest = newestUpstream(context, requirements);
    if (newest == nullptr)
        return choice;
    choice.kind = isPrimary(context, newest->id) ? ReadChoice::Kind::UsePrimary
                                                 : ReadChoice::Kind::UseReplica;
    choice.upstream = newest->id;
    choice.staleness = stalenessOf(context, *newest, now);
    choice.degraded = true;
    return choice;
}

bool anyUsable(const ReadContext &context)
{
    return std::any_of(
        context.observations.begin(), context.observations.end(),
        [&](const auto &o) { return o.healthy && eligibleUpstream(context, {}, o.id) != nullptr; });
}

} // namespace

void recordPrimaryObservation(PrimaryHistory &history, const PrimaryObservation &observation)
{
    auto &list = history.observations;
    if (!list.empty() && observation.point.term > list.back().point.term)
        list.clear();
    if (!list.empty()) {
        if (observation.point < list.back().point || observation.sentAt <= list.back().sentAt)
            return;
        // A later observation of the same position gives a tighter bound.
        if (observation.point == list.back().point) {
            list.back().sentAt = observation.sentAt;
            return;
        }
    }
    list.push_back(observation);
    while (list.front().sentAt + kMaxHistoryAge < observation.sentAt
           || list.size() > kMaxObservations)
        list.pop_front();
}

std::optional<Duration> stalenessBound(const PrimaryHistory &history, const HistoryPoint &point,
                                       TimePoint now)
{
    if (history.useAverageLag)
        return Duration(static_cast<std::int64_t>(history.averageLagUs));
    const auto &list = history.observations;
    if (list.empty() || list.back().point.term != point.term)
        return std::nullopt;
    const auto firstNewer = std::upper_bound(
        list.begin(), list.end(), point,
        [](const HistoryPoint &p, const PrimaryObservation &o) { return p < o.point; });
    if (firstNewer == list.begin())
        return std::nullopt;
    return std::max(Duration(0), now - std::prev(firstNewer)->sentAt);
}

Distance distanceBetween(const DataCentreId &a, const DataCentreId &b, const RegionMap &regions)
{
    if (a == b)
        return Distance::SameDataCentre;
    const auto regionOfA = regions.find(a);
    const auto regionOfB = regions.find(b);
    const bool same = regionOfA != regions.end() && regionOfB != regions.end()
        && regionOfA->second == regionOfB->second;
    return same ? Distance::SameRegion : Distance::Other;
}

ReadChoice chooseUpstream(const ReadContext &context, const ReadRequirements &requirements,
                          TimePoint now, Random &random, ReplicaPicker picker)
{
    ReadChoice choice;
    const std::vector<ReadCandidate> fresh = freshReplicas(context, requirements, now);
    const UpstreamObservation *primary = usablePrimary(context, requirements);
    if (!fresh.empty()) {
        const ReadCandidate &picked = fresh[picker(fresh, context.readsPerSecond, random)];
        choice.kind = ReadChoice::Kind::UseReplica;
        choice.upstream = picked.observation->id;
        choice.staleness = picked.staleness;
    } else if (const auto wait = usefulCatchUpWait(context, requirements, primary, now)) {
        choice.kind = ReadChoice::Kind::Wait;
        choice.wait = *wait;
    } else if (primary != nullptr) {
        choice.kind = ReadChoice::Kind::UsePrimary;
        choice.upstream = primary->id;
        choice.staleness = Duration(0);
    } else if (requirements.openRoute) {
        choice = chooseDegraded(context, requirements, now);
    }
    choice.anyUsable = anyUsable(context);
    return choice;
}

} // namespace shallotlever
