#include "deployment.h"

#include <algorithm>

#include <QDir>

#include <fmt/format.h>

#include "node_log.h"

namespace shallotlever::soak {

namespace {

/// Third number of an address.
constexpr int kControlBlock = 1;
constexpr int kFrontBlock = 2;
constexpr int kPlatformBlock = 3;
/// Of the first service; the others follow.
constexpr int kDatabaseBlock = 10;

constexpr std::uint16_t kReadinessPort = 7460;
constexpr std::uint16_t kControlPort = 7462;
constexpr std::uint16_t kSessionPort = 7465;
constexpr std::uint16_t kPlatformPort = 7466;
constexpr std::uint16_t kDatabasePort = 7470;
constexpr std::uint16_t kPeerPort = 7560;
constexpr std::uint16_t kHttpPort = 7575;

constexpr std::size_t kSeeds = 3;
constexpr std::size_t kRegions = 3;
constexpr std::size_t kDatabasesPerService = 3;
constexpr int kTeams = 20;
constexpr int kProbeIntervalMs = 1000;
constexpr std::chrono::milliseconds kStallTick { 20 };
constexpr int kMissesUntilUnready = 2;
constexpr std::chrono::milliseconds kInstallRetryDelay { 100 };
/// The teams together may ask several times the rate of the callers.
constexpr int kRateReserve = 5;

} // namespace

Deployment::Deployment(const SoakOptions &options)
    : m_options(options)
    , m_random(options.seed)
{
    m_clock.start();
    m_startedAt = QDateTime::currentDateTimeUtc();
    for (int i = 0; i < options.controlMembers; ++i)
        m_controlEndpoints.push_back(
            { host(kControlBlock, static_cast<std::size_t>(i)), kControlPort });
    for (int i = 0; i < kTeams; ++i) {
        const int rate = std::max(50, options.ratePerSecond * kRateReserve / kTeams);
        m_teams.push_back({ fmt::format("team{}", i), fmt::format("key-of-team-{:04}", i),
                            static_cast<std::uint32_t>(rate) });
    }
    createGroups();
    servePromotions();
    createNodes();
    createCallers();
    QObject::connect(&m_probeTimer, &QTimer::timeout, &m_probeTimer, [this] { probeFronts(); });
    m_probeTimer.start(kProbeIntervalMs);
    m_stallTimer.setTimerType(Qt::PreciseTimer);
    QObject::connect(&m_stallTimer, &QTimer::timeout, &m_stallTimer, [this] { noteStall(); });
    m_stallTimer.start(kStallTick);
}

void Deployment::startNodes()
{
    for (auto *nodes : { &m_controlMembers, &m_fronts }) {
        for (const auto &node : *nodes)
            node->start(true);
    }
}

void Deployment::startCallers()
{
    for (const auto &caller : m_callers)
        caller->start();
}

void Deployment::endCallers()
{
    for (const auto &caller : m_callers)
        caller->end();
}

std::size_t Deployment::readyFronts() const
{
    return static_cast<std::size_t>(std::count_if(m_probes.begin(), m_probes.end(),
                                                  [](const Probe &probe) { return probe.ready; }));
}

bool Deployment::servesAllServices() const
{
    return m_records.acknowledged.size() == m_groups.size();
}

// Nodes.

std::string Deployment::host(int block, std::size_t index) const
{
    return fmt::format("127.{}.{}.{}", m_options.subnet, block, index + 1);
}

std::string Deployment::dataCentre(std::size_t index) const
{
    return fmt::format("dc{}", index % static_cast<std::size_t>(m_options.dataCentres));
}

NodeCommand Deployment::nodeCommand(const std::string &name, const std::string &nodeHost,
                                    std::size_t dataCentreIndex) const
{
    std::string seeds;
    for (std::size_t i = 0; i < std::min(kSeeds, m_controlEndpoints.size()); ++i)
        seeds += fmt::format("{}{}:{}", i > 0 ? "," : "", m_controlEndpoints[i].host, kControlPort);
    NodeCommand command;
    command.name = name;
    command.host = nodeHost;
    command.program = m_options.program;
    command.logFile = fmt::format("{}/{}.log", m_options.directory, name);
    command.arguments = { "--node-id",
                          nodeHost,
                          "--data-centre",
                          dataCentre(dataCentreIndex),
                          "--region",
                          fmt::format("region{}", dataCentreIndex % kRegions),
                          "--listen",
                          fmt::format("{}:{}", nodeHost, kHttpPort),
                          "--peer-listen",
                          fmt::format("{}:{}", nodeHost, kPeerPort),
                          "--control-seeds",
                          seeds,
                          "--allow-insecure-peers",
                          "--edge-threads",
                          "1",
                          "--executor-threads",
                          "1",
                          "--drain-limit-ms",
                          "3000" };
    return command;
}

NodeCommand Deployment::controlCommand(std::size_t index) const
{
    const Endpoint &endpoint = m_controlEndpoints[index];
    NodeCommand command = nodeCommand(fmt::format("control-{}", index), endpoint.host, index);
    command.dataDirectory = fmt::format("{}/data-{}", m_options.directory, index);
    const std::vector<std::string> more {
        "--tolerated-losses",  std::to_string(m_options.toleratedLosses),
        "--platform-listen",   fmt::format("{}:{}", endpoint.host, endpoint.port),
        "--promotion-address", fmt::format("{}:{}", host(kPlatformBlock, 0), kPlatformPort),
        "--control",           "--control-only",
        "--data-dir",          command.dataDirectory,
        "--drain-notice-ms",   "200"
    };
    command.arguments.insert(command.arguments.end(), more.begin(), more.end());
    return command;
}

NodeCommand Deployment::frontCommand(std::size_t index) const
{
    const std::string nodeHost = host(kFrontBlock, index);
    NodeCommand command = nodeCommand(fmt::format("front-{}", index), nodeHost, index);
    const std::vector<std::string> more {
        "--session-listen",   fmt::format("{}:{}", nodeHost, kSessionPort),
        "--readiness-listen", fmt::format("{}:{}", nodeHost, kReadinessPort),
        "--drain-notice-ms",  "2200"
    };
    command.arguments.insert(command.arguments.end(), more.begin(), more.end());
    return command;
}

void Deployment::createNodes()
{
    QDir().mkpath(QString::fromStdString(m_options.directory));
    const auto clock = [this] { return now(); };
    for (std::size_t i = 0; i < m_controlEndpoints.size(); ++i)
        m_controlMembers.push_back(std::make_unique<NodeProcess>(controlCommand(i), clock));
    for (int i = 0; i < m_options.fronts; ++i)
        m_fronts.push_back(
            std::make_unique<NodeProcess>(frontCommand(static_cast<std::size_t>(i)), clock));
    m_probes.resize(m_fronts.size());
}

NodeProcess &Deployment::controller()
{
    const auto latest = std::max_element(
        m_controlMembers.begin(), m_controlMembers.end(), [](const auto &a, const auto &b) {
            return controlTermOf(a->command().logFile) < controlTermOf(b->command().logFile);
        });
    return **latest;
}

// Databases and the platform.

void Deployment::createGroups()
{
    DatabaseOptions options;
    options.losesCommits = m_options.broken == BrokenVariant::LostCommits;
    options.promotesShortest = m_options.broken == BrokenVariant::ShortestLog;
    options.confusesShapes = m_options.broken == BrokenVariant::WrongShape;
    options.ignoresBegin = m_options.broken == BrokenVariant::NoTransactions;
    options.keepsValues = m_options.broken == BrokenVariant::KeptValues;
    for (int s = 0; s < m_options.services; ++s) {
        const std::string service = fmt::format("service{}", s);
        std::vector<DatabasePlace> places;
        for (std::size_t d = 0; d < kDatabasesPerService; ++d)
            places.push_back({ { host(kDatabaseBlock + s, d), kDatabasePort },
                               dataCentre(static_cast<std::size_t>(s) + d) });
        const std::uint64_t seed = m_random();
        m_groups[service] = std::make_unique<GroupThread>([&](HttpCalls &calls) {
            return std::make_unique<DatabaseGroup>(service, places, options, seed,
                                                   m_controlEndpoints, calls,
                                                   [this] { return now(); });
        });
        m_routes.push_back({ "db" + service, service, DatabaseKind::Primary });
        m_routes.push_back({ "old" + service, service, DatabaseKind::BoundedStaleness });
        m_routes.push_back({ "own" + service, service, DatabaseKind::ReadYourWrites });
    }
}

void Deployment::servePromotions()
{
    const PromotionServer::Callbacks callbacks {
        [this] { return now(); },
        [this](const PromotionCall &call) {
            const auto group = m_groups.find(call.service);
            bool done = m_options.broken == BrokenVariant::NoPromotion;
            if (group != m_groups.end() && !done)
                group->second->call(
                    [&](DatabaseGroup &databases) { done = databases.promote(call.database); });
            return done;
        },
    };
    m_promotions = std::make_unique<PromotionServer>(
        Endpoint { host(kPlatformBlock, 0), kPlatformPort }, m_options.seed, callbacks);
    if (m_options.broken == BrokenVariant::LatePromotion)
        m_promotions->repeatLate();
}

void Deployment::probeFronts()
{
    for (std::size_t i = 0; i < m_probes.size(); ++i) {
        m_calls.call("GET", { host(kFrontBlock, i), kReadinessPort }, kReadyPath, {},
                     [this, i](int status, const std::string &) {
                         Probe &probe = m_probes[i];
                         probe.misses = status == 200 ? 0 : probe.misses + 1;
                         if (status == 200)
                             probe.ready = true;
                         else if (probe.misses >= kMissesUntilUnready)
                             probe.ready = false;
                     });
    }
}

void Deployment::noteStall()
{
    const RunTime tick = now();
    const RunTime delay = tick - m_lastTick - kStallTick;
    Stall &longest = m_stalls[tick.count() / 1000];
    if (delay > longest.length)
        longest = { kSoakName, {}, tick, delay };
    m_lastTick = tick;
}

Endpoint Deployment::chooseFront()
{
    // With fewer than half of them in rotation, all are used.
    const bool useAll = readyFronts() * 2 < m_probes.size();
    for (;;) {
        const std::size_t index = m_random() % m_probes.size();
        if (useAll || m_probes[index].ready)
            return { host(kFrontBlock, index), kSessionPort };
    }
}

// The operator.

DeploymentConfig Deployment::makeConfig(std::uint64_t version) const
{
    DeploymentConfig config;
    config.version = version;
    config.routes = m_routes;
    // Each version adds a route.
    config.routes.push_back(
        { fmt::format("added{}", version), m_routes.front().service, DatabaseKind::Primary });
    for (const auto &[service, group] : m_groups)
        config.services.push_back(service);
    config.teams = m_teams;
    return config;
}

void Deployment::installConfig()
{
    sendConfig(++m_sentVersion, m_random() % m_controlEndpoints.size());
}

void Deployment::sendConfig(std::uint64_t version, std::size_t member)
{
    const Endpoint &endpoint = m_controlEndpoints[member % m_controlEndpoints.size()];
    m_calls.call("PUT", endpoint, kConfigPath, encodeConfig(makeConfig(version)),
                 [this, version, member](int status, const std::string &) {
                     if (status == 200) {
                         m_acceptedVersion = std::max(m_acceptedVersion, version);
                         return;
                     }
                     QTimer::singleShot(kInstallRetryDelay, &m_probeTimer, [this, version, member] {
                         sendConfig(version, member + 1);
                     });
                 });
}

void Deployment::readConfigBack()
{
    for (const Endpoint &endpoint : m_controlEndpoints) {
        m_calls.call("GET", endpoint, kConfigPath, {}, [this](int status, const std::string &body) {
            ++m_configReads[status];
            if (status == 200)
                m_versionReadBack = std::max(m_versionReadBack, configVersion(body));
        });
    }
}

// Callers.

void Deployment::createCallers()
{
    const Caller::Surroundings surroundings {
        [this] { return now(); },
        [this] { return chooseFront(); },
        [this] { return fmt::format("{:08x}{:08x}", m_options.seed, ++m_lastStatement); },
        [this] { return ++m_lastSession; },
    };
    const std::chrono::milliseconds pause(1000 * m_options.sessions / m_options.ratePerSecond);
    for (int i = 0; i < m_options.sessions; ++i) {
        const auto index = static_cast<std::size_t>(i);
        const DatabaseRoute &route = m_routes[index % m_routes.size()];
        const TeamEntry &team = m_teams[index % m_teams.size()];
        const CallerProfile profile { route.service,
                                      route.name,
                                      team.key,
                                      team.name,
                                      route.kind == DatabaseKind::BoundedStaleness,
                                      pause };
        m_callers.push_back(std::make_unique<Caller>(fmt::format("item{}", i), profile, m_random(),
                                                     surroundings, m_records));
    }
}

} // namespace shallotlever::soak
