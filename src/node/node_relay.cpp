// The relay of a data centre: reports of its nodes go up in one message, leases come back in one.

#include "node_impl.h"

namespace shallotlever {

namespace {

/// Time in which reports are gathered.
constexpr Duration kRelayInterval = 75ms;
/// Bound of the nodes' part of a relay's report and of its answer; leaves a quarter of a frame of
/// 1 MiB to the relay's own part and the configuration and fleet.
constexpr std::size_t kMaxRelayedBytes = 768U * 1024U;

} // namespace

bool Node::Impl::relayDue(TimePoint now) const
{
    return !m_relay.waiting.empty() && now >= m_reports.lastSent + kRelayInterval;
}

void Node::Impl::relayNodeReport(NodeReport report, TimePoint now)
{
    // A restarted node knows no controller yet.
    if (report.number == 1)
        m_toldController.erase(report.node);
    m_relayedReports.increment();
    relayReport(m_relay, std::move(report), now);
}

void Node::Impl::addRelayedReports(NodeReport &own, TimePoint now)
{
    if (!m_settings.relay)
        return;
    flushRelay(m_relay, own, now, kMaxRelayedBytes);
    // What does not fit goes up in a second report at the next tick.
    if (!m_relay.waiting.empty())
        scheduleReport(m_reports, now, ReportReason::Relayed);
}

void Node::Impl::fanOutLeases(const NodeLease &answer)
{
    if (answer.nodes.empty())
        return;
    const LeaseSource source { answer.controlTerm, answer.logIndex, &m_view.configLog,
                               &m_view.fleet };
    const NodeId controller = currentController(m_controllerLink);
    for (const NodeLease &lease : relayLeases(m_relay, answer, source)) {
        m_transport->send(lease.node, MessageType::NodeLease, 0, encodeNodeLease(lease));
        // Nodes send operators' requests to the controller themselves.
        NodeId &told = m_toldController[lease.node];
        if (told != controller
            && m_transport->send(lease.node, MessageType::ControllerHint, 0, controller.value()))
            told = controller;
    }
}

NodeId Node::Impl::reportTarget() const
{
    return currentRelay(m_relayLink).value_or(currentController(m_controllerLink));
}

void Node::Impl::watchRelay(TimePoint now)
{
    const std::optional<NodeId> before = currentRelay(m_relayLink);
    if (!advanceRelayLink(m_relayLink, before && m_transport->isConnected(*before), now))
        return;
    const std::optional<NodeId> after = currentRelay(m_relayLink);
    scheduleReport(m_reports, now, ReportReason::Interval);
    m_logger.info("report_target", { { "relay", after ? after->value() : std::string() } });
}

} // namespace shallotlever
