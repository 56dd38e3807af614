#pragma once

#include <cstdint>
#include <map>
#include <vector>

#include "shallotlever/types/fleet.h"

/// When a write may be acknowledged to its caller.
namespace shallotlever {

/// A status with the time at which the query for it was sent.
struct TimedStatus
{
    UpstreamStatus status;
    TimePoint askedAt;
};

/// What a node relies on when it acknowledges.
struct AckContext
{
    /// The node's fleet view of the group.
    Term term;
    UpstreamId primary;
    std::set<UpstreamId> votingSet;
    /// End of the node's freshness lease. Past it nothing is acknowledged: the voting set may
    /// have changed more than once, and only majorities of adjacent sets always overlap. The
    /// controller makes the next change only when this one is in force (see voting_set.h).
    TimePoint leaseUntil;
};

AckContext makeAckContext(const GroupView &group, TimePoint leaseUntil);

/// Whether a commit at `commit` on the primary in office, completed at `committedAt`, is held by a
/// majority of the voting set. The primary counts by its commit. Another member counts if it
/// reported the same term and a position at or past the commit's, asked after the commit.
bool isAcknowledged(const HistoryPoint &commit, TimePoint committedAt, const AckContext &context,
                    const std::map<UpstreamId, TimedStatus> &statuses, TimePoint now);

enum class AckOutcome { Acknowledged, Unknown };

struct AckResult
{
    std::uint64_t write = 0;
    AckOutcome outcome = AckOutcome::Unknown;
};

/// Writes of one group that wait for a majority. Owned by the group's executor thread.
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
    /// Queries under way: when the last one was sent.
    std::map<UpstreamId, TimePoint> asked;
};

/// Registers a committed write. `write` is chosen by the caller and returned in AckResult.
void awaitAck(AckTracker &tracker, std::uint64_t write, const HistoryPoint &commit, TimePoint now,
              TimePoint deadline);
/// Records the answer of a status query sent at `askedAt`.
void recordStatus(AckTracker &tracker, const UpstreamId &upstream, const UpstreamStatus &status,
                  TimePoint askedAt);
/// Decides every write that can be decided: acknowledged by a majority, or unknown because its
/// deadline passed, the term changed or the lease ended.
std::vector<AckResult> decideAcks(AckTracker &tracker, const AckContext &context, TimePoint now);
/// Members to query now; one round serves all waiting writes. A member is asked again when its
/// answer was too low, but at most once per `interval`.
std::vector<UpstreamId> nextStatusRound(AckTracker &tracker, const AckContext &context,
                                        Duration interval, TimePoint now);

} // namespace shallotlever
