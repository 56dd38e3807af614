#pragma once

#include <map>
#include <optional>
#include <set>
#include <vector>

#include "shallotlever/fleet/confirmed_change.h"
#include "shallotlever/fleet/registry.h"

/// Membership of a group whose databases confirm commits themselves. Each acknowledged commit is in
/// the logs of the primary and of enough other members to confirm it.
namespace shallotlever {

/// What the controller knows about members that have ended.
struct MemberProgress
{
    struct Ended
    {
        /// When the controller learnt that the process had ended.
        TimePoint knownAt;
        /// End of the primary's log, queried after that. Everything that the process confirmed is
        /// at or before it.
        std::optional<HistoryPoint> barrier;
    };
    /// Term of the primary whose log the barriers belong to.
    Term term;
    std::map<MemberId, Ended> ended;
    /// Last change proposed, and when.
    ChangeMembers proposed;
    TimePoint proposedAt;
};

struct MemberInput
{
    ConfirmedInput group;
    /// A change of primary is in progress. No member leaves meanwhile, because the change counts
    /// them.
    bool changing = false;
    /// Recorded members whose process has ended.
    std::set<MemberId> ended;
};

/// Returns whether the process is known to have ended: it deregistered, or a later process
/// announces its id or another id at its endpoint. Silence is no evidence, as a silent process may
/// still confirm commits.
bool hasEnded(const Registry &registry, const MemberId &member);

/// Adds the recorded members to the registry of a new controller, each with a lease that starts at
/// `now`, unless the registry knows the process or a later one under its id.
void seedMembers(Registry &registry, const ClusterState &cluster, TimePoint now);

/// Returns the change to propose to the recorded members, or nullopt. A process joins when it
/// announces itself, because it may confirm commits from then on. A process that has ended leaves
/// once as many other replicas as confirm a commit, and at least one, hold everything that it may
/// have confirmed.
std::optional<ChangeMembers> nextMemberChanges(MemberProgress &progress, const MemberInput &input,
                                               TimePoint now);

} // namespace shallotlever
