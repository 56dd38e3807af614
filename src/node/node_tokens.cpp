// Single tokens of teams: the node's requests to the controller, and the controller's grants.

#include "node_impl.h"
#include "shallotlever/fleet/token_messages.h"

namespace shallotlever {

void Node::Impl::requestMissingTokens(TimePoint now)
{
    const NodeId &controller = currentController(m_controllerLink);
    if (controller != m_tokenController) {
        // The previous controller will not grant the pending requests any more.
        m_tokenController = controller;
        m_pendingTokenRequests.byTeam.clear();
    }
    const std::uint64_t request = m_pendingTokenRequests.lastRequest + 1;
    std::vector<TokenRequest> requests;
    for (const auto &[team, bucket] : m_buckets) {
        const std::uint32_t tokens =
            shallotlever::createTokenRequest(m_pendingTokenRequests, team, *bucket, request, now);
        if (tokens > 0)
            requests.push_back({ team, tokens });
    }
    if (requests.empty())
        return;
    m_pendingTokenRequests.lastRequest = request;
    if (controller == m_settings.nodeId)
        answerTokenRequests({ controller, m_incarnation, request }, requests, now);
    else
        m_transport->send(controller, MessageType::TokenRequest, request,
                          encodeTokenRequests(requests));
}

void Node::Impl::onTokenRequests(const PeerMessage &message, TimePoint now)
{
    const auto requests = decodeTokenRequests(message.payload);
    if (requests.ok())
        answerTokenRequests({ message.sender, message.senderIncarnation, message.requestId },
                            *requests, now);
}

void Node::Impl::answerTokenRequests(const TokenRequester &requester,
                                     const std::vector<TokenRequest> &requests, TimePoint now)
{
    if (m_controller)
        deliverTokens(m_controller->requestTokens(requester, requests, now), now);
}

void Node::Impl::deliverTokens(const std::vector<TokenDelivery> &deliveries, TimePoint now)
{
    std::map<std::pair<PeerProcess, std::uint64_t>, std::vector<TokenGrant>> messages;
    for (const TokenDelivery &delivery : deliveries)
        messages[{ { delivery.to.node, delivery.to.incarnation }, delivery.to.request }].push_back(
            delivery.grant);
    for (const auto &[to, grants] : messages) {
        if (to.first.node == m_settings.nodeId)
            applyTokenGrants(grants, to.second, now);
        else
            m_transport->sendTo(to.first, MessageType::TokenGrant, to.second,
                                encodeTokenGrants(grants));
    }
}

void Node::Impl::onTokenGrants(const PeerMessage &message, TimePoint now)
{
    const auto grants = decodeTokenGrants(message.payload);
    if (grants.ok())
        applyTokenGrants(*grants, message.requestId, now);
}

void Node::Impl::applyTokenGrants(const std::vector<TokenGrant> &grants, std::uint64_t request,
                                  TimePoint now)
{
    for (const TokenGrant &grant : grants) {
        const auto bucket = m_buckets.find(grant.team);
        if (bucket != m_buckets.end())
            applyTokenGrant(m_pendingTokenRequests, *bucket->second, request, grant, now);
    }
}

} // namespace shallotlever
