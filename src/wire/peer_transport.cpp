#include "shallotlever/wire/peer_transport.h"

#include <algorithm>
#include <vector>

#include <QHostAddress>
#include <QTimer>

#include "absl/strings/str_cat.h"
#include "peer_link.h"
#include "peer_server.h"
#include "peer_tls.h"

namespace shallotlever {

namespace {

constexpr std::chrono::milliseconds kReconnectMin { 50 };
constexpr std::chrono::milliseconds kReconnectMax { 1000 };
/// A connection attempt that takes longer is given up and repeated.
constexpr std::chrono::milliseconds kConnectTimeout { 2000 };

} // namespace

class PeerTransport::Impl
{
public:
    Impl(PeerTransportOptions options, Receiver receiver)
        : m_options(std::move(options))
        , m_receiver(std::move(receiver))
    {
    }

    absl::Status start();
    void setPeer(const NodeId &peer, const Endpoint &endpoint);
    PeerLink *linkTo(const NodeId &peer) const;
    std::vector<NodeId> connectedPeers() const;

    PeerServer m_server;
    PeerTransportCounters m_counters;
    /// Called with the peer once a link is identified.
    std::function<void(const NodeId &)> m_connected;

private:
    /// A peer that this node keeps a link to.
    struct Outbound
    {
        Endpoint endpoint;
        std::chrono::milliseconds backoff = kReconnectMin;
    };

    void openLink(const NodeId &peer);
    void scheduleReconnect(const NodeId &peer);
    void addLink(QSslSocket *socket, const std::optional<NodeId> &expected);
    void removeLink(PeerLink *link, const std::optional<NodeId> &expected);

    PeerTransportOptions m_options;
    Receiver m_receiver;
    std::optional<QSslConfiguration> m_tls;
    std::map<NodeId, Outbound> m_outbound;
    /// Identified links by peer; the newest is used for sending.
    std::map<NodeId, std::vector<PeerLink *>> m_links;
    /// Parent of sockets and links. Declared last, so that they are destroyed before the state
    /// that their signals change.
    QObject m_context;
};

absl::Status PeerTransport::Impl::start()
{
    if (m_options.tls) {
        absl::StatusOr<QSslConfiguration> tls = loadPeerTls(*m_options.tls);
        if (!tls.ok())
            return tls.status();
        m_tls = *tls;
        m_server.setTls(*tls);
    }
    QObject::connect(&m_server, &PeerServer::accepted, &m_context,
                     [this](QSslSocket *socket) { addLink(socket, std::nullopt); });
    const QHostAddress address(QString::fromStdString(m_options.listen.host));
    if (!m_server.listen(address, m_options.listen.port)) {
        return absl::UnavailableError(absl::StrCat("cannot listen on ", m_options.listen.host, ":",
                                                   m_options.listen.port, ": ",
                                                   m_server.errorString().toStdString()));
    }
    for (const auto &[peer, endpoint] : m_options.peers)
        setPeer(peer, endpoint);
    return absl::OkStatus();
}

void PeerTransport::Impl::setPeer(const NodeId &peer, const Endpoint &endpoint)
{
    if (peer == m_options.self)
        return;
    const auto [entry, added] = m_outbound.try_emplace(peer);
    entry->second.endpoint = endpoint;
    if (added)
        openLink(peer);
}

PeerLink *PeerTransport::Impl::linkTo(const NodeId &peer) const
{
    const auto links = m_links.find(peer);
    return links == m_links.end() || links->second.empty() ? nullptr : links->second.back();
}

std::vector<NodeId> PeerTransport::Impl::connectedPeers() const
{
    std::vector<NodeId> peers;
    for (const auto &[peer, links] : m_links) {
        if (!links.empty())
            peers.push_back(peer);
    }
    return peers;
}

void PeerTransport::Impl::openLink(const NodeId &peer)
{
    const Endpoint endpoint = m_outbound[peer].endpoint;
    auto *socket = new QSslSocket(&m_context);
    auto *timer = new QTimer(socket);
    timer->setSingleShot(true);
    const auto fail = [this, peer, socket] {
        QObject::disconnect(socket, nullptr, &m_context, nullptr);
        socket->abort();
        socket->deleteLater();
        scheduleReconnect(peer);
    };
    const auto up = [this, peer, socket, timer] {
        QObject::disconnect(socket, nullptr, &m_context, nullptr);
        timer->stop();
        addLink(socket, peer);
    };
    QObject::connect(timer, &QTimer::timeout, &m_context, fail);
    QObject::connect(socket, &QSslSocket::errorOccurred, &m_context, fail);
    const QString host = QString::fromStdString(endpoint.host);
    timer->start(kConnectTimeout);
    if (m_tls) {
        QObject::connect(socket, &QSslSocket::encrypted, &m_context, up);
        socket->setSslConfiguration(*m_tls);
        // Certificates name node ids, not addresses.
        socket->setPeerVerifyName(QString::fromStdString(peer.value()));
        socket->connectToHostEncrypted(host, endpoint.port);
    } else {
        QObject::connect(socket, &QSslSocket::connected, &m_context, up);
        socket->connectToHost(host, endpoint.port);
    }
}

void PeerTransport::Impl::scheduleReconnect(const NodeId &peer)
{
    Outbound &outbound = m_outbound[peer];
    QTimer::singleShot(outbound.backoff, &m_context, [this, peer] { openLink(peer); });
    outbound.backoff = std::min(outbound.backoff * 2, kReconnectMax);
}

void PeerTransport::Impl::addLink(QSslSocket *socket, const std::optional<NodeId> &expected)
{
    auto *link = new PeerLink(socket, m_options, m_counters, &m_context);
    QObject::connect(link, &PeerLink::identified, &m_context, [this, link, expected] {
        if (expected && link->peer() != *expected) {
            link->close();
            return;
        }
        if (expected)
            m_outbound[*expected].backoff = kReconnectMin;
        m_links[link->peer()].push_back(link);
        if (m_connected)
            m_connected(link->peer());
    });
    QObject::connect(link, &PeerLink::received, &m_context,
                     [this](const PeerMessage &message) { m_receiver(message); });
    QObject::connect(link, &PeerLink::closed, &m_context,
                     [this, link, expected] { removeLink(link, expected); });
    link->start();
}

void PeerTransport::Impl::removeLink(PeerLink *link, const std::optional<NodeId> &expected)
{
    const auto links = m_links.find(link->peer());
    if (links != m_links.end())
        std::erase(links->second, link);
    link->deleteLater();
    if (expected)
        scheduleReconnect(*expected);
}

PeerTransport::PeerTransport(std::unique_ptr<Impl> impl)
    : m_impl(std::move(impl))
{
    m_impl->m_connected = [this](const NodeId &peer) { Q_EMIT connected(peer); };
}

PeerTransport::~PeerTransport() = default;

absl::StatusOr<std::unique_ptr<PeerTransport>> PeerTransport::create(PeerTransportOptions options,
                                                                     Receiver receiver)
{
    auto impl = std::make_unique<Impl>(std::move(options), std::move(receiver));
    const absl::Status status = impl->start();
    if (!status.ok())
        return status;
    return std::unique_ptr<PeerTransport>(new PeerTransport(std::move(impl)));
}

std::uint16_t PeerTransport::port() const
{
    return m_impl->m_server.serverPort();
}

void PeerTransport::setPeer(const NodeId &peer, const Endpoint &endpoint)
{
    m_impl->setPeer(peer, endpoint);
}

bool PeerTransport::send(const NodeId &peer, MessageType type, std::uint64_t requestId,
                         std::string payload)
{
    PeerLink *link = m_impl->linkTo(peer);
    if (link == nullptr) {
        ++m_impl->m_counters.messagesDropped;
        return false;
    }
    return link->send({ type, requestId, {}, {}, {}, std::move(payload) });
}

bool PeerTransport::isConnected(const NodeId &peer) const
{
    return m_impl->linkTo(peer) != nullptr;
}

std::vector<NodeId> PeerTransport::connectedPeers() const
{
    return m_impl->connectedPeers();
}

const PeerTransportCounters &PeerTransport::counters() const
{
    return m_impl->m_counters;
}

} // namespace shallotlever
