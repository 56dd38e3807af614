#include "shallotlever/controller/controller.h"

#include <algorithm>

#include "group_control.h"
#include "node_shares.h"
#include "shallotlever/config/codec.h"

namespace shallotlever {

namespace {

/// Nodes need up to 1.8 s to find a new controller (kControllerSilence for each of three members);
/// an upstream renews within 1 s after that, and the node reports it within 0.5 s.
constexpr Duration kEmptyViewWait = 4s;
/// The same once every process that may have a view has reported that it has none.
constexpr Duration kNoViewWait = 400ms;
/// A recorded process that holds no lease for this long is forgotten.
constexpr Duration kForgetNodeAfter = 10s;

/// Nodes act on the decoded configuration; only control members answer reads of the document.
ClusterConfig withoutDocument(ClusterConfig config)
{
    config.installed.document.clear();
    return config;
}

/// The change from the configuration that nodes have, `before`. What an operator installs is a
/// whole configuration, of which little differs from the one before.
Command changeForNodes(const Command &command, const std::string &before,
                       const ClusterConfig &after)
{
    if (!std::holds_alternative<InstallConfig>(command))
        return command;
    const absl::StatusOr<ClusterConfig> known = decodeConfig(before);
    if (!known.ok())
        return Command(InstallConfig { after });
    return Command(configDifference(*known, after));
}

void notePrimarySet(ControllerState &controller, const Command &command, const ChangeResult &result,
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

/// Building the view costs time in proportion to the fleet, so it is built only after a change.
bool publishFleetIfChanged(ControllerState &controller, const ReplicatedState &replicated,
                           TimePoint now)
{
    // Before every upstream had time to renew its announcement, the view may lack upstreams that
    // nodes know from the predecessor.
    const bool startedEmpty = controller.takenOver == FleetVersion();
    const bool nobodyHasView = controller.records.enabled && controller.records.unaccounted.empty()
        && !controller.viewsReported;
    const Duration emptyWait = nobodyHasView ? kNoViewWait : kEmptyViewWait;
    if (now < controller.since + (startedEmpty ? emptyWait : kAnnouncementLease))
        return false;
    if (controller.shownIndex == replicated.cluster.index
        && controller.shownRevision == controller.registry.revision)
        return false;
    controller.shownIndex = replicated.cluster.index;
    controller.shownRevision = controller.registry.revision;
    const FleetState fleet = makeFleetState(controller.registry, replicated.cluster);
    if (!publishFleet(controller.fleetLog, fleet, controller.controlTerm))
        return false;
    applyUpstreamLimits(controller.slots, controller.fleetLog.state.view);
    return true;
}

/// Whether the node has a newer view than the one the controller started with and has not replaced
/// yet: that node may know upstreams that the controller does not.
bool keepsItsView(const ControllerState &controller, const NodeReport &report)
{
    return report.appliedFleet > controller.takenOver
        && controller.fleetLog.version == controller.takenOver
        && report.appliedFleet.controlTerm < controller.controlTerm;
}

/// Nothing of the predecessor's time is unknown any more.
void endPredecessorWaits(ControllerState &controller, TimePoint now)
{
    controller.leases.predecessorLeasesUntil =
        std::min(controller.leases.predecessorLeasesUntil, now);
    // Processes that were replaced by later ones have spent nothing in this controller's time.
    const TimePoint unspentSince = controller.records.survivors ? now : controller.since;
    endPredecessorWait(controller.rates, unspentSince, now);
    controller.slots.grantsFrom = std::min(controller.slots.grantsFrom, now);
}

/// A report of the recorded process tells what it holds; one of a later process tells that the
/// recorded one has ended.
void accountForNode(ControllerState &controller, const NodeReport &report, TimePoint now)
{
    std::map<NodeId, Incarnation> &unaccounted = controller.records.unaccounted;
    const auto recorded = unaccounted.find(report.node);
    controller.records.survivors |=
        recorded != unaccounted.end() && recorded->second == report.incarnation;
    if (unaccounted.erase(report.node) > 0 && unaccounted.empty())
        endPredecessorWaits(controller, now);
}

/// Whether the process may get a lease. If not, its record becomes due. A process without callers
/// can do no harm with a lease that a later controller does not know of.
bool isRecorded(NodeRecords &records, const NodeReport &report, TimePoint now)
{
    if (report.controlOnly)
        return true;
    const auto known = records.known.find(report.node);
    if (!records.enabled || (known != records.known.end() && known->second == report.incarnation))
        return true;
    const auto proposed = records.proposedAt.find(report.node);
    if (proposed == records.proposedAt.end() || now >= proposed->second + kProposalRetryInterval)
        records.due[report.node] = { report.node, report.incarnation };
    return false;
}

/// A process without a lease for long is forgotten, so that no later controller waits for it.
void forgetSilentNodes(ControllerState &controller, TimePoint now)
{
    NodeRecords &records = controller.records;
    if (!records.enabled || now < controller.since + kForgetNodeAfter)
        return;
    for (const auto &[node, incarnation] : records.known) {
        const bool holds = controller.leases.holders.contains({ node, incarnation });
        const auto proposed = records.proposedAt.find(node);
        if (!holds
            && (proposed == records.proposedAt.end() || now >= proposed->second + kForgetNodeAfter))
            records.due[node] = { node, Incarnation() };
    }
}

void proposeRecords(ControllerState &controller, ControllerActions &actions, TimePoint now)
{
    forgetSilentNodes(controller, now);
    for (const auto &[node, record] : controller.records.due) {
        controller.records.proposedAt[node] = now;
        actions.records.push_back(record);
    }
    controller.records.due.clear();
}

} // namespace

ControllerState makeController(ControlTerm term, const ReplicatedState &replicated,
                               const FleetLog &ownView, std::uint64_t seed, TimePoint now,
                               bool recordNodes)
{
    ControllerState controller;
    controller.controlTerm = term;
    controller.since = now;
    controller.random.seed(seed);
    controller.registry = seedRegistry(ownView.state, now);
    controller.leases = makeLeaseTable(now);
    controller.fleetLog = ownView;
    controller.takenOver = ownView.version;
    controller.rates = makeRateAllocator(term, now);
    controller.slots = makeSlotAllocator(term, now);
    // The first view of a new controller is often the same as its predecessor's; then nothing is
    // published that would bring the limits.
    applyUpstreamLimits(controller.slots, ownView.state.view);
    // Share versions of a later controller are higher than those of every earlier one.
    controller.lastShareVersion = term.value() << 32U;
    controller.logIndex = replicated.cluster.index;
    resetConfigLog(controller.configLog, replicated.cluster.config.version,
                   encodeConfig(withoutDocument(replicated.cluster.config)));
    applyTeamConfig(controller.rates, replicated.cluster.config.teams, now);
    controller.records.enabled = recordNodes;
    controller.records.known = replicated.cluster.nodes;
    controller.records.unaccounted = replicated.cluster.nodes;
    return controller;
}

void onCommandApplied(ControllerState &controller, const ReplicatedState &replicated,
                      const Command &command, const ChangeResult &result, LogIndex index,
                      TimePoint now)
{
    controller.logIndex = index;
    notePrimarySet(controller, command, result, now);
    if (std::holds_alternative<RecordNode>(command))
        controller.records.known = replicated.cluster.nodes;
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
    std::optional<NodeLease> answer;
    const LeaseSource source { controller.controlTerm, controller.logIndex, &controller.configLog,
                               &controller.fleetLog };
    for (const NodeReport *single : flattenReport(report)) {
        controller.viewsReported |= single->appliedFleet != FleetVersion()
            && single->appliedFleet.controlTerm != controller.controlTerm;
        accountForNode(controller, *single, now);
        if (!isRecorded(controller.records, *single, now))
            continue;
        const ReportResult result = applyReport(controller.registry, *single, now);
        if (!grantLease(controller.leases, *single, now))
            continue;
        const ShareSet &shares = grantShares(controller, *single, now);
        if (single == &report)
            answer = makeLease(*single, source, shares, result.wantsAllObservations);
        else if (answer)
            answer->nodes.push_back(makeRelayedLease(*single, shares, result.wantsAllObservations));
    }
    if (answer && keepsItsView(controller, report))
        answer->fleet = { report.appliedFleet, report.appliedFleet, false, {} };
    return answer;
}

void onUpstreamAnswer(ControllerState &controller, const UpstreamCall &call,
                      const UpstreamAnswer &answer, TimePoint askedAt, TimePoint now)
{
    GroupControl &group = controller.groups[call.service];
    onCallAnswer(group.change, { call.kind, call.upstream, call.term, answer.status }, now);
    if (call.kind == CallKind::Promote && (answer.refused || answer.accepted))
        onPromoteAnswer(group.confirmed, call.upstream, answer.accepted, now);
    if (!answer.status || askedAt < group.primarySince)
        return;
    const auto known = group.statuses.find(call.upstream);
    if (known == group.statuses.end() || known->second.askedAt <= askedAt)
        group.statuses[call.upstream] = { *answer.status, askedAt };
}

ControllerActions advanceController(ControllerState &controller, const ReplicatedState &replicated,
                                    TimePoint now)
{
    ControllerActions actions;
    expireLeases(controller.leases, now);
    expireRateLeases(controller.rates, now);
    expireSlotLeases(controller.slots, now);
    proposeRecords(controller, actions, now);
    actions.upstreamStates = advanceRegistry(controller.registry, now);
    AnnouncedUpstreams announced = announcedUpstreams(controller.registry);
    for (const auto &[service, config] : replicated.cluster.config.services)
        advanceGroup(controller, replicated.cluster, service, std::move(announced[service]),
                     actions, now);
    actions.fleetChanged = publishFleetIfChanged(controller, replicated, now);
    noteViewsInForce(controller, now);
    return actions;
}

} // namespace shallotlever
