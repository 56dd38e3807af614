#include "shallotlever/fleet/primary_change.h"

#include <algorithm>

namespace shallotlever {

namespace {

/// Upper limit of the random delay added to a retry, so that the calls for many groups do not
/// synchronise.
constexpr Duration kMaxRetryJitter = 50ms;

using Actions = std::vector<ChangeAction>;

/// Context of one call of stepPrimaryChange().
struct Step
{
    PrimaryChange &change;
    const ChangeInput &input;
    TimePoint now;
    Random &random;
    Actions actions;

    const GroupState &group() const { return input.group; }
    void enterPhase(ChangePhase phase) const
    {
        change.phase = phase;
        change.phaseStartedAt = now;
        change.nextCallAt.clear();
    }
    /// Returns whether a call to `target` is due, and schedules the next one if so.
    bool takeDueCall(const UpstreamId &target, Duration retry)
    {
        TimePoint &next = change.nextCallAt[target];
        if (next != TimePoint() && now < next)
            return false;
        next = now + retry + uniformDuration(random, Duration(0), kMaxRetryJitter);
        return true;
    }
    void propose(GroupDecision decision)
    {
        if (takeDueCall(UpstreamId(), kProposalRetryInterval))
            actions.emplace_back(Propose { std::move(decision) });
    }
    void queryMembers()
    {
        for (const UpstreamId &member : group().votingSet) {
            if (takeDueCall(member, kCallRetryInterval))
                actions.emplace_back(QueryStatus { member });
        }
    }
};

bool isPlanned(ChangeReason reason)
{
    return reason == ChangeReason::Leaving || reason == ChangeReason::Operator;
}

void returnToIdle(const Step &step, Duration pause)
{
    step.enterPhase(ChangePhase::Idle);
    step.change.notBefore = step.now + pause;
}

void beginAttempt(const Step &step)
{
    PrimaryChange &change = step.change;
    change.term = std::max(step.group().reservedTerm, change.term).next();
    change.fenced.clear();
    change.candidate.reset();
    change.followers.clear();
    change.promotionFailed = false;
    ++change.attempts;
    step.enterPhase(ChangePhase::Reserving);
}

bool isUsableReplica(const Step &step, const UpstreamId &member)
{
    const auto state = step.input.states.find(member);
    return member != step.group().primary && state != step.input.states.end()
        && state->second == UpstreamState::Live;
}

/// Returns the members that become primary only if no other candidate is available.
std::set<UpstreamId> membersToAvoid(const Step &step)
{
    std::set<UpstreamId> avoid = step.change.failedCandidates;
    for (const UpstreamId &member : step.group().votingSet) {
        const auto state = step.input.states.find(member);
        if (state == step.input.states.end() || state->second != UpstreamState::Live)
            avoid.insert(member);
    }
    const ChangeReason reason = step.change.reason;
    const bool replaces = reason == ChangeReason::Operator || reason == ChangeReason::Stalled;
    if (replaces && step.group().primary)
        avoid.insert(*step.group().primary);
    return avoid;
}

void stepIdle(Step &step)
{
    PrimaryChange &change = step.change;
    const ChangeReason reason = changeDue(step.input);
    if (step.input.primarySeenAt || reason == ChangeReason::None)
        change.times.lastSeen = step.input.primarySeenAt.value_or(step.now);
    if (reason == ChangeReason::None)
        return;
    if (step.now < change.notBefore)
        return;
    const TimePoint lastSeen = change.times.lastSeen;
    change.service = step.group().service;
    change.reason = reason;
    change.times = {};
    change.times.lastSeen = lastSeen;
    change.times.detected = step.now;
    change.failedCandidates.clear();
    change.statuses.clear();
    change.attempts = 0;
    if (isPlanned(reason))
        step.enterPhase(ChangePhase::CatchingUp);
    else
        beginAttempt(step);
}

bool replicaCaughtUp(const Step &step)
{
    const auto &statuses = step.change.statuses;
    const auto primary = statuses.find(*step.group().primary);
    if (primary == statuses.end())
        return false;
    return std::ranges::any_of(statuses, [&](const auto &item) {
        const HistoryPoint &point = item.second.point;
        return isUsableReplica(step, item.first) && point.term == primary->second.point.term
            && point.position.value() + kMaxCaughtUpLag >= primary->second.point.position.value();
    });
}

void stepCatchingUp(Step &step)
{
    const ChangeReason reason = changeDue(step.input);
    if (reason == ChangeReason::None) {
        returnToIdle(step, Duration(0));
        return;
    }
    const bool timedOut = step.now >= step.change.phaseStartedAt + kCatchUpTimeout;
    if (!isPlanned(reason) || replicaCaughtUp(step)) {
        step.change.reason = reason;
        beginAttempt(step);
    } else if (timedOut) {
        // Without a usable replica the change is abandoned, so that the old primary continues to
        // accept writes.
        const bool possible = std::ranges::any_of(step.change.statuses, [&](const auto &item) {
            return isUsableReplica(step, item.first);
        });
        if (possible)
            beginAttempt(step);
        else
            returnToIdle(step, kChangeCooldown);
    } else {
        step.queryMembers();
    }
}

void stepReserving(Step &step)
{
    PrimaryChange &change = step.change;
    if (step.group().reservedTerm >= change.term) {
        if (step.group().reservedTerm == change.term && step.input.ownReservedTerm == change.term) {
            change.times.reserved = step.now;
            step.enterPhase(ChangePhase::Fencing);
            return;
        }
        beginAttempt(step);
    }
    step.propose(
        ReserveTerm { change.service, change.term, std::string(changeReasonName(change.reason)) });
}

void stepFencing(Step &step)
{
    PrimaryChange &change = step.change;
    const std::set<UpstreamId> avoid = membersToAvoid(step);
    auto candidate =
        chooseCandidate(change.fenced, step.group().votingSet, step.group().term, avoid);
    const bool allFenced = change.fenced.size() >= step.group().votingSet.size();
    const bool waitEnded = allFenced || step.now >= change.phaseStartedAt + kFenceGrace;
    if (candidate && (waitEnded || !avoid.contains(*candidate))) {
        change.candidate = candidate;
        change.termStart = change.fenced.at(*candidate).point.position;
        change.candidateLastSeen = step.now;
        change.times.fenced = step.now;
        step.enterPhase(ChangePhase::Promoting);
        return;
    }
    for (const UpstreamId &member : step.group().votingSet) {
        if (!change.fenced.contains(member) && step.takeDueCall(member, kCallRetryInterval))
            step.actions.emplace_back(Fence { member, change.term });
    }
}

/// An abandoned candidate may have become primary at the term without answering, so the next
/// candidate requires a new term and a new fence.
void abandonCandidate(const Step &step)
{
    step.change.failedCandidates.insert(*step.change.candidate);
    beginAttempt(step);
}

bool candidateLost(const Step &step)
{
    return step.change.promotionFailed
        || step.now >= step.change.candidateLastSeen + kCandidateTimeout;
}

void stepPromoting(Step &step)
{
    PrimaryChange &change = step.change;
    if (change.followers.contains(*change.candidate)) {
        change.times.promoted = step.now;
        step.enterPhase(ChangePhase::Confirming);
    } else if (candidateLost(step)) {
        abandonCandidate(step);
    } else if (step.takeDueCall(*change.candidate, kCallRetryInterval)) {
        step.actions.emplace_back(Promote { *change.candidate, change.term });
    }
}

void stepConfirming(Step &step)
{
    PrimaryChange &change = step.change;
    // Followers may include databases outside the voting set, which do not count for the majority.
    const auto followers = std::ranges::count_if(change.followers, [&](const UpstreamId &id) {
        return step.group().votingSet.contains(id);
    });
    if (static_cast<std::size_t>(followers) >= majorityOf(step.group().votingSet.size())) {
        change.times.confirmed = step.now;
        step.enterPhase(ChangePhase::Publishing);
    } else if (candidateLost(step)) {
        abandonCandidate(step);
    } else {
        step.queryMembers();
    }
}

void stepPublishing(Step &step)
{
    PrimaryChange &change = step.change;
    if (step.group().term != change.term) {
        step.propose(SetPrimary { change.service, change.term, *change.candidate });
        return;
    }
    change.times.published = step.now;
    step.actions.emplace_back(ChangeDone { .term = change.term,
                                           .primary = *change.candidate,
                                           .reason = change.reason,
                                           .times = change.times,
                                           .attempts = change.attempts });
    returnToIdle(step, kChangeCooldown);
}

void runPhase(Step &step)
{
    switch (step.change.phase) {
    case ChangePhase::Idle:
        return stepIdle(step);
    case ChangePhase::CatchingUp:
        return stepCatchingUp(step);
    case ChangePhase::Reserving:
        return stepReserving(step);
    case ChangePhase::Fencing:
        return stepFencing(step);
    case ChangePhase::Promoting:
        return stepPromoting(step);
    case ChangePhase::Confirming:
        return stepConfirming(step);
    case ChangePhase::Publishing:
        return stepPublishing(step);
    }
}

/// Returns whether another controller has reserved a later term, which ends this attempt.
bool isSuperseded(const PrimaryChange &change, const GroupState &group)
{
    return change.phase > ChangePhase::Reserving && group.reservedTerm > change.term;
}

/// Order of preference among members that hold every acknowledged write.
bool ranksBelow(const UpstreamStatus &a, bool avoidA, const UpstreamStatus &b, bool avoidB)
{
    if (a.point.position != b.point.position)
        return a.point.position < b.point.position;
    if (a.point.term != b.point.term)
        return a.point.term < b.point.term;
    return avoidA && !avoidB;
}

} // namespace

std::string_view changeReasonName(ChangeReason reason)
{
    switch (reason) {
    case ChangeReason::None:
        return "none";
    case ChangeReason::Suspected:
        return "suspected";
    case ChangeReason::Leaving:
        return "leaving";
    case ChangeReason::Fenced:
        return "fenced";
    case ChangeReason::Operator:
        return "operator";
    case ChangeReason::Stalled:
        return "stalled";
    case ChangeReason::Founding:
        return "founding";
    case ChangeReason::Unfinished:
        return "unfinished";
    case ChangeReason::Restarted:
        return "restarted";
    }
    return "none";
}

std::string_view callKindName(CallKind kind)
{
    switch (kind) {
    case CallKind::Status:
        return "status";
    case CallKind::Fence:
        return "fence";
    case CallKind::Promote:
        return "promote";
    case CallKind::StepDown:
        return "step_down";
    case CallKind::Resume:
        return "resume";
    }
    return "status";
}

namespace {

/// Whether the primary's successor would leave as well, for example because the data centres of the
/// whole group are evacuated.
bool allLeave(const ChangeInput &input)
{
    return std::ranges::all_of(input.group.votingSet, [&input](const UpstreamId &member) {
        const auto state = input.states.find(member);
        return state != input.states.end() && state->second == UpstreamState::Leaving;
    });
}

} // namespace

ChangeReason changeDue(const ChangeInput &input)
{
    const GroupState &group = input.group;
    if (!group.primary)
        return ChangeReason::None;
    if (group.reservedTerm > group.term)
        return ChangeReason::Unfinished;
    if (const auto &status = input.primaryStatus) {
        if (status->point.term != group.term || status->role != UpstreamRole::Primary
            || status->fencedTerm > group.term)
            return ChangeReason::Fenced;
    }
    const auto state = input.states.find(*group.primary);
    const bool silent = state == input.states.end() || state->second == UpstreamState::Suspected;
    if (silent && input.registryComplete)
        return ChangeReason::Suspected;
    // Where all leave, the primary is the last one that works: nobody is put in its place.
    if (!silent && state->second == UpstreamState::Leaving)
        return allLeave(input) ? ChangeReason::None : ChangeReason::Leaving;
    if (input.operatorRequest)
        return ChangeReason::Operator;
    return input.replicationStalled ? ChangeReason::Stalled : ChangeReason::None;
}

void onCallAnswer(PrimaryChange &change, const CallAnswer &answer, TimePoint now)
{
    const bool thisAttempt = answer.call == CallKind::Status || answer.term == change.term;
    if (!thisAttempt)
        return;
    const bool fromCandidate = change.candidate && answer.upstream == *change.candidate;
    if (!answer.status) {
        if (answer.call == CallKind::Promote && fromCandidate
            && change.phase == ChangePhase::Promoting)
            change.promotionFailed = true;
        return;
    }
    const UpstreamStatus &status = *answer.status;
    if (answer.call == CallKind::Status)
        change.statuses[answer.upstream] = status;
    if (answer.call == CallKind::Fence && change.phase == ChangePhase::Fencing
        && status.fencedTerm == change.term)
        change.fenced[answer.upstream] = status;
    const bool follows = change.candidate && status.point.term == change.term
        && status.point.position >= change.termStart;
    const bool asPrimary = status.role == UpstreamRole::Primary;
    if (follows && (!fromCandidate || asPrimary))
        change.followers.insert(answer.upstream);
    if (follows && fromCandidate && asPrimary)
        change.candidateLastSeen = now;
}

Actions stepPrimaryChange(PrimaryChange &change, const ChangeInput &input, TimePoint now,
                          Random &random)
{
    Step step { .change = change, .input = input, .now = now, .random = random, .actions = {} };
    if (isSuperseded(change, input.group))
        returnToIdle(step, Duration(0));
    // Runs the next phase as soon as one completes, instead of on the next tick, which shortens the
    // write outage by one tick per phase.
    ChangePhase before = change.phase;
    Term term = change.term;
    do {
        before = change.phase;
        term = change.term;
        runPhase(step);
    } while (change.phase != ChangePhase::Idle && (change.phase != before || change.term != term));
    return std::move(step.actions);
}

std::optional<UpstreamId> chooseCandidate(const std::map<UpstreamId, UpstreamStatus> &fenced,
                                          const std::set<UpstreamId> &votingSet, Term published,
                                          const std::set<UpstreamId> &avoid)
{
    const std::size_t majority = majorityOf(votingSet.size());
    std::map<UpstreamId, UpstreamStatus> members;
    std::map<UpstreamId, UpstreamStatus> preferred;
    for (const auto &[id, status] : fenced) {
        if (!votingSet.contains(id))
            continue;
        members.emplace(id, status);
        if (!avoid.contains(id))
            preferred.emplace(id, status);
    }
    const auto &choice = preferred.size() >= majority ? preferred : members;
    if (choice.size() < majority)
        return std::nullopt;
    const std::pair<const UpstreamId, UpstreamStatus> *best = nullptr;
    for (const auto &item : choice) {
        if (item.second.point.term < published)
            continue;
        if (best == nullptr
            || ranksBelow(best->second, avoid.contains(best->first), item.second,
                          avoid.contains(item.first)))
            best = &item;
    }
    return best == nullptr ? std::nullopt : std::optional(best->first);
}

} // namespace shallotlever
