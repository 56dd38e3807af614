#include <algorithm>

#include <absl/strings/str_cat.h>

#include "simulation.h"

/// What the simulated controllers do.
namespace shallotlever::fuzz {

namespace {

const ServiceId kService("group");

} // namespace

void Simulation::stepController(std::size_t index)
{
    Controller &controller = m_controllers[index];
    if (!controller.active)
        return;
    // A replaced controller goes on with what it knows until it hears of its successor.
    if (!controller.leading && chance(60)) {
        controller.active = false;
        return;
    }
    if (controller.leading || chance(4))
        applyLog(controller);
    expireLeases(controller.leases, m_now);
    advanceRegistry(controller.registry, m_now);
    publish(controller);
    runChange(index);
    runVotingSet(index);
    if (const auto decision = nextBootstrapDecision(votingInput(controller), m_now))
        propose(index, *decision);
    for (const UpstreamId &target : votingSetQueries(votingInput(controller))) {
        if (chance(10))
            call(index, CallKind::Status, target, Term());
    }
}

void Simulation::applyLog(Controller &controller)
{
    GroupState &group = controller.state.groups[kService];
    group.service = kService;
    for (; controller.applied < m_log.entries.size(); ++controller.applied) {
        const ControlLog::Entry &entry = m_log.entries[controller.applied];
        const bool accepted = applyDecision(group, entry.decision);
        const auto *reserve = std::get_if<ReserveTerm>(&entry.decision);
        if (accepted && reserve != nullptr && entry.proposer == controller.term)
            controller.ownReserved = reserve->term;
        if (accepted && std::holds_alternative<SetPrimary>(entry.decision))
            controller.primarySince = m_now;
    }
}

void Simulation::publish(Controller &controller)
{
    if (!controller.leading)
        return;
    const bool changed = publishFleet(
        controller.fleet, makeFleetState(controller.registry, controller.state), controller.term);
    const GroupState &group = controller.state.groups[kService];
    const bool newSet =
        changed || controller.viewVersion == FleetVersion(); // any change restarts the wait
    if (newSet) {
        controller.viewVersion = controller.fleet.version;
        controller.viewInForceAt.reset();
    }
    const bool applied = fleetInForce(controller.leases, controller.viewVersion, m_now).inForce;
    if (!controller.viewInForceAt && group.primary && applied)
        controller.viewInForceAt = m_now;
    if (m_variant == Variant::NoVotingBarrier)
        controller.viewInForceAt = TimePoint();
}

void Simulation::receiveReport(std::size_t index, std::size_t node, const std::string &bytes)
{
    Controller &controller = m_controllers[index];
    const auto report = decodeNodeReport(bytes);
    if (!report.ok()) {
        violation("report could not be decoded");
        return;
    }
    if (!controller.active)
        return;
    const ReportResult result = applyReport(controller.registry, *report, m_now);
    // The leader lease has ended before a successor is elected.
    if (!controller.leading || !grantLease(controller.leases, *report, m_now))
        return;
    const LeaseSource source { .controlTerm = controller.term,
                               .logIndex = LogIndex(controller.applied),
                               .config = &controller.config,
                               .fleet = &controller.fleet };
    const std::string lease =
        encodeNodeLease(makeLease(*report, source, controller.shares, result.wantsAllObservations));
    send(absl::StrCat("controller", index), absl::StrCat("node", node),
         [this, node, lease] { receiveLease(node, lease); });
}

ChangeInput Simulation::changeInput(const Controller &controller) const
{
    ChangeInput input;
    input.group = controller.state.groups.at(kService);
    input.ownReservedTerm = controller.ownReserved;
    input.registryComplete = m_now >= controller.since + kBootstrapWait;
    for (const auto &[id, entry] : controller.registry.entries)
        input.states[id] = entry.state;
    const auto status = input.group.primary ? controller.statuses.find(*input.group.primary)
                                            : controller.statuses.end();
    if (status != controller.statuses.end() && status->second.askedAt >= controller.primarySince)
        input.primaryStatus = status->second.status;
    if (m_variant == Variant::SharedTerm)
        input.ownReservedTerm = input.group.reservedTerm;
    if (m_variant == Variant::MajorityOfAnnouncing) {
        std::erase_if(input.group.votingSet, [&input](const UpstreamId &member) {
            const auto state = input.states.find(member);
            return state == input.states.end() || state->second != UpstreamState::Live;
        });
    }
    return input;
}

void Simulation::runChange(std::size_t index)
{
    Controller &controller = m_controllers[index];
    const ChangeInput input = changeInput(controller);
    if (m_variant == Variant::PublishWithoutConfirm
        && controller.change.phase == ChangePhase::Confirming) {
        for (const UpstreamId &member : input.group.votingSet)
            controller.change.followers.insert(member);
    }
    for (const ChangeAction &action : stepPrimaryChange(controller.change, input, m_now, m_random))
        act(index, action);
}

void Simulation::act(std::size_t index, const ChangeAction &action)
{
    if (const auto *query = std::get_if<QueryStatus>(&action))
        call(index, CallKind::Status, query->upstream, Term());
    else if (const auto *fence = std::get_if<Fence>(&action))
        call(index, CallKind::Fence, fence->upstream, fence->term);
    else if (const auto *promote = std::get_if<Promote>(&action))
        call(index, CallKind::Promote, promote->upstream, promote->term);
    else if (const auto *proposal = std::get_if<Propose>(&action))
        propose(index, proposal->decision);
    else
        ++m_changes;
}

void Simulation::call(std::size_t index, CallKind kind, const UpstreamId &target, Term term)
{
    const std::string name = absl::StrCat("controller", index);
    const ControlTerm caller = m_controllers[index].term;
    const TimePoint asked = m_now;
    send(name, target.value(), [this, name, index, kind, target, term, caller, asked] {
        Database &db = m_databases.at(target);
        if (!db.up)
            return;
        CallAnswer answer { .call = kind, .upstream = target, .term = term, .status = {} };
        if (kind == CallKind::Fence)
            answer.status = fence(db, term, m_variant == Variant::NoFence);
        else if (kind == CallKind::Promote)
            answer.status = promote(db, term);
        else
            answer.status = statusOf(db);
        if (kind == CallKind::Promote && answer.status)
            checkPromotion(target, term);
        send(target.value(), name, [this, index, answer, caller, asked] {
            Controller &controller = m_controllers[index];
            if (controller.term != caller)
                return;
            onCallAnswer(controller.change, answer, m_now);
            if (answer.call == CallKind::Status
                && asked >= controller.statuses[answer.upstream].askedAt)
                controller.statuses[answer.upstream] = { *answer.status, asked };
        });
    });
}

VotingSetInput Simulation::votingInput(const Controller &controller) const
{
    VotingSetInput input;
    input.group = controller.state.groups.at(kService);
    input.viewInForceAt = controller.viewInForceAt;
    input.primaryChanging = controller.change.phase != ChangePhase::Idle;
    input.statuses = controller.statuses;
    input.announced = controller.registry.entries;
    input.controllerSince = controller.since;
    return input;
}

void Simulation::runVotingSet(std::size_t index)
{
    Controller &controller = m_controllers[index];
    if (m_variant == Variant::NoVotingBarrier && controller.state.groups.at(kService).primary) {
        controller.progress = {};
        controller.progress.barrier = LogPosition();
        controller.progress.term = controller.state.groups.at(kService).term;
        controller.progress.votingSet = controller.state.groups.at(kService).votingSet;
    }
    const auto decision =
        nextVotingSetDecision(controller.progress, votingInput(controller), m_now);
    if (decision)
        propose(index, *decision);
}

void Simulation::propose(std::size_t index, const GroupDecision &decision)
{
    const ControlTerm proposer = m_controllers[index].term;
    // Committed after a delay, and only if the proposer still leads then.
    const auto commitEntry = [this, proposer, decision] {
        if (proposer != m_log.term)
            return;
        m_log.entries.push_back({ .proposer = proposer, .decision = decision });
        const bool accepted = applyDecision(m_group, decision);
        const bool setChanged = std::holds_alternative<JoinVotingSet>(decision)
            || std::holds_alternative<LeaveVotingSet>(decision);
        m_votingSetChanges += accepted && setChanged ? 1 : 0;
        if (accepted && std::holds_alternative<SetPrimary>(decision))
            checkOffice();
    };
    send("log", "log", commitEntry);
}

} // namespace shallotlever::fuzz
