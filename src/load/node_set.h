#pragma once

#include <memory>
#include <vector>

#include <QTimer>

#include "http_client.h"
#include "shallotlever/base/random.h"

namespace shallotlever::load {

/// The nodes as seen through the platform's balancer: requests go only to nodes whose /readyz
/// succeeded last time.
class NodeSet : public QObject
{
public:
    NodeSet(const std::vector<quint16> &ports, int maxConnections);

    std::size_t size() const { return m_nodes.size(); }
    /// A ready node, at `index` or the next one after it.
    std::size_t readyFrom(std::size_t index) const;
    std::size_t readyAtRandom(Random &random) const;
    /// Sends on the node; a refused connection moves on to the next ready one.
    void send(std::size_t node, const HttpRequest &request, const HttpCallback &callback);

private:
    struct Node
    {
        std::unique_ptr<HttpClient> client;
        /// Separate, so that checks do not wait behind requests.
        std::unique_ptr<HttpClient> checks;
        bool ready = true;
    };
    void trySend(std::size_t node, const HttpRequest &request, const HttpCallback &callback,
                 std::size_t attemptsLeft);
    void check();

    std::vector<Node> m_nodes;
    QTimer m_timer;
};

} // namespace shallotlever::load
