#pragma once

#include <map>

#include "shallotlever/fleet/voting_set.h"

/// Notices a primary that is reachable but no longer replicates to a majority.
namespace shallotlever {

/// A primary is replaced when a majority has made no progress for this long although the primary
/// is ahead. Replicas that are merely slow make progress and cause no change.
constexpr Duration kReplicationStall = 2s;

struct ReplicationWatch
{
    Term term;
    /// Longest prefix of the primary's log that a majority of the voting set holds.
    LogPosition majorityPosition;
    TimePoint progressAt;
};

/// Updates the watch. Returns true if writes cannot be acknowledged by the primary in office, while
/// the other members answer and are a majority, so that one of them could take over.
bool replicationStalled(ReplicationWatch &watch, const GroupState &group,
                        const std::map<UpstreamId, MemberStatus> &statuses, TimePoint now);

} // namespace shallotlever
