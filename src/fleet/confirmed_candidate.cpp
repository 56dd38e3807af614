#include "confirmed_candidate.h"

#include <algorithm>

namespace shallotlever {

namespace {

/// Whether the log of the fenced former primary ends where the commits end that it acknowledged. A
/// later process under its id may have kept the log or have started with nothing. Since nobody
/// leads, it has received nothing since its start, so that a log as long as every one that was
/// heard of is the one it kept.
bool holdsPrimaryLog(const ConfirmedChange &change, const ConfirmedInput &input,
                     const ConfirmedMember &primary)
{
    const HistoryPoint &end = primary.status->point;
    return isInOffice(input, primary)
        || (end.position != LogPosition() && end >= highestPoint(input)
            && end >= change.highestPoint);
}

} // namespace

bool answeredSince(const ConfirmedMember &member, TimePoint since)
{
    return member.status && member.statusAskedAt >= since;
}

bool isInOffice(const ConfirmedInput &input, const ConfirmedMember &primary)
{
    return input.group.primaryIncarnation == Incarnation()
        || input.group.primaryIncarnation == primary.incarnation;
}

bool isFormerPrimary(const ConfirmedInput &input, const UpstreamId &id)
{
    return input.group.primary == id;
}

bool isFenced(const ConfirmedChange &change, const ConfirmedInput &input, const UpstreamId &id,
              const ConfirmedMember &member)
{
    const TimePoint since = std::max(change.phaseStartedAt, change.fencesSince);
    if (change.fenceTerm == Term() || !answeredSince(member, since)
        || member.status->role == UpstreamRole::Primary)
        return false;
    return isFormerPrimary(input, id) || member.status->fencedTerm >= change.fenceTerm;
}

std::vector<MemberId> unfencedProcesses(const ConfirmedChange &change, const ConfirmedInput &input)
{
    std::set<MemberId> processes;
    for (const auto &[process, record] : input.group.members)
        processes.insert(process);
    for (const auto &[id, member] : input.members)
        processes.insert({ id, member.incarnation });
    std::vector<MemberId> unfenced;
    for (const MemberId &process : processes) {
        const auto heard = input.members.find(process.upstream);
        const bool fenced = heard != input.members.end()
            && heard->second.incarnation == process.incarnation
            && isFenced(change, input, process.upstream, heard->second);
        if (!fenced)
            unfenced.push_back(process);
    }
    return unfenced;
}

HistoryPoint highestPoint(const ConfirmedInput &input)
{
    HistoryPoint highest;
    for (const auto &[id, member] : input.members) {
        if (member.status)
            highest = std::max(highest, member.status->point);
    }
    return highest;
}

bool canBecomePrimary(const ConfirmedMember &member)
{
    return member.state == UpstreamState::Live && !member.leaving;
}

std::optional<UpstreamId> chooseConfirmedCandidate(const ConfirmedChange &change,
                                                   const ConfirmedInput &input)
{
    const auto unfenced =
        std::ranges::count_if(unfencedProcesses(change, input), [&](const MemberId &process) {
            return !isFormerPrimary(input, process.upstream);
        });
    std::optional<UpstreamId> best;
    HistoryPoint bestPoint;
    std::optional<HistoryPoint> primaryEnd;
    for (const auto &[id, member] : input.members) {
        const bool former = isFormerPrimary(input, id);
        const bool fenced = isFenced(change, input, id, member);
        if (former && fenced && holdsPrimaryLog(change, input, member))
            primaryEnd = member.status->point;
        if (!fenced || !canBecomePrimary(member) || change.refusedCandidates.contains(id))
            continue;
        if (!best || member.status->point > bestPoint) {
            best = id;
            bestPoint = member.status->point;
        }
    }
    // Without confirming replicas no replica is certain to hold a commit, so all must be fenced.
    const bool fencedHoldCommits = unfenced < std::max<std::uint32_t>(input.confirmingReplicas, 1);
    const bool reachesEnd = primaryEnd && bestPoint >= *primaryEnd;
    return best && (fencedHoldCommits || reachesEnd) ? best : std::nullopt;
}

} // namespace shallotlever
