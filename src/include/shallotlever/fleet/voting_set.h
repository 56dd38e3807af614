#pragma once

#include <map>
#include <optional>

#include "shallotlever/fleet/registry.h"

/// Membership changes of a group's voting set, and bootstrap of a new group's first primary.
namespace shallotlever {

/// A database may join the voting set when it lags the primary by at most this many log positions.
constexpr std::uint64_t kMaxJoinLag = 1000;
/// A member is removed when it has been silent for this long; shorter absences are taken for
/// restarts.
constexpr Duration kMemberRemovalTimeout = 600s;
/// Older statuses are ignored.
constexpr Duration kMaxVotingStatusAge = 3s;
/// Decisions for a new group are not proposed until this time after the election of the controller,
/// so that every announced primary has renewed its announcement at least once.
constexpr Duration kBootstrapWait = 3s;

/// Reply to a status query that the controller sent itself.
struct MemberStatus
{
    UpstreamStatus status;
    TimePoint askedAt;
    /// Process that was known under the id when the query was sent and when it was answered.
    Incarnation incarnation {};
};

/// Per-group state of the controller that limits the voting set to one change at a time.
///
/// Majorities of two sets that differ by one member always overlap, but those of sets that differ
/// by two members may not. The next change therefore waits until (1) every live node has applied
/// the current set, after which no write is acknowledged by a majority of an older one, and (2) a
/// majority of the current or of the next set holds everything that the primary had written by
/// then.
struct VotingSetProgress
{
    Term term;
    std::set<UpstreamId> votingSet;
    /// Position of the primary, queried after the view came into force.
    std::optional<LogPosition> barrier;
    /// Decision proposed but not yet applied. It is proposed again until the set or term changes.
    /// No other decision is proposed meanwhile, as both might be committed.
    std::optional<GroupDecision> outstanding;
    TimePoint proposedAt;
};

struct VotingSetInput
{
    /// Committed state of the group, or a default state with the service's id if there is none.
    GroupState group;
    /// When the fleet view with this term and voting set came into force; nullopt if it has not.
    std::optional<TimePoint> viewInForceAt;
    /// A change of primary is in progress or due.
    bool primaryChanging = false;
    std::map<UpstreamId, MemberStatus> statuses;
    /// Registry entries of this service.
    std::map<UpstreamId, RegistryEntry> announced;
    TimePoint controllerSince;
};

/// Returns the next decision to propose, if any. Call on each tick.
std::optional<GroupDecision> nextVotingSetDecision(VotingSetProgress &progress,
                                                   const VotingSetInput &input, TimePoint now);
/// Returns the upstreams whose status nextVotingSetDecision() needs. Query them about once a
/// second.
std::set<UpstreamId> votingSetQueries(const VotingSetInput &input);

/// Returns the next of the first decisions of a new group: its announced primary joins the voting
/// set, its term is reserved, and it becomes primary. Proposes nothing while two upstreams announce
/// themselves as primary of the same highest term.
std::optional<GroupDecision> nextBootstrapDecision(const VotingSetInput &input, TimePoint now);

} // namespace shallotlever
