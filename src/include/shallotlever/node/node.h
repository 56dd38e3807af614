#pragma once

#include <memory>

#include "absl/status/statusor.h"
#include "shallotlever/base/memory_budget.h"
#include "shallotlever/edge/messages.h"
#include "shallotlever/node/platform.h"
#include "shallotlever/settings/node_settings.h"

namespace shallotlever {

/// A proxy node: HTTP listener, executors, peer connections and, on control members, the control
/// group.
class Node
{
public:
    /// Binds the listening sockets and starts the node. Requires a QCoreApplication, whose thread
    /// becomes the control thread.
    static absl::StatusOr<std::unique_ptr<Node>> create(const NodeSettings &settings,
                                                        const PlatformAdapter &platform = {});
    ~Node();
    Node(const Node &) = delete;
    Node &operator=(const Node &) = delete;

    /// The bound ports; they differ from the settings if those specify port 0.
    std::uint16_t httpPort() const;
    std::uint16_t peerPort() const;

    /// True if the node can serve sessions: its lease is live, a configuration is installed, shares
    /// have been granted, and it is not shutting down.
    bool ready() const;
    /// Memory that all listeners of the process use together.
    const std::shared_ptr<MemoryBudget> &memory() const;
    /// Forwards the request to the controller; the callback is called once.
    void install(const InstallRequest &request, EdgeResponder callback);
    void readInstalled(EdgeResponder callback);
    /// Orders that nothing more is sent to the databases of the data centre, or ends that. The
    /// callback is called once: with ChangeResponse once the order is committed, with the error
    /// InvalidChange if the settings do not list the data centre, and with another error while it
    /// is not known whether the order is committed or this node has no lease.
    void evacuate(const DataCentreId &dataCentre, bool inForce, EdgeResponder callback);
    /// Accepts an upstream's announcement. Returns false if this node has no lease, because it may
    /// then be unable to pass the announcement on to the controller.
    bool announce(const Announcement &announcement);

    /// Counts and logs a platform call that was refused before it reached the node.
    void noteRefusal(ErrorKind kind, std::string_view subject, const std::string &reason);

    /// Starts a graceful shutdown. The application's event loop exits with status 0 when it is
    /// complete, or with status 3 if the drain limit cut off requests. A second call exits at once.
    void shutDown();

private:
    class Impl;
    explicit Node(std::unique_ptr<Impl> impl);

    std::unique_ptr<Impl> m_impl;
};

} // namespace shallotlever
