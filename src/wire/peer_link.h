#pragma once

#include <functional>

#include <QObject>
#include <QSslSocket>
#include <QTimer>

#include "shallotlever/base/time.h"
#include "shallotlever/wire/frame.h"
#include "shallotlever/wire/peer_transport.h"

namespace shallotlever {

/// One connection to another node, inbound or outbound. Owns its socket. The owner deletes the link
/// after `closed` is emitted.
class PeerLink : public QObject
{
    Q_OBJECT
public:
    /// The link is closed if the peer sends no Hello within this time.
    static constexpr std::chrono::milliseconds kHelloTimeout { 3000 };
    /// The link is closed if data that was sent is not acknowledged for this long.
    static constexpr std::chrono::milliseconds kUserTimeout { 1500 };
    /// Messages are dropped while the socket's send buffer holds more bytes than this.
    static constexpr qint64 kMaxUnsentBytes = 8 * 1024 * 1024;

    PeerLink(QSslSocket *socket, const PeerTransportOptions &options,
             PeerTransportCounters &counters, QObject *parent);

    /// Starts the Hello exchange. The socket must be connected and, with TLS, encrypted.
    void start();
    bool ready() const { return m_ready; }
    const NodeId &peer() const { return m_peer; }
    /// Incarnation in the peer's Hello.
    Incarnation peerIncarnation() const { return m_peerIncarnation; }
    bool send(PeerMessage message);
    void close();
    /// When the last bytes of a message that is still incomplete arrived; nullopt if there is none.
    std::optional<TimePoint> lastPartialReceiveAt() const;
    bool hasUnsentBytes() const { return m_socket->bytesToWrite() > 0; }

Q_SIGNALS:
    void identified();
    void received(const shallotlever::PeerMessage &message);
    void closed();

private:
    void readAvailable();
    void handle(PeerMessage message);
    void acceptHello(const PeerMessage &message);
    void reject(const char *reason);

    QSslSocket *m_socket;
    const PeerTransportOptions &m_options;
    PeerTransportCounters &m_counters;
    FrameReader m_reader;
    FrameWriter m_writer;
    TimePoint m_lastBytesAt;
    QTimer m_helloTimer;
    NodeId m_peer;
    Incarnation m_peerIncarnation;
    bool m_ready = false;
    bool m_closed = false;
};

} // namespace shallotlever
