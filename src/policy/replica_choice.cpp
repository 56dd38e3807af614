#include "shallotlever/policy/replica_choice.h"

#include <algorithm>

namespace shallotlever {
namespace {

constexpr Duration kHistoryAge = 10min;
/// Bounds the memory of a history when the primary is asked very often.
constexpr std::size_t kMaxObservations = 8192;
/// Shortest useful wait for a replica: status rounds are not more frequent.
constexpr Duration kMinCatchUpWait = 500us;
/// A primary with at least this share of its slots in use is spared by waiting for a replica.
constexpr double kBusyPrimary = 0.5;

const UpstreamInfo *liveInfo(const ReadSituation &s, const ReadNeed &need, const UpstreamId &id)
{
    const auto it = s.group->upstreams.find(id);
    if (it == s.group->upstreams.end() || it->second.state != UpstreamState::Live)
        return nullptr;
    if (std::find(need.exclude.begin(), need.exclude.end(), id) != need.exclude.end())
        return nullptr;
    return &it->second;
}

bool isPrimary(const ReadSituation &s, const UpstreamId &id)
{
    return s.group->primary == id;
}

bool freshEnough(const ReadSituation &s, const ReadNeed &need, const UpstreamObservation &o,
                 const std::optional<Duration> &staleness)
{
    if (!o.point)
        return false;
    // A database of another term may hold writes that were never acknowledged; only the token's
    // own rule admits it.
    if (need.token ? !holdsHistory(*o.point, *need.token) : o.point->term != s.group->term)
        return false;
    return !need.maxStaleness || (staleness && *staleness <= *need.maxStaleness);
}

std::optional<Duration> stalenessOf(const ReadSituation &s, const UpstreamObservation &o,
                                    TimePoint now)
{
    if (!o.point || s.primaryHistory == nullptr)
        return std::nullopt;
    return stalenessBound(*s.primaryHistory, *o.point, now);
}

Distance distanceOf(const ReadSituation &s, const UpstreamInfo &info)
{
    static const RegionMap kNoRegions;
    return distanceBetween(s.ownDataCentre, info.dataCentre,
                           s.regions == nullptr ? kNoRegions : *s.regions);
}

std::vector<ReadCandidate> freshReplicas(const ReadSituation &s, const ReadNeed &need,
                                         TimePoint now)
{
    std::vector<ReadCandidate> result;
    for (const UpstreamObservation &o : s.observations) {
        const UpstreamInfo *info = liveInfo(s, need, o.id);
        if (info == nullptr || !o.healthy || isPrimary(s, o.id))
            continue;
        const auto staleness = stalenessOf(s, o, now);
        if (freshEnough(s, need, o, staleness))
            result.push_back({ &o, distanceOf(s, *info), staleness });
    }
    return result;
}

const UpstreamObservation *usablePrimary(const ReadSituation &s, const ReadNeed &need)
{
    for (const UpstreamObservation &o : s.observations) {
        if (isPrimary(s, o.id) && o.healthy && liveInfo(s, need, o.id) != nullptr)
            return &o;
    }
    return nullptr;
}

/// Time until the replica is expected to reach the token, from its recent apply rate.
std::optional<Duration> expectedCatchUp(const UpstreamObservation &o, const HistoryPoint &token,
                                        TimePoint now)
{
    if (!o.point || o.point->term != token.term || o.applyRate <= 0)
        return std::nullopt;
    const double elapsed = std::chrono::duration<double>(now - o.pointAt).count();
    const double missing = static_cast<double>(token.position.value())
        - static_cast<double>(o.point->position.value());
    const double seconds = std::max(0.0, missing / o.applyRate - elapsed);
    return Duration(static_cast<std::int64_t>(std::min(seconds, 3600.0) * 1e6));
}

/// Shortest expected wait for a replica, if waiting is permitted and better than the primary.
std::optional<Duration> worthWaiting(const ReadSituation &s, const ReadNeed &need,
                                     const UpstreamObservation *primary, TimePoint now)
{
    const Duration left = need.catchUpWait - need.waited;
    if (!need.token || left < kMinCatchUpWait)
        return std::nullopt;
    std::optional<Duration> best;
    Duration replicaLatency { 0 };
    for (const UpstreamObservation &o : s.observations) {
        if (!o.healthy || isPrimary(s, o.id) || liveInfo(s, need, o.id) == nullptr)
            continue;
        const auto wait = expectedCatchUp(o, *need.token, now);
        if (wait && *wait <= left && (!best || *wait < *best)) {
            best = std::max(*wait, kMinCatchUpWait);
            replicaLatency = o.latency;
        }
    }
    if (!best || primary == nullptr)
        return best;
    const bool busy = primary->inFlight >= kBusyPrimary * std::max(1U, primary->slots);
    return busy || *best + replicaLatency < primary->latency ? best : std::nullopt;
}

/// The replica with the newest data, of the healthy ones if there are any.
const UpstreamObservation *newestReplica(const ReadSituation &s, const ReadNeed &need)
{
    const UpstreamObservation *best = nullptr;
    const auto newer = [](const UpstreamObservation &a, const UpstreamObservation &b) {
        return a.healthy != b.healthy ? a.healthy : a.point > b.point;
    };
    for (const UpstreamObservation &o : s.observations) {
        if (liveInfo(s, need, o.id) != nullptr && (best == nullptr || newer(o, *best)))
            best = &o;
    }
    return best;
}

ReadChoice degradedChoice(const ReadSituation &s, const ReadNeed &need, TimePoint now)
{
    ReadChoice choice;
    const UpstreamObservation *newest = newestReplica(s, need);
    if (newest == nullptr)
        return choice;
    choice.kind =
        isPrimary(s, newest->id) ? ReadChoice::Kind::UsePrimary : ReadChoice::Kind::UseReplica;
    choice.upstream = newest->id;
    choice.staleness = stalenessOf(s, *newest, now);
    choice.degraded = true;
    return choice;
}

bool anyUsable(const ReadSituation &s)
{
    return std::any_of(s.observations.begin(), s.observations.end(), [&](const auto &o) {
        return o.healthy && liveInfo(s, {}, o.id) != nullptr;
    });
}

} // namespace

void observePrimary(PrimaryHistory &history, const PrimaryObservation &observation)
{
    auto &list = history.observations;
    if (!list.empty() && observation.point.term > list.back().point.term)
        list.clear();
    if (!list.empty()) {
        if (observation.point < list.back().point || observation.at <= list.back().at)
            return;
        // A later observation of the same position gives the better bound.
        if (observation.point == list.back().point) {
            list.back().at = observation.at;
            return;
        }
    }
    list.push_back(observation);
    while (list.front().at + kHistoryAge < observation.at || list.size() > kMaxObservations)
        list.pop_front();
}

std::optional<Duration> stalenessBound(const PrimaryHistory &history, const HistoryPoint &point,
                                       TimePoint now)
{
    if (history.averageStaleness)
        return Duration(static_cast<std::int64_t>(history.averageLagUs));
    const auto &list = history.observations;
    if (list.empty() || list.back().point.term != point.term)
        return std::nullopt;
    const auto past = std::upper_bound(
        list.begin(), list.end(), point,
        [](const HistoryPoint &p, const PrimaryObservation &o) { return p < o.point; });
    if (past == list.begin())
        return std::nullopt;
    return std::max(Duration(0), now - std::prev(past)->at);
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

ReadChoice chooseUpstream(const ReadSituation &situation, const ReadNeed &need, TimePoint now,
                          Random &random, ReplicaPicker picker)
{
    ReadChoice choice;
    const std::vector<ReadCandidate> fresh = freshReplicas(situation, need, now);
    const UpstreamObservation *primary = usablePrimary(situation, need);
    if (!fresh.empty()) {
        const ReadCandidate &picked = fresh[picker(fresh, situation.readsPerSecond, random)];
        choice.kind = ReadChoice::Kind::UseReplica;
        choice.upstream = picked.observation->id;
        choice.staleness = picked.staleness;
    } else if (const auto wait = worthWaiting(situation, need, primary, now)) {
        choice.kind = ReadChoice::Kind::Wait;
        choice.wait = *wait;
    } else if (primary != nullptr) {
        choice.kind = ReadChoice::Kind::UsePrimary;
        choice.upstream = primary->id;
        choice.staleness = Duration(0);
    } else if (need.openRoute) {
        choice = degradedChoice(situation, need, now);
    }
    choice.anyUsable = anyUsable(situation);
    return choice;
}

} // namespace shallotlever
