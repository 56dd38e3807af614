#include "controller_host.h"

#include <QDateTime>

#include "shallotlever/base/clock.h"
#include "status_document.h"

namespace shallotlever {

namespace {

/// Shorter than the retry interval of a change of primary, so that an unanswered call does not
/// delay the next one.
constexpr Duration kCallTimeout = 400ms;
/// Interval of decisions that depend on time alone; answers and committed entries are processed at
/// once.
constexpr Duration kAdvanceInterval = 50ms;
/// Reports answered in one tick after their processes were recorded, which happens to all nodes at
/// once when everything restarts. A first lease takes a few milliseconds to make on a slow core,
/// and the heartbeats of the control group, 100 ms apart, wait meanwhile.
constexpr std::size_t kMaxHeldAnswersPerTick = 8;
/// Interval at which the recorded nodes are looked through for those that don't report.
constexpr Duration kNodeSearchInterval = 200ms;
/// Maximum time that an operator waits for a change to be in force.
constexpr Duration kInForceTimeout = 10s;

UpstreamAnswer upstreamAnswer(const UpstreamCall &call,
                              const absl::StatusOr<UpstreamStatus> &status)
{
    UpstreamAnswer answer;
    answer.refused = status.status().code() == absl::StatusCode::kFailedPrecondition;
    // If the platform promotes the database, the answer contains no status of the database.
    answer.accepted = call.kind == CallKind::Promote && status.ok();
    if (status.ok() && !(call.kind == CallKind::Promote && *status == UpstreamStatus()))
        answer.status = *status;
    return answer;
}

} // namespace

ControllerHost::ControllerHost(ControlGroup &group, const Logger &logger, MetricsRegistry &metrics,
                               MakeControl makeControl, bool recordNodes)
    : m_group(group)
    , m_makeControl(std::move(makeControl))
    , m_recordNodes(recordNodes)
    , m_logger(logger)
    , m_primaryChanges(metrics.counter("shallotlever_primary_changes_total",
                                       "Changes of primary completed by this controller."))
    , m_primaryChangeTime(
          metrics.histogram("shallotlever_primary_change_seconds",
                            "Time from the last sign of the old primary to publication."))
{
}

ControllerHost::~ControllerHost() = default;

void ControllerHost::tick(const FleetLog &ownView, TimePoint now)
{
    logTerm();
    const bool isController = m_group.isController(now);
    const bool sameTerm = m_controller && m_controller->controlTerm == m_group.member().term();
    if (m_controller && (!isController || !sameTerm))
        stopController(now);
    if (isController && !m_controller)
        startController(ownView, now);
    if (m_controller && (m_advanceDue || now >= m_nextAdvance))
        advance(now);
}

void ControllerHost::startController(const FleetLog &ownView, TimePoint now)
{
    const ControlTerm term = m_group.member().term();
    m_controller = makeController(term, m_group.state(), ownView,
                                  QDateTime::currentMSecsSinceEpoch(), now, m_recordNodes);
    m_nodeSearch.heardAt.clear();
    for (const auto &[node, incarnation] : m_controller->records.committed)
        noteRecordedNode(m_nodeSearch, node, now);
    m_elected = true;
    m_reportRequestsDue = true;
    m_predecessorWaitEnded = false;
    m_firstViewLogged = false;
    m_logger.info("controller_elected",
                  { { "control_term", term.value() },
                    { "has_fleet_view", ownView.version != FleetVersion() },
                    { "nodes_unaccounted", m_controller->records.unaccountedProcesses.size() } });
}

void ControllerHost::stopController(TimePoint now)
{
    m_logger.info("controller_stepped_down",
                  { { "control_term", m_controller->controlTerm.value() } });
    m_controller.reset();
    m_requests = {};
    m_newlyRecorded.clear();
    m_recordedWithoutReport.clear();
    m_reportRequestsDue = false;
    for (const auto &[service, promotion] : std::exchange(m_promotions, {}))
        withdrawPromotion(service, promotion, now);
    // Withdraws the other calls that are under way.
    m_links.clear();
    for (const Waiter &waiter : std::exchange(m_waiters, {}))
        waiter.callback(ChangeResponse { waiter.result, false, {} });
}

/// When the leases of the predecessor have expired, nodes can get new shares and are asked for
/// reports at once. Until then, nodes without shares refuse work, so the end of the wait is logged.
void ControllerHost::checkPredecessorWait(TimePoint now)
{
    if (m_predecessorWaitEnded || now < m_controller->leases.predecessorLeasesUntil)
        return;
    m_predecessorWaitEnded = true;
    m_reportRequestsDue = true;
    std::string unaccounted;
    for (const auto &[node, incarnation] : m_controller->records.unaccountedProcesses)
        unaccounted += (unaccounted.empty() ? "" : " ") + node.value();
    m_logger.info("predecessor_wait_ended",
                  { { "control_term", m_controller->controlTerm.value() },
                    { "waited_ms", millisecondsBetween(m_controller->electedAt, now) },
                    { "nodes_unaccounted", unaccounted } });
}

void ControllerHost::advance(TimePoint now)
{
    m_nextAdvance = now + kAdvanceInterval;
    m_advanceDue = false;
    checkPredecessorWait(now);
    logShares(now);
    ControllerActions actions = advanceController(*m_controller, m_group.state(), now);
    m_reportRequestsDue |= actions.fleetChanged;
    if (actions.fleetChanged)
        logFirstView(now);
    for (const StateChange &change : actions.upstreamStates) {
        const char *state = !change.after               ? "forgotten"
            : *change.after == UpstreamState::Live      ? "live"
            : *change.after == UpstreamState::Suspected ? "suspected"
                                                        : "leaving";
        m_logger.info("upstream_state",
                      { { "upstream", change.upstream.value() }, { "state", state } });
    }
    for (const RegistryEvent &event : actions.registryEvents)
        logRegistryEvent(event);
    for (const CompletedPrimaryChange &changed : actions.changes)
        logPrimaryChange(changed);
    withdrawEndedPromotions(now);
    for (const UpstreamCall &upstreamCall : actions.calls)
        call(upstreamCall, now);
    // A lost proposal is made again after a later report of the node.
    for (const RecordNode &record : actions.records)
        m_group.propose(
            Command(record), QDateTime::currentMSecsSinceEpoch(),
            [](const absl::StatusOr<ChangeResult> &) {}, now);
    for (const GroupDecision &decision : actions.proposals)
        propose(decision, now);
    answerWaiters(now);
}

UpstreamControl &ControllerHost::controlOf(const UpstreamCall &call)
{
    ControlLink &link = m_links[call.upstream];
    if (!link.control.status || link.endpoint != call.endpoint) {
        link = { call.endpoint,
                 m_makeControl(call.service, call.upstream, call.endpoint, permitOfTerm()) };
    }
    return link.control;
}

/// The right to call databases and the platform: the leader lease of the present term.
CallPermit ControllerHost::permitOfTerm() const
{
    const std::weak_ptr<bool> alive = m_alive;
    return [this, alive, term = m_controller->controlTerm](TimePoint now) {
        return !alive.expired() && m_controller && m_controller->controlTerm == term
            && m_group.member().term() == term && m_group.isController(now);
    };
}

void ControllerHost::promote(const UpstreamCall &call, const StatusCallback &callback,
                             TimePoint now)
{
    const ServiceConfig &service = m_group.state().cluster.config.services.at(call.service);
    if (!service.confirmsCommits) {
        controlOf(call).promote(call.term, kCallTimeout, callback);
        return;
    }
    // An earlier order must not arrive after this one.
    if (const auto earlier = m_promotions.find(call.service); earlier != m_promotions.end())
        withdrawPromotion(call.service, earlier->second, now);
    m_promotions[call.service] = { call.upstream, call.term, now };
    logPromotionOrder(call, now);
    controlOf(call).promote(call.term, kPromotionOrderTimeout, callback);
}

/// Withdraws the orders of attempts that have ended.
void ControllerHost::withdrawEndedPromotions(TimePoint now)
{
    for (auto &[service, promotion] : m_promotions) {
        const ConfirmedChange &change = m_controller->groups[service].confirmed;
        if (change.phase == ConfirmedPhase::Promoting && change.epoch == promotion.epoch)
            continue;
        withdrawPromotion(service, promotion, now);
        promotion.answered = true;
    }
}

void ControllerHost::withdrawPromotion(const ServiceId &service, const OrderedPromotion &promotion,
                                       TimePoint now)
{
    if (promotion.answered)
        return;
    m_links.erase(promotion.upstream);
    m_logger.warning("promotion_withdrawn",
                     { { "service", service.value() },
                       { "upstream", promotion.upstream.value() },
                       { "epoch", promotion.epoch.value() },
                       { "waited_ms", millisecondsBetween(promotion.orderedAt, now) } });
}

void ControllerHost::noteAnswer(const UpstreamCall &call, const UpstreamAnswer &answer,
                                TimePoint now)
{
    const auto promotion = m_promotions.find(call.service);
    if (call.kind != CallKind::Promote || promotion == m_promotions.end()
        || promotion->second.upstream != call.upstream || promotion->second.epoch != call.term)
        return;
    promotion->second.answered = true;
    m_logger.info("promotion_answered",
                  { { "service", call.service.value() },
                    { "upstream", call.upstream.value() },
                    { "epoch", call.term.value() },
                    { "outcome",
                      answer.accepted      ? "accepted"
                          : answer.refused ? "refused"
                                           : "unknown" },
                    { "waited_ms", millisecondsBetween(promotion->second.orderedAt, now) } });
}

void ControllerHost::call(const UpstreamCall &call, TimePoint now)
{
    const std::weak_ptr<bool> alive = m_alive;
    const ControlTerm term = m_controller->controlTerm;
    const StatusCallback callback = [this, alive, call, now,
                                     term](absl::StatusOr<UpstreamStatus> status) {
        if (alive.expired() || !m_controller || m_controller->controlTerm != term)
            return;
        if (!status.ok() && call.kind != CallKind::Status)
            logFailedCall(call, status.status());
        const UpstreamAnswer answer = upstreamAnswer(call, status);
        const TimePoint answeredAt = monotonicNow();
        noteAnswer(call, answer, answeredAt);
        onUpstreamAnswer(*m_controller, call, answer, now, answeredAt);
        m_advanceDue = true;
    };
    logCall(call, now);
    switch (call.kind) {
    case CallKind::Status:
        controlOf(call).status(kCallTimeout, callback);
        break;
    case CallKind::Fence:
        controlOf(call).fence(call.term, kCallTimeout, callback);
        break;
    case CallKind::Promote:
        promote(call, callback, now);
        break;
    case CallKind::StepDown:
        controlOf(call).stepDown(call.term, kCallTimeout, callback);
        break;
    case CallKind::Resume:
        controlOf(call).resume(kCallTimeout, callback);
        break;
    }
}

void ControllerHost::propose(const GroupDecision &decision, TimePoint now)
{
    const ControlTerm term = m_controller->controlTerm;
    m_group.propose(
        Command(decision), QDateTime::currentMSecsSinceEpoch(),
        [this, decision, term](const absl::StatusOr<ChangeResult> &result) {
            const bool accepted = result.ok() && result->outcome == ChangeOutcome::Accepted;
            if (accepted && m_controller && m_controller->controlTerm == term)
                onOwnDecisionAccepted(*m_controller, decision);
            m_advanceDue = true;
        },
        now);
}

std::optional<NodeLease> ControllerHost::answerReport(const NodeReport &report,
                                                      const PeerProcess &from,
                                                      std::uint64_t requestId, TimePoint now)
{
    if (!m_controller || !m_group.isController(now))
        return std::nullopt;
    noteReportReceived(m_requests, report);
    noteReport(m_nodeSearch, report, now);
    // A report may confirm what a change of primary waits for.
    m_advanceDue = true;
    const FleetVersion inherited = m_controller->inheritedFleetVersion;
    std::optional<NodeLease> lease = onNodeReport(*m_controller, report, now);
    if (m_controller->inheritedFleetVersion != inherited)
        logRecoveredView(report, now);
    if (!lease && awaitsRecord(m_controller->records, report))
        holdReport(m_requests, { report, from, requestId, now });
    const std::vector<NodeId> members = controlMembers();
    if (lease && controlMembersDigest(members) != report.knownMembers)
        lease->controlMembers = members;
    return lease;
}

std::vector<NodeId> ControllerHost::controlMembers() const
{
    const Membership &membership = m_group.member().membership();
    std::vector<NodeId> members;
    for (const Member &voter : membership.voters)
        members.push_back(voter.node);
    if (membership.learner)
        members.push_back(membership.learner->node);
    return members;
}

std::vector<TokenDelivery> ControllerHost::requestTokens(const TokenRequester &requester,
                                                         const std::vector<TokenRequest> &requests,
                                                         TimePoint now)
{
    if (!m_controller || !m_group.isController(now))
        return {};
    return shallotlever::handleTokenRequests(m_controller->rates, requester, requests, now);
}

std::vector<TokenDelivery> ControllerHost::serveTokenQueues(TimePoint now)
{
    if (!m_controller || !m_group.isController(now))
        return {};
    return shallotlever::serveTokenQueues(m_controller->rates, now);
}

void ControllerHost::onApplied(const Command &command, const ChangeResult &result, LogIndex index,
                               TimePoint now)
{
    if (!m_controller)
        return;
    onCommandApplied(*m_controller, m_group.state(), command, result, index, now);
    m_advanceDue = true;
    // Other nodes get nothing new with the record of one.
    const auto *record = std::get_if<RecordNode>(&command);
    if (record == nullptr)
        m_reportRequestsDue = true;
    else if (record->incarnation != Incarnation()) {
        m_newlyRecorded.push_back({ record->node, record->incarnation });
        noteRecordedNode(m_nodeSearch, record->node, now);
    }
}

NodeSearchStep ControllerHost::takeNodeSearchStep(TimePoint now)
{
    if (!m_controller)
        return endNodeSearch(m_nodeSearch);
    if (now < m_nextNodeSearch)
        return {};
    m_nextNodeSearch = now + kNodeSearchInterval;
    return advanceNodeSearch(m_nodeSearch, now);
}

void ControllerHost::forward(const OperatorRequest &request, ForwardCallback callback,
                             TimePoint now)
{
    if (!m_controller) {
        callback(Error { ErrorKind::NoController, {}, std::nullopt });
        return;
    }
    if (const auto *install = std::get_if<InstallRequest>(&request)) {
        proposeInstall(*install, std::move(callback), now);
    } else if (std::holds_alternative<ReadInstalledRequest>(request)) {
        // Only the holder of the leader lease knows that no newer configuration exists.
        if (m_group.isController(now))
            callback(JsonResponse { m_group.state().cluster.config.installed.document });
        else
            callback(Error { ErrorKind::NoController, {}, std::nullopt });
    } else if (const auto *change = std::get_if<ChangeRequest>(&request)) {
        proposeChange(*change, std::move(callback), now);
    } else if (const auto *drain = std::get_if<DrainRequest>(&request)) {
        if (!m_group.isController(now)) {
            callback(Error { ErrorKind::NoController, {}, std::nullopt });
            return;
        }
        setDrained(m_controller->registry, drain->upstream.value_or(UpstreamId()), !drain->cancel);
        callback(AckResponse {});
    } else if (std::holds_alternative<StatusRequest>(request)) {
        callback(JsonResponse { statusDocument(m_group, *m_controller, now) });
    } else {
        callback(JsonResponse { explainDocument(m_group.state()) });
    }
}

void ControllerHost::proposeInstall(const InstallRequest &request, ForwardCallback callback,
                                    TimePoint now)
{
    m_group.propose(
        Command(request.install), QDateTime::currentMSecsSinceEpoch(),
        [callback](const absl::StatusOr<ChangeResult> &result) {
            if (result.ok())
                callback(ChangeResponse { *result, false, {} });
            else
                callback(
                    Error { ErrorKind::OutcomeUnknown, "the controller changed", std::nullopt });
        },
        now);
}

void ControllerHost::proposeChange(const ChangeRequest &request, ForwardCallback callback,
                                   TimePoint now)
{
    const bool wait = request.wait;
    m_group.propose(
        Command(request.change), QDateTime::currentMSecsSinceEpoch(),
        [this, wait, callback](const absl::StatusOr<ChangeResult> &result) {
            const TimePoint decidedAt = monotonicNow();
            if (!result.ok()) {
                // The next leader may still commit the entry; sending the change again tells.
                callback(Error { ErrorKind::OutcomeUnknown,
                                 "the controller changed; send the "
                                 "change again with the same id",
                                 std::nullopt });
                return;
            }
            if (wait && result->outcome == ChangeOutcome::Accepted)
                m_waiters.push_back({ *result, decidedAt + kInForceTimeout, callback });
            else
                callback(answerOf(*result, decidedAt));
        },
        now);
}

ChangeResponse ControllerHost::answerOf(const ChangeResult &result, TimePoint now) const
{
    ChangeResponse answer;
    answer.result = result;
    if (!m_controller)
        return answer;
    const InForce inForce = configInForce(m_controller->leases, result.version, now);
    answer.inForce = result.outcome == ChangeOutcome::Accepted && inForce.inForce;
    answer.outstanding = inForce.outstanding;
    return answer;
}

void ControllerHost::answerWaiters(TimePoint now)
{
    std::erase_if(m_waiters, [&](const Waiter &waiter) {
        const ChangeResponse answer = answerOf(waiter.result, now);
        if (!answer.inForce && now < waiter.deadline)
            return false;
        waiter.callback(answer);
        return true;
    });
}

std::vector<HeldReport> ControllerHost::takeAnswerableReports(TimePoint now)
{
    std::vector<HeldReport> reports;
    while (!m_newlyRecorded.empty() && reports.size() < kMaxHeldAnswersPerTick) {
        const PeerProcess process = std::move(m_newlyRecorded.front());
        m_newlyRecorded.pop_front();
        if (std::optional<HeldReport> held = takeHeldReport(m_requests, process, now))
            reports.push_back(*std::move(held));
        else
            m_recordedWithoutReport.push_back(process.node);
    }
    return reports;
}

std::vector<NodeId> ControllerHost::takeReportTargets(TimePoint now)
{
    std::vector<NodeId> nodes = std::exchange(m_recordedWithoutReport, {});
    // A node that reports through a relay has no link of its own, so its relay is asked as well.
    m_reportRequestsDue = m_reportRequestsDue || !nodes.empty();
    if (m_controller && std::exchange(m_reportRequestsDue, false)) {
        for (const auto &[holder, lease] : m_controller->leases.holders)
            nodes.push_back(holder.first);
    }
    return nodesToRequest(m_requests, nodes, now);
}

bool ControllerHost::takeElected()
{
    return std::exchange(m_elected, false);
}

} // namespace shallotlever
