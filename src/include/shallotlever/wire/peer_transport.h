#pragma once

#include <array>
#include <functional>
#include <map>
#include <memory>
#include <numeric>
#include <optional>
#include <string>
#include <vector>

#include <QObject>

#include "absl/status/statusor.h"
#include "shallotlever/types/fleet.h"
#include "shallotlever/wire/peer.h"

namespace shallotlever {

/// Paths of the PEM files for mutual TLS authentication.
struct PeerTlsFiles
{
    std::string certificate;
    std::string key;
    /// CA certificates that the peers' certificates are verified against.
    std::string authority;
};

struct PeerTransportOptions
{
    NodeId self;
    Incarnation incarnation;
    /// With port 0 the operating system chooses a free port.
    Endpoint listen;
    /// Peers that this node connects to, and reconnects to after a failure.
    std::map<NodeId, Endpoint> peers;
    /// If not set, peers are not authenticated; for tests and trusted networks only.
    std::optional<PeerTlsFiles> tls;
};

/// Counters of the transport, for metrics.
struct PeerTransportCounters
{
    std::uint64_t messagesSent = 0;
    std::uint64_t messagesReceived = 0;
    /// The same, indexed by MessageType.
    std::array<std::uint64_t, kMessageTypeCount> messagesSentByType {};
    std::array<std::uint64_t, kMessageTypeCount> messagesReceivedByType {};
    /// Frame bytes sent, after compression, indexed by MessageType.
    std::array<std::uint64_t, kMessageTypeCount> bytesSentByType {};
    /// What these were shorter for compression, indexed by MessageType.
    std::array<std::uint64_t, kMessageTypeCount> bytesSavedByType {};
    std::uint64_t bytesReceived = 0;
    /// Messages dropped because there was no link to the peer, its send buffer was full or the
    /// message was too large.
    std::uint64_t messagesDropped = 0;
    /// Received messages discarded because they were addressed to an earlier incarnation of this
    /// process, or sent by an incarnation other than the one in the peer's Hello.
    std::uint64_t staleIncarnation = 0;
    /// Links closed because of a malformed frame, a wrong identity, or a missing or repeated Hello.
    std::uint64_t linksRejected = 0;

    std::uint64_t bytesSent() const
    {
        return std::accumulate(bytesSentByType.begin(), bytesSentByType.end(), std::uint64_t { 0 });
    }
    /// Messages sent and received of the type.
    std::uint64_t messagesOf(MessageType type) const
    {
        return messagesSentByType[static_cast<std::size_t>(type)]
            + messagesReceivedByType[static_cast<std::size_t>(type)];
    }
    std::uint64_t bytesSentOf(MessageType type) const
    {
        return bytesSentByType[static_cast<std::size_t>(type)];
    }
    std::uint64_t bytesSavedOf(MessageType type) const
    {
        return bytesSavedByType[static_cast<std::size_t>(type)];
    }
};

/// Links to other nodes over TCP with optional TLS. Delivery is best effort: a message may be lost,
/// but is never delivered twice, nor to a later incarnation than the one it is addressed to.
///
/// All functions must be called on the thread of the object's event loop. Each side sends Hello
/// first. With TLS the node id in Hello must be a common name of the sender's certificate.
class PeerTransport : public QObject
{
    Q_OBJECT
public:
    using Receiver = std::function<void(PeerMessage)>;

    /// Listens and starts connecting. Fails if the address cannot be bound or a TLS file cannot
    /// be read.
    static absl::StatusOr<std::unique_ptr<PeerTransport>> create(PeerTransportOptions options,
                                                                 Receiver receiver);
    ~PeerTransport() override;

    /// Port of the listening socket.
    std::uint16_t port() const;

    /// Adds a peer that this node connects to, or changes its address for later connects.
    void setPeer(const NodeId &peer, const Endpoint &endpoint);

    /// Stops connecting to the peer; open links stay open.
    void forgetPeer(const NodeId &peer);
    /// Closes all links to the peer. Those that this node opened are opened again.
    void closeLinks(const NodeId &peer);

    /// Sends a message over the newest link to the peer, whichever side opened it. The receiver
    /// incarnation is taken from the peer's Hello. Returns false if the message was dropped.
    bool send(const NodeId &peer, MessageType type, std::uint64_t requestId, std::string payload);

    /// Sends a message to one process of a peer, over the newest link to it. Use it for replies:
    /// request ids are unique only within the process that sent the request. Returns false if the
    /// message was dropped, for example because the peer has restarted.
    bool sendTo(const PeerProcess &process, MessageType type, std::uint64_t requestId,
                std::string payload);

    bool isConnected(const NodeId &peer) const;
    /// Whether messages wait to be accepted by the operating system.
    bool hasUnsentBytes() const;
    /// When the last part of a message that is still incomplete arrived from the peer, over any
    /// link; nullopt if there is no such message.
    std::optional<TimePoint> lastPartialReceiveAt(const NodeId &peer) const;
    /// Network round trip to a peer that this node connects to: the shortest time that a TCP
    /// connect took; nullopt if none has succeeded.
    std::optional<Duration> roundTrip(const NodeId &peer) const;
    /// Peers with an identified link, whichever side opened it.
    std::vector<NodeId> connectedPeers() const;

    const PeerTransportCounters &counters() const;

Q_SIGNALS:
    /// Emitted when a link to the peer is established and the peer has identified itself.
    void connected(const NodeId &peer);
    /// Emitted when the last link to the peer is closed.
    void disconnected(const NodeId &peer);

private:
    class Impl;
    explicit PeerTransport(std::unique_ptr<Impl> impl);

    std::unique_ptr<Impl> m_impl;
};

} // namespace shallotlever
