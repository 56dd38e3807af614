#include "shallotlever/fleet/group_members.h"

#include <algorithm>

#include "shallotlever/fleet/endpoint_claim.h"

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
    const Incarnation inOffice = input.group.primaryIncarnation;
    if ((inOffice != Incarnation() && member.incarnation != inOffice) || !member.status
        || member.status->role != UpstreamRole::Primary || member.statusAskedAt < since)
        return std::nullopt;
    return member.status->point;
}

/// Returns whether enough replicas hold the primary's log up to `barrier`.
bool isHeldByReplicas(const MemberInput &input, const HistoryPoint &barrier)
{
    std::uint32_t holders = 0;
    for (const auto &[id, member] : input.group.members) {
        const MemberId process { id, member.incarnation };
        const bool counts = input.group.group.members.contains(process)
            && !input.ended.contains(process) && id != input.group.group.primary;
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

ChangeMembers dueMemberChanges(MemberProgress &progress, const MemberInput &input, TimePoint now)
{
    ChangeMembers changes;
    changes.service = input.group.group.service;
    for (const auto &[id, member] : input.group.members) {
        if (!input.group.group.members.contains({ id, member.incarnation }))
            changes.joining[{ id, member.incarnation }] = member.record;
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
            changes.leaving.insert(member);
    }
    std::erase_if(progress.ended, [&](const auto &item) {
        return !input.group.group.members.contains(item.first);
    });
    return changes;
}

/// Whether a later process is recorded at the member's endpoint.
bool isReplaced(const GroupState &group, const MemberId &id, const MemberRecord &record)
{
    return std::ranges::any_of(group.members, [&](const auto &item) {
        return item.first.upstream != id.upstream && item.first.incarnation > id.incarnation
            && item.second.endpoint == record.endpoint;
    });
}

void seedMember(Registry &registry, const GroupState &group, const MemberId &id, TimePoint now)
{
    const auto known = registry.entries.find(id.upstream);
    if (known != registry.entries.end() && known->second.announcement.lifetime >= id.incarnation)
        return;
    const MemberRecord &record = group.members.at(id);
    RegistryEntry &entry = registry.entries[id.upstream];
    entry = RegistryEntry();
    entry.announcement.upstream = id.upstream;
    entry.announcement.service = group.service;
    entry.announcement.dataCentre = record.dataCentre;
    entry.announcement.endpoint = record.endpoint;
    entry.announcement.slots = record.slots;
    entry.announcement.connectionLimit = record.connectionLimit;
    entry.announcement.lifetime = id.incarnation;
    entry.receivedAt = entry.stateSince = now;
    if (isReplaced(group, id, record))
        markClaimed(registry, entry, now);
    entry.seeded = true;
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
        || (entry->second.hold == EndpointHold::Lost && announced == member.incarnation);
}

void seedMembers(Registry &registry, const ClusterState &cluster, TimePoint now)
{
    for (const auto &[service, group] : cluster.groups) {
        if (!cluster.config.services.contains(service))
            continue;
        // In the order of the incarnations of each id, so that the last one remains.
        for (const auto &[id, record] : group.members)
            seedMember(registry, group, id, now);
    }
}

std::optional<ChangeMembers> nextMemberChanges(MemberProgress &progress, const MemberInput &input,
                                               TimePoint now)
{
    ChangeMembers due = dueMemberChanges(progress, input, now);
    if (due.joining.empty() && due.leaving.empty())
        return std::nullopt;
    if (due == progress.proposed && now < progress.proposedAt + kProposalRetryInterval)
        return std::nullopt;
    progress.proposed = due;
    progress.proposedAt = now;
    return due;
}

} // namespace shallotlever
