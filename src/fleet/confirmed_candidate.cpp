#include "confirmed_candidate.h"

#include <algorithm>
#include <compare>
#include <set>

namespace shallotlever {

namespace {

/// Whether the log of a process that started after the end of the former primary is the one that
/// the primary left. Since nobody leads, the process has received nothing since its start, so that
/// a log as long as every one that was heard of is the one it started with.
bool keptLog(const ConfirmedChange &change, const ConfirmedInput &input,
             const ConfirmedMember &later)
{
    const HistoryPoint &end = later.status->point;
    return end.position != LogPosition() && end >= highestPoint(input)
        && end >= change.highestPoint;
}

/// Whether the process started at the endpoint of the former primary, which has ended: a database
/// that leaves hands its log to the next one there.
bool succeedsPrimary(const ConfirmedInput &input, const ConfirmedMember &member)
{
    if (!input.group.primary)
        return false;
    const Incarnation inOffice = input.group.primaryIncarnation;
    const auto primary = input.group.members.find({ *input.group.primary, inOffice });
    return primary != input.group.members.end() && inOffice != Incarnation()
        && member.incarnation > inOffice && primary->second.endpoint.port != 0
        && primary->second.endpoint == member.record.endpoint;
}

/// Whether the log of the fenced database ends where the commits end that the former primary
/// acknowledged. A later process under its id may have kept the log or have started with nothing.
bool holdsPrimaryLog(const ConfirmedChange &change, const ConfirmedInput &input,
                     const UpstreamId &id, const ConfirmedMember &member)
{
    if (isFormerPrimary(input, id))
        return isInOffice(input, member) || keptLog(change, input, member);
    return succeedsPrimary(input, member) && keptLog(change, input, member);
}

/// What the fenced databases tell about the log that holds every acknowledged commit.
struct AcknowledgedBound
{
    HistoryPoint longestReplica;
    /// Every acknowledged commit is on a fenced replica.
    bool replicasHoldAll = false;
    /// End of the former primary's log, if a fenced database has kept it.
    std::optional<HistoryPoint> primaryEnd;

    /// Whether a fenced log with this end holds every acknowledged commit.
    bool isReachedBy(const HistoryPoint &end) const
    {
        return end >= longestReplica && (replicasHoldAll || (primaryEnd && end >= *primaryEnd));
    }
};

AcknowledgedBound acknowledgedBound(const ConfirmedChange &change, const ConfirmedInput &input)
{
    AcknowledgedBound bound;
    for (const auto &[id, member] : input.members) {
        if (!isFenced(change, input, id, member))
            continue;
        if (!isFormerPrimary(input, id))
            bound.longestReplica = std::max(bound.longestReplica, member.status->point);
        if (holdsPrimaryLog(change, input, id, member))
            bound.primaryEnd = member.status->point;
    }
    const auto unfenced =
        std::ranges::count_if(unfencedProcesses(change, input), [&](const MemberId &process) {
            return !isFormerPrimary(input, process.upstream);
        });
    // Without confirming replicas no replica is certain to hold a commit, so all must be fenced.
    bound.replicasHoldAll = unfenced < std::max<std::uint32_t>(input.confirmingReplicas, 1);
    return bound;
}

/// Order of preference among databases that hold every acknowledged commit.
struct CandidateRank
{
    bool usable = false;
    bool notEvacuated = false;
    /// The former primary is replaced for a reason.
    bool isReplica = false;
    friend auto operator<=>(const CandidateRank &, const CandidateRank &) = default;
};

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
    if (change.fenceTerm == Term() || !answeredSince(member, change.fencesSince)
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

bool isUsable(const ConfirmedMember &member)
{
    return member.state == UpstreamState::Live && !member.leaving;
}

std::vector<AwaitedProcess> awaitedProcesses(const ConfirmedChange &change,
                                             const ConfirmedInput &input)
{
    std::vector<AwaitedProcess> awaited;
    for (const MemberId &process : unfencedProcesses(change, input))
        awaited.push_back({ process, AwaitReason::Unfenced });
    const AcknowledgedBound bound = acknowledgedBound(change, input);
    for (const auto &[id, member] : input.members) {
        const MemberId process { id, member.incarnation };
        if (isFenced(change, input, id, member) && bound.isReachedBy(member.status->point)
            && change.refusedCandidates.contains(process))
            awaited.push_back({ process, AwaitReason::Refused });
    }
    return awaited;
}

std::string_view awaitReasonName(AwaitReason reason)
{
    switch (reason) {
    case AwaitReason::Unfenced:
        return "unfenced";
    case AwaitReason::Refused:
        return "refused";
    }
    return "unfenced";
}

std::optional<UpstreamId> chooseConfirmedCandidate(const ConfirmedChange &change,
                                                   const ConfirmedInput &input)
{
    const AcknowledgedBound bound = acknowledgedBound(change, input);
    std::optional<UpstreamId> best;
    CandidateRank bestRank;
    for (const auto &[id, member] : input.members) {
        if (!isFenced(change, input, id, member) || !bound.isReachedBy(member.status->point)
            || change.refusedCandidates.contains({ id, member.incarnation }))
            continue;
        const CandidateRank rank { isUsable(member), !member.evacuated,
                                   !isFormerPrimary(input, id) };
        if (!best || rank > bestRank) {
            best = id;
            bestRank = rank;
        }
    }
    return best;
}

} // namespace shallotlever
