// Control members that are discovered instead of configured, and the search for the controller.

#include <algorithm>

#include "node_impl.h"

namespace shallotlever {

void Node::Impl::reportTo(const NodeId &target, const NodeReport &report, TimePoint now)
{
    if (target == m_settings.nodeId)
        answerReport(report, { target, m_incarnation }, 0, now);
    else
        m_transport->send(target, MessageType::NodeReport, report.number, encodeNodeReport(report));
}

/// Only the controller grants a lease; the others answer with hints.
void Node::Impl::reportToAllMembers(const NodeReport &report, TimePoint now)
{
    const std::vector<NodeId> members = m_controllerLink.members;
    for (const NodeId &member : members)
        reportTo(member, report, now);
}

void Node::Impl::addDiscoveredMember(const NodeId &member)
{
    const bool address = parseSocketAddress(member.value() + ":1").has_value();
    if (!m_settings.idsAreAddresses || !address || member == m_settings.nodeId)
        return;
    std::vector<NodeId> &members = m_controllerLink.members;
    if (std::find(members.begin(), members.end(), member) != members.end())
        return;
    m_logger.info("control_member_learned", { { "member", member.value() } });
    members.push_back(member);
    if (m_controlGroup)
        m_controlGroup->addDiscoveredPeer(member);
    m_transport->setPeer(member, { member.value(), m_settings.peerListen.port });
}

/// Follows the control members that the controller named, so that a node which was told of some
/// seeds only still finds the group when all of them have been replaced.
void Node::Impl::adoptControlMembers(const std::vector<NodeId> &members)
{
    if (members.empty())
        return;
    m_knownMembers = controlMembersDigest(members);
    for (const NodeId &member : members)
        addDiscoveredMember(member);
    if (!m_settings.idsAreAddresses)
        return;
    std::vector<NodeId> configured = configuredMembers(m_settings);
    if (m_settings.control)
        configured.push_back(m_settings.nodeId);
    for (const NodeId &former : setControlMembers(m_controllerLink, members, configured)) {
        m_logger.info("control_member_removed", { { "member", former.value() } });
        if (!m_sessions || !m_sessions->usesPeer(former))
            m_transport->forgetPeer(former);
    }
}

void Node::Impl::addGroupMembers()
{
    if (!m_controlGroup || !m_settings.idsAreAddresses)
        return;
    const Membership &membership = m_controlGroup->member().membership();
    for (const Member &voter : membership.voters)
        addDiscoveredMember(voter.node);
    if (membership.learner)
        addDiscoveredMember(membership.learner->node);
}

/// Whether the node is connected to for another reason than the search.
bool Node::Impl::isRegularPeer(const NodeId &node) const
{
    const std::vector<NodeId> &members = m_controllerLink.members;
    return std::find(members.begin(), members.end(), node) != members.end()
        || (m_sessions && m_sessions->usesPeer(node));
}

/// Connects to recorded nodes that don't report. A node that is connected to is asked for a report,
/// and learns from the question who the controller is.
void Node::Impl::searchNodes(TimePoint now)
{
    if (!m_controller || !m_settings.idsAreAddresses)
        return;
    const NodeSearchStep step = m_controller->takeNodeSearchStep(now);
    for (const NodeId &node : step.connect) {
        m_logger.info("node_searched", { { "searched", node.value() } });
        m_transport->setPeer(node, { node.value(), m_settings.peerListen.port });
    }
    for (const NodeId &node : step.disconnect) {
        if (!isRegularPeer(node))
            m_transport->forgetPeer(node);
    }
}

} // namespace shallotlever
