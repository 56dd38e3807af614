// The relay of a data centre: forwards the reports of its nodes to the controller in one message
// and distributes the leases, which return in one message.

#include "node_impl.h"

namespace shallotlever {

namespace {

/// Minimum time since the relay's last report before reports of its nodes are forwarded; they are
/// aggregated meanwhile.
constexpr Duration kRelayAggregationInterval = 75ms;
/// Maximum size of the nodes' part of a relay's report and of its answer. Leaves a quarter of a
/// 1 MiB frame for the relay's own part, the configuration and the fleet.
constexpr std::size_t kMaxRelayedBytes = 768U * 1024U;

} // namespace

bool Node::Impl::relayDue(TimePoint now) const
{
    return !m_relay.waiting.empty() && now >= m_reportSchedule.lastSent + kRelayAggregationInterval;
}

void Node::Impl::relayNodeReport(NodeReport report, TimePoint now)
{
    // A restarted node does not know the controller yet, so the hint is sent again.
    if (report.number == 1)
        m_lastControllerHints.erase(report.node);
    m_relayedReports.increment();
    relayReport(m_relay, std::move(report), now);
}

void Node::Impl::addRelayedReports(NodeReport &own, TimePoint now)
{
    if (!m_settings.relay)
        return;
    flushRelay(m_relay, own, now, kMaxRelayedBytes);
    // Reports that do not fit are sent in a second report at the next tick.
    if (!m_relay.waiting.empty())
        scheduleReport(m_reportSchedule, now, ReportReason::Relayed);
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
        // Nodes need to know the controller, because they send operators' requests to it directly.
        NodeId &lastHint = m_lastControllerHints[lease.node];
        if (lastHint != controller
            && m_transport->send(lease.node, MessageType::ControllerHint, 0, controller.value()))
            lastHint = controller;
    }
}

NodeId Node::Impl::reportTarget() const
{
    return currentRelay(m_relayLink).value_or(currentController(m_controllerLink));
}

void Node::Impl::updateRelay(TimePoint now)
{
    const std::optional<NodeId> before = currentRelay(m_relayLink);
    if (!advanceRelayLink(m_relayLink, before && m_transport->isConnected(*before), now))
        return;
    const std::optional<NodeId> after = currentRelay(m_relayLink);
    scheduleReport(m_reportSchedule, now, ReportReason::Interval);
    m_logger.info("report_target", { { "relay", after ? after->value() : std::string() } });
}

} // namespace shallotlever
