#include "shallotlever/fleet/distribution.h"

#include <algorithm>
#include <iterator>

namespace shallotlever {

namespace {

/// Upper bounds of the encoded size, excluding strings, of a report or lease and of one element.
constexpr std::size_t kMaxReportBytes = 512;
constexpr std::size_t kMaxElementBytes = 192;

template <typename Log>
void trim(Log &log, std::size_t maxSize)
{
    while (log.size() > maxSize)
        log.pop_front();
}

PutGroup groupMeta(const GroupView &group)
{
    return { .service = group.service,
             .term = group.term,
             .primary = group.primary,
             .votingSet = group.votingSet,
             .switchover = group.switchover };
}

void diffUpstreams(const GroupView &before, const GroupView &after,
                   std::vector<FleetChange> &changes)
{
    for (const auto &[id, info] : after.upstreams) {
        const auto old = before.upstreams.find(id);
        if (old == before.upstreams.end() || old->second != info)
            changes.emplace_back(PutUpstream { info });
    }
    for (const auto &[id, info] : before.upstreams) {
        if (!after.upstreams.contains(id))
            changes.emplace_back(RemoveUpstream { after.service, id });
    }
}

void diffDrained(const std::set<UpstreamId> &before, const std::set<UpstreamId> &after,
                 std::vector<FleetChange> &changes)
{
    for (const UpstreamId &id : after) {
        if (!before.contains(id))
            changes.emplace_back(SetDrained { id, true });
    }
    for (const UpstreamId &id : before) {
        if (!after.contains(id))
            changes.emplace_back(SetDrained { id, false });
    }
}

/// Applies one alternative of FleetChange.
struct ChangeApplier
{
    FleetState &state;

    void operator()(const PutGroup &c) const
    {
        GroupView &group = state.view.groups[c.service];
        group.service = c.service;
        group.term = c.term;
        group.primary = c.primary;
        group.votingSet = c.votingSet;
        group.switchover = c.switchover;
    }
    void operator()(const RemoveGroup &c) const { state.view.groups.erase(c.service); }
    void operator()(const PutUpstream &c) const
    {
        GroupView &group = state.view.groups[c.info.service];
        group.service = c.info.service;
        group.upstreams[c.info.id] = c.info;
    }
    void operator()(const RemoveUpstream &c) const
    {
        const auto group = state.view.groups.find(c.service);
        if (group != state.view.groups.end())
            group->second.upstreams.erase(c.upstream);
    }
    void operator()(const SetDrained &c) const
    {
        if (c.drained)
            state.drained.insert(c.upstream);
        else
            state.drained.erase(c.upstream);
    }
};

void fillCommon(NodeLease &lease, const NodeReport &report, const LeaseSource &source)
{
    lease.controlTerm = source.controlTerm;
    lease.logIndex = source.logIndex;
    lease.config = configUpdateSince(*source.config, report.appliedConfig);
    lease.fleet = fleetUpdateSince(*source.fleet, report.appliedFleet);
}

/// Replaces the waiting report by the later one, except for announcements and differences of
/// observations, which each report carries only once.
void mergeReport(NodeReport &waiting, NodeReport later, Duration between)
{
    std::vector<HeardAnnouncement> announcements = std::move(waiting.announcements);
    for (HeardAnnouncement &heard : announcements)
        heard.age += between;
    std::ranges::move(later.announcements, std::back_inserter(announcements));
    later.announcements = std::move(announcements);
    const bool complete = later.observationsBase == 0;
    if (!complete) {
        std::vector<Observation> observations = std::move(waiting.observations);
        std::ranges::move(later.observations, std::back_inserter(observations));
        later.observations = std::move(observations);
        later.observationsBase = std::min(later.observationsBase, waiting.observationsBase);
    }
    waiting = std::move(later);
}

} // namespace

void resetConfigLog(ConfigLog &log, ConfigVersion version, std::string full)
{
    log.version = version;
    log.full = std::move(full);
    log.changes.clear();
}

void appendConfigChange(ConfigLog &log, std::string change, std::string full)
{
    log.version = log.version.next();
    log.full = std::move(full);
    log.changes.push_back(std::move(change));
    trim(log.changes, kMaxLoggedConfigChanges);
}

ConfigUpdate configUpdateSince(const ConfigLog &log, ConfigVersion applied)
{
    ConfigUpdate update { .from = applied, .to = log.version, .full = {}, .changes = {} };
    if (applied == log.version)
        return update;
    const bool known =
        applied < log.version && log.version.value() - applied.value() <= log.changes.size();
    if (!known) {
        update.full = log.full;
        return update;
    }
    const auto missing = static_cast<std::ptrdiff_t>(log.version.value() - applied.value());
    update.changes.assign(log.changes.end() - missing, log.changes.end());
    return update;
}

std::vector<FleetChange> diffFleet(const FleetState &before, const FleetState &after)
{
    static const GroupView kNoGroup;
    std::vector<FleetChange> changes;
    for (const auto &[service, group] : after.view.groups) {
        const auto old = before.view.groups.find(service);
        const bool isNew = old == before.view.groups.end();
        if (isNew || groupMeta(old->second) != groupMeta(group))
            changes.emplace_back(groupMeta(group));
        diffUpstreams(isNew ? kNoGroup : old->second, group, changes);
    }
    for (const auto &[service, group] : before.view.groups) {
        if (!after.view.groups.contains(service))
            changes.emplace_back(RemoveGroup { service });
    }
    diffDrained(before.drained, after.drained, changes);
    return changes;
}

void applyFleetChange(FleetState &state, const FleetChange &change)
{
    std::visit(ChangeApplier { state }, change);
}

bool publishFleet(FleetLog &log, const FleetState &next, ControlTerm controlTerm)
{
    std::vector<FleetChange> changes = diffFleet(log.state, next);
    if (changes.empty())
        return false;
    const FleetVersion to { .controlTerm = controlTerm, .number = log.version.number + 1 };
    log.steps.push_back({ .from = log.version, .to = to, .changes = std::move(changes) });
    trim(log.steps, kMaxLoggedFleetSteps);
    log.version = to;
    log.state = next;
    return true;
}

FleetUpdate fleetUpdateSince(const FleetLog &log, const FleetVersion &applied)
{
    FleetUpdate update { .from = applied, .to = log.version, .full = false, .changes = {} };
    if (applied == log.version)
        return update;
    const auto first = std::ranges::find(log.steps, applied, &FleetLog::Step::from);
    if (first == log.steps.end()) {
        update.full = true;
        update.changes = diffFleet({}, log.state);
        return update;
    }
    for (auto step = first; step != log.steps.end(); ++step)
        std::ranges::copy(step->changes, std::back_inserter(update.changes));
    return update;
}

void applyFleetUpdate(FleetLog &log, const FleetUpdate &update)
{
    if (update.to == log.version)
        return;
    if (update.full) {
        log.state = {};
        log.steps.clear();
    }
    for (const FleetChange &change : update.changes)
        applyFleetChange(log.state, change);
    if (!update.full) {
        log.steps.push_back({ .from = log.version, .to = update.to, .changes = update.changes });
        trim(log.steps, kMaxLoggedFleetSteps);
    }
    log.version = update.to;
}

ShareSet makeShareSet(ControlTerm controlTerm)
{
    constexpr unsigned kVersionBits = 32;
    ShareSet shares;
    shares.version = (controlTerm.value() << kVersionBits) + 1;
    return shares;
}

void updateShares(ShareSet &shares, std::vector<RateShare> rates, std::vector<SlotShare> slots)
{
    if (shares.rates == rates && shares.slots == slots)
        return;
    ++shares.version;
    shares.rates = std::move(rates);
    shares.slots = std::move(slots);
}

std::vector<const NodeReport *> flattenReport(const NodeReport &report)
{
    std::vector<const NodeReport *> reports { &report };
    for (const NodeReport &node : report.nodes)
        reports.push_back(&node);
    return reports;
}

NodeLease makeRelayedLease(const NodeReport &report, const ShareSet &shares,
                           bool wantsAllObservations)
{
    NodeLease lease;
    lease.node = report.node;
    lease.incarnation = report.incarnation;
    lease.report = report.number;
    lease.length = kFreshnessLease;
    lease.shareVersion = shares.version;
    lease.sharesUnchanged = report.appliedShares == shares.version;
    if (!lease.sharesUnchanged) {
        lease.rates = shares.rates;
        lease.slots = shares.slots;
    }
    lease.sharesRenewed = shares.renewed;
    lease.connectionsRenewed = shares.connectionsRenewed;
    lease.wantsAllObservations = wantsAllObservations;
    return lease;
}

NodeLease makeLease(const NodeReport &report, const LeaseSource &source, const ShareSet &shares,
                    bool wantsAllObservations)
{
    NodeLease lease = makeRelayedLease(report, shares, wantsAllObservations);
    fillCommon(lease, report, source);
    return lease;
}

void relayReport(RelayState &relay, NodeReport report, TimePoint now)
{
    NodeReport &latest = relay.latest[report.node];
    const bool older = latest.incarnation == report.incarnation && report.number <= latest.number;
    if (older)
        return;
    latest = {};
    latest.node = report.node;
    latest.incarnation = report.incarnation;
    latest.number = report.number;
    latest.appliedConfig = report.appliedConfig;
    latest.appliedFleet = report.appliedFleet;
    latest.appliedShares = report.appliedShares;
    const auto waiting = relay.waiting.find(report.node);
    if (waiting != relay.waiting.end() && waiting->second.report.incarnation == report.incarnation)
        mergeReport(waiting->second.report, std::move(report), now - waiting->second.receivedAt);
    else
        relay.waiting[report.node].report = std::move(report);
    relay.waiting[latest.node].receivedAt = now;
}

std::size_t relayedBytesUpperBound(const NodeReport &report)
{
    std::size_t up = kMaxReportBytes + report.node.value().size();
    for (const HeardAnnouncement &heard : report.announcements) {
        const Announcement &a = heard.announcement;
        up += kMaxElementBytes + a.upstream.value().size() + a.service.value().size()
            + a.dataCentre.value().size() + a.endpoint.host.size();
    }
    for (const Observation &observation : report.observations)
        up += kMaxElementBytes + observation.upstream.value().size();
    std::size_t down = kMaxReportBytes + report.node.value().size();
    for (const TeamDemand &demand : report.teams)
        down += kMaxElementBytes + demand.team.value().size();
    for (const SlotDemand &demand : report.slots)
        down += kMaxElementBytes + demand.upstream.value().size();
    // Reports carry the demand of teams and slots, leases their shares, at about the same size. The
    // sum covers both directions.
    return up + down;
}

void flushRelay(RelayState &relay, NodeReport &own, TimePoint now, std::size_t maxBytes)
{
    own.nodes.clear();
    std::size_t bytes = 0;
    // Longest waiting first, so that no node is starved.
    std::vector<std::map<NodeId, RelayState::Waiting>::iterator> order;
    for (auto item = relay.waiting.begin(); item != relay.waiting.end(); ++item)
        order.push_back(item);
    std::ranges::stable_sort(order, [](const auto &a, const auto &b) {
        return a->second.receivedAt < b->second.receivedAt;
    });
    for (const auto &item : order) {
        bytes += relayedBytesUpperBound(item->second.report);
        if (bytes > maxBytes && !own.nodes.empty())
            break;
        NodeReport &report = item->second.report;
        report.age += now - item->second.receivedAt;
        own.nodes.push_back(std::move(report));
        relay.waiting.erase(item);
    }
}

std::vector<NodeLease> relayLeases(RelayState &relay, const NodeLease &answer,
                                   const LeaseSource &source)
{
    std::vector<NodeLease> leases;
    leases.reserve(answer.nodes.size());
    for (const NodeLease &entry : answer.nodes) {
        const auto latest = relay.latest.find(entry.node);
        if (latest == relay.latest.end() || latest->second.incarnation != entry.incarnation)
            continue;
        leases.push_back(entry);
        fillCommon(leases.back(), latest->second, source);
    }
    return leases;
}

} // namespace shallotlever
