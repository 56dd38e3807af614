#include "shallotlever/fleet/confirmed_change.h"

#include <algorithm>

#include "confirmed_candidate.h"

namespace shallotlever {

namespace {

using Actions = std::vector<ConfirmedAction>;

Term newestTermOf(const UpstreamStatus &status)
{
    return std::max(status.newestTerm, status.point.term);
}

Term newestTerm(const ConfirmedInput &input)
{
    Term newest;
    for (const auto &[id, member] : input.members) {
        if (member.status)
            newest = std::max(newest, newestTermOf(*member.status));
    }
    return newest;
}

void enterPhase(ConfirmedChange &change, ConfirmedPhase phase, TimePoint now)
{
    change.phase = phase;
    change.phaseStartedAt = now;
    change.sentAt.clear();
}

bool takeDueCall(ConfirmedChange &change, const UpstreamId &target, Duration interval,
                 TimePoint now)
{
    const auto [sent, first] = change.sentAt.try_emplace(target, now);
    if (!first && now < sent->second + interval)
        return false;
    sent->second = now;
    return true;
}

void startAttempt(ConfirmedChange &change, const ConfirmedInput &input, TimePoint now)
{
    change.epoch = input.group.reservedTerm.next();
    change.candidate.reset();
    change.orderedAt.reset();
    change.promotedAt.reset();
    change.primaryReleasedAt.reset();
    change.fenceTerm = Term();
    ++change.attempts;
    enterPhase(change, ConfirmedPhase::Reserving, now);
}

void beginChange(ConfirmedChange &change, const ConfirmedInput &input, ChangeReason reason,
                 TimePoint now)
{
    change.reason = reason;
    change.refusedCandidates.clear();
    change.attempts = 0;
    change.times = ChangeTimes();
    change.times.detected = now;
    const auto primary =
        input.group.primary ? input.members.find(*input.group.primary) : input.members.end();
    change.times.lastSeen = primary != input.members.end() && primary->second.status
        ? primary->second.statusAskedAt
        : now;
    startAttempt(change, input, now);
}

/// Lifts fences left over from an earlier change, and demotes databases that act as primary without
/// being the published one.
void cleanUpRoles(ConfirmedChange &change, const ConfirmedInput &input, Actions &actions,
                  TimePoint now)
{
    for (const auto &[id, member] : input.members) {
        if (!member.status || isFormerPrimary(input, id))
            continue;
        const bool leads = member.status->role == UpstreamRole::Primary;
        const bool fenced = member.status->fencedTerm != Term();
        if ((leads || fenced) && takeDueCall(change, id, kCallRetryInterval, now)) {
            if (leads)
                actions.push_back(StepDown { id, newestTerm(input) });
            else
                actions.push_back(Resume { id });
        }
    }
}

/// A change that a predecessor began relies on its fences, and its calls may still be under way.
bool mayCleanUpRoles(const ConfirmedInput &input)
{
    return input.registryComplete && input.group.reservedTerm == input.group.term;
}

void stepReserving(ConfirmedChange &change, const ConfirmedInput &input, Actions &actions,
                   TimePoint now)
{
    if (input.ownReservedTerm == change.epoch && input.group.reservedTerm == change.epoch) {
        change.times.reserved = now;
        enterPhase(change, ConfirmedPhase::Fencing, now);
        return;
    }
    if (input.group.reservedTerm >= change.epoch)
        change.epoch = input.group.reservedTerm.next();
    if (takeDueCall(change, UpstreamId(), kProposalRetryInterval, now))
        actions.push_back(Propose { ReserveTerm { input.group.service, change.epoch,
                                                  std::string(changeReasonName(change.reason)) } });
}

/// Returns a primary of the newest term that a previous controller promoted but did not publish.
std::optional<UpstreamId> promotedByPredecessor(const ConfirmedChange &change,
                                                const ConfirmedInput &input)
{
    const Term newest = newestTerm(input);
    for (const auto &[id, member] : input.members) {
        if (!isFormerPrimary(input, id) && answeredSince(member, change.phaseStartedAt)
            && member.status->role == UpstreamRole::Primary
            && newestTermOf(*member.status) == newest)
            return id;
    }
    return std::nullopt;
}

/// Whether the database leads an earlier term, because it did not hear of its replacement. One that
/// leads the newest term was promoted by a predecessor and is not fenced.
bool leadsEarlierTerm(const ConfirmedChange &change, const ConfirmedMember &member)
{
    return answeredSince(member, change.phaseStartedAt)
        && member.status->role == UpstreamRole::Primary;
}

void fenceMembers(ConfirmedChange &change, const ConfirmedInput &input, Actions &actions,
                  TimePoint now)
{
    // Status queries sent before must not delay the first fence calls.
    if (change.fenceTerm == Term())
        change.sentAt.clear();
    change.fenceTerm = std::max(change.fenceTerm, newestTerm(input).next());
    for (const auto &[id, member] : input.members) {
        const bool confirmed = isFenced(change, input, id, member)
            && now < member.statusAskedAt + kFenceRefreshInterval;
        if (confirmed || !takeDueCall(change, id, kCallRetryInterval, now))
            continue;
        if (isFormerPrimary(input, id) || leadsEarlierTerm(change, member))
            actions.push_back(StepDown { id, change.fenceTerm });
        else
            actions.push_back(Fence { id, change.fenceTerm });
    }
}

void forgetRefusals(ConfirmedChange &change, TimePoint now)
{
    std::erase_if(change.refusedCandidates, [&](const auto &refusal) {
        return now >= refusal.second + kRefusedPromotionRetryInterval;
    });
}

bool allLiveFenced(const ConfirmedChange &change, const ConfirmedInput &input)
{
    return std::all_of(input.members.begin(), input.members.end(), [&](const auto &item) {
        return item.second.state == UpstreamState::Suspected
            || isFenced(change, input, item.first, item.second);
    });
}

void queryMembers(ConfirmedChange &change, const ConfirmedInput &input, Actions &actions,
                  TimePoint now)
{
    for (const auto &[id, member] : input.members) {
        if (!answeredSince(member, change.phaseStartedAt)
            && takeDueCall(change, id, kCallRetryInterval, now))
            actions.push_back(QueryStatus { id });
    }
}

/// Returns whether fencing may begin. A planned change waits until no node sends commits any more,
/// so that no in-flight commit is interrupted; a failed primary is fenced immediately.
bool mayFence(ConfirmedChange &change, const ConfirmedInput &input, TimePoint now)
{
    if (input.primaryReleased && !change.primaryReleasedAt)
        change.primaryReleasedAt = now;
    if (change.reason != ChangeReason::Leaving)
        return true;
    return change.primaryReleasedAt && now >= *change.primaryReleasedAt + kQuiescePeriod;
}

void stepFencing(ConfirmedChange &change, const ConfirmedInput &input, Actions &actions,
                 TimePoint now)
{
    if (const auto promoted = promotedByPredecessor(change, input)) {
        change.candidate = promoted;
        change.candidateIncarnation = input.members.at(*promoted).incarnation;
        change.times.fenced = change.times.promoted = change.times.confirmed = now;
        // A group that has never had a primary needs no node to stop using one.
        if (input.primaryReleased || !input.group.primary)
            enterPhase(change, ConfirmedPhase::Publishing, now);
        return;
    }
    const bool mayStart = mayFence(change, input, now);
    if (newestTerm(input) == Term() || !mayStart || !input.group.primary) {
        queryMembers(change, input, actions, now);
        return;
    }
    change.fencesSince = std::max(change.phaseStartedAt, now - kMaxFenceAge);
    fenceMembers(change, input, actions, now);
    forgetRefusals(change, now);
    change.candidate = chooseConfirmedCandidate(change, input);
    change.awaited =
        change.candidate ? std::vector<AwaitedProcess>() : awaitedProcesses(change, input);
    const bool graceElapsed = now >= change.phaseStartedAt + kFenceGrace;
    if (!change.candidate || !input.primaryReleased
        || !(graceElapsed || allLiveFenced(change, input)))
        return;
    const ConfirmedMember &candidate = input.members.at(*change.candidate);
    change.candidateIncarnation = candidate.incarnation;
    change.candidateWasUsable = isUsable(candidate);
    change.times.fenced = now;
    enterPhase(change, ConfirmedPhase::Promoting, now);
}

/// Only one order is under way at a time: orders given together may arrive in any order, and each
/// may take effect later.
bool isOrderDue(ConfirmedChange &change, TimePoint now)
{
    if (change.orderedAt && now < *change.orderedAt + kPromotionOrderTimeout)
        return false;
    return takeDueCall(change, *change.candidate, kCallRetryInterval, now);
}

/// Whether the answers to the fences, from which the candidate was chosen, still choose it.
bool isStillChosen(ConfirmedChange &change, const ConfirmedInput &input, TimePoint now)
{
    change.fencesSince = std::max(change.fencesSince, now - kMaxFenceAge);
    return chooseConfirmedCandidate(change, input) == change.candidate;
}

/// Goes on under the same epoch.
void fenceAgain(ConfirmedChange &change, TimePoint now)
{
    change.candidate.reset();
    change.fenceTerm = Term();
    enterPhase(change, ConfirmedPhase::Fencing, now);
}

/// Whether the candidate leads since it was to be promoted, be it that the answer of the platform
/// was lost.
bool leads(const ConfirmedChange &change, const ConfirmedInput &input,
           const ConfirmedMember &candidate)
{
    // A new primary announces its role immediately, whereas a status query may find no free slot.
    // The former primary may have announced the role before it stepped down.
    if (change.promotedAt && !isFormerPrimary(input, *change.candidate)
        && candidate.announcedRole == UpstreamRole::Primary)
        return true;
    return answeredSince(candidate, change.promotedAt.value_or(change.phaseStartedAt))
        && candidate.status->role == UpstreamRole::Primary;
}

void stepPromoting(ConfirmedChange &change, const ConfirmedInput &input, Actions &actions,
                   TimePoint now)
{
    const auto member = input.members.find(*change.candidate);
    // One that was chosen although it is suspected or leaving still runs: it answered the fence.
    const bool lost =
        member == input.members.end() || (change.candidateWasUsable && !isUsable(member->second));
    // A later process under the id lacks what made its predecessor the candidate.
    const bool replaced =
        member != input.members.end() && member->second.incarnation != change.candidateIncarnation;
    const bool refused =
        change.refusedCandidates.contains({ *change.candidate, change.candidateIncarnation });
    if (refused || replaced || now >= change.phaseStartedAt + kPromotionTimeout
        || (lost && !change.promotedAt)) {
        startAttempt(change, input, now);
        return;
    }
    if (!lost && leads(change, input, member->second)) {
        change.times.promoted = now;
        change.times.confirmed = now;
        enterPhase(change, ConfirmedPhase::Publishing, now);
        return;
    }
    if (!change.promotedAt && isOrderDue(change, now)) {
        if (!isStillChosen(change, input, now)) {
            fenceAgain(change, now);
            return;
        }
        change.orderedAt = now;
        actions.push_back(Promote { *change.candidate, change.epoch });
    }
    const bool justOrdered =
        !change.promotedAt && change.orderedAt && now < *change.orderedAt + kPromotionPollInterval;
    if (!justOrdered && takeDueCall(change, UpstreamId(), kPromotionPollInterval, now))
        actions.push_back(QueryStatus { *change.candidate });
}

void stepPublishing(ConfirmedChange &change, const ConfirmedInput &input, Actions &actions,
                    TimePoint now)
{
    if (input.group.term == change.epoch) {
        change.times.published = now;
        actions.push_back(ChangeDone { change.epoch, *change.candidate, change.reason, change.times,
                                       change.attempts });
        change.notBefore = now + kChangeCooldown;
        // The new primary's log replaces longer ones of unacknowledged commits.
        change.highestPoint = HistoryPoint();
        change.awaited.clear();
        change.demotedSince.reset();
        change.lastReplicationProgressAt = now;
        enterPhase(change, ConfirmedPhase::Idle, now);
        return;
    }
    if (input.group.reservedTerm > change.epoch) {
        startAttempt(change, input, now);
        return;
    }
    if (takeDueCall(change, UpstreamId(), kProposalRetryInterval, now))
        actions.push_back(Propose { SetPrimary {
            input.group.service, change.epoch, *change.candidate, change.candidateIncarnation } });
}

bool otherIsUsable(const ConfirmedInput &input)
{
    return std::any_of(input.members.begin(), input.members.end(), [&](const auto &item) {
        return !isFormerPrimary(input, item.first) && isUsable(item.second);
    });
}

/// Returns whether the replicas have received nothing for kReplicaStallTimeout although the primary
/// is ahead of them.
bool replicationStalled(ConfirmedChange &change, const ConfirmedInput &input,
                        const ConfirmedMember &primary, TimePoint now)
{
    HistoryPoint received;
    bool known = primary.status && primary.status->role == UpstreamRole::Primary;
    for (const auto &[id, member] : input.members) {
        if (isFormerPrimary(input, id) || member.state == UpstreamState::Suspected)
            continue;
        known = known && member.status && now < member.statusAskedAt + kMaxReplicationStatusAge;
        if (member.status)
            received = std::max(received, member.status->point);
    }
    const bool behind = known && received < primary.status->point && received != HistoryPoint();
    if (received != change.replicatedPoint || !behind) {
        change.replicatedPoint = received;
        change.lastReplicationProgressAt = now;
    }
    return behind && now >= change.lastReplicationProgressAt + kReplicaStallTimeout;
}

bool isDemoted(ConfirmedChange &change, const ConfirmedMember &primary, TimePoint now)
{
    const bool reportsReplica = primary.announcedRole == UpstreamRole::Replica && primary.status
        && primary.status->role == UpstreamRole::Replica;
    if (!reportsReplica)
        change.demotedSince.reset();
    else if (!change.demotedSince)
        change.demotedSince = now;
    return change.demotedSince && now >= *change.demotedSince + kDemotionTimeout;
}

/// For a group without a primary: returns whether exactly one database announces that role.
bool firstPrimaryKnown(const ConfirmedInput &input)
{
    return std::ranges::count_if(input.members,
                                 [](const auto &item) {
                                     return isUsable(item.second)
                                         && item.second.announcedRole == UpstreamRole::Primary;
                                 })
        == 1;
}

} // namespace

ChangeReason confirmedChangeDue(ConfirmedChange &change, const ConfirmedInput &input, TimePoint now)
{
    const GroupState &group = input.group;
    if (!input.registryComplete || now < change.notBefore)
        return ChangeReason::None;
    if (group.reservedTerm > group.term)
        return ChangeReason::Unfinished;
    if (!group.primary)
        return firstPrimaryKnown(input) ? ChangeReason::Founding : ChangeReason::None;
    const auto primary = input.members.find(*group.primary);
    const bool heard = primary != input.members.end();
    // Another process under the id may lack the commits that the one in office acknowledged.
    if (heard && !isInOffice(input, primary->second))
        return ChangeReason::Restarted;
    if (!otherIsUsable(input))
        return ChangeReason::None;
    // A primary that has not announced itself since the controller's election has not said that it
    // leaves.
    if (heard && primary->second.leaving)
        return ChangeReason::Leaving;
    if (!heard || primary->second.state == UpstreamState::Suspected)
        return ChangeReason::Suspected;
    if (isDemoted(change, primary->second, now))
        return ChangeReason::Fenced;
    return replicationStalled(change, input, primary->second, now) ? ChangeReason::Stalled
                                                                   : ChangeReason::None;
}

void onPromoteAnswer(ConfirmedChange &change, const UpstreamId &upstream, Term epoch,
                     PromotionOutcome outcome, TimePoint now)
{
    if (change.phase != ConfirmedPhase::Promoting || change.candidate != upstream
        || change.epoch != epoch)
        return;
    change.orderedAt.reset();
    if (outcome == PromotionOutcome::Refused)
        change.refusedCandidates[{ upstream, change.candidateIncarnation }] = now;
    else if (outcome == PromotionOutcome::Accepted && !change.promotedAt)
        change.promotedAt = now;
}

Actions stepConfirmedChange(ConfirmedChange &change, const ConfirmedInput &input, TimePoint now)
{
    Actions actions;
    change.highestPoint = std::max(change.highestPoint, highestPoint(input));
    switch (change.phase) {
    case ConfirmedPhase::Idle: {
        const ChangeReason reason = confirmedChangeDue(change, input, now);
        if (reason != ChangeReason::None)
            beginChange(change, input, reason, now);
        else if (input.group.primary && mayCleanUpRoles(input))
            cleanUpRoles(change, input, actions, now);
        break;
    }
    case ConfirmedPhase::Reserving:
        stepReserving(change, input, actions, now);
        break;
    case ConfirmedPhase::Fencing:
        stepFencing(change, input, actions, now);
        break;
    case ConfirmedPhase::Promoting:
        stepPromoting(change, input, actions, now);
        break;
    case ConfirmedPhase::Publishing:
        stepPublishing(change, input, actions, now);
        break;
    }
    return actions;
}

} // namespace shallotlever
