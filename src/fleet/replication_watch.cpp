#include "shallotlever/fleet/replication_watch.h"

#include <algorithm>
#include <functional>
#include <vector>

namespace shallotlever {

namespace {

/// Members are asked every 500 ms. Below kReplicationStall, so that a member that fell silent when
/// the progress ended does not count as answering.
constexpr Duration kRecentAnswer = 1500ms;
static_assert(kRecentAnswer < kReplicationStall);

/// Positions of the members at the group's term, highest first; 0 for all others.
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
                && now < status->second.askedAt + kRecentAnswer;
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
    const LogPosition held = positionsOf(group, statuses)[majorityOf(group.votingSet.size()) - 1];
    const bool ahead = primary->second.status.point.position > held;
    if (watch.term != group.term || held > watch.majorityPosition || !ahead) {
        watch = { group.term, held, now };
        return false;
    }
    return now >= watch.progressAt + kReplicationStall && othersCanTakeOver(group, statuses, now);
}

} // namespace shallotlever
