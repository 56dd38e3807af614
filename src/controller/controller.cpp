#include "shallotlever/controller/controller.h"

#include <algorithm>
#include <utility>

#include "group_control.h"
#include "node_shares.h"
#include "shallotlever/config/codec.h"
#include "view_recovery.h"

namespace shallotlever {

namespace {

/// Delay after which a controller without a fleet view publishes one, although a process that has
/// not reported yet may have the predecessor's. A view that a node reports is continued at once
/// (view_recovery.h). Nodes need up to 0.6 s to notice that their controller is silent; upstreams
/// renew their announcements within 1 s of being able to reach a node again, after a timeout of 1
/// s, and the node reports them within 0.5 s.
constexpr Duration kEmptyViewPublishDelay = 4s;
/// The same delay once every process that may have a fleet view has reported that it has none.
constexpr Duration kNoViewPublishDelay = 400ms;
/// The record of a process that has held no lease for this long is removed.
constexpr Duration kNodeRecordTimeout = 10s;

/// Removes the configuration document. Only control members need it, to serve reads of the
/// document. Nodes use the decoded configuration.
ClusterConfig withoutDocument(ClusterConfig config)
{
    config.installed.document.clear();
    return config;
}

/// Returns the change from `before`, the configuration that nodes have, to `after`. An operator
/// installs a whole configuration, but it usually differs little from the previous one, so nodes
/// get only the difference.
Command changeForNodes(const Command &command, const std::string &before,
                       const ClusterConfig &after)
{
    if (!std::holds_alternative<InstallConfig>(command))
        return command;
    const absl::StatusOr<ClusterConfig> previous = decodeConfig(before);
    if (!previous.ok())
        return Command(InstallConfig { after });
    return Command(configDifference(*previous, after));
}

void onPrimarySet(ControllerState &controller, const Command &command, const ChangeResult &result,
                  TimePoint now)
{
    const auto *decision = std::get_if<GroupDecision>(&command);
    const auto *set = decision == nullptr ? nullptr : std::get_if<SetPrimary>(decision);
    if (set == nullptr || result.outcome != ChangeOutcome::Accepted)
        return;
    GroupControl &group = controller.groups[set->service];
    group.primarySince = now;
    group.statuses.clear();
}

/// Publishes the fleet view. The time to build it is proportional to the size of the fleet, so it
/// is built only after a change.
bool publishFleetIfChanged(ControllerState &controller, const ReplicatedState &replicated,
                           TimePoint now)
{
    // Until every upstream has had time to renew its announcement, the view may lack upstreams that
    // nodes know from the predecessor.
    const bool inheritedNoView = controller.inheritedFleetVersion == FleetVersion();
    const bool noNodeHasView = controller.records.enabled
        && controller.records.unaccountedProcesses.empty() && !controller.predecessorViewReported;
    const Duration emptyViewDelay = noNodeHasView ? kNoViewPublishDelay : kEmptyViewPublishDelay;
    if (now < controller.electedAt + (inheritedNoView ? emptyViewDelay : kAnnouncementLease))
        return false;
    const bool allReported =
        controller.records.anyRecorded && controller.records.unaccountedProcesses.empty();
    std::optional<std::uint64_t> ownership;
    if (allReported || now >= controller.electedAt + kPoolOwnerSettleTime)
        ownership = controller.poolOwnership.revision;
    if (controller.publishedIndex == replicated.cluster.index
        && controller.publishedRevision == controller.registry.revision
        && controller.publishedOwnership == ownership && !controller.slots.awaitsLimits)
        return false;
    controller.publishedOwnership = ownership;
    controller.publishedIndex = replicated.cluster.index;
    controller.publishedRevision = controller.registry.revision;
    FleetState fleet = makeFleetState(controller.registry, replicated.cluster);
    markSwitchovers(controller, fleet.view);
    if (ownership)
        assignPoolOwners(controller.poolOwnership, replicated.cluster.config, fleet.view);
    else
        keepPoolOwners(controller.fleetLog.state.view, fleet.view);
    const bool published = publishFleet(controller.fleetLog, fleet, controller.controlTerm);
    // The limits are known now, also if the view is equal to the inherited one.
    applyUpstreamLimits(controller.slots, controller.fleetLog.state.view);
    return published;
}

/// Ends the waits for leases of predecessors, as all processes that may hold one are accounted for.
void endPredecessorWaits(ControllerState &controller, TimePoint now)
{
    controller.leases.predecessorLeasesUntil =
        std::min(controller.leases.predecessorLeasesUntil, now);
    // Processes that have been replaced have spent no tokens since the last of their successors
    // started.
    const TimePoint nothingSpentSince = controller.records.recordedProcessReported
        ? now
        : std::min(controller.electedAt, controller.records.lastReplacementStart);
    endPredecessorWait(controller.rates, nothingSpentSince, now);
    controller.slots.grantsAllowedFrom = std::min(controller.slots.grantsAllowedFrom, now);
}

/// When the reporting process started, or `now` if it does not say.
TimePoint startOfProcess(const NodeReport &report, TimePoint now)
{
    return report.processAge == Duration(0) ? now : now - report.age - report.processAge;
}

/// Accounts for the recorded process of a node: its own report states what it holds, and a report
/// of a later process shows that the recorded one has ended.
void accountForNode(ControllerState &controller, const NodeReport &report, TimePoint now)
{
    std::map<NodeId, Incarnation> &unaccountedProcesses = controller.records.unaccountedProcesses;
    const auto recorded = unaccountedProcesses.find(report.node);
    if (recorded != unaccountedProcesses.end() && recorded->second == report.incarnation)
        controller.records.recordedProcessReported = true;
    else if (recorded != unaccountedProcesses.end())
        controller.records.lastReplacementStart =
            std::max(controller.records.lastReplacementStart, startOfProcess(report, now));
    if (unaccountedProcesses.erase(report.node) > 0 && unaccountedProcesses.empty())
        endPredecessorWaits(controller, now);
}

/// Returns whether the process may get a lease. If it may not, its record is proposed. A process
/// without callers needs no record, because it can do no harm with a lease that a later controller
/// does not know of.
bool ensureRecorded(NodeRecords &records, const NodeReport &report, TimePoint now)
{
    if (!awaitsRecord(records, report))
        return true;
    const auto proposed = records.proposedAt.find(report.node);
    if (proposed == records.proposedAt.end() || now >= proposed->second + kProposalRetryInterval)
        records.pendingProposals[report.node] = { report.node, report.incarnation };
    return false;
}

/// Proposes to remove the records of processes that have held no lease for kNodeRecordTimeout, so
/// that later controllers do not wait for them.
void removeInactiveNodes(ControllerState &controller, TimePoint now)
{
    NodeRecords &records = controller.records;
    if (!records.enabled || now < controller.electedAt + kNodeRecordTimeout)
        return;
    for (const auto &[node, incarnation] : records.committed) {
        const bool hasLease = controller.leases.holders.contains({ node, incarnation });
        const auto proposed = records.proposedAt.find(node);
        if (!hasLease
            && (proposed == records.proposedAt.end()
                || now >= proposed->second + kNodeRecordTimeout))
            records.pendingProposals[node] = { node, Incarnation() };
    }
}

void proposeRecords(ControllerState &controller, ControllerActions &actions, TimePoint now)
{
    removeInactiveNodes(controller, now);
    for (const auto &[node, record] : controller.records.pendingProposals) {
        controller.records.proposedAt[node] = now;
        actions.records.push_back(record);
    }
    controller.records.pendingProposals.clear();
}

/// Returns the report with the versions that the node has, or will have when the answer arrives.
NodeReport withUpdatesInTransit(const ControllerState &controller, const NodeReport &report,
                                TimePoint now)
{
    NodeReport assumed;
    assumed.node = report.node;
    assumed.incarnation = report.incarnation;
    assumed.number = report.number;
    assumed.appliedConfig = report.appliedConfig;
    assumed.appliedFleet = report.appliedFleet;
    assumed.appliedShares = report.appliedShares;
    const auto sent = controller.sentUpdates.find(report.node);
    if (sent == controller.sentUpdates.end() || sent->second.incarnation != report.incarnation
        || now >= sent->second.sentAt + kUpdateConfirmationTimeout)
        return assumed;
    assumed.appliedConfig = std::max(assumed.appliedConfig, sent->second.config);
    assumed.appliedFleet = std::max(assumed.appliedFleet, sent->second.fleet);
    return assumed;
}

/// Makes the lease that answers a report, and records the update that it carries.
NodeLease answerWithUpdates(ControllerState &controller, const NodeReport &report,
                            const LeaseSource &source, const ShareSet &shares,
                            bool wantsAllObservations, TimePoint now)
{
    NodeLease lease = makeLease(withUpdatesInTransit(controller, report, now), source, shares,
                                wantsAllObservations);
    if (lease.config.from != lease.config.to || lease.fleet.from != lease.fleet.to)
        controller.sentUpdates[report.node] = { report.incarnation, lease.config.to, lease.fleet.to,
                                                now };
    return lease;
}

} // namespace

bool awaitsRecord(const NodeRecords &records, const NodeReport &report)
{
    const auto known = records.committed.find(report.node);
    const bool recorded = known != records.committed.end() && known->second == report.incarnation;
    return records.enabled && !report.controlOnly && !recorded;
}

ControllerState makeController(ControlTerm term, const ReplicatedState &replicated,
                               const FleetLog &localFleetLog, std::uint64_t seed, TimePoint now,
                               bool recordNodes)
{
    ControllerState controller;
    controller.controlTerm = term;
    controller.electedAt = now;
    controller.random.seed(seed);
    controller.registry =
        seedRegistry(localFleetLog.state, evacuatedDataCentres(replicated.cluster.config), now);
    setServices(controller.registry, replicated.cluster.config);
    seedMembers(controller.registry, replicated.cluster, now);
    controller.leases = makeLeaseTable(now);
    controller.fleetLog = localFleetLog;
    controller.inheritedFleetVersion = localFleetLog.version;
    controller.rates = makeRateAllocator(term, now);
    controller.slots = makeSlotAllocator(term, now);
    // The first view of a new controller is often equal to that of its predecessor. Then no view is
    // published from which the limits would be applied.
    applyUpstreamLimits(controller.slots, localFleetLog.state.view);
    controller.slots.awaitsLimits = localFleetLog.version == FleetVersion();
    // The control term in the upper bits makes share versions higher than those of every earlier
    // controller.
    controller.lastShareVersion = term.value() << 32U;
    controller.logIndex = replicated.cluster.index;
    resetConfigLog(controller.configLog, replicated.cluster.config.version,
                   encodeConfig(withoutDocument(replicated.cluster.config)));
    applyTeamConfig(controller.rates, replicated.cluster.config.teams, now);
    controller.records.enabled = recordNodes;
    controller.records.committed = replicated.cluster.nodes;
    controller.records.unaccountedProcesses = replicated.cluster.nodes;
    controller.records.anyRecorded = !replicated.cluster.nodes.empty();
    return controller;
}

void onCommandApplied(ControllerState &controller, const ReplicatedState &replicated,
                      const Command &command, const ChangeResult &result, LogIndex index,
                      TimePoint now)
{
    controller.logIndex = index;
    onPrimarySet(controller, command, result, now);
    if (std::holds_alternative<RecordNode>(command))
        controller.records.committed = replicated.cluster.nodes;
    if (std::holds_alternative<GroupDecision>(command)
        || std::holds_alternative<RecordNode>(command) || result.outcome != ChangeOutcome::Accepted
        || result.version != controller.configLog.version.next())
        return;
    const ClusterConfig after = withoutDocument(replicated.cluster.config);
    const Command change = changeForNodes(command, controller.configLog.full, after);
    appendConfigChange(controller.configLog, encodeCommand({ change, 0 }), encodeConfig(after));
    applyTeamConfig(controller.rates, replicated.cluster.config.teams, now);
}

void onOwnDecisionAccepted(ControllerState &controller, const GroupDecision &decision)
{
    if (const auto *reserved = std::get_if<ReserveTerm>(&decision))
        controller.groups[reserved->service].ownReservedTerm = reserved->term;
}

std::optional<NodeLease> onNodeReport(ControllerState &controller, const NodeReport &report,
                                      TimePoint now)
{
    std::optional<NodeLease> lease;
    adoptReportedView(controller, report, now);
    const bool requestView = shouldRequestView(controller, report, now);
    const LeaseSource source { controller.controlTerm, controller.logIndex, &controller.configLog,
                               &controller.fleetLog };
    for (const NodeReport *nodeReport : flattenReport(report)) {
        controller.predecessorViewReported |= nodeReport->appliedFleet != FleetVersion()
            && nodeReport->appliedFleet.controlTerm != controller.controlTerm;
        accountForNode(controller, *nodeReport, now);
        if (!ensureRecorded(controller.records, *nodeReport, now))
            continue;
        const ReportResult result = applyReport(controller.registry, *nodeReport, now);
        if (!grantLease(controller.leases, *nodeReport, now))
            continue;
        notePoolOwnerReport(controller.poolOwnership, *nodeReport, now);
        const ShareSet &shares = grantShares(controller, *nodeReport, now);
        if (nodeReport == &report)
            lease = answerWithUpdates(controller, report, source, shares,
                                      result.wantsAllObservations, now);
        else if (lease)
            lease->nodes.push_back(
                makeRelayedLease(*nodeReport, shares, result.wantsAllObservations));
    }
    if (lease && hasNewerView(controller, report))
        lease->fleet = { report.appliedFleet, report.appliedFleet, false, {} };
    if (lease)
        lease->wantsFleetView = requestView;
    return lease;
}

namespace {

PromotionOutcome promotionOutcome(const UpstreamAnswer &answer)
{
    if (answer.accepted)
        return PromotionOutcome::Accepted;
    return answer.refused ? PromotionOutcome::Refused : PromotionOutcome::Unknown;
}

} // namespace

void onUpstreamAnswer(ControllerState &controller, const UpstreamCall &call,
                      const UpstreamAnswer &answer, TimePoint askedAt, TimePoint now)
{
    GroupControl &group = controller.groups[call.service];
    onCallAnswer(group.change, { call.kind, call.upstream, call.term, answer.status }, now);
    if (call.kind == CallKind::Promote)
        onPromoteAnswer(group.confirmed, call.upstream, call.term, promotionOutcome(answer), now);
    if (!answer.status || askedAt < group.primarySince)
        return;
    // A later process under the id knows nothing of what the answer says.
    const auto entry = controller.registry.entries.find(call.upstream);
    if (entry == controller.registry.entries.end()
        || entry->second.announcement.lifetime != call.incarnation)
        return;
    const auto known = group.statuses.find(call.upstream);
    if (known == group.statuses.end() || known->second.askedAt <= askedAt
        || known->second.incarnation != call.incarnation)
        group.statuses[call.upstream] = { *answer.status, askedAt, call.incarnation };
}

ControllerActions advanceController(ControllerState &controller, const ReplicatedState &replicated,
                                    TimePoint now)
{
    ControllerActions actions;
    expireLeases(controller.leases, now);
    expireRateLeases(controller.rates, now);
    expireSlotLeases(controller.slots, now);
    expirePoolOwners(controller.poolOwnership, now);
    proposeRecords(controller, actions, now);
    setServices(controller.registry, replicated.cluster.config);
    setEvacuated(controller.registry, evacuatedDataCentres(replicated.cluster.config));
    actions.upstreamStates = advanceRegistry(controller.registry, now);
    AnnouncedUpstreams announced = announcedUpstreams(controller.registry);
    for (const auto &[service, config] : replicated.cluster.config.services)
        advanceGroup(controller, replicated.cluster, service, std::move(announced[service]),
                     actions, now);
    actions.fleetChanged = publishFleetIfChanged(controller, replicated, now);
    updateViewsInForce(controller, now);
    actions.registryEvents = std::exchange(controller.registry.events, {});
    return actions;
}

} // namespace shallotlever
