#include "controller_host.h"

#include <QDateTime>

#include <fmt/format.h>

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
/// Maximum time that an operator waits for a change to be in force.
constexpr Duration kInForceTimeout = 10s;
/// Interval of the log lines about shares, and the maximum number of teams and of databases that
/// are logged each time.
constexpr Duration kShareLogInterval = 5s;
constexpr std::size_t kMaxShareLogLines = 20;

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

std::size_t upstreamCount(const FleetView &view)
{
    std::size_t count = 0;
    for (const auto &[service, group] : view.groups)
        count += group.upstreams.size();
    return count;
}

std::int64_t millisecondsBetween(TimePoint from, TimePoint to)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(to - from).count();
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
        stopController();
    if (isController && !m_controller)
        startController(ownView, now);
    if (m_controller && (m_advanceDue || now >= m_nextAdvance))
        advance(now);
}

/// Logs each new term, because elections without a winner are not logged otherwise.
void ControllerHost::logTerm()
{
    const ControlMember &member = m_group.member();
    if (member.term() == m_loggedTerm)
        return;
    m_loggedTerm = member.term();
    m_logger.info(
        "control_term_changed",
        { { "control_term", m_loggedTerm.value() }, { "role", controlRoleName(member.role()) } });
}

void ControllerHost::startController(const FleetLog &ownView, TimePoint now)
{
    const ControlTerm term = m_group.member().term();
    m_controller = makeController(term, m_group.state(), ownView,
                                  QDateTime::currentMSecsSinceEpoch(), now, m_recordNodes);
    m_elected = true;
    m_reportRequestsDue = true;
    m_predecessorWaitEnded = false;
    m_firstViewLogged = false;
    m_logger.info("controller_elected",
                  { { "control_term", term.value() },
                    { "has_fleet_view", ownView.version != FleetVersion() },
                    { "nodes_unaccounted", m_controller->records.unaccountedProcesses.size() } });
}

/// Logs the controller's state of the teams that are closest to their limits: requests within the
/// rate are refused if demand is overestimated, or if nodes hold parts of the rate without using
/// them.
void ControllerHost::logTeams() const
{
    for (const auto &[id, team] : busiestTeams(m_controller->rates, kMaxShareLogLines)) {
        m_logger.info("team_shares",
                      { { "team", id.value() },
                        { "rate_per_second", team->ratePerSecond },
                        { "burst", team->burst },
                        { "leased_demand", team->demand },
                        { "requested_tokens", team->requestedPerSecond },
                        { "average_demand", team->averageDemand },
                        { "rate_held", team->leasedRate },
                        { "burst_held", team->leasedBurst },
                        { "pool", team->pool } });
    }
}

/// Logs databases that are close to their connection limit, with the number of connections by their
/// own count, by the leases and by the reports of nodes.
void ControllerHost::logFullUpstreams() const
{
    std::size_t logged = 0;
    for (const auto &[service, group] : m_controller->groups) {
        for (const auto &[id, known] : group.statuses) {
            const auto upstream = m_controller->slots.upstreams.find(id);
            if (upstream == m_controller->slots.upstreams.end())
                continue;
            const SlotUpstream &slots = upstream->second;
            const std::uint32_t maxConnections = slots.limit - connectionReserve(slots.limit);
            const bool full =
                std::max(known.status.connections, slots.leasedConnections) >= maxConnections;
            if (!full || ++logged > kMaxShareLogLines)
                continue;
            m_logger.info("upstream_full",
                          { { "upstream", id.value() },
                            { "limit", slots.limit },
                            { "counted_by_upstream", known.status.connections },
                            { "leased", slots.leasedConnections },
                            { "reported_open", reportedConnections(m_controller->slots, id) },
                            { "needed", slots.neededConnections },
                            { "nodes", slots.servingNodes } });
        }
    }
}

/// Logs the processes for which changes of primary wait: commits may be held by them alone.
void ControllerHost::logWaitingChanges(TimePoint now) const
{
    std::size_t logged = 0;
    for (const auto &[service, group] : m_controller->groups) {
        const ConfirmedChange &change = group.confirmed;
        if (change.awaited.empty() || now < change.times.detected + kShareLogInterval
            || ++logged > kMaxShareLogLines)
            continue;
        std::string awaited;
        for (const MemberId &process : change.awaited)
            awaited += fmt::format("{}{}/{}", awaited.empty() ? "" : " ", process.upstream.value(),
                                   process.incarnation.value());
        m_logger.warning("primary_change_waits",
                         { { "service", service.value() },
                           { "awaited", awaited },
                           { "waited_ms", millisecondsBetween(change.times.detected, now) } });
    }
}

void ControllerHost::logShares(TimePoint now)
{
    if (now < m_nextShareLog)
        return;
    m_nextShareLog = now + kShareLogInterval;
    logTeams();
    logFullUpstreams();
    logWaitingChanges(now);
}

void ControllerHost::stopController()
{
    m_logger.info("controller_stepped_down",
                  { { "control_term", m_controller->controlTerm.value() } });
    m_controller.reset();
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

/// Nodes keep their shares until the controller has a fleet view, so it is logged where the view
/// came from.
void ControllerHost::logRecoveredView(const NodeReport &source, TimePoint now) const
{
    m_logger.info("fleet_view_recovered",
                  { { "source", source.node.value() },
                    { "incarnation", source.incarnation.value() },
                    { "view_control_term", source.appliedFleet.controlTerm.value() },
                    { "view_number", source.appliedFleet.number },
                    { "upstreams", upstreamCount(m_controller->fleetLog.state.view) },
                    { "waited_ms", millisecondsBetween(m_controller->electedAt, now) } });
}

/// Logs the first view of a controller: until then nodes have the view of the predecessor.
void ControllerHost::logFirstView(TimePoint now)
{
    if (std::exchange(m_firstViewLogged, true))
        return;
    m_logger.info("first_fleet_view",
                  { { "control_term", m_controller->controlTerm.value() },
                    { "upstreams", upstreamCount(m_controller->fleetLog.state.view) },
                    { "owners", m_controller->publishedOwnership ? "selected" : "kept" },
                    { "continues_view", m_controller->inheritedFleetVersion != FleetVersion() },
                    { "waited_ms", millisecondsBetween(m_controller->electedAt, now) } });
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
    for (const CompletedPrimaryChange &changed : actions.changes)
        logPrimaryChange(changed);
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
        link = { call.endpoint, m_makeControl(call.service, call.upstream, call.endpoint) };
    }
    return link.control;
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
        onUpstreamAnswer(*m_controller, call, upstreamAnswer(call, status), now, monotonicNow());
        m_advanceDue = true;
    };
    UpstreamControl &control = controlOf(call);
    switch (call.kind) {
    case CallKind::Status:
        control.status(kCallTimeout, callback);
        break;
    case CallKind::Fence:
        control.fence(call.term, kCallTimeout, callback);
        break;
    case CallKind::Promote:
        m_logger.info("promotion_ordered",
                      { { "service", call.service.value() },
                        { "upstream", call.upstream.value() },
                        { "epoch", call.term.value() } });
        control.promote(call.term, kCallTimeout, callback);
        break;
    case CallKind::StepDown:
        control.stepDown(call.term, kCallTimeout, callback);
        break;
    case CallKind::Resume:
        control.resume(kCallTimeout, callback);
        break;
    }
}

/// Not called for status queries, which fail often and without consequence by themselves; the other
/// calls decide a change of primary.
void ControllerHost::logFailedCall(const UpstreamCall &call, const absl::Status &status) const
{
    m_logger.warning("upstream_call_failed",
                     { { "service", call.service.value() },
                       { "upstream", call.upstream.value() },
                       { "call", callKindName(call.kind) },
                       { "term", call.term.value() },
                       { "error", std::string(status.message()) } });
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

void ControllerHost::logPrimaryChange(const CompletedPrimaryChange &changed) const
{
    const ChangeTimes &times = changed.change.times;
    m_primaryChanges.increment();
    m_primaryChangeTime.observe(times.published - times.lastSeen);
    m_logger.info("primary_changed",
                  { { "service", changed.service.value() },
                    { "primary", changed.change.primary.value() },
                    { "term", changed.change.term.value() },
                    { "reason", changeReasonName(changed.change.reason) },
                    { "attempts", changed.change.attempts },
                    { "detection_ms", millisecondsBetween(times.lastSeen, times.detected) },
                    { "reservation_ms", millisecondsBetween(times.detected, times.reserved) },
                    { "fence_ms", millisecondsBetween(times.reserved, times.fenced) },
                    { "promotion_ms", millisecondsBetween(times.fenced, times.promoted) },
                    { "confirmation_ms", millisecondsBetween(times.promoted, times.confirmed) },
                    { "publication_ms", millisecondsBetween(times.confirmed, times.published) } });
}

std::optional<NodeLease> ControllerHost::answerReport(const NodeReport &report, TimePoint now)
{
    if (!m_controller || !m_group.isController(now))
        return std::nullopt;
    // A report may confirm what a change of primary waits for.
    m_advanceDue = true;
    const FleetVersion inherited = m_controller->inheritedFleetVersion;
    std::optional<NodeLease> lease = onNodeReport(*m_controller, report, now);
    if (m_controller->inheritedFleetVersion != inherited)
        logRecoveredView(report, now);
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
    if (const auto *record = std::get_if<RecordNode>(&command))
        m_newlyRecordedNodes.push_back(record->node);
    m_reportRequestsDue = true;
    m_advanceDue = true;
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

std::vector<NodeId> ControllerHost::takeReportTargets()
{
    std::vector<NodeId> nodes = std::exchange(m_newlyRecordedNodes, {});
    if (m_controller) {
        for (const auto &[holder, lease] : m_controller->leases.holders)
            nodes.push_back(holder.first);
    }
    return nodes;
}

bool ControllerHost::takeReportRequestsDue()
{
    return std::exchange(m_reportRequestsDue, false);
}

bool ControllerHost::takeElected()
{
    return std::exchange(m_elected, false);
}

} // namespace shallotlever
