#include <algorithm>

#include <fmt/format.h>

#include "shallotlever/config/codec.h"
#include "shallotlever/control/codec.h"
#include "simulation.h"

namespace shallotlever::fuzz {

namespace {

constexpr std::uint64_t kEntriesPerSnapshot = 40;
constexpr std::uint64_t kKeptEntries = 10;
constexpr std::size_t kMembers = 3;
constexpr Duration kStatusTime = 20ms;

} // namespace

void applyWrite(RecoveredState &disk, const DurableWrite &write)
{
    if (write.hardState)
        disk.hardState = *write.hardState;
    if (write.snapshot)
        disk.snapshot = write.snapshot;
    if (write.resetLog)
        disk.entries.clear();
    if (write.entries.empty())
        return;
    const LogIndex first = write.entries.front().index;
    std::erase_if(disk.entries, [first](const LogEntry &e) { return e.index >= first; });
    disk.entries.insert(disk.entries.end(), write.entries.begin(), write.entries.end());
}

void Simulation::startMember(Host &host)
{
    ControlOptions options;
    options.node = host.id;
    for (std::size_t i = 0; i < kMembers; ++i)
        options.peers.push_back(m_hosts[i].id);
    options.seed = m_random();
    options.retainedEntries = kKeptEntries;
    options.faults = m_options.control;
    host.state = initialState();
    host.lastAppliedTerm = ControlTerm();
    if (host.disk.snapshot)
        host.state = decodeState(host.disk.snapshot->data).value();
    auto member = ControlMember::create(clockOf(host), options, host.disk);
    if (!member.ok())
        throw Violation(std::string(member.status().message()));
    host.member = *std::move(member);
    drain(host);
}

void Simulation::tickMember(Host &host)
{
    finishWrites(host);
    host.member->tick(clockOf(host));
    drain(host);
    tickController(host);
}

void Simulation::finishWrites(Host &host)
{
    while (!host.writes.empty() && host.writes.front().doneAt <= m_now) {
        const DurableWrite write = std::move(host.writes.front().write);
        host.writes.erase(host.writes.begin());
        applyWrite(host.disk, write);
        host.member->persisted(clockOf(host), write.sequence);
        drain(host);
    }
}

void Simulation::drain(Host &host)
{
    for (ControlReady ready = host.member->takeReady(clockOf(host)); !ready.empty();
         ready = host.member->takeReady(clockOf(host))) {
        if (!ready.write.empty())
            host.writes.push_back({ m_now + upTo(chance(20) ? 200ms : 8ms), ready.write });
        for (const ControlMessage &message : ready.messages) {
            const auto to = std::find_if(m_hosts.begin(), m_hosts.end(), [&](const Host &other) {
                return other.id == message.to.node;
            });
            post(host.index, to->index, [this, bytes = encodeControlMessage(message)](Host &at) {
                at.member->receive(clockOf(at), decodeControlMessage(bytes).value());
                drain(at);
            });
        }
        if (ready.restore)
            host.state = decodeState(ready.restore->data).value();
        for (const LogEntry &entry : ready.committed)
            apply(host, entry);
    }
    const LogIndex applied = host.member->appliedIndex();
    if (applied.value() >= host.member->snapshotIndex().value() + kEntriesPerSnapshot)
        (void)host.member->compact(applied, encodeState(host.state));
}

void Simulation::apply(Host &host, const LogEntry &entry)
{
    host.lastAppliedTerm = entry.term;
    if (entry.kind != EntryKind::Data) {
        finishProposal(host, entry, nullptr);
        return;
    }
    const LoggedCommand logged = decodeCommand(entry.data).value();
    const ChangeResult result = applyCommand(host.state, logged.command, entry.index, 0);
    const ClusterConfig &config = host.state.cluster.config;
    if (const auto *change = std::get_if<OperatorChange>(&logged.command)) {
        m_configOracle.decided(*change, result, config);
        if (m_limitsSeen.insert(config.version.value()).second) {
            for (const auto &[id, team] : config.teams)
                m_rateOracles[id].limit(team.ratePerSecond, team.burst, m_now);
        }
    }
    finishProposal(host, entry, &result);
    if (host.controller) {
        onCommandApplied(*host.controller, host.state, logged.command, result, entry.index,
                         clockOf(host));
        host.pushDue = true;
    }
}

/// `result` is null for an entry that holds no command.
void Simulation::finishProposal(Host &host, const LogEntry &entry, const ChangeResult *result)
{
    const auto found = host.proposals.find(entry.index);
    if (found == host.proposals.end())
        return;
    const PendingProposal proposal = std::move(found->second);
    host.proposals.erase(found);
    if (proposal.term != entry.term || result == nullptr
        || result->outcome != ChangeOutcome::Accepted)
        return;
    if (const auto *decision = std::get_if<GroupDecision>(&proposal.command)) {
        if (host.controller && host.controller->controlTerm == proposal.term)
            onOwnDecisionAccepted(*host.controller, *decision);
        m_report.primaries += std::holds_alternative<SetPrimary>(*decision) ? 1 : 0;
    } else if (m_options.inForceAtCommit) {
        m_configOracle.inForce(result->version);
    } else {
        host.notInForce.insert(result->version);
    }
}

void Simulation::propose(Host &host, const Command &command)
{
    const auto proposal = host.member->propose(clockOf(host), encodeCommand({ command, 0 }));
    if (!proposal.ok())
        return;
    host.proposals.insert_or_assign(proposal->index, PendingProposal { proposal->term, command });
    drain(host);
}

bool Simulation::isController(const Host &host) const
{
    return host.up && host.member && host.member->role() == ControlRole::Leader
        && host.member->holdsLease(clockOf(host)) && host.lastAppliedTerm == host.member->term();
}

Simulation::Host *Simulation::controller()
{
    const auto found = std::find_if(m_hosts.begin(), m_hosts.end(), [this](const Host &host) {
        return isController(host) && host.controller;
    });
    return found == m_hosts.end() ? nullptr : &*found;
}

void Simulation::tickController(Host &host)
{
    const bool controls = isController(host);
    if (host.controller && (!controls || host.controller->controlTerm != host.member->term())) {
        host.controller.reset();
        host.notInForce.clear();
    }
    if (controls && !host.controller)
        takeOffice(host);
    if (!host.controller)
        return;
    ReplicatedState state = host.state;
    if (m_options.forgetEvacuations)
        state.cluster.config.evacuations.clear();
    const ControllerActions actions = advanceController(*host.controller, state, clockOf(host));
    host.pushDue |= actions.fleetChanged;
    for (const UpstreamCall &call : actions.calls)
        callUpstream(host, call);
    for (const GroupDecision &decision : actions.proposals)
        propose(host, Command(decision));
    reportInForce(host);
}

void Simulation::takeOffice(Host &host)
{
    const TimePoint now = clockOf(host);
    const ControlTerm term = host.member->term();
    host.controller = makeController(term, host.state, host.view.fleet, m_random(), now);
    if (m_options.forgetPredecessor)
        host.controller->leases.predecessorLeasesUntil = now;
    if (m_options.grantAtOnce) {
        RateAllocatorFaults faults;
        faults.skipPredecessorWait = true;
        host.controller->rates = makeRateAllocator(term, now, faults);
        applyTeamConfig(host.controller->rates, host.state.cluster.config.teams, now);
    }
    ++m_report.offices;
}

void Simulation::reportInForce(Host &host)
{
    // Any change may be asked about, so the version that the controller has is always watched.
    host.notInForce.insert(host.state.cluster.config.version);
    std::erase_if(host.notInForce, [&](ConfigVersion version) {
        if (!configInForce(host.controller->leases, version, clockOf(host)).inForce)
            return false;
        m_configOracle.inForce(version);
        return true;
    });
}

void Simulation::callUpstream(Host &host, const UpstreamCall &call)
{
    if (m_faulty && chance(40))
        return;
    const TimePoint askedAt = clockOf(host);
    const ControlTerm term = host.controller->controlTerm;
    const auto run = [this, call, askedAt, term](Host &at) {
        Database *db = findDatabase(call.upstream);
        std::optional<UpstreamStatus> status;
        if (reaches(at, *db)) {
            if (call.kind == CallKind::Status)
                status = statusOf(*db);
            else if (call.kind == CallKind::Fence)
                status = fence(*db, call.term, false);
            else
                status = promote(*db, call.term);
        }
        // The answer may be lost after the call has run.
        if (m_faulty && chance(40))
            return;
        if (at.controller && at.controller->controlTerm == term)
            onUpstreamAnswer(*at.controller, call, { status, false, false }, askedAt, clockOf(at));
    };
    m_network.emplace(m_now + 1ms + upTo(kStatusTime), std::pair(host.index, run));
}

std::optional<Change> Simulation::missingSetup(const ClusterConfig &config) const
{
    for (const Group &group : m_groups) {
        if (!config.services.contains(group.service))
            return PutService { { group.service } };
    }
    for (const char *team : { "fixed", "varied" }) {
        if (!config.teams.contains(TeamId(team)))
            return PutTeam { { TeamId(team), 100, 20, {} } };
    }
    return std::nullopt;
}

Change Simulation::anyChange(const ClusterConfig &config)
{
    if (const auto setup = missingSetup(config))
        return *setup;
    static constexpr const char *kPresets[] = { "ordinary", "peak", "maintenance" };
    const PresetId preset(kPresets[uniformBelow(m_random, 3)]);
    // One data centre is never evacuated, and none before the groups have their first primaries:
    // groups all of whose databases are evacuated are not to serve.
    const DataCentreId dataCentre(fmt::format("d{}", uniformBelow(m_random, 2)));
    const bool founded = m_report.primaries >= m_groups.size();
    switch (uniformBelow(m_random, founded ? 7 : 5)) {
    case 5:
        return PutEvacuation { dataCentre };
    case 6:
        return RemoveEvacuation { dataCentre };
    case 0:
        return PutTeam { { TeamId("varied"),
                           20.0 + static_cast<double>(uniformBelow(m_random, 200)),
                           5.0 + static_cast<double>(uniformBelow(m_random, 40)),
                           {} } };
    case 1:
        if (!config.keys.empty()) {
            auto key = config.keys.begin();
            std::advance(key, uniformBelow(m_random, config.keys.size()));
            return WithdrawKey { key->first };
        }
        [[fallthrough]];
    case 2: {
        KeyConfig key;
        key.id = KeyId(fmt::format("k{}", m_nextKey++));
        key.team = TeamId("fixed");
        return AddKey { key };
    }
    case 3: {
        PresetConfig changed { preset, {} };
        changed.policy.maxAttempts = 1 + static_cast<std::uint32_t>(uniformBelow(m_random, 5));
        return PutPreset { changed };
    }
    default:
        return SetPreset { preset };
    }
}

/// One to three operators send a change each at the same time, some of them again.
void Simulation::operate()
{
    Host *host = controller();
    if (host == nullptr)
        return;
    for (std::uint64_t n = 1 + uniformBelow(m_random, 3); n > 0; --n) {
        if (!m_sent.empty() && chance(4)) {
            propose(*host, Command(m_sent[uniformBelow(m_random, m_sent.size())]));
            continue;
        }
        const ClusterConfig &config = host->state.cluster.config;
        m_sent.push_back(
            { ChangeId(fmt::format("c{}", m_sent.size())), config.version, anyChange(config) });
        propose(*host, Command(m_sent.back()));
    }
}

/// The group can go on without this disk if a majority of the committed configuration keeps its
/// disks.
bool Simulation::canLoseDisk(const Host &host)
{
    const Host *leader = controller();
    if (leader == nullptr || !leader->member->membershipCommitted())
        return false;
    const std::vector<Member> &voters = leader->member->membership().voters;
    const auto left = std::count_if(voters.begin(), voters.end(), [&](const Member &voter) {
        return voter.node != host.id
            && std::any_of(m_hosts.begin(), m_hosts.end(), [&](const Host &other) {
                   return voter == Member { other.id, other.disk.identity };
               });
    });
    return static_cast<std::size_t>(left) > voters.size() / 2;
}

} // namespace shallotlever::fuzz
