// Reports, leases and operators' requests: the node's side of the control protocol.

#include <algorithm>

#include "node_impl.h"
#include "placement_document.h"
#include "shallotlever/base/clock.h"

namespace shallotlever {

namespace {

constexpr Duration kForwardTimeout = 3s;
/// A node reports the age of its process until then. A new controller asks for it to learn since
/// when earlier processes have spent no tokens; burst depths are refilled sooner than that.
constexpr Duration kReportedProcessAge = 30s;
/// Timeout of a change that is answered once it is in force; longer than the controller waits for
/// that.
constexpr Duration kForwardInForceTimeout = 12s;

Duration forwardTimeout(const OperatorRequest &request)
{
    const auto *change = std::get_if<ChangeRequest>(&request);
    return change != nullptr && change->wait ? kForwardInForceTimeout : kForwardTimeout;
}

void addHeldConnections(std::vector<SlotDemand> &demand, const std::vector<SlotShare> &shares)
{
    for (SlotDemand &entry : demand) {
        const auto held = std::find_if(shares.begin(), shares.end(), [&](const SlotShare &share) {
            return share.upstream == entry.upstream;
        });
        if (held != shares.end())
            entry.connectionsHeld = held->connections;
    }
}

} // namespace

void Node::Impl::tick(TimePoint now)
{
    if (m_controlGroup) {
        m_controlGroup->tick(now);
        m_controller->tick(m_view.fleet, now);
    }
    addGroupMembers();
    logSummary(now);
    if (m_controller && m_controller->takeElected()) {
        onReportRequest(m_controllerLink, m_settings.nodeId, now);
        requestReports(m_transport->connectedPeers());
        scheduleReport(m_reportSchedule, now, ReportReason::Requested);
    }
    if (m_controller)
        requestDueReports(now);
    searchNodes(now);
    updateRelay(now);
    if (m_sessions) {
        m_sessions->tick(now);
        if (m_sessions->takeObservationChanged())
            scheduleReport(m_reportSchedule, now, ReportReason::Observed);
    }
    if (m_controller)
        deliverTokens(m_controller->serveTokenQueues(now), now);
    requestMissingTokens(now);
    if (relayDue(now))
        scheduleReport(m_reportSchedule, now, ReportReason::Relayed);
    if (earlyReportDue(now))
        scheduleReport(m_reportSchedule, now, ReportReason::Demand);
    if (isReportDue(m_reportSchedule, now))
        sendReport(now);
    // A link may be dead while new ones work, so the next attempt opens another.
    const NodeId controller = currentController(m_controllerLink);
    if (const auto receivedAt = m_transport->lastPartialReceiveAt(controller))
        noteControllerProgress(m_controllerLink, *receivedAt);
    const bool silent = isControllerSilent(m_controllerLink, now);
    if (advanceControllerLink(m_controllerLink, now) && silent && controller != m_settings.nodeId)
        m_transport->closeLinks(controller);
    logController();
    expireForwarded(now);
    const bool fresh = isFresh(m_view.freshness, now);
    if (fresh != m_fresh) {
        m_fresh = fresh;
        m_logger.info(fresh ? "lease_gained" : "lease_lost", {});
        publishServiceViews();
    }
    advanceDrain();
}

/// Requests a report, so that a node that starts or was cut off need not search for the controller.
void Node::Impl::onPeerConnected(const NodeId &peer)
{
    if (m_controller && m_controller->isActive())
        requestReports({ peer });
    // A report that was due while there was no link was lost, as the first one of a process is.
    const TimePoint now = monotonicNow();
    if (peer == reportTarget() && !isFresh(m_view.freshness, now))
        scheduleReport(m_reportSchedule, now, ReportReason::Requested);
}

void Node::Impl::logController()
{
    const NodeId &controller = currentController(m_controllerLink);
    if (controller == m_loggedController)
        return;
    m_loggedController = controller;
    m_logger.info("reports_to", { { "controller", controller.value() } });
}

void Node::Impl::requestReports(const std::vector<NodeId> &nodes)
{
    for (const NodeId &node : nodes) {
        if (node != m_settings.nodeId)
            m_transport->send(node, MessageType::ReportRequest, 0, {});
    }
}

/// At the controller: answers the reports that waited for the records of their processes, and
/// requests those that are due.
void Node::Impl::requestDueReports(TimePoint now)
{
    for (const HeldReport &held : m_controller->takeAnswerableReports(now))
        answerReport(held.report, held.from, held.requestId, now);
    const std::vector<NodeId> nodes = m_controller->takeReportTargets(now);
    requestReports(nodes);
    if (std::find(nodes.begin(), nodes.end(), m_settings.nodeId) != nodes.end())
        scheduleReport(m_reportSchedule, now, ReportReason::Requested);
}

bool Node::Impl::earlyReportDue(TimePoint now)
{
    if (now < m_reportSchedule.lastSent + kEarlyReportInterval)
        return false;
    // Calls every bucket, because the call is where a bucket detects that its traffic has stopped.
    bool due = false;
    for (const auto &[team, bucket] : m_buckets)
        due = bucket->needsEarlyReport(now) || due;
    return due;
}

void Node::Impl::sendReport(TimePoint now)
{
    m_reportsSent[static_cast<std::size_t>(noteReportSent(m_reportSchedule, now))]->increment();
    NodeReport report = makeNodeReport(m_view, reportInput(now), now);
    report.knownMembers = m_knownMembers;
    addRelayedReports(report, now);
    if (m_controllerLink.searching && !currentRelay(m_relayLink))
        reportToAllMembers(report, now);
    else
        reportTo(reportTarget(), report, now);
    for (const auto &[service, host] : m_hosts)
        host->requestReport();
}

ReportInput Node::Impl::reportInput(TimePoint now)
{
    ReportInput input;
    input.controlOnly = m_settings.controlOnly;
    input.leaving = m_drainPhase != DrainPhase::None;
    if (now < m_startedAt + kReportedProcessAge)
        input.processAge = now - m_startedAt;
    // Other nodes can reach this one only if its id is its address.
    if (m_sessions && m_settings.idsAreAddresses)
        input.dataCentre = m_settings.dataCentre;
    input.announcements = takeAnnouncements(m_announcements, now);
    for (const auto &[service, host] : m_hosts) {
        const ServiceReport report = host->lastReport();
        input.reachable.insert(report.reachable.begin(), report.reachable.end());
        input.slots.insert(input.slots.end(), report.demand.begin(), report.demand.end());
    }
    if (m_sessions) {
        const ProxyReport report = m_sessions->report(now);
        input.reachable.insert(report.reachable.begin(), report.reachable.end());
        input.slots.insert(input.slots.end(), report.slots.begin(), report.slots.end());
    }
    if (isFresh(m_view.freshness, now))
        addHeldConnections(input.slots, m_view.slots);
    for (const auto &[team, bucket] : m_buckets) {
        TeamDemand demand = bucket->takeDemand(team, now);
        if (shouldReportDemand(demand))
            input.teams.push_back(std::move(demand));
    }
    return input;
}

void Node::Impl::onPeerMessage(const PeerMessage &message)
{
    const TimePoint now = monotonicNow();
    switch (message.type) {
    case MessageType::Control:
        if (m_controlGroup)
            m_controlGroup->receive(message.payload, now);
        break;
    case MessageType::NodeReport:
        onReport(message, now);
        break;
    case MessageType::NodeLease:
        onLease(message, now);
        break;
    case MessageType::Forward:
        onForward(message, now);
        break;
    case MessageType::ForwardReply:
        onForwardReply(message.requestId, message.payload);
        break;
    case MessageType::ControllerHint:
        onControllerHint(message, now);
        break;
    case MessageType::ReportRequest:
        addDiscoveredMember(message.sender);
        onReportRequest(m_controllerLink, message.sender, now);
        scheduleReport(m_reportSchedule, now, ReportReason::Requested);
        break;
    case MessageType::TokenRequest:
        onTokenRequests(message, now);
        break;
    case MessageType::TokenGrant:
        onTokenGrants(message, now);
        break;
    case MessageType::StatementRequest:
    case MessageType::StatementReply:
    case MessageType::TransactionEnd:
    case MessageType::PositionRequest:
    case MessageType::PositionReply:
        if (m_sessions)
            m_sessions->onPeerMessage(message, now);
        break;
    case MessageType::Hello:
        break;
    }
}

void Node::Impl::onControllerHint(const PeerMessage &message, TimePoint now)
{
    const NodeId named(message.payload);
    const NodeId before = currentController(m_controllerLink);
    addDiscoveredMember(named);
    if (currentRelay(m_relayLink) == message.sender)
        selectController(m_controllerLink, named, now);
    else
        applyControllerHint(m_controllerLink, message.sender, named, now);
    // Not more often, because two members may name each other.
    if (currentController(m_controllerLink) != before && !currentRelay(m_relayLink))
        scheduleReport(m_reportSchedule,
                       std::max(now, m_reportSchedule.lastSent + kEarlyReportInterval),
                       ReportReason::Requested);
}

void Node::Impl::onReport(const PeerMessage &message, TimePoint now)
{
    absl::StatusOr<NodeReport> report = decodeNodeReport(message.payload);
    if (!report.ok() || report->node != message.sender
        || report->incarnation != message.senderIncarnation)
        return;
    const bool isController = m_controller && m_controller->isActive();
    if (m_settings.relay && !isController)
        relayNodeReport(*std::move(report), now);
    else
        answerReport(*report, message.senderProcess(), message.requestId, now);
}

void Node::Impl::answerReport(const NodeReport &report, const PeerProcess &to,
                              std::uint64_t requestId, TimePoint now)
{
    const bool local = to.node == m_settings.nodeId;
    if (m_controller && m_controller->isActive()) {
        const std::optional<NodeLease> lease =
            m_controller->answerReport(report, to, requestId, now);
        if (lease && local && applyLease(*lease, now))
            noteControllerAnswer(m_controllerLink, to.node, now);
        else if (lease)
            m_transport->sendTo(to, MessageType::NodeLease, requestId, encodeNodeLease(*lease));
        return;
    }
    const std::optional<Member> leader =
        m_controlGroup ? m_controlGroup->member().leader() : std::nullopt;
    const NodeId named = leader ? leader->node : NodeId();
    if (local)
        applyControllerHint(m_controllerLink, to.node, named, now);
    else
        m_transport->sendTo(to, MessageType::ControllerHint, requestId, named.value());
}

void Node::Impl::onLease(const PeerMessage &message, TimePoint now)
{
    const absl::StatusOr<NodeLease> lease = decodeNodeLease(message.payload);
    if (!lease.ok() || !applyLease(*lease, now))
        return;
    noteRelayAnswer(m_relayLink, message.sender, now);
    const NodeId &controller = currentRelay(m_relayLink) == message.sender
        ? currentController(m_controllerLink)
        : message.sender;
    noteControllerAnswer(m_controllerLink, controller, now);
}

void Node::Impl::onForward(const PeerMessage &message, TimePoint now)
{
    const auto reply = [this, sender = message.senderProcess(),
                        id = message.requestId](const OperatorReply &answer) {
        m_transport->sendTo(sender, MessageType::ForwardReply, id, encodeOperatorReply(answer));
    };
    const absl::StatusOr<OperatorRequest> request = decodeOperatorRequest(message.payload);
    if (!request.ok())
        reply(Error { ErrorKind::MalformedRequest, {}, std::nullopt });
    else if (!m_controller)
        reply(Error { ErrorKind::NoController, {}, std::nullopt });
    else
        m_controller->forward(*request, reply, now);
}

void Node::Impl::onForwardReply(std::uint64_t requestId, const std::string &payload)
{
    const auto entry = m_forwarded.find(requestId);
    if (entry == m_forwarded.end())
        return;
    const ForwardedRequest forwarded = std::move(entry->second);
    m_forwarded.erase(entry);
    const absl::StatusOr<OperatorReply> reply = decodeOperatorReply(payload);
    if (!reply.ok()) {
        forwarded.respond(Error { ErrorKind::Internal, {}, std::nullopt });
        return;
    }
    std::visit([&](const auto &answer) { forwarded.respond(answer); }, *reply);
}

void Node::Impl::expireForwarded(TimePoint now)
{
    std::erase_if(m_forwarded, [now](const auto &entry) {
        if (now < entry.second.deadline)
            return false;
        const ErrorKind kind =
            entry.second.isChange ? ErrorKind::OutcomeUnknown : ErrorKind::NoController;
        entry.second.respond(Error {
            kind, "the controller did not answer; send it again with the same id", std::nullopt });
        return true;
    });
}

void Node::Impl::handleControl(EdgeRequest request, EdgeResponder respond)
{
    const TimePoint now = monotonicNow();
    if (const auto *announcement = std::get_if<AnnounceRequest>(&request)) {
        announce(*announcement, respond);
    } else if (auto *change = std::get_if<ChangeRequest>(&request)) {
        forwardRequest(std::move(*change), std::move(respond), now);
    } else if (const auto *drain = std::get_if<DrainRequest>(&request)) {
        if (drain->upstream) {
            forwardRequest(*drain, std::move(respond), now);
            return;
        }
        if (drain->cancel) {
            respond(Error { ErrorKind::MalformedRequest,
                            "cancel needs an upstream; a node that drains stops", std::nullopt });
            return;
        }
        respond(AckResponse {});
        shutDown();
    } else if (const auto *question = std::get_if<ExplainPlacementRequest>(&request)) {
        explainPlacement(*question, respond, now);
    } else if (std::holds_alternative<StatusRequest>(request)) {
        forwardRequest(StatusRequest {}, std::move(respond), now);
    } else {
        forwardRequest(ExplainRequest {}, std::move(respond), now);
    }
}

void Node::Impl::explainPlacement(const ExplainPlacementRequest &request,
                                  const EdgeResponder &respond, TimePoint now) const
{
    if (!m_sessions) {
        respond(Error { ErrorKind::UnknownService, "this node serves no sessions", std::nullopt });
        return;
    }
    const auto explanation = m_sessions->explainPlacement(
        { request.team, request.database, request.mode == AccessMode::Write, request.position },
        now);
    if (const auto *error = std::get_if<Error>(&explanation))
        respond(*error);
    else
        respond(JsonResponse { placementDocument(m_settings.nodeId, request,
                                                 std::get<PlacementExplanation>(explanation)) });
}

void Node::Impl::announce(const AnnounceRequest &request, const EdgeResponder &respond)
{
    acceptAnnouncement(request.announcement);
    respond(AckResponse {});
}

bool Node::Impl::acceptAnnouncement(const Announcement &announcement)
{
    const TimePoint now = monotonicNow();
    holdAnnouncement(m_announcements, announcement, now);
    // Work must move from a leaving upstream to a new one without waiting for the regular report.
    if (announcement.leaving || announcement.gone)
        scheduleReport(m_reportSchedule, now, ReportReason::Announced);
    return isFresh(m_view.freshness, now);
}

void Node::Impl::noteRefusal(ErrorKind kind, std::string_view subject, const std::string &reason)
{
    m_metrics.refusal(kind).increment();
    m_logger.warning(
        "call_refused",
        { { "subject", subject }, { "reason", errorRow(kind).name }, { "error", reason } });
}

bool Node::Impl::ready() const
{
    return !m_shared.draining && m_shared.sharesGranted && isFresh(m_view.freshness, monotonicNow())
        && m_view.replicated.cluster.config.installed.number != InstallNumber();
}

void Node::Impl::forwardRequest(const OperatorRequest &request, EdgeResponder respond,
                                TimePoint now)
{
    if (m_controller && m_controller->isActive()) {
        m_controller->forward(
            request,
            [respond](const OperatorReply &reply) {
                std::visit([&](const auto &answer) { respond(answer); }, reply);
            },
            now);
        return;
    }
    const std::uint64_t id = ++m_lastForwardId;
    if (!m_transport->send(currentController(m_controllerLink), MessageType::Forward, id,
                           encodeOperatorRequest(request))) {
        respond(Error { ErrorKind::NoController, {}, std::nullopt });
        return;
    }
    m_forwarded.emplace(id,
                        ForwardedRequest { std::move(respond), now + forwardTimeout(request),
                                           std::holds_alternative<ChangeRequest>(request) });
}

} // namespace shallotlever
