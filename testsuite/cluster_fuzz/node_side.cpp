#include <algorithm>

#include <fmt/format.h>

#include "simulation.h"

namespace shallotlever::fuzz {

namespace {

constexpr Duration kReportInterval = 500ms;
constexpr std::size_t kMembers = 3;

} // namespace

void Simulation::startNode(Host &host)
{
    host.view = makeNodeView(host.id, Incarnation(m_nextIncarnation++));
    host.link = ControllerLink();
    for (std::size_t i = 0; i < kMembers; ++i)
        host.link.members.push_back(m_hosts[i].id);
    host.link.lastAnswerAt = clockOf(host);
    host.buckets.clear();
    host.heard.clear();
    host.knownGroups.clear();
    host.nextReport = TimePoint();
    host.lastReport = TimePoint();
}

void Simulation::tickNode(Host &host)
{
    const TimePoint now = clockOf(host);
    bool early = false;
    if (now >= host.lastReport + kEarlyReportInterval) {
        for (const auto &[team, bucket] : host.buckets)
            early = bucket->needsEarlyReport(now) || early;
    }
    if (now >= host.nextReport || early || std::exchange(host.pushDue, false))
        sendReport(host);
    advanceControllerLink(host.link, now);
    serveRequests(host);
    useConnections(host);
}

void Simulation::sendReport(Host &host)
{
    const TimePoint now = clockOf(host);
    host.nextReport = now + kReportInterval;
    host.lastReport = now;
    const std::string bytes = encodeNodeReport(makeNodeReport(host.view, reportInput(host), now));
    const NodeId controller = currentController(host.link);
    const auto to = std::find_if(m_hosts.begin(), m_hosts.end(),
                                 [&](const Host &other) { return other.id == controller; });
    const std::size_t from = host.index;
    if (to->index == from) {
        answerReport(host, bytes, from);
        return;
    }
    post(from, to->index, [this, bytes, from](Host &at) { answerReport(at, bytes, from); });
}

ReportInput Simulation::reportInput(Host &host)
{
    const TimePoint now = clockOf(host);
    ReportInput input;
    for (const auto &[id, heard] : std::exchange(host.heard, {}))
        input.announcements.push_back({ heard.first, now - heard.second });
    const bool fresh = isFresh(host.view.freshness, now);
    for (const auto &[service, group] : host.view.fleet.state.view.groups) {
        for (const auto &[id, info] : group.upstreams) {
            input.reachable[id] = reaches(host, *findDatabase(id));
            SlotDemand demand { id, host.open[id], host.open[id] / 2, 0, 0 };
            demand.waiting = host.index == m_busyHost ? 10 : 0;
            for (const SlotShare &share : host.view.slots)
                demand.connectionsHeld =
                    fresh && share.upstream == id ? share.connections : demand.connectionsHeld;
            input.slots.push_back(demand);
        }
    }
    for (const auto &[team, bucket] : host.buckets)
        input.teams.push_back(bucket->takeDemand(team, now));
    return input;
}

void Simulation::answerReport(Host &host, const std::string &bytes, std::size_t from)
{
    const NodeReport report = decodeNodeReport(bytes).value();
    if (host.controller) {
        if (!isController(host))
            return;
        const auto lease = onNodeReport(*host.controller, report, clockOf(host));
        if (lease && from == host.index)
            applyLease(host, *lease);
        else if (lease)
            post(host.index, from, [this, sent = encodeNodeLease(*lease)](Host &at) {
                applyLease(at, decodeNodeLease(sent).value());
            });
        return;
    }
    const auto leader = host.member ? host.member->leader() : std::nullopt;
    const NodeId named = leader ? leader->node : NodeId();
    const NodeId id = host.id;
    if (from == host.index)
        applyControllerHint(host.link, id, named, clockOf(host));
    else
        post(host.index, from,
             [this, id, named](Host &at) { applyControllerHint(at.link, id, named, clockOf(at)); });
}

void Simulation::applyLease(Host &host, const NodeLease &lease)
{
    const TimePoint now = clockOf(host);
    const LeaseResult result = applyNodeLease(host.view, lease, now);
    if (result.verdict != LeaseVerdict::Applied)
        return;
    ++m_report.leases;
    noteControllerAnswer(host.link, currentController(host.link), now);
    for (const auto &[id, team] : host.view.replicated.cluster.config.teams) {
        if (auto &bucket = host.buckets[id]; !bucket)
            bucket = std::make_unique<TokenBucket>();
    }
    for (const RateShare &share : host.view.rates) {
        const auto bucket = host.buckets.find(share.team);
        if (bucket == host.buckets.end())
            continue;
        if (host.view.sharesRenewed)
            bucket->second->renewShare(share, result.sharesUntil, now);
        else if (bucket->second->applyShare(share, result.sharesUntil, now))
            host.nextReport = TimePoint();
    }
    if (result.configChanged || result.fleetChanged)
        host.nextReport = TimePoint();
}

/// Requests of both teams, most of them on one node.
void Simulation::serveRequests(Host &host)
{
    const TimePoint now = clockOf(host);
    if (!isFresh(host.view.freshness, now))
        return;
    for (const auto &[team, bucket] : host.buckets) {
        const bool busy = host.index == m_busyHost;
        const std::uint64_t arrivals = busy ? uniformBelow(m_random, 3) : (chance(20) ? 1 : 0);
        for (std::uint64_t i = 0; i < arrivals; ++i) {
            bucket->countArrival();
            if (bucket->tryTake(now))
                m_rateOracles[team].admitted(m_now);
        }
    }
}

/// Drops databases that the fleet does not show, opens connections up to the share and closes those
/// above it after a while, as statements end.
void Simulation::useConnections(Host &host)
{
    const bool fresh = isFresh(host.view.freshness, clockOf(host));
    std::map<UpstreamId, std::uint32_t> shares;
    for (const auto &[service, group] : host.view.fleet.state.view.groups) {
        for (const auto &[id, info] : group.upstreams)
            shares[id] = 1;
    }
    std::erase_if(host.open, [&](const auto &open) { return !shares.contains(open.first); });
    for (const SlotShare &share : host.view.slots) {
        if (const auto known = shares.find(share.upstream); fresh && known != shares.end())
            known->second = share.connections;
    }
    for (const auto &[id, share] : shares) {
        std::uint32_t &open = host.open[id];
        if (!fresh)
            open = std::min(open, 1U);
        else if (open < share && chance(6))
            ++open;
        else if (open > share && chance(20))
            --open;
    }
}

} // namespace shallotlever::fuzz
