#include "shallotlever/proxy/proxy.h"

#include <algorithm>
#include <utility>

#include <QHostAddress>

#include "absl/strings/str_cat.h"
#include "proxy_impl.h"
#include "shallotlever/base/clock.h"
#include "upstream_loads.h"

namespace shallotlever {

namespace {

/// Maximum number of connections that wait to be accepted.
constexpr int kAcceptBacklog = 512;
/// Idle sessions are closed over about this many ticks of a drain. What callers send while a tick
/// closes sessions is not seen before the tick has ended, so a tick must not close many.
constexpr std::size_t kDrainCloseTicks = 100;

} // namespace

SessionProxy::Impl::Impl(const SessionProtocol &protocol, NodeMetrics &metrics,
                         const Logger &logger, ProxyPeers peers, ProxyLimits limits)
    : m_maxSessions(limits.sessions)
    , m_sessionsGauge(
          metrics.registry().gauge("shallotlever_sessions", "Open sessions of callers."))
{
    m_state.protocol = &protocol;
    m_state.metrics = &metrics;
    m_state.logger = &logger;
    m_state.memory = std::move(limits.memory);
    m_state.limitMetrics = std::make_unique<LimitMetrics>(metrics.registry());
    m_state.stopCounters = std::make_unique<StopCounters>(metrics.registry());
    m_state.startedAt = monotonicNow();
    m_state.self = peers.self;
    m_state.incarnation = peers.incarnation;
    m_dispatcher = std::make_unique<StatementDispatcher>(m_state, std::move(peers));
    m_state.refusedByDatabase = &metrics.registry().counter(
        "shallotlever_database_refusals_total", "Refusals of databases passed on to callers.");
    m_state.unacknowledgedCommits = &metrics.registry().counter(
        "shallotlever_unacknowledged_commits_total",
        "Commits that a database made after this node had released it as primary, or without a "
        "lease; callers were told that the outcome is unknown.");
    for (std::size_t i = 0; i < m_openFailures.size(); ++i)
        m_openFailures[i] = &metrics.registry().counter(
            "shallotlever_connections_failed_total",
            "Connections to databases that could not be opened, by reason.",
            { { "reason", std::string(linkOpenFailureName(static_cast<LinkOpenFailure>(i))) } });
    m_state.responseTime = &metrics.registry().histogram(
        "shallotlever_statement_seconds", "Time from a statement's arrival to its answer.");
    m_state.placementMetrics.figureAge = &metrics.registry().histogram(
        "shallotlever_placement_figure_age_seconds",
        "Age of the load by which a database was selected; 0 if this node holds its connections.");
    m_state.placementMetrics.unevennessPercent = &metrics.registry().gauge(
        "shallotlever_placement_unevenness_percent",
        "Load of the fullest database of a service against the mean, recent average.");
}

SessionProxy::Impl::~Impl()
{
    m_sessions.clear();
}

absl::Status SessionProxy::Impl::listen(const Endpoint &endpoint)
{
    QObject::connect(&m_server, &QTcpServer::newConnection, &m_server, [this] { accept(); });
    m_server.setListenBacklogSize(kAcceptBacklog);
    if (m_server.listen(QHostAddress(QString::fromStdString(endpoint.host)), endpoint.port))
        return absl::OkStatus();
    return absl::UnavailableError(absl::StrCat("cannot listen on ", endpoint.host, ":",
                                               endpoint.port, ": ",
                                               m_server.errorString().toStdString()));
}

void SessionProxy::Impl::accept()
{
    while (QTcpSocket *socket = m_server.nextPendingConnection()) {
        socket->setParent(nullptr);
        const TimePoint now = monotonicNow();
        if (m_sessions.size() >= m_maxSessions)
            m_sessions.remove_if([](const CallerSession &session) { return session.finished(); });
        if (m_sessions.size() < m_maxSessions || makeRoom(now))
            m_sessions.emplace_back(m_state, *m_dispatcher, socket, now);
        else
            delete socket;
    }
    m_sessionsGauge.set(static_cast<std::int64_t>(m_sessions.size()));
}

bool SessionProxy::Impl::makeRoom(TimePoint now)
{
    std::vector<SessionSummary> summaries;
    for (const CallerSession &session : m_sessions)
        summaries.push_back(session.summary());
    const std::optional<std::size_t> chosen = sessionToClose(summaries);
    if (!chosen)
        return false;
    const auto session = std::next(m_sessions.begin(), static_cast<std::ptrdiff_t>(*chosen));
    session->closeForLimit(LimitReason::Descriptors, now);
    m_sessions.erase(session);
    return true;
}

void SessionProxy::Impl::tick(TimePoint now)
{
    m_state.memory->reclaim(now);
    m_state.limitMetrics->setCharges(*m_state.memory);
    for (auto &[id, service] : m_state.services) {
        for (const auto &[upstream, route] : service.routes) {
            if (route.pool)
                route.pool->tick(now);
        }
    }
    logPoolQueues(m_poolQueueLog, m_state, now);
    m_dispatcher->tick(now);
    std::erase_if(m_leaving, [now](const std::shared_ptr<UpstreamPool> &pool) {
        pool->tick(now);
        return !pool->hasBusyLink() && pool.use_count() == 1;
    });
    std::size_t closed = 0;
    for (auto session = m_sessions.begin(); session != m_sessions.end();) {
        session->tick(now);
        if (m_state.draining && closed < m_closesPerTick && session->closeIfIdle(now))
            ++closed;
        session = session->finished() ? m_sessions.erase(session) : std::next(session);
    }
    m_sessionsGauge.set(static_cast<std::int64_t>(m_sessions.size()));
}

TimePoint SessionProxy::Impl::nextTick(TimePoint now) const
{
    if (m_observationChanged || !m_leaving.empty() || m_state.memory->needsReclaim())
        return now;
    TimePoint due = std::min(m_dispatcher->nextTick(now), m_state.nextPoolTick(now));
    for (const CallerSession &session : m_sessions) {
        if (m_state.draining && session.idle())
            return now;
        due = std::min(due, session.nextTick(now));
    }
    return due;
}

SessionProxy::SessionProxy(std::unique_ptr<Impl> impl)
    : m_impl(std::move(impl))
{
}

SessionProxy::~SessionProxy() = default;

absl::StatusOr<std::unique_ptr<SessionProxy>>
SessionProxy::create(const Endpoint &listen, const SessionProtocol &protocol, NodeMetrics &metrics,
                     const Logger &logger, ProxyPeers peers, ProxyLimits limits)
{
    auto impl =
        std::make_unique<Impl>(protocol, metrics, logger, std::move(peers), std::move(limits));
    const absl::Status status = impl->listen(listen);
    if (!status.ok())
        return status;
    return std::unique_ptr<SessionProxy>(new SessionProxy(std::move(impl)));
}

std::variant<PlacementExplanation, Error>
SessionProxy::explainPlacement(const PlacementQuestion &question, TimePoint now) const
{
    return shallotlever::explainPlacement(m_impl->m_state, *m_impl->m_dispatcher, question, now);
}

void SessionProxy::onPeerMessage(const PeerMessage &message, TimePoint now)
{
    m_impl->m_dispatcher->onMessage(message, now);
}

bool SessionProxy::usesPeer(const NodeId &peer) const
{
    return m_impl->m_dispatcher->usesPeer(peer);
}

void SessionProxy::onPeerDisconnected(const NodeId &peer, TimePoint now)
{
    m_impl->m_dispatcher->onPeerDisconnected(peer, now);
}

void SessionProxy::setFreshUntil(TimePoint until)
{
    ProxyState &state = m_impl->m_state;
    state.leaseResumed = state.leaseResumed || !state.fresh(monotonicNow());
    state.freshUntil = until;
}

void SessionProxy::setSharesGranted(bool granted)
{
    m_impl->m_state.sharesGranted = granted;
}

void SessionProxy::tick(TimePoint now)
{
    m_impl->tick(now);
}

TimePoint SessionProxy::nextTick(TimePoint now) const
{
    return m_impl->nextTick(now);
}

ProxyReport SessionProxy::report(TimePoint now) const
{
    ProxyReport report;
    for (const auto &[id, service] : m_impl->m_state.services) {
        for (const auto &[upstream, route] : service.routes) {
            if (!route.pool)
                continue;
            if (route.pool->hasRecentObservation(now))
                report.reachable[upstream] = route.pool->load().reachable;
            report.slots.push_back(route.pool->demand(now));
        }
    }
    return report;
}

void SessionProxy::logTeamRefusals()
{
    const ProxyState &state = m_impl->m_state;
    for (auto &[team, admission] : m_impl->m_state.teams) {
        const std::uint64_t refused = admission.counters.refused->value();
        const auto config = state.config.teams.find(team);
        if (refused == std::exchange(admission.refusedLogged, refused)
            || config == state.config.teams.end())
            continue;
        state.logger->info(
            "team_refused",
            { { "team", team.value() },
              { "rate_per_second", config->second.ratePerSecond },
              { "burst", config->second.burst },
              { "arrived", admission.bucket->arrivals() },
              { "admitted", admission.counters.admitted->value() },
              { "refused", refused },
              { "refused_inside_rate", admission.counters.refusedInsideRate->value() } });
    }
}

bool SessionProxy::takeObservationChanged()
{
    return std::exchange(m_impl->m_observationChanged, false);
}

void SessionProxy::startDrain()
{
    m_impl->m_state.draining = true;
    QTcpServer &server = m_impl->m_server;
    // Closing the socket would reset the connections in its backlog, so accept them first.
    while (server.isListening() && server.waitForNewConnection(0)) { }
    server.close();
    m_impl->m_closesPerTick = m_impl->m_sessions.size() / kDrainCloseTicks + 1;
}

void SessionProxy::abortTransactions(TimePoint now)
{
    for (CallerSession &session : m_impl->m_sessions) {
        if (session.inTransaction())
            session.abortTransaction(now);
    }
    m_impl->m_dispatcher->runner().abortIdleTransactions(now);
}

std::size_t SessionProxy::endOpenStatements(TimePoint now)
{
    m_impl->m_state.atDrainLimit = true;
    std::size_t ended = 0;
    for (CallerSession &session : m_impl->m_sessions) {
        ended += session.idle() ? 0 : 1;
        session.endOpenStatements(now);
    }
    return ended;
}

void SessionProxy::logStop() const
{
    m_impl->m_state.stopCounters->log(*m_impl->m_state.logger);
}

bool SessionProxy::hasOpenTransactions() const
{
    return m_impl->m_dispatcher->runner().openTransactions() > 0
        || std::any_of(m_impl->m_sessions.begin(), m_impl->m_sessions.end(),
                       [](const CallerSession &session) { return session.inTransaction(); });
}

std::size_t SessionProxy::runningStatements() const
{
    return m_impl->m_dispatcher->runner().runningStatements();
}

std::uint64_t SessionProxy::suppressedLines() const
{
    return m_impl->m_state.logRateLimiter.suppressed;
}

std::size_t SessionProxy::openSessions() const
{
    const std::list<CallerSession> &sessions = m_impl->m_sessions;
    return static_cast<std::size_t>(
        std::count_if(sessions.begin(), sessions.end(),
                      [](const CallerSession &session) { return !session.disconnected(); }));
}

std::size_t SessionProxy::closingSessions() const
{
    return m_impl->m_sessions.size() - openSessions();
}

} // namespace shallotlever
