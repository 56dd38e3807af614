#include "simulation.h"

#include <algorithm>

#include <fmt/format.h>

namespace shallotlever::fuzz {

namespace {

constexpr Duration kStep = 5ms;
constexpr std::size_t kMembers = 3;
constexpr std::size_t kHosts = 6;
constexpr std::size_t kDatabasesPerGroup = 3;
/// An election may take several rounds of at most 1 s each.
constexpr Duration kControllerLimit = 10s;
constexpr Duration kRecoveryLimit = 3s;
constexpr Duration kPrimaryLimit = 17s;
/// A database renews its announcement within seconds; a new controller grants shares after 2 s.
constexpr Duration kSharesLimit = 10s;
/// Clock rates differ by at most 0.04%: the share lease relies on the message delay of 1 ms or
/// more, which covers 0.05% of its 2 s.
constexpr double kClockDrift = 0.0002;

} // namespace

Simulation::Simulation(SimulationOptions options)
    : m_options(options)
    , m_random(options.seed)
    , m_cut(kHosts, std::vector<bool>(kHosts))
{
    for (std::size_t i = 0; i < kHosts; ++i) {
        Host host;
        host.id = NodeId(fmt::format("n{}", i));
        host.index = i;
        host.offset = upTo(1h);
        host.rate = 1 + kClockDrift * (2 * uniformUnit(m_random) - 1);
        host.disk.identity = MemberIdentity(i < kMembers ? m_nextIdentity++ : 0);
        m_hosts.push_back(std::move(host));
    }
    for (const char *service : { "s0", "s1" }) {
        Group group { ServiceId(service), {}, {}, {} };
        for (std::size_t i = 0; i < kDatabasesPerGroup; ++i) {
            Database db;
            db.id = UpstreamId(fmt::format("{}-db{}", service, i));
            db.role = i == 0 ? UpstreamRole::Primary : UpstreamRole::Replica;
            group.databases.push_back(std::move(db));
        }
        m_groups.push_back(std::move(group));
    }
    for (Host &host : m_hosts)
        start(host);
}

TimePoint Simulation::clockOf(const Host &host) const
{
    const double local = static_cast<double>(m_now.time_since_epoch().count()) * host.rate;
    return TimePoint(host.offset + Duration(static_cast<std::int64_t>(local)));
}

void Simulation::start(Host &host)
{
    host.up = true;
    startNode(host);
    if (host.index < kMembers)
        startMember(host);
}

void Simulation::crash(Host &host)
{
    // Any prefix of the unsynced writes may have reached the disk.
    const std::size_t kept = uniformBelow(m_random, host.writes.size() + 1);
    for (std::size_t i = 0; i < kept; ++i)
        applyWrite(host.disk, host.writes[i].write);
    host.writes.clear();
    host.up = false;
    host.member.reset();
    host.controller.reset();
    host.proposals.clear();
    host.notInForce.clear();
    host.open.clear();
    host.downUntil = m_now + upTo(chance(4) ? 10s : 500ms);
    ++m_report.crashes;
}

void Simulation::loseDisk(Host &host)
{
    if (host.index >= kMembers || !canLoseDisk(host))
        return;
    if (host.up)
        crash(host);
    host.writes.clear();
    host.disk = RecoveredState();
    host.disk.identity = MemberIdentity(m_nextIdentity++);
    ++m_report.disksLost;
}

void Simulation::cutLinks()
{
    const std::size_t victim = uniformBelow(m_random, kHosts);
    const std::uint64_t directions = 1 + uniformBelow(m_random, 3);
    for (std::size_t i = 0; i < kHosts; ++i) {
        m_cut[victim][i] = i != victim && (directions & 1U) != 0;
        m_cut[i][victim] = i != victim && (directions & 2U) != 0;
    }
    m_cutUntil = m_now + upTo(chance(4) ? 20s : 4s);
}

void Simulation::injectFaults()
{
    if (m_cutUntil <= m_now) {
        for (auto &row : m_cut)
            std::fill(row.begin(), row.end(), false);
    }
    if (!m_faulty)
        return;
    if (chance(500))
        cutLinks();
    if (chance(600)) {
        if (Host &host = anyHost(); host.up)
            crash(host);
    }
    if (chance(1500))
        loseDisk(anyHost());
    // A change of controller is the hardest moment for leases, so controllers fail more often.
    if (chance(1200)) {
        if (Host *host = controller())
            crash(*host);
    }
    if (chance(600))
        m_busyHost = uniformBelow(m_random, kHosts);
}

void Simulation::endFaults()
{
    m_faulty = false;
    m_operatorsActive = false;
    m_cutUntil = m_now;
    for (Host &host : m_hosts)
        host.downUntil = m_now;
}

void Simulation::post(std::size_t from, std::size_t to, std::function<void(Host &)> receive)
{
    if (m_cut[from][to] || (m_faulty && from != to && chance(30)))
        return;
    const int copies = m_faulty && chance(40) ? 2 : 1;
    for (int i = 0; i < copies; ++i) {
        const Duration delay = 1ms + upTo(m_faulty && chance(40) ? 1500ms : 8ms);
        m_network.emplace(m_now + delay, std::pair(to, receive));
    }
}

void Simulation::deliver()
{
    while (!m_network.empty() && m_network.begin()->first <= m_now) {
        const auto [to, receive] = std::move(m_network.begin()->second);
        m_network.erase(m_network.begin());
        if (m_hosts[to].up)
            receive(m_hosts[to]);
    }
}

void Simulation::step()
{
    m_now += kStep;
    injectFaults();
    deliver();
    for (Host &host : m_hosts) {
        if (!host.up && host.downUntil <= m_now)
            start(host);
        if (!host.up)
            continue;
        if (host.member)
            tickMember(host);
        tickNode(host);
    }
    stepDatabases();
    if (m_operatorsActive && chance(20))
        operate();
    watch();
}

void Simulation::watch()
{
    for (Host &host : m_hosts) {
        if (!host.up || !isFresh(host.view.freshness, clockOf(host)))
            continue;
        const ClusterConfig &config = host.view.replicated.cluster.config;
        m_configOracle.serves(host.id.value(), config, host.highest);
        host.highest = config.version;
    }
    for (Host &host : m_hosts) {
        watchFleet(host);
        useDatabases(host);
    }
    watchConnections();
}

/// A node that knew databases of a group never takes a view without any, or open routes would fail.
void Simulation::watchFleet(Host &host) const
{
    for (const Group &group : m_groups) {
        const auto &groups = host.view.fleet.state.view.groups;
        const auto view = groups.find(group.service);
        const bool known = view != groups.end() && !view->second.upstreams.empty();
        if (host.up && !known && host.knownGroups.contains(group.service))
            throw Violation(fmt::format("{} lost every database of {}", host.id.value(),
                                        group.service.value()));
        if (known)
            host.knownGroups.insert(group.service);
    }
}

/// The shares of all nodes stay within each database's limit less its reserve, and so do the open
/// connections, but for the one that a node without a share keeps.
void Simulation::watchConnections() const
{
    std::map<UpstreamId, std::uint32_t> leased;
    std::map<UpstreamId, std::uint32_t> open;
    for (const Host &host : m_hosts) {
        std::map<UpstreamId, std::uint32_t> shares;
        if (host.up && isFresh(host.view.freshness, clockOf(host))) {
            for (const SlotShare &share : host.view.slots)
                shares[share.upstream] = share.connections;
        }
        for (const auto &[upstream, share] : shares)
            leased[upstream] += share;
        for (const auto &[upstream, count] : host.open)
            open[upstream] += shares[upstream] == 0 && count == 1 ? 0 : count;
    }
    const std::uint32_t limit = kConnectionLimit - connectionReserve(kConnectionLimit);
    for (const auto &[upstream, count] : leased) {
        if (count > limit)
            throw Violation(fmt::format("{} connections of {} leased", count, upstream.value()));
    }
    for (const auto &[upstream, count] : open) {
        if (count > limit)
            throw Violation(fmt::format("{} connections of {} open", count, upstream.value()));
    }
}

bool Simulation::connectionsShared() const
{
    std::size_t databases = 0;
    for (const Group &group : m_groups)
        databases += group.databases.size();
    return std::all_of(m_hosts.begin(), m_hosts.end(), [databases](const Host &host) {
        const auto shares = std::count_if(host.view.slots.begin(), host.view.slots.end(),
                                          [](const SlotShare &s) { return s.connections > 0; });
        return static_cast<std::size_t>(shares) == databases;
    });
}

std::int64_t Simulation::runUntil(const std::function<bool()> &done, Duration limit,
                                  const char *what)
{
    const TimePoint begin = m_now;
    while (!done()) {
        if (m_now >= begin + limit)
            throw Violation(fmt::format("not within {} ms: {}", limit / 1ms, what));
        step();
    }
    return (m_now - begin) / 1ms;
}

void Simulation::checkRecovery()
{
    m_report.controllerMs =
        runUntil([this] { return controller() != nullptr; }, kControllerLimit, "a controller");
    m_report.leasesMs = runUntil(
        [this] {
            return std::all_of(m_hosts.begin(), m_hosts.end(), [this](const Host &host) {
                return host.up && isFresh(host.view.freshness, clockOf(host));
            });
        },
        kRecoveryLimit, "a lease on every node");
    Host *host = controller();
    if (host == nullptr)
        throw Violation("the controller left office without a fault");
    const ConfigVersion wanted = host->state.cluster.config.version.next();
    const OperatorChange change { ChangeId("last"), host->state.cluster.config.version,
                                  SetPreset { PresetId("peak") } };
    propose(*host, Command(change));
    m_report.inForceMs = runUntil([&] { return m_configOracle.reported() >= wanted; },
                                  kRecoveryLimit, "a change in force everywhere");
    runUntil([this] { return connectionsShared(); }, kSharesLimit,
             "a connection of each database on every node");
    runUntil(
        [this] { return groupsServe() && evacuated(); }, kPrimaryLimit,
        "a primary with every acknowledged write in each group, outside evacuated data centres");
}

SimulationReport Simulation::run()
{
    for (std::uint64_t i = 0; i < m_options.steps; ++i)
        step();
    endFaults();
    checkRecovery();
    m_report.changes = m_configOracle.changes();
    for (const auto &[team, oracle] : m_rateOracles)
        m_report.admitted += oracle.total();
    for (const Group &group : m_groups)
        m_report.acknowledged += group.acknowledged.size();
    return m_report;
}

} // namespace shallotlever::fuzz
