#include "shallotlever/wire/peer_transport.h"

#include <algorithm>
#include <vector>

#include <QHostAddress>
#include <QTimer>

#include "absl/strings/str_cat.h"
#include "peer_link.h"
#include "peer_server.h"
#include "peer_tls.h"
#include "shallotlever/base/clock.h"

namespace shallotlever {

namespace {

constexpr std::chrono::milliseconds kReconnectBackoffMin { 50 };
constexpr std::chrono::milliseconds kReconnectBackoffMax { 500 };
/// A connect that takes longer, including the TLS handshake, is aborted and retried. Shorter than
/// the first retransmission of a lost opening packet, which takes 1 s.
constexpr std::chrono::milliseconds kConnectTimeout { 700 };

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
    void forgetPeer(const NodeId &peer) { m_outbound.erase(peer); }
    void closeLinks(const NodeId &peer);
    void noteRoundTrip(const NodeId &peer, Duration connectTime);
    std::optional<Duration> roundTrip(const NodeId &peer) const;
    PeerLink *findLink(const NodeId &peer) const;
    PeerLink *findLink(const PeerProcess &process) const;
    bool sendOver(PeerLink *link, PeerMessage message);
    std::optional<TimePoint> lastPartialReceiveAt(const NodeId &peer) const;
    std::vector<NodeId> connectedPeers() const;
    bool hasUnsentBytes() const;

    PeerServer m_server;
    PeerTransportCounters m_counters;
    /// Called with the peer's id when a link to it is identified.
    std::function<void(const NodeId &)> m_onConnected;
    /// Called with the peer's id when its last identified link is closed.
    std::function<void(const NodeId &)> m_onDisconnected;

private:
    /// A peer that this node connects to.
    struct OutboundPeer
    {
        Endpoint endpoint;
        std::chrono::milliseconds backoff = kReconnectBackoffMin;
        std::optional<Duration> roundTrip;
    };

    void openLink(const NodeId &peer);
    void scheduleReconnect(const NodeId &peer);
    void addLink(QSslSocket *socket, const std::optional<NodeId> &expectedPeer);
    void removeLink(PeerLink *link, const std::optional<NodeId> &expectedPeer);

    PeerTransportOptions m_options;
    Receiver m_receiver;
    std::optional<QSslConfiguration> m_tls;
    std::map<NodeId, OutboundPeer> m_outbound;
    /// Identified links by peer, oldest first; the newest is used for sending.
    std::map<NodeId, std::vector<PeerLink *>> m_links;
    /// Parent of the sockets and links. Declared last, so that they are destroyed before the
    /// members that their signal handlers access.
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

void PeerTransport::Impl::closeLinks(const NodeId &peer)
{
    const auto found = m_links.find(peer);
    const std::vector<PeerLink *> links =
        found == m_links.end() ? std::vector<PeerLink *>() : found->second;
    for (PeerLink *link : links)
        link->close();
}

void PeerTransport::Impl::noteRoundTrip(const NodeId &peer, Duration connectTime)
{
    const auto outbound = m_outbound.find(peer);
    if (outbound != m_outbound.end())
        outbound->second.roundTrip =
            std::min(connectTime, outbound->second.roundTrip.value_or(connectTime));
}

std::optional<Duration> PeerTransport::Impl::roundTrip(const NodeId &peer) const
{
    const auto outbound = m_outbound.find(peer);
    return outbound == m_outbound.end() ? std::nullopt : outbound->second.roundTrip;
}

PeerLink *PeerTransport::Impl::findLink(const NodeId &peer) const
{
    const auto links = m_links.find(peer);
    return links == m_links.end() || links->second.empty() ? nullptr : links->second.back();
}

PeerLink *PeerTransport::Impl::findLink(const PeerProcess &process) const
{
    const auto found = m_links.find(process.node);
    if (found == m_links.end())
        return nullptr;
    const std::vector<PeerLink *> &links = found->second;
    const auto newest = std::find_if(links.rbegin(), links.rend(), [&](const PeerLink *link) {
        return link->peerIncarnation() == process.incarnation;
    });
    return newest == links.rend() ? nullptr : *newest;
}

std::optional<TimePoint> PeerTransport::Impl::lastPartialReceiveAt(const NodeId &peer) const
{
    std::optional<TimePoint> latest;
    const auto links = m_links.find(peer);
    if (links == m_links.end())
        return latest;
    for (const PeerLink *link : links->second)
        latest = std::max(latest, link->lastPartialReceiveAt());
    return latest;
}

bool PeerTransport::Impl::sendOver(PeerLink *link, PeerMessage message)
{
    if (link != nullptr)
        return link->send(std::move(message));
    ++m_counters.messagesDropped;
    return false;
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

bool PeerTransport::Impl::hasUnsentBytes() const
{
    return std::any_of(m_links.begin(), m_links.end(), [](const auto &peer) {
        return std::any_of(peer.second.begin(), peer.second.end(),
                           [](const PeerLink *link) { return link->hasUnsentBytes(); });
    });
}

void PeerTransport::Impl::openLink(const NodeId &peer)
{
    const auto outbound = m_outbound.find(peer);
    if (outbound == m_outbound.end())
        return;
    const Endpoint endpoint = outbound->second.endpoint;
    auto *socket = new QSslSocket(&m_context);
    auto *timer = new QTimer(socket);
    timer->setSingleShot(true);
    const auto onFailure = [this, peer, socket] {
        QObject::disconnect(socket, nullptr, &m_context, nullptr);
        socket->abort();
        socket->deleteLater();
        scheduleReconnect(peer);
    };
    const auto onConnected = [this, peer, socket, timer] {
        QObject::disconnect(socket, nullptr, &m_context, nullptr);
        timer->stop();
        addLink(socket, peer);
    };
    const TimePoint startedAt = monotonicNow();
    QObject::connect(socket, &QSslSocket::connected, &m_context,
                     [this, peer, startedAt] { noteRoundTrip(peer, monotonicNow() - startedAt); });
    QObject::connect(timer, &QTimer::timeout, &m_context, onFailure);
    QObject::connect(socket, &QSslSocket::errorOccurred, &m_context, onFailure);
    const QString host = QString::fromStdString(endpoint.host);
    timer->start(kConnectTimeout);
    if (m_tls) {
        QObject::connect(socket, &QSslSocket::encrypted, &m_context, onConnected);
        socket->setSslConfiguration(*m_tls);
        // The common name of a peer certificate is the node id, not an address.
        socket->setPeerVerifyName(QString::fromStdString(peer.value()));
        socket->connectToHostEncrypted(host, endpoint.port);
    } else {
        QObject::connect(socket, &QSslSocket::connected, &m_context, onConnected);
        socket->connectToHost(host, endpoint.port);
    }
}

void PeerTransport::Impl::scheduleReconnect(const NodeId &peer)
{
    const auto outbound = m_outbound.find(peer);
    if (outbound == m_outbound.end())
        return;
    std::chrono::milliseconds &backoff = outbound->second.backoff;
    QTimer::singleShot(backoff, &m_context, [this, peer] { openLink(peer); });
    backoff = std::min(backoff * 2, kReconnectBackoffMax);
}

void PeerTransport::Impl::addLink(QSslSocket *socket, const std::optional<NodeId> &expectedPeer)
{
    auto *link = new PeerLink(socket, m_options, m_counters, &m_context);
    QObject::connect(link, &PeerLink::identified, &m_context, [this, link, expectedPeer] {
        if (expectedPeer && link->peer() != *expectedPeer) {
            link->close();
            return;
        }
        const auto outbound = m_outbound.find(link->peer());
        if (expectedPeer && outbound != m_outbound.end())
            outbound->second.backoff = kReconnectBackoffMin;
        m_links[link->peer()].push_back(link);
        if (m_onConnected)
            m_onConnected(link->peer());
    });
    QObject::connect(link, &PeerLink::received, &m_context,
                     [this](const PeerMessage &message) { m_receiver(message); });
    QObject::connect(link, &PeerLink::closed, &m_context,
                     [this, link, expectedPeer] { removeLink(link, expectedPeer); });
    link->start();
}

void PeerTransport::Impl::removeLink(PeerLink *link, const std::optional<NodeId> &expectedPeer)
{
    const NodeId peer = link->peer();
    const auto links = m_links.find(peer);
    const bool wasLast =
        links != m_links.end() && std::erase(links->second, link) > 0 && links->second.empty();
    link->deleteLater();
    if (expectedPeer)
        scheduleReconnect(*expectedPeer);
    if (wasLast && m_onDisconnected)
        m_onDisconnected(peer);
}

PeerTransport::PeerTransport(std::unique_ptr<Impl> impl)
    : m_impl(std::move(impl))
{
    m_impl->m_onConnected = [this](const NodeId &peer) { Q_EMIT connected(peer); };
    m_impl->m_onDisconnected = [this](const NodeId &peer) { Q_EMIT disconnected(peer); };
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

void PeerTransport::forgetPeer(const NodeId &peer)
{
    m_impl->forgetPeer(peer);
}

void PeerTransport::closeLinks(const NodeId &peer)
{
    m_impl->closeLinks(peer);
}

bool PeerTransport::send(const NodeId &peer, MessageType type, std::uint64_t requestId,
                         std::string payload)
{
    return m_impl->sendOver(m_impl->findLink(peer),
                            { type, requestId, {}, {}, {}, std::move(payload) });
}

bool PeerTransport::sendTo(const PeerProcess &process, MessageType type, std::uint64_t requestId,
                           std::string payload)
{
    return m_impl->sendOver(m_impl->findLink(process),
                            { type, requestId, {}, {}, {}, std::move(payload) });
}

bool PeerTransport::isConnected(const NodeId &peer) const
{
    return m_impl->findLink(peer) != nullptr;
}

std::optional<TimePoint> PeerTransport::lastPartialReceiveAt(const NodeId &peer) const
{
    return m_impl->lastPartialReceiveAt(peer);
}

std::optional<Duration> PeerTransport::roundTrip(const NodeId &peer) const
{
    return m_impl->roundTrip(peer);
}

bool PeerTransport::hasUnsentBytes() const
{
    return m_impl->hasUnsentBytes();
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
