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

/// Certificate, key and authority for mutual authentication, as paths of PEM files.
struct PeerTlsFiles
{
    std::string certificate;
    std::string key;
    std::string authority;
};

struct PeerTransportOptions
{
    NodeId self;
    Incarnation incarnation;
    /// Port 0 lets the system choose.
    Endpoint listen;
    /// Peers to keep a link to, by id.
    std::map<NodeId, Endpoint> peers;
    /// Without TLS the peers are not authenticated; for tests and trusted networks only.
    std::optional<PeerTlsFiles> tls;
};

/// Counters of the transport, for metrics.
struct PeerTransportCounters
{
    std::uint64_t messagesSent = 0;
    std::uint64_t messagesReceived = 0;
    /// Bytes sent, by type of message.
    std::array<std::uint64_t, kMessageTypes> bytesByType {};
    std::uint64_t bytesReceived = 0;
    /// Dropped because no link to the peer was up or its send buffer was full.
    std::uint64_t messagesDropped = 0;
    /// Addressed to an earlier incarnation of this process.
    std::uint64_t staleIncarnation = 0;
    /// Links closed because of a broken frame, a wrong identity or a missing Hello.
    std::uint64_t linksRejected = 0;

    std::uint64_t bytesSent() const
    {
        return std::accumulate(bytesByType.begin(), bytesByType.end(), std::uint64_t { 0 });
    }
    std::uint64_t bytesSentOf(MessageType type) const
    {
        return bytesByType[static_cast<std::size_t>(type)];
    }
};

/// Links to other nodes over TCP with optional TLS. Delivery is best effort: a message may be
/// lost, but never arrives twice or at a later incarnation than it was addressed to.
///
/// All functions run on the thread of the object's event loop. Both ends send Hello first; with
/// TLS the node id in it has to equal the common name of the peer's certificate.
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

    /// Port that is listened on.
    std::uint16_t port() const;

    /// Adds a peer to keep a link to, or changes its address.
    void setPeer(const NodeId &peer, const Endpoint &endpoint);

    /// Sends to the named peer over the link that it or this node opened. receiverIncarnation is
    /// filled in from the peer's Hello. Returns false if the message was dropped.
    bool send(const NodeId &peer, MessageType type, std::uint64_t requestId, std::string payload);

    bool isConnected(const NodeId &peer) const;
    /// Peers with a link, whichever side opened it.
    std::vector<NodeId> connectedPeers() const;

    const PeerTransportCounters &counters() const;

Q_SIGNALS:
    /// A link to the peer is up and identified.
    void connected(const NodeId &peer);

private:
    class Impl;
    explicit PeerTransport(std::unique_ptr<Impl> impl);

    std::unique_ptr<Impl> m_impl;
};

} // namespace shallotlever
