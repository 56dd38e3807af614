#include "shallotlever/fleet/registry.h"

#include <algorithm>

namespace shallotlever {

namespace {

bool sameForNodes(const Announcement &a, const Announcement &b)
{
    return a.service == b.service && a.dataCentre == b.dataCentre && a.endpoint == b.endpoint
        && a.slots == b.slots && a.connectionLimit == b.connectionLimit && a.lifetime == b.lifetime;
}

bool leaseRunning(const RegistryEntry &entry, TimePoint now)
{
    return now < entry.heardAt + kAnnouncementLease;
}

bool counts(const Observer &observer, TimePoint now)
{
    return observer.complete && now < observer.sentAt + kObservationLifetime;
}

/// Observers of one upstream whose votes are recent.
struct Tally
{
    std::size_t observers = 0;
    std::size_t failing = 0;
};

template <typename Filter>
Tally tally(const Registry &registry, const UpstreamId &upstream, TimePoint now, Filter leftOut)
{
    Tally result;
    const auto nodes = registry.observedBy.find(upstream);
    if (nodes == registry.observedBy.end())
        return result;
    for (const NodeId &node : nodes->second) {
        const Observer &observer = registry.observers.at(node);
        if (!counts(observer, now) || leftOut(node))
            continue;
        ++result.observers;
        result.failing += observer.reaches.at(upstream) ? 0 : 1;
    }
    return result;
}

Tally tally(const Registry &registry, const UpstreamId &upstream, TimePoint now)
{
    return tally(registry, upstream, now, [](const NodeId &) { return false; });
}

/// Nodes that fail mostly on upstreams that most of the other observers reach.
std::set<NodeId> nodesWithBrokenLinks(const Registry &registry, TimePoint now)
{
    struct Fails
    {
        std::size_t all = 0;
        std::size_t alone = 0;
    };
    std::map<NodeId, Fails> fails;
    for (const auto &[upstream, nodes] : registry.failedBy) {
        const Tally votes = tally(registry, upstream, now);
        const std::size_t reaching = votes.observers - votes.failing;
        for (const NodeId &node : nodes) {
            Fails &count = fails[node];
            ++count.all;
            // The node itself is among the failing ones, so the others are observers - 1.
            count.alone +=
                reaching * 2 > votes.observers - std::min<std::size_t>(votes.observers, 1) ? 1 : 0;
        }
    }
    std::set<NodeId> broken;
    for (const auto &[node, count] : fails) {
        if (count.alone * 2 > count.all)
            broken.insert(node);
    }
    return broken;
}

bool isDown(const Registry &registry, const UpstreamId &upstream, const std::set<NodeId> &broken,
            TimePoint now)
{
    if (!registry.failedBy.contains(upstream))
        return false;
    const Tally all = tally(registry, upstream, now);
    const Tally trusted = tally(registry, upstream, now,
                                [&broken](const NodeId &node) { return broken.contains(node); });
    if (all.observers == 1)
        return all.failing == 1;
    return trusted.failing >= 2 && trusted.failing >= majorityOf(trusted.observers);
}

bool reachedByMost(const Registry &registry, const UpstreamId &upstream, TimePoint now)
{
    const Tally votes = tally(registry, upstream, now);
    return votes.observers - votes.failing >= majorityOf(votes.observers);
}

UpstreamState stateOf(const Registry &registry, const RegistryEntry &entry,
                      const std::set<NodeId> &broken, TimePoint now)
{
    const UpstreamId &id = entry.announcement.upstream;
    if (entry.announcement.leaving || registry.drained.contains(id))
        return UpstreamState::Leaving;
    if (entry.replaced)
        return UpstreamState::Suspected;
    if (isDown(registry, id, broken, now))
        return UpstreamState::Suspected;
    if (leaseRunning(entry, now))
        return UpstreamState::Live;
    const bool inGrace = now < entry.heardAt + kAnnouncementLease + kReachableGrace;
    return inGrace && reachedByMost(registry, id, now) ? UpstreamState::Live
                                                       : UpstreamState::Suspected;
}

void forgetVote(Registry &registry, const NodeId &node, const UpstreamId &upstream)
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
    for (const auto &[upstream, reachable] : observer.reaches)
        forgetVote(registry, node, upstream);
    observer.reaches.clear();
}

void recordVote(Registry &registry, const NodeId &node, Observer &observer, const Observation &o)
{
    forgetVote(registry, node, o.upstream);
    observer.reaches.erase(o.upstream);
    if (o.withdrawn)
        return;
    observer.reaches[o.upstream] = o.reachable;
    registry.observedBy[o.upstream].insert(node);
    if (!o.reachable)
        registry.failedBy[o.upstream].insert(node);
}

/// Returns false if the differences do not connect with what is held.
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
    // Kept beyond their votes' lifetime so that a short silence needs no complete report.
    constexpr Duration kObserverKept = 30s;
    for (auto item = registry.observers.begin(); item != registry.observers.end();) {
        if (now < item->second.sentAt + kObserverKept) {
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
    entry.heardAt = now;
    entry.stateSince = now;
    entry.state = info.state;
    entry.seeded = true;
    return entry;
}

/// Whether the announcement belongs to a process that has ended, or was overtaken by a later one
/// of the same process.
bool isOvertaken(const Registry &registry, const Announcement &announcement)
{
    const auto ended = registry.ended.find(announcement.upstream);
    if (ended != registry.ended.end() && announcement.lifetime <= ended->second)
        return true;
    const auto known = registry.entries.find(announcement.upstream);
    if (known == registry.entries.end() || announcement.lifetime == Incarnation())
        return false;
    const Announcement &last = known->second.announcement;
    if (known->second.replaced && announcement.lifetime <= last.lifetime)
        return true;
    if (announcement.lifetime != last.lifetime)
        return announcement.lifetime < last.lifetime;
    return announcement.sequence != 0 && announcement.sequence <= last.sequence;
}

/// Another upstream whose process has the endpoint of the announcement; null if there is none.
RegistryEntry *otherAtEndpoint(Registry &registry, const Announcement &announcement)
{
    for (auto &[id, entry] : registry.entries) {
        if (id != announcement.upstream && !entry.replaced
            && entry.announcement.endpoint == announcement.endpoint)
            return &entry;
    }
    return nullptr;
}

/// An endpoint belongs to the process that started last. False if that is another one than the
/// announced one, whose announcement was held up then.
bool takeEndpoint(Registry &registry, const Announcement &announcement)
{
    RegistryEntry *other = otherAtEndpoint(registry, announcement);
    if (other == nullptr || announcement.lifetime == Incarnation()
        || other->announcement.lifetime == Incarnation())
        return true;
    if (other->announcement.lifetime > announcement.lifetime)
        return false;
    other->replaced = true;
    ++registry.revision;
    return true;
}

std::uint32_t limitOf(const ClusterState &cluster, const Announcement &announcement)
{
    const auto service = cluster.config.services.find(announcement.service);
    const bool configured =
        service != cluster.config.services.end() && service->second.connectionLimit > 0;
    return configured ? service->second.connectionLimit : announcement.connectionLimit;
}

/// The database has ended. Its farewell may lack the lifetime; then it is that of the entry.
AnnouncementVerdict removeUpstream(Registry &registry, const Announcement &farewell)
{
    const auto known = registry.entries.find(farewell.upstream);
    if (known == registry.entries.end())
        return AnnouncementVerdict::Outdated;
    const Incarnation lifetime = known->second.announcement.lifetime;
    const bool unnamed = farewell.lifetime == Incarnation();
    if (unnamed ? !known->second.announcement.leaving : farewell.lifetime < lifetime)
        return AnnouncementVerdict::Outdated;
    registry.ended[farewell.upstream] = std::max(lifetime, farewell.lifetime);
    registry.entries.erase(known);
    ++registry.revision;
    return AnnouncementVerdict::Accepted;
}

} // namespace

Registry seedRegistry(const FleetState &state, TimePoint now)
{
    Registry registry;
    registry.drained = state.drained;
    for (const auto &[service, group] : state.view.groups) {
        for (const auto &[id, info] : group.upstreams) {
            RegistryEntry entry = seededEntry(info, now);
            entry.announcement.leaving =
                info.state == UpstreamState::Leaving && !state.drained.contains(id);
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
    if (isOvertaken(registry, announcement))
        return AnnouncementVerdict::Outdated;
    const auto known = registry.entries.find(announcement.upstream);
    const bool sameEndpoint = known != registry.entries.end()
        && known->second.announcement.endpoint == announcement.endpoint;
    if (!sameEndpoint && !takeEndpoint(registry, announcement))
        return AnnouncementVerdict::Outdated;
    const auto [item, isNew] = registry.entries.try_emplace(announcement.upstream);
    RegistryEntry &entry = item->second;
    if (!isNew && !entry.seeded) {
        const bool sameLifetime = announcement.lifetime == entry.announcement.lifetime;
        if (receivedAt < entry.heardAt && sameLifetime && announcement.sequence == 0)
            return AnnouncementVerdict::Outdated;
        const bool held =
            sameLifetime && leaseRunning(entry, now) && entry.state == UpstreamState::Live;
        if (held && entry.announcement.endpoint != announcement.endpoint)
            return AnnouncementVerdict::Conflict;
    }
    if (isNew || !sameForNodes(entry.announcement, announcement))
        ++registry.revision;
    if (isNew)
        entry.stateSince = now;
    entry.announcement = announcement;
    entry.heardAt = std::max(entry.heardAt, receivedAt);
    entry.seeded = false;
    entry.replaced = false;
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
        if (now >= entry.heardAt + kForgetUpstreamAfter) {
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
        // Where databases confirm commits themselves, nothing else stops a former primary that
        // still answers: nodes have to let go of it before another one is promoted.
        if (!service.confirmsCommits || group->second.reservedTerm == group->second.term)
            view.primary = group->second.primary;
        view.votingSet = group->second.votingSet;
    }
    for (const auto &[id, entry] : registry.entries) {
        if (entry.replaced)
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
                                        .connectionLimit = limitOf(cluster, a),
                                        .state = entry.state,
                                        .lifetime = a.lifetime };
    }
    return state;
}

} // namespace shallotlever
