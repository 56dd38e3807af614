#pragma once

#include <memory>

#include "absl/status/statusor.h"
#include "shallotlever/edge/messages.h"
#include "shallotlever/node/platform.h"
#include "shallotlever/settings/node_settings.h"

namespace shallotlever {

/// A whole node: HTTP listener, executors, peer links and, on control members, the control group.
class Node
{
public:
    /// Binds and starts. Needs a QCoreApplication; runs on its thread, which becomes the control
    /// thread.
    static absl::StatusOr<std::unique_ptr<Node>> create(const NodeSettings &settings,
                                                        const PlatformAdapter &platform = {});
    ~Node();
    Node(const Node &) = delete;
    Node &operator=(const Node &) = delete;

    /// Ports that are listened on, for settings with port 0.
    std::uint16_t httpPort() const;
    std::uint16_t peerPort() const;

    /// The node can serve sessions: it holds a fresh configuration and shares, and does not stop.
    bool ready() const;
    /// Passes the request on to the controller; the callback is called once.
    void install(const InstallRequest &request, EdgeResponder callback);
    void readInstalled(EdgeResponder callback);
    /// Takes an announcement; false if this node cannot pass it on to the controller at present.
    bool announce(const Announcement &announcement);

    /// Counts and logs a call of the platform that was refused before it reached the node.
    void noteRefusal(ErrorKind kind, std::string_view subject, const std::string &reason);

    /// Starts the graceful stop; the application's event loop ends with status 0 when it is done,
    /// and with status 3 if the drain limit cut requests short. A second call ends it at once.
    void shutDown();

private:
    class Impl;
    explicit Node(std::unique_ptr<Impl> impl);

    std::unique_ptr<Impl> m_impl;
};

} // namespace shallotlever
