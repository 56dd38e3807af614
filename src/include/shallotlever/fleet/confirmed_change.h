#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string_view>
#include <variant>
#include <vector>

#include "shallotlever/fleet/primary_change.h"

/// Failover of a group whose databases confirm commits themselves by synchronous replication: a
/// commit is acknowledged once it is on the primary and on the number of replicas configured for
/// the service. The platform carries out the promotion, in a call that names the database and an
/// epoch. The controller chooses a database that holds every acknowledged commit, and requests the
/// promotion only when no node uses the former primary any more.
namespace shallotlever {

/// A candidate that has not become primary after this time is abandoned.
constexpr Duration kPromotionTimeout = 5s;
/// A database whose promotion was refused, which may only mean that it did not run at that moment,
/// is not ordered to lead again before this time.
constexpr Duration kRefusedPromotionRetryInterval = 500ms;
/// An order to promote that is not answered for this long is withdrawn and given again.
constexpr Duration kPromotionOrderTimeout = 1s;
/// Interval of status queries to the candidate during a promotion.
constexpr Duration kPromotionPollInterval = 100ms;
/// A fence is confirmed again after kFenceRefreshInterval, and counts no longer than kMaxFenceAge:
/// a database that restarts loses it.
constexpr Duration kFenceRefreshInterval = 250ms;
constexpr Duration kMaxFenceAge = 750ms;
/// A primary is replaced when its replicas are behind and receive nothing for this long.
constexpr Duration kReplicaStallTimeout = 2s;
/// Older statuses are not used to judge whether replication has stalled.
constexpr Duration kMaxReplicationStatusAge = 1500ms;
/// A primary that reports the replica role for this long is replaced.
constexpr Duration kDemotionTimeout = 1500ms;

enum class ConfirmedPhase : std::uint8_t { Idle, Reserving, Fencing, Promoting, Publishing };

/// One database of the group: its announced state and its last status reply.
struct ConfirmedMember
{
    UpstreamState state = UpstreamState::Live;
    bool leaving = false;
    /// Its data centre is evacuated.
    bool evacuated = false;
    Incarnation incarnation;
    MemberRecord record;
    UpstreamRole announcedRole = UpstreamRole::Replica;
    /// Last reply of this incarnation.
    std::optional<UpstreamStatus> status;
    TimePoint statusAskedAt;
};

enum class AwaitReason : std::uint8_t {
    /// It may still accept commits, or took those that it confirmed with it.
    Unfenced,
    /// It holds all commits, and the platform refused to promote it.
    Refused,
};

std::string_view awaitReasonName(AwaitReason reason);

/// A process without which a change of primary can't go on.
struct AwaitedProcess
{
    MemberId process;
    AwaitReason reason = AwaitReason::Unfenced;
    friend bool operator==(const AwaitedProcess &, const AwaitedProcess &) = default;
};

struct ConfirmedChange
{
    ConfirmedPhase phase = ConfirmedPhase::Idle;
    ChangeReason reason = ChangeReason::None;
    /// Epoch of this attempt, reserved in the control log.
    Term epoch;
    TimePoint phaseStartedAt;
    TimePoint notBefore;
    /// When all nodes had stopped using the former primary.
    std::optional<TimePoint> primaryReleasedAt;
    /// Term of the fence, above every term the databases have reported. A fenced database no longer
    /// follows the former primary.
    Term fenceTerm;
    /// Answers to calls made earlier do not prove a fence.
    TimePoint fencesSince;
    std::map<UpstreamId, TimePoint> sentAt;
    std::optional<UpstreamId> candidate;
    Incarnation candidateIncarnation;
    /// The candidate was neither suspected nor leaving when it was chosen.
    bool candidateWasUsable = true;
    /// When the order that is under way was given.
    std::optional<TimePoint> orderedAt;
    /// When the platform accepted the promotion.
    std::optional<TimePoint> promotedAt;
    /// Processes that the platform refused to promote within kRefusedPromotionRetryInterval, and
    /// when.
    std::map<MemberId, TimePoint> refusedCandidates;
    std::uint32_t attempts = 0;
    /// Since when the primary has reported the replica role.
    std::optional<TimePoint> demotedSince;
    /// Replication progress: highest point that a replica holds, and when it last changed.
    HistoryPoint replicatedPoint;
    TimePoint lastReplicationProgressAt;
    /// Highest log end that a process has reported since the last change.
    HistoryPoint highestPoint;
    /// While fencing without a candidate: the processes that are waited for.
    std::vector<AwaitedProcess> awaited;
    ChangeTimes times;
};

struct ConfirmedInput
{
    GroupState group;
    /// The databases that have announced themselves.
    std::map<UpstreamId, ConfirmedMember> members;
    /// See ChangeInput.
    Term ownReservedTerm;
    bool registryComplete = true;
    /// Every node whose lease may be live has applied a view without a primary.
    bool primaryReleased = false;
    std::uint32_t confirmingReplicas = 0;
};

struct StepDown
{
    UpstreamId upstream;
    Term term;
};
/// Lifts a fence, so that the replica follows the primary again.
struct Resume
{
    UpstreamId upstream;
};
using ConfirmedAction =
    std::variant<QueryStatus, Fence, StepDown, Resume, Promote, Propose, ChangeDone>;

/// Returns why the primary has to be replaced now, or ChangeReason::None. Updates the timers that
/// detect a demoted primary and stalled replication.
ChangeReason confirmedChangeDue(ConfirmedChange &change, const ConfirmedInput &input,
                                TimePoint now);

/// Returns a database that holds every commit that the former primary has acknowledged or may still
/// acknowledge; nullopt while no database is known to. A commit is acknowledged once it is on the
/// primary and on at least `confirmingReplicas` replicas, and a fenced database accepts no further
/// commits. If fewer than `confirmingReplicas` replicas are unfenced, every acknowledged commit is
/// on a fenced replica, and the longest log among the fenced ones holds them all. Otherwise the
/// former primary must be fenced as well, and the candidate's log must reach the end of its log.
/// In both cases the candidate's log is as long as that of each fenced replica, whether or not that
/// replica can be promoted. Commits that only the former primary holds were not acknowledged.
/// Among the databases that qualify, one that is neither suspected nor leaving is preferred, then
/// one whose data centre is not evacuated, then one that is not the former primary. One that was
/// refused lately is not chosen.
/// A recorded process counts as unfenced until it is heard: a later process under its id holds
/// nothing of what it confirmed.
std::optional<UpstreamId> chooseConfirmedCandidate(const ConfirmedChange &change,
                                                   const ConfirmedInput &input);

enum class PromotionOutcome : std::uint8_t {
    Accepted,
    /// The platform refused because the database does not run.
    Refused,
    /// The order was not given, or it is not known whether it has taken effect.
    Unknown
};

/// Records the end of the order that was given with Promote.
void onPromoteAnswer(ConfirmedChange &change, const UpstreamId &upstream, Term epoch,
                     PromotionOutcome outcome, TimePoint now);

/// Advances the change and returns the actions to execute. Call every 50 ms and after each reply.
std::vector<ConfirmedAction> stepConfirmedChange(ConfirmedChange &change,
                                                 const ConfirmedInput &input, TimePoint now);

} // namespace shallotlever
