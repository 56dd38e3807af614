#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <variant>
#include <vector>

#include "shallotlever/fleet/primary_change.h"

/// Change of primary of a group whose databases confirm commits themselves: a commit is
/// acknowledged once it is on the primary and on a number of replicas that the service states. The
/// platform promotes; its call names the database and an epoch. The controller's part is to choose
/// a database that holds every acknowledged commit, and to call only when no node uses the former
/// primary any more.
namespace shallotlever {

/// A promoted database that does not lead within this time is given up.
constexpr Duration kPromotionTimeout = 5s;
/// Interval of status queries while a promotion is under way.
constexpr Duration kPromotionPoll = 100ms;
/// In a planned change, commits that are under way when nodes let go of the primary get this long.
constexpr Duration kQuiesce = 60ms;
/// A primary whose replicas receive nothing for this long while it has more is replaced.
constexpr Duration kReplicaSilence = 2s;
/// Statuses older than this say nothing about replication.
constexpr Duration kStatusAge = 1500ms;
/// A primary that calls itself a replica for this long is replaced.
constexpr Duration kDemotedFor = 1500ms;

enum class ConfirmedPhase : std::uint8_t { Idle, Reserving, Fencing, Promoting, Publishing };

/// One database of the group, as announced and as it answered last.
struct ConfirmedMember
{
    UpstreamState state = UpstreamState::Live;
    bool leaving = false;
    UpstreamRole announcedRole = UpstreamRole::Replica;
    std::optional<UpstreamStatus> status;
    TimePoint statusAskedAt;
};

struct ConfirmedChange
{
    ConfirmedPhase phase = ConfirmedPhase::Idle;
    ChangeReason reason = ChangeReason::None;
    /// Epoch of this attempt, reserved in the control log.
    Term epoch;
    TimePoint phaseSince;
    TimePoint notBefore;
    /// Nodes have let go of the former primary since.
    std::optional<TimePoint> quietSince;
    /// Term at which databases stop following the former primary.
    Term fenceTerm;
    std::map<UpstreamId, TimePoint> sentAt;
    std::optional<UpstreamId> candidate;
    std::optional<TimePoint> promotedAt;
    /// The platform refused to promote these.
    std::set<UpstreamId> refused;
    std::uint32_t attempts = 0;
    /// Since when the primary has called itself a replica.
    std::optional<TimePoint> demotedSince;
    /// Progress of replication: highest position received by a replica, and since when.
    HistoryPoint replicated;
    TimePoint replicatedSince;
    ChangeTimes times;
};

struct ConfirmedInput
{
    GroupState group;
    std::map<UpstreamId, ConfirmedMember> members;
    /// See ChangeInput.
    Term ownReservedTerm;
    bool registryComplete = true;
    /// Every node that may act on a view has one without a primary.
    bool primaryReleased = false;
    std::uint32_t confirmingReplicas = 0;
};

struct StepDown
{
    UpstreamId upstream;
    Term term;
};
/// Ends a fence.
struct Resume
{
    UpstreamId upstream;
};
using ConfirmedAction =
    std::variant<QueryStatus, Fence, StepDown, Resume, Promote, Propose, ChangeDone>;

/// Why a change is due now, if it is. Updates what is remembered about the primary.
ChangeReason confirmedChangeDue(ConfirmedChange &change, const ConfirmedInput &input,
                                TimePoint now);

/// The database to promote: it holds every commit that was or will be acknowledged by the former
/// primary. nullopt while that cannot be known. A commit is on the primary and on at least
/// `confirmingReplicas` others, and a fenced database takes no further one. So if fewer replicas
/// than that are not fenced, each acknowledged commit is on a fenced one, and the longest log among
/// them holds all; otherwise the primary itself has to be fenced, and the log must reach its end.
std::optional<UpstreamId> chooseConfirmedCandidate(const ConfirmedChange &change,
                                                   const ConfirmedInput &input);

/// Answer of the platform to Promote; false if it refused because the database does not run.
void onPromoteAnswer(ConfirmedChange &change, const UpstreamId &upstream, bool accepted,
                     TimePoint now);

/// Advances the change. Call every 50 ms and after each answer.
std::vector<ConfirmedAction> stepConfirmedChange(ConfirmedChange &change,
                                                 const ConfirmedInput &input, TimePoint now);

} // namespace shallotlever
