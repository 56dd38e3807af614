#include <algorithm>
#include <fstream>
#include <sstream>

#include <QDateTime>

#include <sys/resource.h>
#include <unistd.h>

#include "absl/strings/ascii.h"
#include "node_impl.h"
#include "shallotlever/base/clock.h"

namespace shallotlever {

namespace {

absl::StatusOr<std::string> readText(const std::filesystem::path &path)
{
    std::ifstream file(path, std::ios::binary);
    std::ostringstream content;
    content << file.rdbuf();
    if (!file)
        return absl::NotFoundError("cannot read " + path.string());
    return content.str();
}

Endpoint endpointOf(const SocketAddress &address)
{
    return { address.ip, address.port };
}

/// Sessions, and HTTP clients of a node with platform listeners, may use the descriptors divided by
/// these. The rest is for databases, links between nodes, control and files.
constexpr std::size_t kSessionDivisor = 2;
constexpr std::size_t kHttpDivisor = 8;

std::size_t descriptorLimit(const NodeSettings &settings)
{
    if (settings.maxDescriptors)
        return *settings.maxDescriptors;
    rlimit limit {};
    return ::getrlimit(RLIMIT_NOFILE, &limit) == 0 ? limit.rlim_cur : RLIM_INFINITY;
}

LogLevel levelOf(const NodeSettings &settings)
{
    return logLevelFromName(settings.logLevel).value_or(LogLevel::Info);
}

} // namespace

std::vector<NodeId> configuredMembers(const NodeSettings &settings)
{
    std::vector<NodeId> members;
    for (const ControlPeer &member : settings.controlMembers)
        members.push_back(member.id);
    return members;
}

Node::Impl::Impl(const NodeSettings &settings, PlatformAdapter platform)
    : m_settings(settings)
    , m_memory(std::make_shared<MemoryBudget>(
          memoryLimitsOf(settings.memoryBytes, descriptorLimit(settings) / kSessionDivisor)))
    , m_platform(std::move(platform))
    , m_logger(settings.nodeId, levelOf(settings),
               settings.logToStandardError ? STDERR_FILENO : STDOUT_FILENO)
    , m_incarnation(static_cast<std::uint64_t>(QDateTime::currentMSecsSinceEpoch()))
    , m_view(makeNodeView(settings.nodeId, m_incarnation))
    , m_shared(std::make_unique<NodeSnapshot>())
    , m_relayedReports(m_registry.counter("shallotlever_relayed_reports_total",
                                          "Reports of other nodes taken by this relay."))
    , m_evacuatedDataCentres(m_registry.gauge("shallotlever_evacuated_data_centres",
                                              "Data centres that are evacuated."))
    , m_wakeups(m_registry.counter("shallotlever_control_thread_wakeups_total",
                                   "Times that the control thread waited for events or timers."))
    , m_ticks(m_registry.counter("shallotlever_control_thread_ticks_total",
                                 "Times that the control thread ran its periodic work."))
{
    for (std::size_t i = 0; i < m_reportsSent.size(); ++i)
        m_reportsSent[i] = &m_registry.counter(
            "shallotlever_reports_sent_total", "Reports sent to the controller, by reason.",
            { { "reason", std::string(reportReasonName(static_cast<ReportReason>(i))) } });
    m_controllerLink = makeControllerLink(
        configuredMembers(settings),
        settings.control ? std::optional(settings.nodeId) : std::nullopt, monotonicNow());
    std::vector<NodeId> relays;
    for (const ControlPeer &relay : settings.relays)
        relays.push_back(relay.id);
    // A relay reports to the control members, so that no report passes through two relays.
    m_relayLink =
        makeRelayLink(settings.relay ? std::vector<NodeId>() : std::move(relays), monotonicNow());
}

Node::Impl::~Impl()
{
    m_tickTimer.reset();
    // The listener is destroyed first, so that no request reaches a destroyed executor.
    m_listener.reset();
    m_sessions.reset();
    m_hosts.clear();
    m_shared.snapshot.publish(std::make_unique<NodeSnapshot>());
    for (const std::unique_ptr<QThread> &thread : m_executorThreads) {
        thread->quit();
        thread->wait();
    }
}

absl::Status Node::Impl::start()
{
    for (int i = 0; i < m_settings.executorThreads; ++i) {
        m_executorThreads.push_back(std::make_unique<QThread>());
        m_executorThreads.back()->start();
    }
    for (const auto step : { &Impl::readSecrets, &Impl::startTransport, &Impl::startControlGroup,
                             &Impl::startListener, &Impl::startSessions }) {
        const absl::Status status = (this->*step)();
        if (!status.ok())
            return status;
    }
    publishSnapshot();
    m_tickTimer = std::make_unique<TickTimer>(
        TickTimer::Callbacks {
            [this](TimePoint now) { tick(now); }, [this](TimePoint now) { return nextTick(now); },
            [this](Duration delay) { logDelay("control_thread_delayed", delay); } },
        m_wakeups, m_ticks);
    m_tickTimer->start();
    m_logger.info("node_started",
                  { { "incarnation", m_incarnation.value() },
                    { "data_centre", m_settings.dataCentre.value() },
                    { "http_port", m_listener->port() },
                    { "peer_port", m_transport->port() },
                    { "control_member", m_settings.control } });
    return absl::OkStatus();
}

absl::Status Node::Impl::readSecrets()
{
    if (m_settings.sessionSecretFile.empty()) {
        m_shared.secrets.session = { randomId() };
    } else {
        absl::StatusOr<std::string> session = readText(m_settings.sessionSecretFile);
        if (!session.ok())
            return session.status();
        m_shared.secrets.session = { std::move(*session) };
    }
    if (!m_settings.operatorKeyFile)
        return absl::OkStatus();
    const absl::StatusOr<std::string> key = readText(*m_settings.operatorKeyFile);
    if (!key.ok())
        return key.status();
    m_shared.secrets.operatorKey = hashSecret(std::string(absl::StripAsciiWhitespace(*key)));
    return absl::OkStatus();
}

absl::Status Node::Impl::startTransport()
{
    PeerTransportOptions options;
    options.self = m_settings.nodeId;
    options.incarnation = m_incarnation;
    options.listen = endpointOf(m_settings.peerListen);
    for (const ControlPeer &member : m_settings.controlMembers)
        options.peers.emplace(member.id, endpointOf(member.address));
    for (const ControlPeer &relay : m_settings.relays)
        options.peers.emplace(relay.id, endpointOf(relay.address));
    if (m_settings.peerTls) {
        options.tls = PeerTlsFiles { m_settings.peerTls->certificate, m_settings.peerTls->key,
                                     m_settings.peerTls->authority };
    }
    auto transport = PeerTransport::create(
        std::move(options), [this](const PeerMessage &message) { onPeerMessage(message); });
    if (!transport.ok())
        return transport.status();
    m_transport = std::move(*transport);
    QObject::connect(m_transport.get(), &PeerTransport::connected, m_context.get(),
                     [this](const NodeId &peer) { onPeerConnected(peer); });
    QObject::connect(m_transport.get(), &PeerTransport::disconnected, m_context.get(),
                     [this](const NodeId &peer) {
                         if (m_sessions)
                             m_sessions->onPeerDisconnected(peer, monotonicNow());
                     });
    return absl::OkStatus();
}

absl::Status Node::Impl::startControlGroup()
{
    if (!m_settings.control)
        return absl::OkStatus();
    ControlGroupOptions options;
    options.dataDirectory = m_settings.dataDir->string();
    options.member.node = m_settings.nodeId;
    options.member.peers = configuredMembers(m_settings);
    options.member.seed = m_incarnation.value();
    options.member.acceptsStandbys = m_settings.idsAreAddresses;
    options.member.toleratedLosses = m_settings.toleratedLosses;
    options.member.mayBootstrap = m_settings.mayBootstrap;
    ControlGroup::Callbacks callbacks;
    callbacks.send = [this](const NodeId &to, std::string payload) {
        m_transport->send(to, MessageType::Control, 0, std::move(payload));
    };
    callbacks.applied = [this](const Command &command, const ChangeResult &result, LogIndex index) {
        if (m_controller)
            m_controller->onApplied(command, result, index, monotonicNow());
    };
    Gauge &diskFull =
        m_registry.gauge("shallotlever_disk_full", "1 while the disk of the control log is full.");
    callbacks.diskFullChanged = [this, &diskFull](bool full) {
        diskFull.set(full ? 1 : 0);
        if (full)
            m_logger.error("disk_full", {});
        else
            m_logger.info("disk_writable", {});
    };
    callbacks.writeDelayed = [this](Duration delay) { logDelay("control_write_delayed", delay); };
    callbacks.failed = [this](const absl::Status &status) {
        m_logger.error("storage_failed", { { "error", std::string(status.message()) } });
        finish(1);
    };
    auto group = ControlGroup::open(options, std::move(callbacks), monotonicNow());
    if (!group.ok())
        return group.status();
    m_controlGroup = std::move(*group);
    const ControlMember &member = m_controlGroup->member();
    m_logger.info("control_log_recovered",
                  { { "control_term", member.term().value() },
                    { "last_index", member.lastIndex().value() },
                    { "voters", member.membership().voters.size() } });
    m_controller = std::make_unique<ControllerHost>(
        *m_controlGroup, m_logger, m_registry,
        [this](const ServiceId &service, const UpstreamId &upstream, const Endpoint &endpoint,
               CallPermit permit) {
            return controlOf(service, upstream, endpoint, std::move(permit));
        },
        m_settings.idsAreAddresses);
    return absl::OkStatus();
}

absl::Status Node::Impl::startListener()
{
    EdgeOptions options;
    options.listenIp = m_settings.listen.ip;
    options.port = m_settings.listen.port;
    options.threads = m_settings.edgeThreads;
    options.limits = { m_settings.maxHeaderBytes, m_settings.maxBodyBytes,
                       m_settings.requestTimeout, m_settings.maxConnections };
    options.memory = m_memory;
    if (m_settings.sessionListen || m_settings.platformListen)
        options.limits.maxConnections = static_cast<int>(
            std::min(static_cast<std::size_t>(m_settings.maxConnections),
                     std::max<std::size_t>(1, descriptorLimit(m_settings) / kHttpDivisor)));
    if (m_settings.httpTls)
        options.tls = EdgeTlsFiles { m_settings.httpTls->certificate, m_settings.httpTls->key };
    EdgeCallbacks callbacks;
    callbacks.handler =
        makeRequestHandler(m_shared, [this](EdgeRequest request, EdgeResponder respond) {
            QMetaObject::invokeMethod(
                m_context.get(),
                [this, request = std::move(request), respond = std::move(respond)] {
                    handleControl(request, respond);
                },
                Qt::QueuedConnection);
        });
    callbacks.ready = [this] {
        // A node without a lease stays ready: in a partitioned data centre all nodes lose their
        // leases together, and the load balancer must keep sending requests of open routes.
        return !m_shared.draining && m_shared.sharesGranted;
    };
    auto listener = EdgeListener::create(options, std::move(callbacks), m_metrics, m_logger);
    if (!listener.ok())
        return listener.status();
    m_listener = std::move(*listener);
    return absl::OkStatus();
}

ProxyPeers Node::Impl::proxyPeers()
{
    ProxyPeers peers;
    peers.self = m_settings.nodeId;
    peers.incarnation = m_incarnation;
    peers.send = [this](const NodeId &peer, MessageType type, std::uint64_t id,
                        std::string payload) {
        return m_transport->send(peer, type, id, std::move(payload));
    };
    peers.reply = [this](const PeerProcess &process, MessageType type, std::uint64_t id,
                         std::string payload) {
        return m_transport->sendTo(process, type, id, std::move(payload));
    };
    peers.isConnected = [this](const NodeId &peer) { return m_transport->isConnected(peer); };
    peers.roundTrip = [this](const NodeId &peer) { return m_transport->roundTrip(peer); };
    peers.connect = [this](const NodeId &peer) {
        m_transport->setPeer(peer, { peer.value(), m_settings.peerListen.port });
    };
    peers.forget = [this](const NodeId &peer) { m_transport->forgetPeer(peer); };
    peers.reset = [this](const NodeId &peer) { m_transport->closeLinks(peer); };
    return peers;
}

absl::Status Node::Impl::startSessions()
{
    if (!m_settings.sessionListen || m_platform.protocol == nullptr)
        return absl::OkStatus();
    auto sessions = SessionProxy::create(
        endpointOf(*m_settings.sessionListen), *m_platform.protocol, m_metrics, m_logger,
        proxyPeers(), { m_memory, descriptorLimit(m_settings) / kSessionDivisor });
    if (!sessions.ok())
        return sessions.status();
    m_sessions = std::move(*sessions);
    m_sessions->setSharesGranted(false);
    return absl::OkStatus();
}

UpstreamControl Node::Impl::controlOf(const ServiceId &service, const UpstreamId &upstream,
                                      const Endpoint &endpoint, CallPermit permit) const
{
    if (m_platform.protocol != nullptr)
        return makeSessionControl(*m_platform.protocol, service, upstream, endpoint,
                                  m_settings.nodeId.value(), m_platform.promote, std::move(permit));
    ConnectionParams params;
    params.endpoint = endpoint;
    params.user = std::string(kControlUser);
    params.database = service.value();
    return makeUpstreamControl(params);
}

Node::Node(std::unique_ptr<Impl> impl)
    : m_impl(std::move(impl))
{
}

Node::~Node() = default;

absl::StatusOr<std::unique_ptr<Node>> Node::create(const NodeSettings &settings,
                                                   const PlatformAdapter &platform)
{
    auto impl = std::make_unique<Impl>(settings, platform);
    const absl::Status status = impl->start();
    if (!status.ok())
        return status;
    return std::unique_ptr<Node>(new Node(std::move(impl)));
}

std::uint16_t Node::httpPort() const
{
    return m_impl->httpPort();
}

std::uint16_t Node::peerPort() const
{
    return m_impl->peerPort();
}

const std::shared_ptr<MemoryBudget> &Node::memory() const
{
    return m_impl->memory();
}

bool Node::ready() const
{
    return m_impl->ready();
}

void Node::install(const InstallRequest &request, EdgeResponder callback)
{
    m_impl->forwardRequest(request, std::move(callback), monotonicNow());
}

void Node::readInstalled(EdgeResponder callback)
{
    m_impl->forwardRequest(ReadInstalledRequest {}, std::move(callback), monotonicNow());
}

void Node::evacuate(const DataCentreId &dataCentre, bool inForce, EdgeResponder callback)
{
    const TimePoint now = monotonicNow();
    m_impl->evacuate({ dataCentre, inForce, now, std::move(callback) }, now);
}

bool Node::announce(const Announcement &announcement)
{
    return m_impl->acceptAnnouncement(announcement);
}

void Node::noteRefusal(ErrorKind kind, std::string_view subject, const std::string &reason)
{
    m_impl->noteRefusal(kind, subject, reason);
}

void Node::shutDown()
{
    m_impl->shutDown();
}

} // namespace shallotlever
