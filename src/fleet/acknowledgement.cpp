#include "shallotlever/fleet/acknowledgement.h"

#include <algorithm>

namespace shallotlever {

namespace {

bool holdsCommit(const TimedStatus &timed, const HistoryPoint &commit, TimePoint committedAt)
{
    return timed.askedAt >= committedAt && timed.status.point.term == commit.term
        && timed.status.point.position >= commit.position;
}

} // namespace

AckContext makeAckContext(const GroupView &group, TimePoint leaseUntil)
{
    return { .term = group.term,
             .primary = group.primary.value_or(UpstreamId()),
             .votingSet = group.votingSet,
             .leaseUntil = leaseUntil };
}

bool isAcknowledged(const HistoryPoint &commit, TimePoint committedAt, const AckContext &context,
                    const std::map<UpstreamId, TimedStatus> &statuses, TimePoint now)
{
    if (now >= context.leaseUntil || commit.term != context.term)
        return false;
    std::size_t holders = 0;
    for (const UpstreamId &member : context.votingSet) {
        const auto status = statuses.find(member);
        const bool holds = member == context.primary
            || (status != statuses.end() && holdsCommit(status->second, commit, committedAt));
        holders += holds ? 1 : 0;
    }
    return holders >= majorityOf(context.votingSet.size());
}

void awaitAck(AckTracker &tracker, std::uint64_t write, const HistoryPoint &commit, TimePoint now,
              TimePoint deadline)
{
    tracker.pending.push_back(
        { .write = write, .commit = commit, .committedAt = now, .deadline = deadline });
}

void recordStatus(AckTracker &tracker, const UpstreamId &upstream, const UpstreamStatus &status,
                  TimePoint askedAt)
{
    TimedStatus &held = tracker.statuses[upstream];
    if (askedAt >= held.askedAt)
        held = { .status = status, .askedAt = askedAt };
}

std::vector<AckResult> decideAcks(AckTracker &tracker, const AckContext &context, TimePoint now)
{
    std::vector<AckResult> results;
    std::erase_if(tracker.pending, [&](const AckTracker::Pending &p) {
        const bool acknowledged =
            isAcknowledged(p.commit, p.committedAt, context, tracker.statuses, now);
        const bool outcomeUnknown =
            now >= p.deadline || now >= context.leaseUntil || p.commit.term != context.term;
        if (acknowledged || outcomeUnknown)
            results.push_back(
                { .write = p.write,
                  .outcome = acknowledged ? AckOutcome::Acknowledged : AckOutcome::Unknown });
        return acknowledged || outcomeUnknown;
    });
    return results;
}

std::vector<UpstreamId> nextStatusRound(AckTracker &tracker, const AckContext &context,
                                        Duration interval, TimePoint now)
{
    std::vector<UpstreamId> round;
    if (tracker.pending.empty())
        return round;
    for (const UpstreamId &member : context.votingSet) {
        if (member == context.primary)
            continue;
        const auto asked = tracker.lastQueriedAt.find(member);
        if (asked != tracker.lastQueriedAt.end() && now < asked->second + interval)
            continue;
        const auto status = tracker.statuses.find(member);
        const bool needed = std::ranges::any_of(tracker.pending, [&](const AckTracker::Pending &p) {
            return status == tracker.statuses.end()
                || !holdsCommit(status->second, p.commit, p.committedAt);
        });
        if (needed) {
            tracker.lastQueriedAt[member] = now;
            round.push_back(member);
        }
    }
    return round;
}

} // namespace shallotlever
