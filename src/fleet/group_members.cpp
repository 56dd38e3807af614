#include "shallotlever/fleet/group_members.h"

#include <algorithm>

namespace shallotlever {

namespace {

/// Returns the end of the primary's log from an answer to a query sent at `since` or later; nullopt
/// if there is none, or if the primary has started again since it was put into office.
std::optional<HistoryPoint> endOfPrimaryLog(const ConfirmedInput &input, TimePoint since)
{
    const auto primary = input.members.find(*input.group.primary);
    if (primary == input.members.end())
        return std::nullopt;
    const ConfirmedMember &member = primary->second;
    const auto processes = std::ranges::count_if(
        input.recorded, [&](const MemberId &id) { return id.upstream == input.group.primary; });
    if (processes != 1 || !input.recorded.contains({ primary->first, member.incarnation })
        || !member.status || member.status->role != UpstreamRole::Primary
        || member.statusAskedAt < since)
        return std::nullopt;
    return member.status->point;
}

/// Returns whether enough replicas hold the primary's log up to `barrier`.
bool isHeldByReplicas(const MemberInput &input, const HistoryPoint &barrier)
{
    std::uint32_t holders = 0;
    for (const auto &[id, member] : input.group.members) {
        const MemberId process { id, member.incarnation };
        const bool counts = input.group.recorded.contains(process) && !input.ended.contains(process)
            && id != input.group.group.primary;
        if (counts && member.status && member.status->point >= barrier)
            ++holders;
    }
    return holders >= std::max<std::uint32_t>(input.group.confirmingReplicas, 1);
}

bool mayLeave(MemberProgress::Ended &ended, const MemberInput &input)
{
    // Without a primary no commit has been acknowledged yet.
    if (!input.group.group.primary)
        return true;
    if (!ended.barrier)
        ended.barrier = endOfPrimaryLog(input.group, ended.knownAt);
    return ended.barrier && isHeldByReplicas(input, *ended.barrier);
}

} // namespace

bool hasEnded(const Registry &registry, const MemberId &member)
{
    const auto ended = registry.endedLifetimes.find(member.upstream);
    if (ended != registry.endedLifetimes.end() && ended->second >= member.incarnation)
        return true;
    const auto entry = registry.entries.find(member.upstream);
    if (entry == registry.entries.end())
        return false;
    const Incarnation announced = entry->second.announcement.lifetime;
    return announced > member.incarnation
        || (entry->second.replaced && announced == member.incarnation);
}

MemberChanges nextMemberChanges(MemberProgress &progress, const MemberInput &input, TimePoint now)
{
    MemberChanges changes;
    for (const auto &[id, member] : input.group.members) {
        if (!input.group.recorded.contains({ id, member.incarnation }))
            changes.joining.push_back({ id, member.incarnation });
    }
    if (progress.term != input.group.group.term || input.changing)
        progress.ended.clear();
    progress.term = input.group.group.term;
    if (input.changing)
        return changes;
    for (const MemberId &member : input.ended) {
        const auto item =
            progress.ended.try_emplace(member, MemberProgress::Ended { now, {} }).first;
        if (mayLeave(item->second, input))
            changes.leaving.push_back(member);
    }
    std::erase_if(progress.ended,
                  [&](const auto &item) { return !input.group.recorded.contains(item.first); });
    return changes;
}

} // namespace shallotlever
