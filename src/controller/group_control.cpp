#include "group_control.h"

#include "shallotlever/fleet/endpoint_claim.h"

namespace shallotlever {

namespace {

/// Interval of status queries to databases that confirm commits themselves. Longer than
/// kPrimaryStatusInterval, because each query occupies one of the few connection slots of the
/// database.
constexpr Duration kConfirmedStatusInterval = 1s;
/// The same interval for databases that claim one endpoint, none of which gets requests meanwhile.
constexpr Duration kContestedStatusInterval = 250ms;

template <typename... Functions>
struct Overloaded : Functions...
{
    using Functions::operator()...;
};
template <typename... Functions>
Overloaded(Functions...) -> Overloaded<Functions...>;

GroupState groupStateOf(const ClusterState &cluster, const ServiceId &service)
{
    const auto group = cluster.groups.find(service);
    if (group != cluster.groups.end())
        return group->second;
    GroupState state;
    state.service = service;
    return state;
}

void addCall(const Registry &registry, const ServiceId &service, const UpstreamId &upstream,
             CallKind kind, Term term, ControllerActions &actions)
{
    const auto entry = registry.entries.find(upstream);
    if (entry == registry.entries.end())
        return;
    const Announcement &announcement = entry->second.announcement;
    actions.calls.push_back(
        { kind, service, upstream, announcement.lifetime, announcement.endpoint, term });
}

void addChangeAction(ControllerState &controller, const ServiceId &service,
                     const ChangeAction &action, ControllerActions &actions)
{
    const Registry &registry = controller.registry;
    std::visit(
        Overloaded { [&](const QueryStatus &query) {
                        addCall(registry, service, query.upstream, CallKind::Status, {}, actions);
                    },
                     [&](const Fence &fence) {
                         addCall(registry, service, fence.upstream, CallKind::Fence, fence.term,
                                 actions);
                     },
                     [&](const Promote &promote) {
                         addCall(registry, service, promote.upstream, CallKind::Promote,
                                 promote.term, actions);
                     },
                     [&](const Propose &propose) { actions.proposals.push_back(propose.decision); },
                     [&](const ChangeDone &done) {
                         actions.changes.push_back({ service, done });
                     } },
        action);
}

void addConfirmedAction(ControllerState &controller, const ServiceId &service,
                        const ConfirmedAction &action, ControllerActions &actions)
{
    const Registry &registry = controller.registry;
    if (const auto *stepDown = std::get_if<StepDown>(&action)) {
        addCall(registry, service, stepDown->upstream, CallKind::StepDown, stepDown->term, actions);
    } else if (const auto *resume = std::get_if<Resume>(&action)) {
        addCall(registry, service, resume->upstream, CallKind::Resume, {}, actions);
    } else {
        std::visit(
            [&](const auto &common) {
                using Kind = std::decay_t<decltype(common)>;
                if constexpr (std::is_constructible_v<ChangeAction, Kind>)
                    addChangeAction(controller, service, ChangeAction(common), actions);
            },
            action);
    }
}

/// Whether the status came from the announced process. It has announced itself since the connection
/// was opened, so it did not start after that; an earlier process would have closed the connection.
bool isFromKnownProcess(const MemberStatus &status, const RegistryEntry &entry)
{
    const bool identified = status.status.connectedAt == TimePoint()
        || (!entry.seeded && entry.receivedAt >= status.status.connectedAt);
    return identified && status.incarnation == entry.announcement.lifetime;
}

ConfirmedInput confirmedInput(const ControllerState &controller, const ServiceConfig &service,
                              const GroupState &state, const GroupControl &group,
                              const std::map<UpstreamId, RegistryEntry> &announced, TimePoint now)
{
    ConfirmedInput input;
    input.group = state;
    for (const auto &[id, entry] : announced) {
        const MemberId memberId { id, entry.announcement.lifetime };
        // A member that ended and left holds no commit that is not elsewhere.
        if (entry.hold != EndpointHold::Held && !state.members.contains(memberId))
            continue;
        ConfirmedMember &member = input.members[id];
        member.state = entry.state;
        member.leaving = entry.announcement.leaving || entry.state == UpstreamState::Leaving;
        member.evacuated = controller.registry.evacuated.contains(entry.announcement.dataCentre);
        member.incarnation = entry.announcement.lifetime;
        member.record = { entry.announcement.endpoint, entry.announcement.dataCentre,
                          entry.announcement.slots, entry.announcement.connectionLimit };
        member.announcedRole = entry.announcement.role;
        const auto status = group.statuses.find(id);
        if (status != group.statuses.end() && isFromKnownProcess(status->second, entry)) {
            member.status = status->second.status;
            member.statusAskedAt = status->second.askedAt;
        }
    }
    input.ownReservedTerm = group.ownReservedTerm;
    input.registryComplete = now >= controller.electedAt + kAnnouncementLease;
    input.primaryReleased = state.reservedTerm > state.term && group.viewInForceAt
        && group.publishedVersion != FleetVersion() && !group.publishedPrimary;
    input.confirmingReplicas = service.confirmingReplicas;
    return input;
}

void advancePrimaryChange(ControllerState &controller, const GroupState &state, GroupControl &group,
                          const std::map<UpstreamId, RegistryEntry> &announced,
                          ControllerActions &actions, TimePoint now)
{
    ChangeInput input;
    input.group = state;
    for (const auto &[id, entry] : announced)
        input.states[id] = entry.state;
    if (state.primary) {
        const auto status = group.statuses.find(*state.primary);
        if (status != group.statuses.end()) {
            input.primaryStatus = status->second.status;
            input.primarySeenAt = status->second.askedAt;
        }
    }
    input.replicationStalled = replicationStalled(group.replication, state, group.statuses, now);
    input.ownReservedTerm = group.ownReservedTerm;
    input.registryComplete = now >= controller.electedAt + kAnnouncementLease;
    group.change.service = state.service;
    for (const ChangeAction &action :
         stepPrimaryChange(group.change, input, now, controller.random))
        addChangeAction(controller, state.service, action, actions);
}

/// Queries the statuses of those `upstreams` that were not queried within `interval`.
void queryStatuses(ControllerState &controller, const ServiceId &service, GroupControl &group,
                   const std::set<UpstreamId> &upstreams, Duration interval,
                   ControllerActions &actions, TimePoint now)
{
    for (const UpstreamId &upstream : upstreams) {
        const auto [lastRequest, inserted] = group.statusAskedAt.try_emplace(upstream, now);
        if (!inserted && now < lastRequest->second + interval)
            continue;
        lastRequest->second = now;
        addCall(controller.registry, service, upstream, CallKind::Status, {}, actions);
    }
}

void proposeGroupDecision(GroupControl &group, const VotingSetInput &input,
                          ControllerActions &actions, TimePoint now)
{
    if (input.group.primary) {
        if (auto decision = nextVotingSetDecision(group.voting, input, now))
            actions.proposals.push_back(std::move(*decision));
        return;
    }
    if (now < group.proposedAt + kProposalRetryInterval)
        return;
    if (auto decision = nextBootstrapDecision(input, now)) {
        group.proposedAt = now;
        actions.proposals.push_back(std::move(*decision));
    }
}

/// Proposes that the processes that are announced join the group, and that those leave that have
/// ended and whose commits are held by others.
void updateMembers(const ControllerState &controller, GroupControl &group, ConfirmedInput input,
                   ControllerActions &actions, TimePoint now)
{
    MemberInput members;
    members.group = std::move(input);
    members.changing = group.confirmed.phase != ConfirmedPhase::Idle;
    for (const auto &[member, record] : members.group.group.members) {
        if (hasEnded(controller.registry, member))
            members.ended.insert(member);
    }
    if (auto changes = nextMemberChanges(group.memberProgress, members, now))
        actions.proposals.emplace_back(*std::move(changes));
}

void advanceConfirmedGroup(ControllerState &controller, const ServiceConfig &service,
                           const GroupState &state,
                           const std::map<UpstreamId, RegistryEntry> &announced,
                           ControllerActions &actions, TimePoint now)
{
    GroupControl &group = controller.groups[service.id];
    std::erase_if(group.statuses,
                  [&](const auto &item) { return !announced.contains(item.first); });
    // Databases that confirm commits themselves answer under their id only.
    for (const auto &[id, status] : group.statuses)
        noteAnswer(controller.registry, { id, status.incarnation }, status.askedAt);
    ConfirmedInput input = confirmedInput(controller, service, state, group, announced, now);
    for (const ConfirmedAction &action : stepConfirmedChange(group.confirmed, input, now))
        addConfirmedAction(controller, service.id, action, actions);
    updateMembers(controller, group, std::move(input), actions, now);
    if (group.confirmed.phase != ConfirmedPhase::Idle)
        return;
    std::set<UpstreamId> queries;
    std::set<UpstreamId> contested;
    for (const auto &[id, entry] : announced) {
        queries.insert(id);
        if (isContested(controller.registry, entry))
            contested.insert(id);
    }
    queryStatuses(controller, service.id, group, contested, kContestedStatusInterval, actions, now);
    queryStatuses(controller, service.id, group, queries, kConfirmedStatusInterval, actions, now);
}

} // namespace

AnnouncedUpstreams announcedUpstreams(const Registry &registry)
{
    AnnouncedUpstreams announced;
    for (const auto &[id, entry] : registry.entries)
        announced[entry.announcement.service].emplace(id, entry);
    return announced;
}

void advanceGroup(ControllerState &controller, const ClusterState &cluster,
                  const ServiceId &service, std::map<UpstreamId, RegistryEntry> announced,
                  ControllerActions &actions, TimePoint now)
{
    const ServiceConfig &config = cluster.config.services.at(service);
    if (config.confirmsCommits) {
        advanceConfirmedGroup(controller, config, groupStateOf(cluster, service), announced,
                              actions, now);
        return;
    }
    GroupControl &group = controller.groups[service];
    VotingSetInput input;
    input.group = groupStateOf(cluster, service);
    input.announced = std::move(announced);
    // A group gets its first primary from the bootstrap decisions. Until then a reserved term does
    // not indicate an unfinished primary change.
    if (input.group.primary)
        advancePrimaryChange(controller, input.group, group, input.announced, actions, now);
    input.primaryChanging = group.change.phase != ChangePhase::Idle;
    input.viewInForceAt = group.viewInForceAt;
    input.statuses = group.statuses;
    input.controllerSince = controller.electedAt;
    std::set<UpstreamId> queries = votingSetQueries(input);
    if (input.group.primary)
        queries.insert(*input.group.primary);
    queryStatuses(controller, service, group, queries, kPrimaryStatusInterval, actions, now);
    proposeGroupDecision(group, input, actions, now);
}

void markSwitchovers(const ControllerState &controller, FleetView &fleet)
{
    for (auto &[service, view] : fleet.groups) {
        const auto group = controller.groups.find(service);
        view.switchover = !view.primary && group != controller.groups.end()
            && group->second.confirmed.phase != ConfirmedPhase::Idle
            && group->second.confirmed.reason == ChangeReason::Leaving;
    }
}

void updateViewsInForce(ControllerState &controller, TimePoint now)
{
    for (const auto &[service, view] : controller.fleetLog.state.view.groups) {
        GroupControl &group = controller.groups[service];
        if (group.publishedVersion == FleetVersion() || group.publishedTerm != view.term
            || group.publishedVotingSet != view.votingSet || group.publishedPrimary != view.primary
            || group.publishedSwitchover != view.switchover) {
            group.publishedPrimary = view.primary;
            group.publishedSwitchover = view.switchover;
            group.publishedTerm = view.term;
            group.publishedVotingSet = view.votingSet;
            group.publishedVersion = controller.fleetLog.version;
            group.viewInForceAt.reset();
        }
        if (!group.viewInForceAt
            && fleetInForce(controller.leases, group.publishedVersion, now).inForce)
            group.viewInForceAt = now;
    }
}

} // namespace shallotlever
