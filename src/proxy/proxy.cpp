#include "shallotlever/proxy/proxy.h"

#include <algorithm>
#include <array>
#include <list>
#include <utility>

#include <QHostAddress>
#include <QTcpServer>

#include "absl/strings/str_cat.h"
#include "pool_queue_log.h"
#include "session.h"
#include "shallotlever/base/clock.h"
#include "upstream_loads.h"

namespace shallotlever {

namespace {

/// Maximum number of connections that wait to be accepted.
constexpr int kAcceptBacklog = 512;
/// Idle sessions are closed over about this many ticks of a drain. What callers send while a tick
/// closes sessions is not seen before the tick has ended, so a tick must not close many.
constexpr std::size_t kDrainCloseTicks = 100;

std::uint32_t shareOf(const std::vector<SlotShare> &shares, const UpstreamId &upstream)
{
    for (const SlotShare &share : shares) {
        if (share.upstream == upstream)
            return share.connections;
    }
    return 0;
}

} // namespace

class SessionProxy::Impl
{
public:
    Impl(const SessionProtocol &protocol, NodeMetrics &metrics, const Logger &logger,
         ProxyPeers peers, ProxyLimits limits);
    ~Impl();

    absl::Status listen(const Endpoint &endpoint);
    void accept();
    /// Closes a session for a further one. Returns false if none can be closed.
    bool makeRoom(TimePoint now);
    void applyGroup(const GroupView &group, const std::vector<SlotShare> &shares, TimePoint now);
    void removeGroup(const ServiceId &service, TimePoint now);
    void applyDatabases(ServiceDatabases &service, const GroupView &group,
                        const std::vector<SlotShare> &shares, TimePoint now);
    void applyPool(DatabaseRoute &route, bool primary, std::uint32_t share, TimePoint now);
    void retirePool(DatabaseRoute &route);
    void logOwners(const UpstreamInfo &info) const;
    std::shared_ptr<UpstreamPool> makePool(const UpstreamInfo &info);
    void onReachable(const UpstreamId &upstream, bool reachable);
    /// Names that databases can't be told, which a valid configuration may hold.
    void onOpenFailed(const UpstreamId &upstream, LinkOpenFailure failure, const std::string &error,
                      Duration waited);
    void tick(TimePoint now);
    TimePoint nextTick(TimePoint now) const;

    ProxyState m_state;
    std::unique_ptr<StatementDispatcher> m_dispatcher;
    const std::size_t m_maxSessions;
    PoolQueueLog m_poolQueueLog;
    std::array<Counter *, static_cast<std::size_t>(LinkOpenFailure::Count)> m_openFailures {};
    Gauge &m_sessionsGauge;
    std::list<CallerSession> m_sessions;
    /// Pools of databases removed from the fleet view, kept until their statements have finished.
    std::vector<std::shared_ptr<UpstreamPool>> m_leaving;
    QTcpServer m_server;
    bool m_observationChanged = false;
    /// Idle sessions that a tick of a drain may close.
    std::size_t m_closesPerTick = 0;
};

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

std::shared_ptr<UpstreamPool> SessionProxy::Impl::makePool(const UpstreamInfo &info)
{
    UpstreamPool::Callbacks callbacks;
    callbacks.point = [this, service = info.service, id = info.id](const HistoryPoint &point,
                                                                   TimePoint requestedAt) {
        m_state.recordHistoryPoint(service, id, point, requestedAt);
    };
    callbacks.reachable = [this, id = info.id](bool reachable) { onReachable(id, reachable); };
    callbacks.openFailed = [this, id = info.id](LinkOpenFailure failure, const std::string &error,
                                                Duration waited) {
        onOpenFailed(id, failure, error, waited);
    };
    auto pool = std::make_shared<UpstreamPool>(*m_state.protocol, info, std::move(callbacks));
    pool->setMemory(m_state.memory);
    return pool;
}

void SessionProxy::Impl::onReachable(const UpstreamId &upstream, bool reachable)
{
    m_observationChanged = true;
    m_state.logger->info(reachable ? "upstream_reachable" : "upstream_unreachable",
                         { { "upstream", upstream.value() } });
}

void SessionProxy::Impl::onOpenFailed(const UpstreamId &upstream, LinkOpenFailure failure,
                                      const std::string &error, Duration waited)
{
    m_openFailures[static_cast<std::size_t>(failure)]->increment();
    if (!acquireLogToken(m_state.logRateLimiter, LogTopic::Retry, monotonicNow()))
        return;
    m_state.logger->info(
        "connection_failed",
        { { "upstream", upstream.value() },
          { "reason", linkOpenFailureName(failure) },
          { "error", error },
          { "waited_ms", std::chrono::duration_cast<std::chrono::milliseconds>(waited).count() } });
}

void SessionProxy::Impl::applyGroup(const GroupView &group, const std::vector<SlotShare> &shares,
                                    TimePoint now)
{
    const auto [entry, added] = m_state.services.try_emplace(group.service);
    ServiceDatabases &service = entry->second;
    if (added)
        service.chance =
            LowDiscrepancySequence::forStream(m_state.self.value() + '/' + group.service.value());
    applyPrimary(service.tenures, group, now);
    applyDatabases(service, group, shares, now);
}

/// Stops the use of a service's databases. Its sessions may still wait for answers.
void SessionProxy::Impl::removeGroup(const ServiceId &service, TimePoint now)
{
    ServiceDatabases &databases = m_state.services.at(service);
    removePrimary(databases.tenures);
    GroupView removed;
    removed.service = service;
    applyDatabases(databases, removed, {}, now);
}

void SessionProxy::Impl::applyDatabases(ServiceDatabases &service, const GroupView &group,
                                        const std::vector<SlotShare> &shares, TimePoint now)
{
    if (service.primary != group.primary) {
        service.primary = group.primary;
        m_state.logger->info("primary_known",
                             { { "service", group.service.value() },
                               { "primary", group.primary.value_or(UpstreamId()).value() },
                               { "epoch", group.term.value() } });
    }
    for (auto item = service.routes.begin(); item != service.routes.end();) {
        DatabaseRoute &route = item->second;
        const auto info = group.upstreams.find(item->first);
        const bool same = info != group.upstreams.end()
            && info->second.endpoint == route.info.endpoint
            && info->second.lifetime == route.info.lifetime;
        if (!same)
            retirePool(route);
        item = same ? std::next(item) : service.routes.erase(item);
    }
    for (const auto &[id, info] : group.upstreams) {
        DatabaseRoute &route = service.routes[id];
        if (route.info.poolOwners != info.poolOwners)
            logOwners(info);
        route.info = info;
        applyPool(route, group.primary == id, shareOf(shares, id), now);
    }
}

/// Creates or retires the pool of this node, depending on who holds the connections.
void SessionProxy::Impl::applyPool(DatabaseRoute &route, bool primary, std::uint32_t share,
                                   TimePoint now)
{
    const std::vector<NodeId> &owners = route.info.poolOwners;
    const bool owned = std::find(owners.begin(), owners.end(), m_state.self) != owners.end();
    // A former owner keeps its connections until its share has shrunk and they are idle.
    const bool hasLinks = route.pool && route.pool->hasLinks();
    if (!owned && !owners.empty() && share == 0 && !hasLinks) {
        retirePool(route);
        return;
    }
    if (!route.pool)
        route.pool = makePool(route.info);
    route.pool->setInfo(route.info, primary, owned);
    route.pool->setLeasedConnections(share, now);
}

void SessionProxy::Impl::retirePool(DatabaseRoute &route)
{
    if (!route.pool)
        return;
    route.pool->retire();
    m_leaving.push_back(std::exchange(route.pool, nullptr));
}

void SessionProxy::Impl::logOwners(const UpstreamInfo &info) const
{
    std::string owners;
    for (const NodeId &owner : info.poolOwners)
        owners += (owners.empty() ? "" : " ") + owner.value();
    m_state.logger->info("pool_owners", { { "upstream", info.id.value() }, { "owners", owners } });
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

void SessionProxy::applyConfig(const ClusterConfig &config,
                               const std::map<TeamId, std::shared_ptr<TokenBucket>> &buckets)
{
    ProxyState &state = m_impl->m_state;
    if (config.installed.number != state.config.installed.number)
        logUnusableNames(m_impl->m_state, config);
    state.config = config;
    state.applyEvacuations(monotonicNow());
    state.teamsByKey.clear();
    for (const auto &[id, key] : config.keys) {
        if (key.role == KeyRole::Caller)
            state.teamsByKey[key.hash] = key.team;
    }
    // Entries are never removed, because sessions of a removed team may still wait for its bucket.
    for (const auto &[team, bucket] : buckets) {
        TeamAdmission &admission = state.teams[team];
        if (!admission.bucket)
            admission = { bucket, state.metrics->team(team), 0 };
    }
}

void SessionProxy::applyFleet(const FleetView &fleet, const std::vector<SlotShare> &shares,
                              TimePoint now)
{
    for (const auto &[service, group] : fleet.groups)
        m_impl->applyGroup(group, shares, now);
    for (auto &[service, databases] : m_impl->m_state.services) {
        if (!fleet.groups.contains(service))
            m_impl->removeGroup(service, now);
    }
    m_impl->m_dispatcher->connectOwners();
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
    m_impl->m_state.freshUntil = until;
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
