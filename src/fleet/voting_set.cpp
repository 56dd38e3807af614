#include "shallotlever/fleet/voting_set.h"

#include <algorithm>

namespace shallotlever {

namespace {

/// Time after which an uncommitted proposal is repeated.
constexpr Duration kDecisionRetryInterval = 1s;

const MemberStatus *statusOf(const VotingSetInput &input, const UpstreamId &upstream)
{
    const auto status = input.statuses.find(upstream);
    return status == input.statuses.end() ? nullptr : &status->second;
}

/// Returns the status of the current primary; nullptr if it reports another role or term, or is
/// fenced at a higher term.
const MemberStatus *currentPrimaryStatus(const VotingSetInput &input)
{
    const MemberStatus *primary = statusOf(input, *input.group.primary);
    if (primary == nullptr || primary->status.point.term != input.group.term
        || primary->status.role != UpstreamRole::Primary
        || primary->status.fencedTerm > input.group.term)
        return nullptr;
    return primary;
}

bool isRecent(const MemberStatus &status, TimePoint now)
{
    return now < status.askedAt + kMaxVotingStatusAge;
}

bool holds(const VotingSetInput &input, const UpstreamId &member, LogPosition position)
{
    const MemberStatus *status = statusOf(input, member);
    return status != nullptr && status->status.point.term == input.group.term
        && status->status.point.position >= position;
}

bool majorityHolds(const VotingSetInput &input, const std::set<UpstreamId> &set,
                   LogPosition position)
{
    const auto holders = std::ranges::count_if(
        set, [&](const UpstreamId &member) { return holds(input, member, position); });
    return static_cast<std::size_t>(holders) >= majorityOf(set.size());
}

bool isSettled(const VotingSetProgress &progress, const VotingSetInput &input,
               const std::set<UpstreamId> &next)
{
    return majorityHolds(input, progress.votingSet, *progress.barrier)
        || majorityHolds(input, next, *progress.barrier);
}

bool mayJoin(const VotingSetInput &input, const UpstreamId &upstream, const RegistryEntry &entry,
             TimePoint now)
{
    if (input.group.votingSet.contains(upstream) || entry.state != UpstreamState::Live)
        return false;
    const MemberStatus *status = statusOf(input, upstream);
    const MemberStatus *primary = currentPrimaryStatus(input);
    return status != nullptr && primary != nullptr && isRecent(*status, now)
        && status->status.point.term == input.group.term
        && status->status.point.position.value() + kMaxJoinLag
        >= primary->status.point.position.value();
}

bool isGone(const VotingSetInput &input, const UpstreamId &member, TimePoint now)
{
    const auto entry = input.announced.find(member);
    if (entry == input.announced.end())
        return now >= input.controllerSince + kMemberRemovalTimeout;
    if (entry->second.announcement.leaving)
        return true;
    return entry->second.state == UpstreamState::Suspected
        && now >= entry->second.receivedAt + kMemberRemovalTimeout;
}

bool hasLiveMajority(const VotingSetInput &input, const std::set<UpstreamId> &set, TimePoint now)
{
    const auto live = std::ranges::count_if(set, [&](const UpstreamId &member) {
        const MemberStatus *status = statusOf(input, member);
        return status != nullptr && isRecent(*status, now)
            && status->status.point.term == input.group.term;
    });
    return static_cast<std::size_t>(live) >= majorityOf(set.size());
}

std::optional<GroupDecision> joinDecision(const VotingSetProgress &progress,
                                          const VotingSetInput &input, TimePoint now)
{
    for (const auto &[upstream, entry] : input.announced) {
        std::set<UpstreamId> next = progress.votingSet;
        next.insert(upstream);
        if (mayJoin(input, upstream, entry, now) && isSettled(progress, input, next))
            return JoinVotingSet { input.group.service, upstream };
    }
    return std::nullopt;
}

std::optional<GroupDecision> leaveDecision(const VotingSetProgress &progress,
                                           const VotingSetInput &input, TimePoint now)
{
    for (const UpstreamId &member : input.group.votingSet) {
        std::set<UpstreamId> next = progress.votingSet;
        next.erase(member);
        if (member != input.group.primary && isGone(input, member, now)
            && hasLiveMajority(input, next, now) && isSettled(progress, input, next))
            return LeaveVotingSet { input.group.service, member };
    }
    return std::nullopt;
}

void setBarrier(VotingSetProgress &progress, const VotingSetInput &input)
{
    const MemberStatus *primary = currentPrimaryStatus(input);
    if (!progress.barrier && primary != nullptr && primary->askedAt >= *input.viewInForceAt)
        progress.barrier = primary->status.point.position;
}

std::optional<GroupDecision> repeatOutstanding(VotingSetProgress &progress, TimePoint now)
{
    if (now < progress.proposedAt + kDecisionRetryInterval)
        return std::nullopt;
    progress.proposedAt = now;
    return progress.outstanding;
}

/// Returns the live announced primaries of the highest term.
std::vector<const Announcement *> announcedPrimaries(const VotingSetInput &input)
{
    std::vector<const Announcement *> primaries;
    for (const auto &[id, entry] : input.announced) {
        const Announcement &a = entry.announcement;
        if (entry.seeded || entry.state != UpstreamState::Live || a.role != UpstreamRole::Primary
            || a.point.term == Term())
            continue;
        if (!primaries.empty() && primaries.front()->point.term > a.point.term)
            continue;
        if (!primaries.empty() && primaries.front()->point.term < a.point.term)
            primaries.clear();
        primaries.push_back(&a);
    }
    return primaries;
}

} // namespace

std::optional<GroupDecision> nextVotingSetDecision(VotingSetProgress &progress,
                                                   const VotingSetInput &input, TimePoint now)
{
    const GroupState &group = input.group;
    if (!group.primary || input.primaryChanging || group.reservedTerm != group.term)
        return std::nullopt;
    if (progress.term != group.term || progress.votingSet != group.votingSet)
        progress = { .term = group.term,
                     .votingSet = group.votingSet,
                     .barrier = std::nullopt,
                     .outstanding = std::nullopt,
                     .proposedAt = now };
    if (progress.outstanding)
        return repeatOutstanding(progress, now);
    if (!input.viewInForceAt)
        return std::nullopt;
    setBarrier(progress, input);
    if (!progress.barrier)
        return std::nullopt;
    auto decision = joinDecision(progress, input, now);
    if (!decision)
        decision = leaveDecision(progress, input, now);
    progress.outstanding = decision;
    progress.proposedAt = now;
    return decision;
}

std::set<UpstreamId> votingSetQueries(const VotingSetInput &input)
{
    std::set<UpstreamId> queries = input.group.votingSet;
    for (const auto &[id, entry] : input.announced)
        queries.insert(id);
    return queries;
}

std::optional<GroupDecision> nextBootstrapDecision(const VotingSetInput &input, TimePoint now)
{
    const GroupState &group = input.group;
    if (group.primary || now < input.controllerSince + kBootstrapWait)
        return std::nullopt;
    const auto primaries = announcedPrimaries(input);
    if (primaries.size() != 1)
        return std::nullopt;
    const Announcement &first = *primaries.front();
    if (group.votingSet.empty())
        return JoinVotingSet { group.service, first.upstream };
    if (!group.votingSet.contains(first.upstream) || first.point.term < group.reservedTerm)
        return std::nullopt;
    if (group.reservedTerm < first.point.term)
        return ReserveTerm { group.service, first.point.term, "first primary of the group" };
    return SetPrimary { group.service, first.point.term, first.upstream };
}

} // namespace shallotlever
