#include <malloc.h>

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <ctime>
#include <string>

#include <fmt/core.h>

#include "shallotlever/fleet/distribution.h"
#include "shallotlever/fleet/registry.h"

/// Measures the cost of reports, leases and announcements, using the production code and codec.
/// Prints one JSON object per fleet size.
///
///     fleet_distribution_bench [NODES UPSTREAMS TEAMS]
namespace {

using namespace shallotlever;

constexpr std::size_t kDataCentres = 9;
constexpr std::size_t kUpstreamsPerService = 3;
constexpr double kReportsPerSecond = 2;
constexpr double kAnnouncementsPerSecond = 1;
/// Maximum number of upstreams that a node is connected to and therefore observes.
constexpr std::size_t kMaxObservedUpstreams = 60;
constexpr int kRounds = 10;

struct Size
{
    std::size_t nodes;
    std::size_t upstreams;
    std::size_t teams;
};

double cpuSeconds()
{
    timespec time {};
    clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &time);
    return static_cast<double>(time.tv_sec) + static_cast<double>(time.tv_nsec) * 1e-9;
}

std::size_t heapBytes()
{
    return mallinfo2().uordblks;
}

HeardAnnouncement announcement(std::size_t index, std::uint64_t position)
{
    HeardAnnouncement heard;
    heard.announcement = { .upstream = UpstreamId(fmt::format("database-{:05}", index)),
                           .service = ServiceId(
                               fmt::format("service-{:05}", index / kUpstreamsPerService)),
                           .dataCentre = DataCentreId(fmt::format("dc-{}", index % kDataCentres)),
                           .endpoint = { .host = "10.20.30.40", .port = 5432 },
                           .slots = 5,
                           .connectionLimit = 30,
                           .role = UpstreamRole::Replica,
                           .point = { Term(7), LogPosition(position) },
                           .leaving = false };
    heard.age = 250ms;
    return heard;
}

/// State of a controller at which every upstream has announced itself and every node is known.
struct Controller
{
    Size size;
    Registry registry;
    ClusterState cluster;
    FleetLog fleet;
    ConfigLog config;
    LeaseTable leases;
    std::vector<ShareSet> shares;
    std::vector<FleetVersion> applied;
    std::vector<std::uint64_t> appliedShares;
    std::uint64_t round = 0;
    TimePoint now { 1000s };

    explicit Controller(Size s)
        : size(s)
        , shares(s.nodes, makeShareSet(ControlTerm(1)))
        , applied(s.nodes)
        , appliedShares(s.nodes)
    {
        for (std::size_t i = 0; i < size.upstreams; ++i) {
            const HeardAnnouncement heard = announcement(i, 1);
            cluster.config.services[heard.announcement.service] = { heard.announcement.service };
            registry.services.insert(heard.announcement.service);
            GroupState &group = cluster.groups[heard.announcement.service];
            group.votingSet.insert(heard.announcement.upstream);
            group.primary = *group.votingSet.begin();
            applyAnnouncement(registry, heard, now, now);
        }
        publish();
        for (ShareSet &share : shares) {
            std::vector<RateShare> rates;
            for (std::size_t t = 0; t < size.teams; ++t)
                rates.push_back({ TeamId(fmt::format("team-{:04}", t)), 12.5, 4.0 });
            updateShares(share, rates, {});
        }
    }
    void publish() { publishFleet(fleet, makeFleetState(registry, cluster), ControlTerm(1)); }
};

NodeReport reportOf(Controller &c, std::size_t node)
{
    NodeReport report;
    report.node = NodeId(fmt::format("node-{:04}", node));
    report.incarnation = Incarnation(1);
    report.number = c.round;
    report.appliedFleet = c.applied[node];
    report.appliedShares = c.appliedShares[node];
    report.observationsBase = c.round - 1;
    if (c.round == 1) {
        for (std::size_t i = 0; i < std::min(kMaxObservedUpstreams, c.size.upstreams); ++i) {
            const std::size_t upstream = (node * kMaxObservedUpstreams + i) % c.size.upstreams;
            report.observations.push_back(
                { .upstream = announcement(upstream, 0).announcement.upstream });
        }
    }
    // Each upstream announces itself to one node, in every second round.
    for (std::size_t i = node; i < c.size.upstreams; i += c.size.nodes) {
        if (c.round % 2 == i / c.size.nodes % 2)
            report.announcements.push_back(announcement(i, c.round));
    }
    return report;
}

struct RoundCost
{
    std::size_t reportBytes = 0;
    std::size_t leaseBytes = 0;
    std::size_t announcements = 0;
    double controllerSeconds = 0;
};

RoundCost runRound(Controller &c)
{
    RoundCost cost;
    ++c.round;
    c.now += Duration(500ms);
    const LeaseSource source { ControlTerm(1), LogIndex(5), &c.config, &c.fleet };
    for (std::size_t node = 0; node < c.size.nodes; ++node) {
        const NodeReport sent = reportOf(c, node);
        const std::string bytes = encodeNodeReport(sent);
        const double before = cpuSeconds();
        const auto report = decodeNodeReport(bytes);
        const ReportResult result = applyReport(c.registry, *report, c.now);
        grantLease(c.leases, *report, c.now);
        const std::string lease = encodeNodeLease(
            makeLease(*report, source, c.shares[node], result.wantsAllObservations));
        cost.controllerSeconds += cpuSeconds() - before;
        cost.reportBytes += bytes.size();
        cost.leaseBytes += lease.size();
        cost.announcements += sent.announcements.size();
        c.applied[node] = c.fleet.version;
        c.appliedShares[node] = c.shares[node].version;
    }
    const double before = cpuSeconds();
    advanceRegistry(c.registry, c.now);
    expireLeases(c.leases, c.now);
    cost.controllerSeconds += cpuSeconds() - before;
    return cost;
}

double announcementMicroseconds(Controller &c)
{
    std::vector<HeardAnnouncement> all;
    for (std::size_t i = 0; i < c.size.upstreams; ++i)
        all.push_back(announcement(i, 99));
    const double before = cpuSeconds();
    for (const HeardAnnouncement &heard : all)
        applyAnnouncement(c.registry, heard, c.now, c.now);
    return (cpuSeconds() - before) * 1e6 / static_cast<double>(c.size.upstreams);
}

/// Measures and prints the costs of one fleet size. Idle costs exclude the first round, in which
/// every node receives the full state.
void measure(Size size)
{
    const std::size_t heapBefore = heapBytes();
    Controller c(size);
    const RoundCost first = runRound(c);
    const std::size_t controllerHeap = heapBytes() - heapBefore;
    FleetLog copy;
    const std::size_t beforeCopy = heapBytes();
    applyFleetUpdate(copy, fleetUpdateSince(c.fleet, {}));
    const std::size_t viewHeap = heapBytes() - beforeCopy;
    RoundCost idle;
    for (int i = 0; i < kRounds; ++i) {
        const RoundCost round = runRound(c);
        idle.reportBytes += round.reportBytes;
        idle.leaseBytes += round.leaseBytes;
        idle.announcements += round.announcements;
        idle.controllerSeconds += round.controllerSeconds;
    }
    const RoundCost quiet = runRound(c);
    setDrained(c.registry, UpstreamId("database-00001"), true);
    advanceRegistry(c.registry, c.now);
    const double publishBefore = cpuSeconds();
    c.publish();
    const double publishSeconds = cpuSeconds() - publishBefore;
    const RoundCost changed = runRound(c);
    const auto nodes = static_cast<double>(size.nodes);
    const double reports = nodes * kRounds;
    const double perReport = idle.controllerSeconds / reports;
    fmt::print(
        "{{\"nodes\":{},\"upstreams\":{},\"teams\":{},\"idle_bytes_per_second_per_node\":{:.0f},"
        "\"report_bytes\":{:.0f},\"lease_bytes\":{:.0f},\"change_bytes_per_node\":{:.0f},"
        "\"first_lease_bytes\":{:.0f},\"controller_us_per_report\":{:.1f},"
        "\"controller_us_per_announcement\":{:.2f},\"controller_core_share\":{:.4f},"
        "\"publish_ms\":{:.2f},\"node_view_bytes\":{},\"controller_bytes\":{},"
        "\"view_bytes_per_upstream\":{:.0f},\"announcements_per_report\":{:.2f}}}\n",
        size.nodes, size.upstreams, size.teams,
        static_cast<double>(idle.reportBytes + idle.leaseBytes) / reports * kReportsPerSecond,
        static_cast<double>(idle.reportBytes) / reports,
        static_cast<double>(idle.leaseBytes) / reports,
        (static_cast<double>(changed.leaseBytes) - static_cast<double>(quiet.leaseBytes)) / nodes,
        static_cast<double>(first.leaseBytes) / nodes, perReport * 1e6, announcementMicroseconds(c),
        perReport * nodes * kReportsPerSecond, publishSeconds * 1e3, viewHeap, controllerHeap,
        static_cast<double>(viewHeap) / static_cast<double>(size.upstreams),
        static_cast<double>(idle.announcements) / reports);
    std::fflush(stdout);
}

} // namespace

int main(int argc, char **argv)
{
    static_assert(kAnnouncementsPerSecond * 2 == kReportsPerSecond);
    if (argc == 4) {
        measure({ std::stoul(argv[1]), std::stoul(argv[2]), std::stoul(argv[3]) });
        return 0;
    }
    for (const Size &size :
         { Size { 10, 30, 8 }, Size { 100, 400, 8 }, Size { 500, 400, 100 },
           Size { 500, 4400, 100 }, Size { 1900, 4400, 8 }, Size { 1900, 4400, 400 } })
        measure(size);
    return 0;
}
