#pragma once

#include <map>
#include <optional>

#include "shallotlever/fleet/registry.h"

/// Proposals to change the voting set of a group, and the first primary of a new group.
namespace shallotlever {

/// A database may join when it lags the primary by at most this many log positions.
constexpr std::uint64_t kJoinDistance = 1000;
/// A silent member is removed after this time; shorter absences are restarts.
constexpr Duration kGoneFor = 600s;
/// Statuses older than this do not count.
constexpr Duration kVotingStatusAge = 3s;
/// A new group waits this long after the controller took office, so that every announced primary
/// has renewed at least once.
constexpr Duration kBootstrapWait = 3s;

/// A status that the controller asked for itself.
struct MemberStatus
{
    UpstreamStatus status;
    TimePoint askedAt;
};

/// What the controller keeps per group to make changes one at a time.
///
/// Two sets that differ by one member have overlapping majorities, but sets that differ by two
/// may not. So the next change waits until (1) every live node has applied the current set, after
/// which nothing is acknowledged by an older one, and (2) a majority of the current set or of the
/// next one holds everything the primary had written at that time.
struct VotingSetProgress
{
    Term term;
    std::set<UpstreamId> votingSet;
    /// Position of the primary, asked after the view was in force.
    std::optional<LogPosition> barrier;
    /// Proposed but not yet applied. It is repeated until the set or term changes, and no other
    /// decision is proposed meanwhile, as both might be committed.
    std::optional<GroupDecision> outstanding;
    TimePoint proposedAt;
};

struct VotingSetInput
{
    /// Committed state of the group; a default one with the service's id if there is none.
    GroupState group;
    /// Time at which the fleet view with this term and voting set came into force, if it has.
    std::optional<TimePoint> viewInForceAt;
    /// A change of primary is running or planned.
    bool primaryChanging = false;
    std::map<UpstreamId, MemberStatus> statuses;
    /// Entries of this service by id.
    std::map<UpstreamId, RegistryEntry> announced;
    TimePoint controllerSince;
};

/// The next decision to propose, if any. Call on each tick.
std::optional<GroupDecision> nextVotingSetDecision(VotingSetProgress &progress,
                                                   const VotingSetInput &input, TimePoint now);
/// Upstreams whose status the rule needs; query them about once a second.
std::set<UpstreamId> votingSetQueries(const VotingSetInput &input);

/// First decisions of a new group, in this order: its announced primary joins, its term is
/// reserved, it becomes primary. Nothing is proposed while two upstreams announce themselves as
/// primary of the same highest term.
std::optional<GroupDecision> nextBootstrapDecision(const VotingSetInput &input, TimePoint now);

} // namespace shallotlever
