#include "shallotlever/fleet/replication_watch.h"

#include <algorithm>
#include <functional>
#include <vector>

namespace shallotlever {

namespace {

/// Members are queried every 500 ms. Shorter than kReplicationStallTimeout, so that a member that
/// stopped responding when replication stalled does not count as responding.
constexpr Duration kMaxAnswerAge = 1500ms;
static_assert(kMaxAnswerAge < kReplicationStallTimeout);

/// Log positions of the members, highest first; 0 for members that do not follow the group's term.
std::vector<LogPosition> positionsOf(const GroupState &group,
                                     const std::map<UpstreamId, MemberStatus> &statuses)
{
    std::vector<LogPosition> positions;
    for (const UpstreamId &member : group.votingSet) {
        const auto status = statuses.find(member);
        const bool follows =
            status != statuses.end() && status->second.status.point.term == group.term;
        positions.push_back(follows ? status->second.status.point.position : LogPosition());
    }
    std::sort(positions.begin(), positions.end(), std::greater<>());
    return positions;
}

bool othersCanTakeOver(const GroupState &group, const std::map<UpstreamId, MemberStatus> &statuses,
                       TimePoint now)
{
    const auto answering = std::count_if(
        group.votingSet.begin(), group.votingSet.end(), [&](const UpstreamId &member) {
            const auto status = statuses.find(member);
            return member != group.primary && status != statuses.end()
                && now < status->second.askedAt + kMaxAnswerAge;
        });
    return static_cast<std::size_t>(answering) >= majorityOf(group.votingSet.size());
}

} // namespace

bool replicationStalled(ReplicationWatch &watch, const GroupState &group,
                        const std::map<UpstreamId, MemberStatus> &statuses, TimePoint now)
{
    const auto primary = group.primary ? statuses.find(*group.primary) : statuses.end();
    if (primary == statuses.end() || group.votingSet.empty()) {
        watch = {};
        return false;
    }
    const LogPosition majorityPosition =
        positionsOf(group, statuses)[majorityOf(group.votingSet.size()) - 1];
    const bool ahead = primary->second.status.point.position > majorityPosition;
    if (watch.term != group.term || majorityPosition > watch.majorityPosition || !ahead) {
        watch = { group.term, majorityPosition, now };
        return false;
    }
    return now >= watch.lastProgressAt + kReplicationStallTimeout
        && othersCanTakeOver(group, statuses, now);
}

} // namespace shallotlever
