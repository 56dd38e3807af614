#include "shallotlever/fleet/registry.h"

#include <algorithm>
#include <utility>

#include "shallotlever/fleet/endpoint_claim.h"

namespace shallotlever {

namespace {

bool sameUpstreamInfo(const Announcement &a, const Announcement &b)
{
    return a.service == b.service && a.dataCentre == b.dataCentre && a.endpoint == b.endpoint
        && a.slots == b.slots && a.connectionLimit == b.connectionLimit && a.lifetime == b.lifetime;
}

bool isLeaseActive(const RegistryEntry &entry, TimePoint now)
{
    return now < entry.receivedAt + kAnnouncementLease;
}

bool hasCurrentVotes(const Observer &observer, TimePoint now)
{
    return observer.complete && now < observer.sentAt + kObservationLifetime;
}

/// Number of observers of one upstream whose observations are current.
struct VoteCount
{
    std::size_t observers = 0;
    std::size_t failing = 0;
};

template <typename Filter>
VoteCount countVotes(const Registry &registry, const UpstreamId &upstream, TimePoint now,
                     Filter isExcluded)
{
    VoteCount result;
    const auto nodes = registry.observedBy.find(upstream);
    if (nodes == registry.observedBy.end())
        return result;
    for (const NodeId &node : nodes->second) {
        const Observer &observer = registry.observers.at(node);
        if (!hasCurrentVotes(observer, now) || isExcluded(node))
            continue;
        ++result.observers;
        result.failing += observer.reachability.at(upstream) ? 0 : 1;
    }
    return result;
}

VoteCount countVotes(const Registry &registry, const UpstreamId &upstream, TimePoint now)
{
    return countVotes(registry, upstream, now, [](const NodeId &) { return false; });
}

/// Nodes most of whose unreachable upstreams are reached by most of the other observers.
std::set<NodeId> nodesWithBrokenLinks(const Registry &registry, TimePoint now)
{
    struct Failures
    {
        std::size_t all = 0;
        std::size_t reachedByOthers = 0;
    };
    std::map<NodeId, Failures> fails;
    for (const auto &[upstream, nodes] : registry.failedBy) {
        const VoteCount votes = countVotes(registry, upstream, now);
        const std::size_t reaching = votes.observers - votes.failing;
        for (const NodeId &node : nodes) {
            Failures &count = fails[node];
            ++count.all;
            // The node itself is one of the failing observers, so there are observers - 1 others.
            count.reachedByOthers +=
                reaching * 2 > votes.observers - std::min<std::size_t>(votes.observers, 1) ? 1 : 0;
        }
    }
    std::set<NodeId> broken;
    for (const auto &[node, count] : fails) {
        if (count.reachedByOthers * 2 > count.all)
            broken.insert(node);
    }
    return broken;
}

bool isDown(const Registry &registry, const UpstreamId &upstream, const std::set<NodeId> &broken,
            TimePoint now)
{
    if (!registry.failedBy.contains(upstream))
        return false;
    const VoteCount all = countVotes(registry, upstream, now);
    const VoteCount trusted = countVotes(
        registry, upstream, now, [&broken](const NodeId &node) { return broken.contains(node); });
    if (all.observers == 1)
        return all.failing == 1;
    return trusted.failing >= 2 && trusted.failing >= majorityOf(trusted.observers);
}

bool reachedByMost(const Registry &registry, const UpstreamId &upstream, TimePoint now)
{
    const VoteCount votes = countVotes(registry, upstream, now);
    return votes.observers - votes.failing >= majorityOf(votes.observers);
}

UpstreamState stateOf(const Registry &registry, const RegistryEntry &entry,
                      const std::set<NodeId> &broken, TimePoint now)
{
    const UpstreamId &id = entry.announcement.upstream;
    if (entry.announcement.leaving || registry.drained.contains(id)
        || registry.evacuated.contains(entry.announcement.dataCentre))
        return UpstreamState::Leaving;
    if (entry.hold == EndpointHold::Lost)
        return UpstreamState::Suspected;
    if (isDown(registry, id, broken, now))
        return UpstreamState::Suspected;
    if (isLeaseActive(entry, now))
        return UpstreamState::Live;
    const bool inGrace = now < entry.receivedAt + kAnnouncementLease + kReachableGrace;
    return inGrace && reachedByMost(registry, id, now) ? UpstreamState::Live
                                                       : UpstreamState::Suspected;
}

void removeVote(Registry &registry, const NodeId &node, const UpstreamId &upstream)
{
    for (auto *index : { &registry.observedBy, &registry.failedBy }) {
        const auto nodes = index->find(upstream);
        if (nodes == index->end())
            continue;
        nodes->second.erase(node);
        if (nodes->second.empty())
            index->erase(nodes);
    }
}

void clearVotes(Registry &registry, const NodeId &node, Observer &observer)
{
    for (const auto &[upstream, reachable] : observer.reachability)
        removeVote(registry, node, upstream);
    observer.reachability.clear();
}

void recordVote(Registry &registry, const NodeId &node, Observer &observer, const Observation &o)
{
    removeVote(registry, node, o.upstream);
    observer.reachability.erase(o.upstream);
    if (o.withdrawn)
        return;
    observer.reachability[o.upstream] = o.reachable;
    registry.observedBy[o.upstream].insert(node);
    if (!o.reachable)
        registry.failedBy[o.upstream].insert(node);
}

/// Returns false if reports are missing between the applied observations and these differences.
bool applyObservations(Registry &registry, const NodeReport &report, TimePoint sentAt)
{
    Observer &observer = registry.observers[report.node];
    const bool restarted = observer.incarnation != report.incarnation;
    if (restarted || report.observationsBase == 0) {
        clearVotes(registry, report.node, observer);
        observer.complete = report.observationsBase == 0;
    } else if (report.observationsBase > observer.report) {
        observer.complete = false;
    }
    observer.incarnation = report.incarnation;
    observer.report = report.number;
    observer.sentAt = sentAt;
    if (!observer.complete)
        return false;
    for (const Observation &observation : report.observations)
        recordVote(registry, report.node, observer, observation);
    return true;
}

bool isOutOfOrder(const Registry &registry, const NodeReport &report)
{
    const auto observer = registry.observers.find(report.node);
    return observer != registry.observers.end()
        && observer->second.incarnation == report.incarnation
        && report.number <= observer->second.report;
}

void dropSilentObservers(Registry &registry, TimePoint now)
{
    // Longer than kObservationLifetime, so that a node that resumes after a short gap need not send
    // all observations again.
    constexpr Duration kObserverRetention = 30s;
    for (auto item = registry.observers.begin(); item != registry.observers.end();) {
        if (now < item->second.sentAt + kObserverRetention) {
            ++item;
            continue;
        }
        clearVotes(registry, item->first, item->second);
        item = registry.observers.erase(item);
    }
}

RegistryEntry seededEntry(const UpstreamInfo &info, TimePoint now)
{
    RegistryEntry entry;
    entry.announcement.upstream = info.id;
    entry.announcement.service = info.service;
    entry.announcement.dataCentre = info.dataCentre;
    entry.announcement.endpoint = info.endpoint;
    entry.announcement.slots = info.slots;
    entry.announcement.lifetime = info.lifetime;
    entry.announcement.connectionLimit = info.connectionLimit;
    entry.receivedAt = now;
    entry.stateSince = now;
    entry.state = info.state;
    entry.seeded = true;
    return entry;
}

/// Returns whether the announcement belongs to a process that has ended, or is older than the last
/// one received from the same process.
bool isSuperseded(const Registry &registry, const Announcement &announcement)
{
    const auto ended = registry.endedLifetimes.find(announcement.upstream);
    if (ended != registry.endedLifetimes.end() && announcement.lifetime <= ended->second)
        return true;
    const auto known = registry.entries.find(announcement.upstream);
    if (known == registry.entries.end())
        return false;
    const Announcement &last = known->second.announcement;
    // A process that has reported its lifetime always does, so this is another sender.
    if (announcement.lifetime == Incarnation())
        return last.lifetime != Incarnation();
    if (known->second.hold != EndpointHold::Held && announcement.lifetime <= last.lifetime)
        return true;
    if (announcement.lifetime != last.lifetime)
        return announcement.lifetime < last.lifetime;
    return announcement.sequence != 0 && announcement.sequence <= last.sequence;
}

void noteIgnored(Registry &registry, const Announcement &announcement)
{
    if (registry.ignored.size() < kMaxIgnoredUpstreams
        && registry.ignored.insert(announcement.upstream).second)
        registry.events.push_back({ RegistryEvent::Kind::UnknownService,
                                    { announcement.upstream, announcement.lifetime },
                                    {} });
}

std::uint32_t effectiveConnectionLimit(const ClusterState &cluster,
                                       const Announcement &announcement)
{
    const auto service = cluster.config.services.find(announcement.service);
    const bool configured =
        service != cluster.config.services.end() && service->second.connectionLimit > 0;
    return configured ? service->second.connectionLimit : announcement.connectionLimit;
}

/// Applies the final announcement of a database. If it has no lifetime, it applies to the lifetime
/// of the entry, but only if the upstream was leaving, as the announcement may be delayed.
AnnouncementVerdict removeUpstream(Registry &registry, const Announcement &finalAnnouncement)
{
    const auto known = registry.entries.find(finalAnnouncement.upstream);
    if (known == registry.entries.end())
        return AnnouncementVerdict::Outdated;
    const Incarnation lifetime = known->second.announcement.lifetime;
    const bool hasNoLifetime = finalAnnouncement.lifetime == Incarnation();
    if (hasNoLifetime ? !known->second.announcement.leaving : finalAnnouncement.lifetime < lifetime)
        return AnnouncementVerdict::Outdated;
    registry.endedLifetimes[finalAnnouncement.upstream] =
        std::max(lifetime, finalAnnouncement.lifetime);
    registry.entries.erase(known);
    ++registry.revision;
    return AnnouncementVerdict::Accepted;
}

} // namespace

Registry seedRegistry(const FleetState &state, const std::set<DataCentreId> &evacuated,
                      TimePoint now)
{
    Registry registry;
    registry.drained = state.drained;
    registry.evacuated = evacuated;
    for (const auto &[service, group] : state.view.groups) {
        for (const auto &[id, info] : group.upstreams) {
            RegistryEntry entry = seededEntry(info, now);
            entry.announcement.leaving = info.state == UpstreamState::Leaving
                && !state.drained.contains(id) && !registry.evacuated.contains(info.dataCentre);
            registry.entries.emplace(id, std::move(entry));
        }
    }
    return registry;
}

AnnouncementVerdict applyAnnouncement(Registry &registry, const HeardAnnouncement &heard,
                                      TimePoint receivedAt, TimePoint now)
{
    const Announcement &announcement = heard.announcement;
    if (announcement.gone)
        return removeUpstream(registry, announcement);
    if (!registry.services.contains(announcement.service)) {
        noteIgnored(registry, announcement);
        return AnnouncementVerdict::UnknownService;
    }
    if (isSuperseded(registry, announcement))
        return AnnouncementVerdict::Outdated;
    const auto known = registry.entries.find(announcement.upstream);
    const bool holdsEndpoint = known != registry.entries.end()
        && known->second.announcement.endpoint == announcement.endpoint
        && known->second.hold == EndpointHold::Held;
    if (!holdsEndpoint && !claimEndpoint(registry, announcement, now))
        return AnnouncementVerdict::Outdated;
    const auto [item, isNew] = registry.entries.try_emplace(announcement.upstream);
    RegistryEntry &entry = item->second;
    if (!isNew && !entry.seeded) {
        const bool sameLifetime = announcement.lifetime == entry.announcement.lifetime;
        if (receivedAt < entry.receivedAt && sameLifetime && announcement.sequence == 0)
            return AnnouncementVerdict::Outdated;
        const bool held =
            sameLifetime && isLeaseActive(entry, now) && entry.state == UpstreamState::Live;
        if (held && entry.announcement.endpoint != announcement.endpoint)
            return AnnouncementVerdict::Conflict;
    }
    if (isNew || !sameUpstreamInfo(entry.announcement, announcement))
        ++registry.revision;
    if (isNew)
        entry.stateSince = now;
    entry.announcement = announcement;
    entry.receivedAt = std::max(entry.receivedAt, receivedAt);
    entry.seeded = false;
    entry.hold = EndpointHold::Held;
    return AnnouncementVerdict::Accepted;
}

ReportResult applyReport(Registry &registry, const NodeReport &report, TimePoint now)
{
    ReportResult result;
    const TimePoint sentAt = now - report.age;
    for (const HeardAnnouncement &heard : report.announcements) {
        const auto verdict = applyAnnouncement(registry, heard, sentAt - heard.age, now);
        if (verdict != AnnouncementVerdict::Conflict)
            continue;
        const UpstreamId &id = heard.announcement.upstream;
        result.conflicts.push_back({ .upstream = id,
                                     .holder = registry.entries.at(id).announcement.endpoint,
                                     .refused = heard.announcement.endpoint });
    }
    if (!isOutOfOrder(registry, report))
        result.wantsAllObservations = !applyObservations(registry, report, sentAt);
    return result;
}

void setDrained(Registry &registry, const UpstreamId &upstream, bool drained)
{
    const bool changed =
        drained ? registry.drained.insert(upstream).second : registry.drained.erase(upstream) > 0;
    registry.revision += changed ? 1 : 0;
}

void setServices(Registry &registry, const ClusterConfig &config)
{
    const auto isKnown = [](const auto &service, const ServiceId &known) {
        return service.first == known;
    };
    if (std::equal(config.services.begin(), config.services.end(), registry.services.begin(),
                   registry.services.end(), isKnown))
        return;
    registry.services.clear();
    for (const auto &[id, service] : config.services)
        registry.services.insert(id);
    registry.ignored.clear();
}

void setEvacuated(Registry &registry, std::set<DataCentreId> evacuated)
{
    if (evacuated == registry.evacuated)
        return;
    registry.evacuated = std::move(evacuated);
    ++registry.revision;
}

bool observedDown(const Registry &registry, const UpstreamId &upstream, TimePoint now)
{
    return isDown(registry, upstream, nodesWithBrokenLinks(registry, now), now);
}

std::vector<StateChange> advanceRegistry(Registry &registry, TimePoint now)
{
    std::vector<StateChange> changes;
    dropSilentObservers(registry, now);
    const std::set<NodeId> broken = nodesWithBrokenLinks(registry, now);
    for (auto item = registry.entries.begin(); item != registry.entries.end();) {
        RegistryEntry &entry = item->second;
        if (now >= entry.receivedAt + kUpstreamRemovalTimeout) {
            changes.push_back(
                { .upstream = item->first, .before = entry.state, .after = std::nullopt });
            item = registry.entries.erase(item);
            continue;
        }
        const UpstreamState state = stateOf(registry, entry, broken, now);
        if (state != entry.state) {
            changes.push_back({ .upstream = item->first, .before = entry.state, .after = state });
            entry.state = state;
            entry.stateSince = now;
        }
        ++item;
    }
    pruneContests(registry);
    registry.revision += changes.empty() ? 0 : 1;
    return changes;
}

FleetState makeFleetState(const Registry &registry, const ClusterState &cluster)
{
    FleetState state;
    state.drained = registry.drained;
    for (const auto &[id, service] : cluster.config.services) {
        GroupView &view = state.view.groups[id];
        view.service = id;
        const auto group = cluster.groups.find(id);
        if (group == cluster.groups.end())
            continue;
        view.term = group->second.term;
        // If the databases confirm commits themselves, a former primary that is still reachable
        // would continue to serve: nodes have to stop using it before another database is promoted.
        if (!service.confirmsCommits || group->second.reservedTerm == group->second.term)
            view.primary = group->second.primary;
        view.votingSet = group->second.votingSet;
    }
    for (const auto &[id, entry] : registry.entries) {
        if (entry.hold != EndpointHold::Held)
            continue;
        const Announcement &a = entry.announcement;
        const auto group = state.view.groups.find(a.service);
        if (group == state.view.groups.end())
            continue;
        group->second.upstreams[id] = { .id = id,
                                        .service = a.service,
                                        .dataCentre = a.dataCentre,
                                        .endpoint = a.endpoint,
                                        .slots = a.slots,
                                        .connectionLimit = effectiveConnectionLimit(cluster, a),
                                        .state = entry.state,
                                        .lifetime = a.lifetime,
                                        .poolOwners = {} };
    }
    return state;
}

} // namespace shallotlever
