#pragma once

#include <map>

#include "shallotlever/fleet/voting_set.h"

/// Detects a primary that is reachable but no longer replicates to a majority.
namespace shallotlever {

/// A primary is replaced when the position held by a majority has not advanced for this long
/// although the primary is ahead of it. Replicas that are only slow still advance and cause no
/// failover.
constexpr Duration kReplicationStallTimeout = 2s;

struct ReplicationWatch
{
    Term term;
    /// Longest prefix of the primary's log that a majority of the voting set holds.
    LogPosition majorityPosition;
    TimePoint lastProgressAt;
};

/// Updates the watch. Returns true if the current primary cannot get writes acknowledged while the
/// other members respond and form a majority, so that one of them can become primary.
bool replicationStalled(ReplicationWatch &watch, const GroupState &group,
                        const std::map<UpstreamId, MemberStatus> &statuses, TimePoint now);

} // namespace shallotlever
