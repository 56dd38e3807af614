#include <algorithm>
#include <ctime>
#include <string>

#include <fmt/core.h>

#include "shallotlever/controller/controller.h"

/// Measures the controller library with every group in office: one advance, one report, and the
/// bytes of a report and of its lease. Prints one JSON object.
///
///     controller_bench NODES UPSTREAMS TEAMS TEAMS_PER_NODE UPSTREAMS_PER_NODE
namespace {

using namespace shallotlever;

constexpr std::size_t kUpstreamsPerService = 3;
constexpr int kRounds = 5;
constexpr int kAdvances = 5;

struct Size
{
    std::size_t nodes = 0;
    std::size_t upstreams = 0;
    std::size_t teams = 0;
    std::size_t teamsPerNode = 0;
    std::size_t upstreamsPerNode = 0;
};

double cpuSeconds()
{
    return static_cast<double>(std::clock()) / CLOCKS_PER_SEC;
}

UpstreamId upstreamId(std::size_t index)
{
    return UpstreamId(fmt::format("database-{:05}", index));
}

ServiceId serviceOf(std::size_t upstream)
{
    return ServiceId(fmt::format("service-{:05}", upstream / kUpstreamsPerService));
}

TeamId teamId(std::size_t index)
{
    return TeamId(fmt::format("team-{:04}", index));
}

ReplicatedState replicatedState(const Size &size)
{
    ReplicatedState state = initialState();
    for (std::size_t i = 0; i < size.upstreams; ++i) {
        const ServiceId service = serviceOf(i);
        state.cluster.config.services[service] = { service };
        GroupState &group = state.cluster.groups[service];
        group.service = service;
        group.term = group.reservedTerm = Term(1);
        group.votingSet.insert(upstreamId(i));
        group.primary = *group.votingSet.begin();
    }
    for (std::size_t t = 0; t < size.teams; ++t)
        state.cluster.config.teams[teamId(t)] = { teamId(t), 100'000, 10'000, {} };
    return state;
}

NodeReport reportOf(const Size &size, std::size_t node, std::uint64_t round)
{
    NodeReport report;
    report.node = NodeId(fmt::format("node-{:04}", node));
    report.incarnation = Incarnation(1);
    report.number = round;
    for (std::size_t i = node; round % 2 == 1 && i < size.upstreams; i += size.nodes) {
        HeardAnnouncement heard;
        heard.announcement.upstream = upstreamId(i);
        heard.announcement.service = serviceOf(i);
        heard.announcement.dataCentre = DataCentreId(fmt::format("dc{}", i % 9));
        heard.announcement.endpoint = { "10.20.30.40", 5432 };
        heard.announcement.slots = 5;
        heard.announcement.connectionLimit = 1000;
        report.announcements.push_back(std::move(heard));
    }
    for (std::size_t t = 0; t < size.teamsPerNode; ++t) {
        TeamDemand demand;
        demand.team = teamId((node + t) % size.teams);
        demand.arrivalsPerSecond = 50;
        report.teams.push_back(std::move(demand));
    }
    for (std::size_t u = 0; u < size.upstreamsPerNode; ++u)
        report.slots.push_back(
            { upstreamId((node * size.upstreamsPerNode + u) % size.upstreams), 2, 1, 0, 0 });
    return report;
}

struct Cost
{
    double reportSeconds = 0;
    double advanceSeconds = 0;
    std::size_t reportBytes = 0;
    std::size_t leaseBytes = 0;
};

Cost runRound(ControllerState &controller, const ReplicatedState &state, const Size &size,
              std::uint64_t round, TimePoint now)
{
    Cost cost;
    for (std::size_t node = 0; node < size.nodes; ++node) {
        NodeReport report = reportOf(size, node, round);
        report.appliedConfig = state.cluster.config.version;
        report.appliedFleet = controller.fleetLog.version;
        const std::string bytes = encodeNodeReport(report);
        const double before = cpuSeconds();
        const auto lease = onNodeReport(controller, *decodeNodeReport(bytes), now);
        const std::string answer = encodeNodeLease(*lease);
        cost.reportSeconds += cpuSeconds() - before;
        cost.reportBytes += bytes.size();
        cost.leaseBytes += answer.size();
    }
    const double before = cpuSeconds();
    for (int i = 0; i < kAdvances; ++i)
        advanceController(controller, state, now + i * 10ms);
    cost.advanceSeconds += cpuSeconds() - before;
    return cost;
}

void measure(const Size &size)
{
    const ReplicatedState state = replicatedState(size);
    TimePoint now(1000s);
    ControllerState controller = makeController(ControlTerm(1), state, FleetLog(), 1, now);
    // Until shares are granted, 2 s, and the first view is published, 4 s.
    constexpr int kWarmUp = 10;
    Cost total;
    for (int round = 1; round <= kWarmUp + kRounds; ++round, now += 500ms) {
        const Cost cost = runRound(controller, state, size, round, now);
        if (round <= kWarmUp)
            continue;
        total.reportSeconds += cost.reportSeconds;
        total.advanceSeconds += cost.advanceSeconds;
        total.reportBytes += cost.reportBytes;
        total.leaseBytes += cost.leaseBytes;
    }
    const auto reports = static_cast<double>(size.nodes * kRounds);
    fmt::print("{{\"nodes\":{},\"upstreams\":{},\"teams_per_node\":{},\"upstreams_per_node\":{},"
               "\"us_per_report\":{:.1f},\"ms_per_advance\":{:.2f},\"report_bytes\":{:.0f},"
               "\"lease_bytes\":{:.0f}}}\n",
               size.nodes, size.upstreams, size.teamsPerNode, size.upstreamsPerNode,
               total.reportSeconds / reports * 1e6,
               total.advanceSeconds / (kRounds * kAdvances) * 1e3,
               static_cast<double>(total.reportBytes) / reports,
               static_cast<double>(total.leaseBytes) / reports);
}

} // namespace

int main(int argc, char **argv)
{
    if (argc != 6) {
        fmt::print(stderr,
                   "usage: controller_bench NODES UPSTREAMS TEAMS TEAMS_PER_NODE "
                   "UPSTREAMS_PER_NODE\n");
        return 2;
    }
    measure({ std::stoul(argv[1]), std::stoul(argv[2]), std::stoul(argv[3]), std::stoul(argv[4]),
              std::stoul(argv[5]) });
    return 0;
}
