#include <algorithm>

#include <absl/strings/str_cat.h>

#include "simulation.h"

/// What the simulated nodes do.
namespace shallotlever::fuzz {

namespace {

const ServiceId kService("group");

std::string nodeName(std::size_t index)
{
    return absl::StrCat("node", index);
}

} // namespace

void Simulation::stepNode(std::size_t index)
{
    Node &node = m_nodes[index];
    if (m_now >= node.nextReport)
        report(index);
    const auto group = node.fleet.state.view.groups.find(kService);
    if (group == node.fleet.state.view.groups.end() || !group->second.primary)
        return;
    if (chance(8))
        writeAt(index);
    if (chance(3))
        readAt(index);
    AckContext context = makeAckContext(group->second, node.freshness.leaseUntil);
    if (m_variant == Variant::AckWithoutMajority)
        context.votingSet = { context.primary };
    if (m_variant == Variant::AckWithoutLease)
        context.leaseUntil = TimePoint::max();
    for (const UpstreamId &member : nextStatusRound(node.acks, context, 100ms, m_now)) {
        const TimePoint asked = m_now;
        send(nodeName(index), member.value(), [this, index, member, asked] {
            const Database &db = m_databases.at(member);
            if (!db.up)
                return;
            send(member.value(), nodeName(index), [this, index, member, asked, s = statusOf(db)] {
                recordStatus(m_nodes[index].acks, member, s, asked);
            });
        });
    }
    settle(index, context);
}

void Simulation::report(std::size_t index)
{
    Node &node = m_nodes[index];
    node.nextReport = m_now + Duration(500ms);
    NodeReport report;
    report.node = node.id;
    report.incarnation = node.freshness.incarnation;
    report.number = noteReportSent(node.freshness, m_now);
    report.appliedFleet = node.fleet.version;
    report.appliedShares = node.freshness.appliedShares;
    for (std::size_t i = 0; i < node.heard.size(); ++i) {
        node.heard[i].age = m_now - node.heardAt[i];
        report.announcements.push_back(node.heard[i]);
    }
    node.heard.clear();
    node.heardAt.clear();
    for (const auto &[id, db] : m_databases) {
        const bool reachable =
            db.up && linked(nodeName(index), id.value()) && linked(id.value(), nodeName(index));
        report.observations.push_back({ .upstream = id, .reachable = reachable });
    }
    const std::string bytes = encodeNodeReport(report);
    for (std::size_t i = 0; i < m_controllers.size(); ++i) {
        send(nodeName(index), absl::StrCat("controller", i),
             [this, i, index, bytes] { receiveReport(i, index, bytes); });
    }
}

void Simulation::receiveLease(std::size_t index, const std::string &bytes)
{
    Node &node = m_nodes[index];
    const auto lease = decodeNodeLease(bytes);
    if (!lease.ok()) {
        violation("lease could not be decoded");
        return;
    }
    if (acceptLease(node.freshness, *lease, m_now) != LeaseVerdict::Applied)
        return;
    // The differences may begin before what is applied; then they do not form a step of the log.
    applyFleetUpdate(node.fleet, lease->fleet);
}

void Simulation::writeAt(std::size_t index)
{
    Node &node = m_nodes[index];
    const GroupView &group = node.fleet.state.view.groups.at(kService);
    const UpstreamId primary = *group.primary;
    const std::uint64_t write = m_nextWrite++;
    send(nodeName(index), primary.value(), [this, index, primary, write] {
        const auto point = commit(m_databases.at(primary), write);
        if (!point)
            return;
        send(primary.value(), nodeName(index), [this, index, write, point = *point] {
            Node &at = m_nodes[index];
            at.commits[write] = point;
            awaitAck(at.acks, write, point, m_now, m_now + Duration(3s));
        });
    });
}

void Simulation::settle(std::size_t index, const AckContext &context)
{
    Node &node = m_nodes[index];
    for (const AckResult &result : decideAcks(node.acks, context, m_now)) {
        const HistoryPoint point = node.commits.at(result.write);
        node.commits.erase(result.write);
        if (result.outcome != AckOutcome::Acknowledged)
            continue;
        m_acked[result.write] = point;
        node.sessionWrites.insert(result.write);
        node.token = std::max(node.token, point);
        checkOffice();
    }
}

void Simulation::readAt(std::size_t index)
{
    Node &node = m_nodes[index];
    const auto chosen =
        std::next(m_databases.begin(),
                  static_cast<std::ptrdiff_t>(uniformBelow(m_random, m_databases.size())));
    const Database &db = chosen->second;
    if (!db.up || !linked(nodeName(index), db.id.value()))
        return;
    if (m_variant != Variant::ReadAnyReplica && !holdsHistory(node.token, statusOf(db)))
        return;
    ++m_reads;
    for (const std::uint64_t write : node.sessionWrites) {
        if (!holdsWrite(db, write)) {
            violation(absl::StrCat("a session does not read its own write ", write));
            return;
        }
    }
}

} // namespace shallotlever::fuzz
