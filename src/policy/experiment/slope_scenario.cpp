#include <ctime>
#include <malloc.h>

#include <QJsonArray>
#include <QJsonObject>

#include "scenarios.h"
#include "shallotlever/policy/rate_allocator.h"
#include "shallotlever/policy/slot_allocator.h"
#include "shallotlever/policy/token_grants.h"
#include "simulation.h"

namespace shallotlever::experiment {
namespace {

constexpr int kRounds = 6;
constexpr int kWarmUpRounds = 5;
/// Teams of which a node sees requests, and upstreams that a node serves.
constexpr std::size_t kTeamsPerNode = 40;
constexpr std::size_t kUpstreamsPerNode = 100;

double cpuSeconds()
{
    return static_cast<double>(std::clock()) / CLOCKS_PER_SEC;
}

double heapMegabytes()
{
    return static_cast<double>(mallinfo2().uordblks) / 1e6;
}

/// Sends every node's report each 500 ms; returns CPU seconds of the rounds after the warm-up.
template <typename Report>
double cpuOfRounds(std::size_t nodes, Report report)
{
    double start = 0;
    for (int round = 0; round < kWarmUpRounds + kRounds; ++round) {
        if (round == kWarmUpRounds)
            start = cpuSeconds();
        for (std::size_t n = 0; n < nodes; ++n)
            report(n, TimePoint(10s + round * 500ms));
    }
    return cpuSeconds() - start;
}

QJsonObject figures(double cpu, double megabytes, std::size_t nodes)
{
    const double reports = static_cast<double>(nodes) * kRounds;
    return { { "us_per_report", cpu / reports * 1e6 },
             { "share_of_a_core", cpu / (kRounds * 0.5) },
             { "megabytes", megabytes } };
}

QJsonObject rateSlope(std::size_t nodes, std::size_t teams, std::uint64_t seed)
{
    Random random(seed);
    const double before = heapMegabytes();
    RateAllocator allocator = makeRateAllocator(ControlTerm(1), TimePoint(0s));
    std::map<TeamId, TeamConfig> config;
    std::vector<TeamId> ids;
    for (std::size_t t = 0; t < teams; ++t) {
        ids.emplace_back("team-" + std::to_string(t));
        config[ids.back()] = { ids.back(), 1000, 2000, {} };
    }
    applyTeamConfig(allocator, config, TimePoint(5s));
    std::vector<GrantNumber> applied(nodes);
    std::uint64_t sequence = 0;
    const std::size_t seen = std::min(teams, kTeamsPerNode);
    const double cpu = cpuOfRounds(nodes, [&](std::size_t n, TimePoint now) {
        RateReport report;
        report.stamp = { NodeId("node-" + std::to_string(n)), Incarnation(1), ++sequence,
                         applied[n] };
        for (std::size_t i = 0; i < seen; ++i)
            report.demands.push_back({ ids[(n + i) % teams], uniformUnit(random) * 10 });
        applied[n] = onRateReport(allocator, report, now).number;
    });
    QJsonObject result = figures(cpu, heapMegabytes() - before, nodes);
    result["nodes"] = static_cast<qint64>(nodes);
    result["teams"] = static_cast<qint64>(teams);
    result["teams_per_node"] = static_cast<qint64>(seen);
    return result;
}

/// One request for a token of one team per node and round, as from nodes that see few requests.
QJsonObject tokenSlope(std::size_t nodes, std::size_t teams)
{
    RateAllocator allocator = makeRateAllocator(ControlTerm(1), TimePoint(0s));
    std::map<TeamId, TeamConfig> config;
    std::vector<TeamId> ids;
    for (std::size_t t = 0; t < teams; ++t) {
        ids.emplace_back("team-" + std::to_string(t));
        config[ids.back()] = { ids.back(), 1000, 2000, {} };
    }
    applyTeamConfig(allocator, config, TimePoint(5s));
    std::size_t granted = 0;
    const double cpu = cpuOfRounds(nodes, [&](std::size_t n, TimePoint now) {
        const TokenRequest request { ids[n % teams], 1 };
        const TokenRequester asker { NodeId("node-" + std::to_string(n)), Incarnation(1), 1 };
        granted += handleTokenRequests(allocator, asker, { &request, 1 }, now).size();
    });
    return { { "nodes", static_cast<qint64>(nodes) },
             { "teams", static_cast<qint64>(teams) },
             { "granted", static_cast<qint64>(granted) },
             { "us_per_request", cpu / (static_cast<double>(nodes) * kRounds) * 1e6 } };
}

QJsonObject slotSlope(std::size_t nodes, std::size_t upstreams, std::uint64_t seed)
{
    Random random(seed);
    const double before = heapMegabytes();
    SlotAllocator allocator = makeSlotAllocator(ControlTerm(1), TimePoint(0s));
    FleetView fleet;
    std::vector<UpstreamId> ids;
    for (std::size_t u = 0; u < upstreams; ++u) {
        ids.emplace_back("upstream-" + std::to_string(u));
        fleet.groups[ServiceId("s")].upstreams[ids.back()].connectionLimit = 200;
    }
    applyUpstreamLimits(allocator, fleet);
    std::vector<GrantNumber> applied(nodes);
    std::uint64_t sequence = 0;
    const std::size_t served = std::min(upstreams, kUpstreamsPerNode);
    const double cpu = cpuOfRounds(nodes, [&](std::size_t n, TimePoint now) {
        SlotReport report;
        report.stamp = { NodeId("node-" + std::to_string(n)), Incarnation(1), ++sequence,
                         applied[n] };
        for (std::size_t i = 0; i < served; ++i) {
            const auto busy = static_cast<std::uint32_t>(uniformBelow(random, 3));
            report.demands.push_back({ ids[(n * 7 + i) % upstreams], 2, busy });
        }
        applied[n] = onSlotReport(allocator, report, now).number;
    });
    QJsonObject result = figures(cpu, heapMegabytes() - before, nodes);
    result["nodes"] = static_cast<qint64>(nodes);
    result["upstreams"] = static_cast<qint64>(upstreams);
    result["upstreams_per_node"] = static_cast<qint64>(served);
    return result;
}

} // namespace

QJsonValue runSlopes(std::uint64_t seed)
{
    QJsonArray rate;
    QJsonArray slot;
    QJsonArray token;
    for (const std::size_t nodes : { 10, 100, 1900 }) {
        for (const std::size_t teams : { 8, 100, 1000 })
            rate.append(rateSlope(nodes, teams, seed));
        token.append(tokenSlope(nodes, 1000));
        slot.append(slotSlope(nodes, 4400, seed));
    }
    return QJsonObject { { "rate_allocator", rate },
                         { "single_tokens", token },
                         { "slot_allocator", slot } };
}

} // namespace shallotlever::experiment
