#pragma once

#include <cstdint>
#include <map>
#include <vector>

#include "shallotlever/types/fleet.h"

/// Decides when a write is held by a quorum and may be acknowledged to its caller.
namespace shallotlever {

/// A status reply with the time at which its query was sent.
struct TimedStatus
{
    UpstreamStatus status;
    TimePoint askedAt;
};

/// A node's view of a group, on which its acknowledgements are based.
struct AckContext
{
    Term term;
    UpstreamId primary;
    std::set<UpstreamId> votingSet;
    /// End of the node's freshness lease. No write is acknowledged after it, because the voting set
    /// may have changed more than once and only majorities of successive sets always overlap. The
    /// controller changes the set again only when the last change is in force (see voting_set.h).
    TimePoint leaseUntil;
};

AckContext makeAckContext(const GroupView &group, TimePoint leaseUntil);

/// Returns whether a commit that the current primary completed at `committedAt`, at `commit` in its
/// history, is held by a majority of the voting set. The primary itself always counts. Another
/// member counts if a status query sent after the commit returned the same term and a position at
/// or past that of the commit.
bool isAcknowledged(const HistoryPoint &commit, TimePoint committedAt, const AckContext &context,
                    const std::map<UpstreamId, TimedStatus> &statuses, TimePoint now);

enum class AckOutcome { Acknowledged, Unknown };

struct AckResult
{
    std::uint64_t write = 0;
    AckOutcome outcome = AckOutcome::Unknown;
};

/// Writes of one group that are not yet held by a majority. Owned by the group's executor thread.
struct AckTracker
{
    struct Pending
    {
        std::uint64_t write = 0;
        HistoryPoint commit;
        TimePoint committedAt;
        TimePoint deadline;
    };
    std::vector<Pending> pending;
    std::map<UpstreamId, TimedStatus> statuses;
    /// Time at which the last status query was sent to each member.
    std::map<UpstreamId, TimePoint> lastQueriedAt;
};

/// Registers a committed write. `write` identifies it to the caller and is returned in AckResult.
void awaitAck(AckTracker &tracker, std::uint64_t write, const HistoryPoint &commit, TimePoint now,
              TimePoint deadline);
/// Records the reply to a status query sent at `askedAt`. Replies to older queries are ignored.
void recordStatus(AckTracker &tracker, const UpstreamId &upstream, const UpstreamStatus &status,
                  TimePoint askedAt);
/// Removes and returns the writes whose outcome is decided: acknowledged by a majority, or unknown
/// because the deadline passed, the term changed or the lease expired.
std::vector<AckResult> decideAcks(AckTracker &tracker, const AckContext &context, TimePoint now);
/// Returns the members to query now and records the queries as sent. One round serves all pending
/// writes. A member is queried again while its last reply does not cover every pending write, but
/// at most once per `interval`.
std::vector<UpstreamId> nextStatusRound(AckTracker &tracker, const AckContext &context,
                                        Duration interval, TimePoint now);

} // namespace shallotlever
