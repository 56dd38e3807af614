#include "peer_link.h"

#include <QSslCertificate>

#include "shallotlever/base/clock.h"
#include "shallotlever/wire/socket_options.h"

namespace shallotlever {

PeerLink::PeerLink(QSslSocket *socket, const PeerTransportOptions &options,
                   PeerTransportCounters &counters, QObject *parent)
    : QObject(parent)
    , m_socket(socket)
    , m_options(options)
    , m_counters(counters)
{
    m_socket->setParent(this);
    m_helloTimer.setSingleShot(true);
    connect(&m_helloTimer, &QTimer::timeout, this, [this] { reject("no hello"); });
    connect(m_socket, &QSslSocket::readyRead, this, &PeerLink::readAvailable);
    connect(m_socket, &QSslSocket::disconnected, this, &PeerLink::close);
}

void PeerLink::start()
{
    m_helloTimer.start(kHelloTimeout);
    m_socket->setSocketOption(QAbstractSocket::LowDelayOption, 1);
    m_socket->setSocketOption(QAbstractSocket::KeepAliveOption, 1);
    setUserTimeout(*m_socket, kUserTimeout);
    send({ MessageType::Hello, 0, {}, {}, {}, helloPayload() });
    readAvailable();
}

bool PeerLink::send(PeerMessage message)
{
    if (m_closed || m_socket->bytesToWrite() > kMaxUnsentBytes) {
        ++m_counters.messagesDropped;
        return false;
    }
    message.sender = m_options.self;
    message.senderIncarnation = m_options.incarnation;
    message.receiverIncarnation = m_peerIncarnation;
    const absl::StatusOr<std::string> frame = m_writer.frame(
        message, m_counters.bytesSavedByType[static_cast<std::size_t>(message.type)]);
    if (!frame.ok()) {
        ++m_counters.messagesDropped;
        return false;
    }
    m_socket->write(frame->data(), static_cast<qint64>(frame->size()));
    ++m_counters.messagesSent;
    ++m_counters.messagesSentByType[static_cast<std::size_t>(message.type)];
    m_counters.bytesSentByType[static_cast<std::size_t>(message.type)] += frame->size();
    return true;
}

void PeerLink::close()
{
    if (m_closed)
        return;
    m_closed = true;
    m_ready = false;
    m_helloTimer.stop();
    m_socket->abort();
    Q_EMIT closed();
}

std::optional<TimePoint> PeerLink::lastPartialReceiveAt() const
{
    return m_reader.hasPartialMessage() ? std::optional(m_lastBytesAt) : std::nullopt;
}

void PeerLink::readAvailable()
{
    if (m_closed)
        return;
    const QByteArray bytes = m_socket->readAll();
    m_lastBytesAt = monotonicNow();
    m_counters.bytesReceived += static_cast<std::uint64_t>(bytes.size());
    m_reader.feed({ bytes.constData(), static_cast<std::size_t>(bytes.size()) });
    while (!m_closed) {
        absl::StatusOr<std::optional<PeerMessage>> message = m_reader.next();
        if (!message.ok()) {
            reject("broken frame");
            return;
        }
        if (!*message)
            return;
        handle(std::move(**message));
    }
}

void PeerLink::handle(PeerMessage message)
{
    ++m_counters.messagesReceived;
    ++m_counters.messagesReceivedByType[static_cast<std::size_t>(message.type)];
    if (message.type == MessageType::Hello) {
        acceptHello(message);
        return;
    }
    if (!m_ready || message.sender != m_peer) {
        reject("message from an unidentified sender");
        return;
    }
    const bool isReceiverStale = message.receiverIncarnation != Incarnation()
        && message.receiverIncarnation != m_options.incarnation;
    if (isReceiverStale || message.senderIncarnation != m_peerIncarnation) {
        ++m_counters.staleIncarnation;
        return;
    }
    Q_EMIT received(message);
}

void PeerLink::acceptHello(const PeerMessage &message)
{
    if (m_ready || message.sender.empty()) {
        reject("unexpected hello");
        return;
    }
    if (m_options.tls) {
        const QStringList names =
            m_socket->peerCertificate().subjectInfo(QSslCertificate::CommonName);
        if (!names.contains(QString::fromStdString(message.sender.value()))) {
            reject("node id differs from the certificate");
            return;
        }
    }
    m_helloTimer.stop();
    m_peer = message.sender;
    m_peerIncarnation = message.senderIncarnation;
    m_writer.setCompression(readsCompressedFrames(message.payload));
    m_ready = true;
    Q_EMIT identified();
}

void PeerLink::reject(const char *reason)
{
    Q_UNUSED(reason);
    ++m_counters.linksRejected;
    close();
}

} // namespace shallotlever
