#include "node_set.h"

namespace shallotlever::load {

namespace {

constexpr std::chrono::milliseconds kCheckPeriod { 200 };
constexpr std::chrono::milliseconds kCheckTimeout { 1000 };

} // namespace

NodeSet::NodeSet(const std::vector<quint16> &ports, int maxConnections)
{
    for (const quint16 port : ports)
        m_nodes.push_back({ std::make_unique<HttpClient>(port, maxConnections),
                            std::make_unique<HttpClient>(port, 1), true });
    connect(&m_timer, &QTimer::timeout, this, &NodeSet::check);
    m_timer.start(kCheckPeriod);
}

void NodeSet::check()
{
    for (Node &node : m_nodes) {
        HttpRequest request;
        request.method = "GET";
        request.path = "/readyz";
        request.timeout = kCheckTimeout;
        node.checks->send(std::move(request), [&node](const HttpReply &reply) {
            node.ready = reply.transport == Transport::Answered && reply.status == 200;
        });
    }
}

std::size_t NodeSet::readyFrom(std::size_t index) const
{
    for (std::size_t i = 0; i < m_nodes.size(); ++i) {
        if (m_nodes[(index + i) % m_nodes.size()].ready)
            return (index + i) % m_nodes.size();
    }
    return index % m_nodes.size();
}

std::size_t NodeSet::readyAtRandom(Random &random) const
{
    return readyFrom(uniformBelow(random, m_nodes.size()));
}

void NodeSet::send(std::size_t node, const HttpRequest &request, const HttpCallback &callback)
{
    trySend(node, request, callback, m_nodes.size());
}

void NodeSet::trySend(std::size_t node, const HttpRequest &request, const HttpCallback &callback,
                      std::size_t attemptsLeft)
{
    m_nodes[node].client->send(request, [=, this](const HttpReply &reply) {
        if (reply.transport != Transport::NotSent || attemptsLeft <= 1) {
            callback(reply);
            return;
        }
        m_nodes[node].ready = false;
        trySend(readyFrom(node + 1), request, callback, attemptsLeft - 1);
    });
}

} // namespace shallotlever::load
