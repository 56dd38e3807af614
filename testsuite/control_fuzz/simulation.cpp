#include "simulation.h"

#include <algorithm>

#include <fmt/format.h>

#include "shallotlever/config/codec.h"
#include "shallotlever/control/codec.h"

namespace shallotlever::fuzz {
namespace {

constexpr Duration kStep = 5ms;
/// Proposals go on for this long after the last fault, and stop before convergence is checked.
constexpr std::uint64_t kHealedSteps = 4'000;
constexpr std::uint64_t kConvergenceSteps = 12'000;
/// Operators expect an answer to a change within this time.
constexpr Duration kAcknowledgementTimeout = 6s;

} // namespace

void Simulation::Disk::apply(const DurableWrite &write)
{
    if (write.hardState)
        state.hardState = *write.hardState;
    if (write.snapshot)
        state.snapshot = write.snapshot;
    if (write.resetLog)
        state.entries.clear();
    if (write.entries.empty())
        return;
    const LogIndex first = write.entries.front().index;
    std::erase_if(state.entries, [first](const LogEntry &e) { return e.index >= first; });
    state.entries.insert(state.entries.end(), write.entries.begin(), write.entries.end());
}

Simulation::Simulation(SimulationOptions options)
    : m_options(options)
    , m_random(options.seed)
    , m_now(1h)
    , m_cut(options.members, std::vector<bool>(options.members))
{
    for (std::size_t i = 0; i < options.members; ++i) {
        Node node;
        node.id = NodeId(fmt::format("n{}", i));
        node.offset = upTo(1h);
        node.rate = 0.95 + 0.1 * uniformUnit(m_random);
        node.disk.state.identity = MemberIdentity(m_nextIdentity++);
        m_nodes.push_back(std::move(node));
    }
    for (Node &node : m_nodes)
        start(node);
    m_faulty = !options.isolationOnly;
}

TimePoint Simulation::clockOf(const Node &node) const
{
    const double local = static_cast<double>(m_now.time_since_epoch().count()) * node.rate;
    return TimePoint(node.offset + Duration(static_cast<std::int64_t>(local)));
}

void Simulation::start(Node &node)
{
    ControlOptions options;
    options.node = node.id;
    for (const Node &peer : m_nodes)
        options.peers.push_back(peer.id);
    options.seed = m_random();
    options.retainedEntries = uniformBelow(m_random, 20);
    options.snapshotChunkBytes = 5'000 + uniformBelow(m_random, 200'000);
    options.faults = m_options.faults;
    restore(node, node.disk.state.snapshot);
    auto member = ControlMember::create(clockOf(node), options, node.disk.state);
    if (!member.ok())
        throw Violation(std::string(member.status().message()));
    node.member = *std::move(member);
}

void Simulation::restore(Node &node, const ControlSnapshotPtr &snapshot)
{
    node.state = initialState();
    if (!snapshot)
        return;
    absl::StatusOr<ReplicatedState> state = decodeState(snapshot->data);
    if (!state.ok())
        throw Violation("snapshot does not decode");
    node.state = *std::move(state);
}

void Simulation::crash(Node &node)
{
    // Any prefix of the unsynced writes may have reached the disk.
    const std::size_t kept = uniformBelow(m_random, node.writes.size() + 1);
    for (std::size_t i = 0; i < kept; ++i)
        node.disk.apply(node.writes[i].write);
    node.writes.clear();
    node.member.reset();
    node.downUntil = m_now + upTo(chance(4) ? 20s : 1s);
    ++m_report.crashes;
}

const ControlMember *Simulation::leaseHolder() const
{
    const auto found = std::find_if(m_nodes.begin(), m_nodes.end(), [this](const Node &n) {
        return runs(n) && n.member->holdsLease(clockOf(n));
    });
    return found == m_nodes.end() ? nullptr : found->member.get();
}

bool Simulation::isCurrent(const Member &voter) const
{
    return std::any_of(m_nodes.begin(), m_nodes.end(), [&](const Node &n) {
        return voter == Member { n.id, n.disk.state.identity };
    });
}

bool Simulation::groupIsRepaired() const
{
    const ControlMember *leader = leaseHolder();
    if (leader == nullptr || leader->membership().learner || !leader->membershipCommitted())
        return false;
    const std::vector<Member> &voters = leader->membership().voters;
    return voters.size() == m_nodes.size()
        && std::all_of(voters.begin(), voters.end(),
                       [this](const Member &v) { return isCurrent(v); });
}

/// The group can go on without this disk if a majority of the committed configuration keeps its
/// disks.
bool Simulation::canLose(const Node &node) const
{
    const ControlMember *leader = leaseHolder();
    if (leader == nullptr || !leader->membershipCommitted())
        return false;
    const std::vector<Member> &voters = leader->membership().voters;
    const auto left = std::count_if(voters.begin(), voters.end(), [&](const Member &voter) {
        return voter.node != node.id && isCurrent(voter);
    });
    return static_cast<std::size_t>(left) > voters.size() / 2;
}

void Simulation::loseDisk(Node &node)
{
    if (!canLose(node))
        return;
    if (node.member)
        crash(node);
    const MemberIdentity identity = node.disk.state.identity;
    node.disk = Disk {};
    node.disk.state.identity = m_options.keepIdentity ? identity : MemberIdentity(m_nextIdentity++);
    ++m_report.disksLost;
}

void Simulation::cutLinks()
{
    const std::size_t victim = anyNode();
    const std::uint64_t kind = uniformBelow(m_random, 5);
    const std::size_t other = anyNode();
    // Two members that cannot reach each other while a third one reaches both.
    if (kind == 4)
        m_cut[victim][other] = m_cut[other][victim] = true;
    for (std::size_t i = 0; i < m_nodes.size(); ++i) {
        if (kind == 0 || kind == 1)
            m_cut[victim][i] = true;
        if (kind == 0 || kind == 2)
            m_cut[i][victim] = true;
        if (kind == 3)
            m_cut[anyNode()][i] = true;
    }
    m_cutUntil = m_now + upTo(chance(4) ? 60s : 5s);
}

/// Cuts one or both directions between a follower and all others, or only the leader.
void Simulation::isolateFollower()
{
    const std::size_t victim = anyNode();
    const auto &member = m_nodes[victim].member;
    if (!member || !member->leader() || member->role() == ControlRole::Leader)
        return;
    const std::uint64_t directions = 1 + uniformBelow(m_random, 3);
    const bool leaderOnly = chance(3);
    for (std::size_t i = 0; i < m_nodes.size(); ++i) {
        if (leaderOnly && m_nodes[i].id != member->leader()->node)
            continue;
        m_cut[victim][i] = (directions & 1U) != 0;
        m_cut[i][victim] = (directions & 2U) != 0;
    }
    m_cutUntil = m_now + upTo(30s);
}

void Simulation::fillNextDisk()
{
    // The members need all their disks to found the group.
    if (m_now < m_nextFullDisk || m_oracle.lastCommitted() == LogIndex())
        return;
    Node &node = m_nodes[m_fullDisks++ % m_nodes.size()];
    node.diskFullUntil = m_now + upTo(8s);
    m_nextFullDisk = node.diskFullUntil + upTo(3s);
}

void Simulation::checkProgress()
{
    const bool founded = m_oracle.lastCommitted() != LogIndex();
    const bool progressed = m_oracle.lastCommitted() > m_progress;
    if (!founded || progressed || m_idle || !m_options.fullDisksOnly) {
        m_progress = m_oracle.lastCommitted();
        m_progressAt = m_now;
    }
    if (m_now > m_progressAt + kAcknowledgementTimeout)
        throw Violation("no change is committed while a disk is full, or after it");
}

void Simulation::heal()
{
    for (auto &row : m_cut)
        std::fill(row.begin(), row.end(), false);
}

void Simulation::injectFaults()
{
    if (m_cutUntil <= m_now)
        heal();
    if (m_options.isolationOnly && chance(300) && m_cutUntil <= m_now)
        isolateFollower();
    if (m_options.fullDisksOnly && m_faulty)
        fillNextDisk();
    if (!m_faulty || m_options.fullDisksOnly)
        return;
    Node &node = m_nodes[anyNode()];
    if (chance(600))
        cutLinks();
    if (chance(500) && node.member)
        crash(node);
    if (chance(500))
        loseDisk(node);
    if (chance(800))
        node.frozenUntil = m_now + upTo(3s);
    if (chance(800))
        node.diskFullUntil = m_now + upTo(5s);
}

void Simulation::post(std::size_t from, const ControlMessage &message)
{
    const auto to = std::find_if(m_nodes.begin(), m_nodes.end(),
                                 [&](const Node &n) { return n.id == message.to.node; });
    const auto target = static_cast<std::size_t>(to - m_nodes.begin());
    if (m_cut[from][target] || (lossyNetwork() && chance(30)))
        return;
    const std::string bytes = encodeControlMessage(message);
    const int copies = lossyNetwork() && chance(50) ? 2 : 1;
    for (int i = 0; i < copies; ++i) {
        const Duration delay = 1ms + upTo(lossyNetwork() && chance(40) ? 800ms : 10ms);
        m_network.emplace(m_now + delay, Packet { from, target, bytes });
    }
}

void Simulation::deliver()
{
    while (!m_network.empty() && m_network.begin()->first <= m_now) {
        const Packet packet = std::move(m_network.begin()->second);
        m_network.erase(m_network.begin());
        Node &node = m_nodes[packet.to];
        if (node.member && node.frozenUntil > m_now) {
            m_network.emplace(node.frozenUntil, packet);
        } else if (node.member) {
            const auto message = decodeControlMessage(packet.bytes);
            if (!message.ok())
                throw Violation("message does not decode");
            node.member->receive(clockOf(node), *message);
            drain(node);
        }
    }
}

void Simulation::finishWrites(Node &node)
{
    while (!node.writes.empty() && node.writes.front().doneAt <= m_now
           && node.diskFullUntil <= m_now) {
        const DurableWrite write = std::move(node.writes.front().write);
        node.writes.erase(node.writes.begin());
        node.disk.apply(write);
        node.member->persisted(clockOf(node), write.sequence);
        drain(node);
    }
}

void Simulation::drain(Node &node)
{
    const auto index = static_cast<std::size_t>(&node - m_nodes.data());
    for (ControlReady ready = node.member->takeReady(clockOf(node)); !ready.empty();
         ready = node.member->takeReady(clockOf(node))) {
        if (!ready.write.empty())
            node.writes.push_back({ m_now + upTo(chance(20) ? 300ms : 8ms), ready.write });
        for (const ControlMessage &message : ready.messages)
            post(index, message);
        if (ready.restore) {
            restore(node, ready.restore);
            ++m_report.snapshotsInstalled;
        }
        for (const LogEntry &entry : ready.committed)
            apply(node, entry);
    }
}

void Simulation::apply(Node &node, const LogEntry &entry)
{
    m_oracle.committed(node.member->self(), entry);
    if (entry.kind != EntryKind::Data)
        return;
    const auto logged = decodeCommand(entry.data);
    if (!logged.ok())
        throw Violation("command does not decode");
    const ConfigVersion before = node.state.cluster.config.version;
    const ChangeResult result =
        applyCommand(node.state, logged->command, entry.index, logged->wallTimeMs);
    if (node.state.cluster.config.version < before)
        throw Violation("the configuration version went back");
    if (m_options.installDropsEvacuations && std::holds_alternative<InstallConfig>(logged->command))
        node.state.cluster.config.evacuations.clear();
    if (const auto *change = std::get_if<OperatorChange>(&logged->command)) {
        m_oracle.decided(change->id, result);
        m_oracle.ordered(entry.index, *change, result);
    }
    m_oracle.evacuated(node.member->self(), entry.index,
                       evacuatedDataCentres(node.state.cluster.config));
}

std::string Simulation::snapshotOf(const Node &node) const
{
    ReplicatedState state = node.state;
    if (m_options.snapshotDropsEvacuations)
        state.cluster.config.evacuations.clear();
    return encodeState(state);
}

Change Simulation::anyChange()
{
    const DataCentreId dataCentre(fmt::format("d{}", uniformBelow(m_random, 3)));
    switch (uniformBelow(m_random, 6)) {
    case 0:
        return PutEvacuation { dataCentre };
    case 1:
        return RemoveEvacuation { dataCentre };
    default:
        return PutTeam { { TeamId(fmt::format("t{}", uniformBelow(m_random, 50))),
                           static_cast<double>(uniformBelow(m_random, 100)),
                           1,
                           {} } };
    }
}

void Simulation::proposeInstall(Node &node)
{
    InstallConfig install;
    install.content.installed.number = InstallNumber(m_nextInstall++);
    (void)node.member->propose(clockOf(node), encodeCommand({ install, 0 }));
    drain(node);
}

void Simulation::proposeChange(Node &node)
{
    // One in four is a resend of an earlier id, whose content must not matter.
    const bool resend = m_nextChange > 1 && chance(4);
    const std::uint64_t id = resend ? 1 + uniformBelow(m_random, m_nextChange - 1) : m_nextChange++;
    ConfigVersion basedOn = node.state.cluster.config.version;
    // One in four was delayed on its way.
    if (chance(4))
        basedOn = ConfigVersion(uniformBelow(m_random, basedOn.value() + 1));
    const OperatorChange change { ChangeId(fmt::format("c{}", id)), basedOn, anyChange() };
    const std::string bytes = encodeCommand({ change, 0 });
    (void)node.member->propose(clockOf(node), bytes);
    drain(node);
}

void Simulation::useGroup()
{
    Node &node = m_nodes[anyNode()];
    if (!runs(node))
        return;
    if (node.member->role() == ControlRole::Leader && chance(3)) {
        // Racing operators propose at one version.
        for (std::uint64_t n = 1 + uniformBelow(m_random, 3); n > 0; --n)
            proposeChange(node);
    }
    if (node.member->role() == ControlRole::Leader && chance(20))
        proposeInstall(node);
    if (chance(100)) {
        (void)node.member->compact(node.member->appliedIndex(), snapshotOf(node));
        drain(node);
    }
    if (!m_options.isolationOnly && chance(1'000)
        && node.member->transferLeadership(clockOf(node))) {
        ++m_report.transfers;
        drain(node);
    }
}

void Simulation::watch()
{
    m_oracle.nextInstant();
    for (const Node &node : m_nodes) {
        if (!node.member)
            continue;
        if (node.member->role() == ControlRole::Leader)
            m_oracle.leads(node.member->self(), node.member->term());
        if (node.member->holdsLease(clockOf(node)))
            m_oracle.holdsLease(node.member->self());
        if (m_options.isolationOnly && node.member->holdsLease(clockOf(node)))
            m_settledTerm = m_settledTerm.value_or(node.member->term());
        if (m_settledTerm && node.member->term() > *m_settledTerm)
            throw Violation(fmt::format("{} disturbed the group", node.id.value()));
        m_report.terms = std::max(m_report.terms, node.member->term().value());
    }
    checkProgress();
}

void Simulation::step()
{
    m_now += kStep;
    injectFaults();
    deliver();
    for (Node &node : m_nodes) {
        if (!node.member && node.downUntil <= m_now)
            start(node);
        if (!runs(node))
            continue;
        finishWrites(node);
        node.member->tick(clockOf(node));
        drain(node);
    }
    if (!m_idle)
        useGroup();
    watch();
}

void Simulation::describe() const
{
    for (const Node &node : m_nodes) {
        if (!node.member)
            continue;
        const ControlMember &member = *node.member;
        std::string voters;
        for (const Member &voter : member.membership().voters)
            voters += fmt::format(" {}:{}", voter.node.value(), voter.identity.value());
        const auto &learner = member.membership().learner;
        fmt::print("  {}:{} role {} term {} log {}..{} commit {} applied {} voters{} learner {}\n",
                   node.id.value(), member.self().identity.value(), static_cast<int>(member.role()),
                   member.term().value(), member.snapshotIndex().value(),
                   member.lastIndex().value(), member.commitIndex().value(),
                   member.appliedIndex().value(), voters, learner ? learner->node.value() : "none");
    }
}

void Simulation::checkConvergence()
{
    const std::string expected = encodeState(m_nodes.front().state);
    for (const Node &node : m_nodes) {
        const std::string &name = node.id.value();
        if (!node.member || node.member->appliedIndex() < m_oracle.lastCommitted())
            throw Violation(fmt::format("{} did not get every committed entry", name));
        if (node.state.cluster.config.version < m_oracle.lastVersion())
            throw Violation(fmt::format("{} lost an accepted change", name));
        if (encodeState(node.state) != expected)
            throw Violation(fmt::format("{} has another state", name));
    }
    if (!groupIsRepaired())
        throw Violation("the group is not repaired");
}

bool Simulation::converged() const
{
    return groupIsRepaired() && std::all_of(m_nodes.begin(), m_nodes.end(), [this](const Node &n) {
               return n.member && n.member->appliedIndex() == m_oracle.lastCommitted();
           });
}

SimulationReport Simulation::run()
{
    for (std::uint64_t i = 0; i < m_options.steps; ++i)
        step();
    m_faulty = false;
    m_cutUntil = m_now;
    for (std::uint64_t i = 0; i < kHealedSteps; ++i)
        step();
    m_idle = true;
    for (std::uint64_t i = 0; i < kConvergenceSteps && !converged(); ++i)
        step();
    checkConvergence();
    m_report.committed = m_oracle.lastCommitted();
    m_report.changesAccepted = m_oracle.changesAccepted();
    return m_report;
}

} // namespace shallotlever::fuzz
