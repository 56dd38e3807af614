#pragma once

#include <QThread>
#include <atomic>
#include <cstdint>
#include <map>
#include <memory>
#include <utility>
#include <vector>

namespace shallotlever::support {

/// One listener between a node that dials and a node that listens.
struct RelayPath
{
    int from = 0;
    int to = 0;
    std::uint16_t targetPort = 0;
};

/// Relays TCP connections between nodes in a thread of its own. A direction can be blocked: its
/// data stay in the buffers and no connection is closed, as in a silent network partition.
class RelayNetwork : public QThread
{
public:
    explicit RelayNetwork(std::vector<RelayPath> paths);
    ~RelayNetwork() override;

    /// Port at which `from` reaches `to`.
    std::uint16_t port(int from, int to) const { return m_ports.at({ from, to }); }
    /// Stops or resumes all data from one node to another, on connections of either side.
    void setBlocked(int from, int to, bool blocked);
    /// Blocks or resumes both directions between the node and all others.
    void isolate(int node, bool isolated);

protected:
    void run() override;

private:
    using Direction = std::pair<int, int>;

    std::vector<RelayPath> m_paths;
    std::map<Direction, std::uint16_t> m_ports;
    std::map<Direction, std::unique_ptr<std::atomic<bool>>> m_blocked;
    std::atomic<bool> m_started = false;
};

} // namespace shallotlever::support
