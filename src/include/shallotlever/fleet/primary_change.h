#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include "shallotlever/base/random.h"
#include "shallotlever/types/config.h"
#include "shallotlever/types/fleet.h"

/// Failover and planned change of the primary of one group, run by the controller.
namespace shallotlever {

/// Time after which an unanswered call to a database is repeated.
constexpr Duration kCallRetryInterval = 250ms;
/// Time after which an uncommitted proposal is repeated.
constexpr Duration kProposalRetryInterval = 500ms;
/// A candidate is abandoned when it has not answered as primary for this long.
constexpr Duration kCandidateTimeout = 1s;
/// Time to wait for further members to be fenced, which may yield a better candidate; after it the
/// best candidate so far is promoted.
constexpr Duration kFenceGrace = 200ms;
/// A planned change waits this long for a replica to catch up.
constexpr Duration kCatchUpTimeout = 2s;
/// A replica counts as caught up when it lags by at most this many log positions.
constexpr std::uint64_t kMaxCaughtUpLag = 8;
/// Minimum time between two changes of a group, so that a flapping primary does not cause a storm
/// of changes.
constexpr Duration kChangeCooldown = 1s;

enum class ChangePhase : std::uint8_t {
    Idle,
    /// Planned changes only: waits for a replica to catch up while the primary still writes.
    CatchingUp,
    Reserving,
    Fencing,
    Promoting,
    /// Waits until a majority of the voting set follows the new term and holds the history up to
    /// its start.
    Confirming,
    Publishing,
};

enum class ChangeReason : std::uint8_t {
    None,
    Suspected,
    /// The primary announced that it is leaving, or was drained.
    Leaving,
    /// The primary reports that it is fenced, or a role or term other than assigned.
    Fenced,
    Operator,
    /// The primary responds but no longer replicates to a majority.
    Stalled,
    /// The group has never had a primary.
    Founding,
    /// This or a previous controller reserved a term but never published a primary for it.
    Unfinished,
    /// A later process runs under the id of the primary.
    Restarted,
};
std::string_view changeReasonName(ChangeReason reason);

/// Times of the steps of a change, by the controller's clock.
struct ChangeTimes
{
    /// Last time the former primary was known to serve as primary.
    TimePoint lastSeen;
    TimePoint detected;
    TimePoint reserved;
    TimePoint fenced;
    TimePoint promoted;
    TimePoint confirmed;
    TimePoint published;
};

struct PrimaryChange
{
    ServiceId service;
    ChangePhase phase = ChangePhase::Idle;
    ChangeReason reason = ChangeReason::None;
    /// Term of this attempt.
    Term term;
    TimePoint phaseStartedAt;
    /// Earliest time at which the next change may start.
    TimePoint notBefore;
    /// Earliest time of the next call to each member; the empty id stands for proposals.
    std::map<UpstreamId, TimePoint> nextCallAt;
    /// Members fenced at `term`, with their replies.
    std::map<UpstreamId, UpstreamStatus> fenced;
    /// The only member that may be promoted at `term`; another candidate requires a new term.
    std::optional<UpstreamId> candidate;
    /// Log position at which `term` begins.
    LogPosition termStart;
    /// Members known to follow `term` and to hold the history up to `termStart`.
    std::set<UpstreamId> followers;
    /// Last reply of the candidate as primary at `term`.
    TimePoint candidateLastSeen;
    /// The promote call to the candidate failed or was refused.
    bool promotionFailed = false;
    /// Members whose promotion failed during this change; avoided if there is a majority without
    /// them.
    std::set<UpstreamId> failedCandidates;
    /// Latest statuses received while a planned change waits for a replica to catch up.
    std::map<UpstreamId, UpstreamStatus> statuses;
    std::uint32_t attempts = 0;
    ChangeTimes times;
};

/// The controller's current knowledge of the group.
struct ChangeInput
{
    /// Committed state. The control log must accept ReserveTerm only for a term above
    /// reservedTerm, and SetPrimary only at exactly reservedTerm.
    GroupState group;
    /// State of each announced upstream of the group.
    std::map<UpstreamId, UpstreamState> states;
    /// Latest status of the current primary, queried after its SetPrimary was applied.
    std::optional<UpstreamStatus> primaryStatus;
    /// When the query for the latest status of the primary was sent; for ChangeTimes only.
    std::optional<TimePoint> primarySeenAt;
    /// Highest term whose ReserveTerm this controller proposed in its current control term and that
    /// was committed at the log index of that proposal. Two controllers may propose the same term;
    /// only the one whose own entry was committed may use it.
    Term ownReservedTerm;
    /// False while a new controller still waits for announcements to be renewed; until then a
    /// missing announcement does not indicate a failure.
    bool registryComplete = true;
    bool operatorRequest = false;
    /// See replication_watch.h.
    bool replicationStalled = false;
};

struct QueryStatus
{
    UpstreamId upstream;
};
struct Fence
{
    UpstreamId upstream;
    Term term;
};
struct Promote
{
    UpstreamId upstream;
    Term term;
};
struct Propose
{
    GroupDecision decision;
};
/// Reports a completed change, for logs and the explain command.
struct ChangeDone
{
    Term term;
    UpstreamId primary;
    ChangeReason reason = ChangeReason::None;
    ChangeTimes times;
    std::uint32_t attempts = 0;
};
using ChangeAction = std::variant<QueryStatus, Fence, Promote, Propose, ChangeDone>;

/// StepDown and Resume are used only for groups that confirm commits themselves.
enum class CallKind : std::uint8_t { Status, Fence, Promote, StepDown, Resume };
std::string_view callKindName(CallKind kind);

/// Reply to a call; `status` is empty if the call failed or was refused.
struct CallAnswer
{
    CallKind call = CallKind::Status;
    UpstreamId upstream;
    /// Term passed to Fence or Promote.
    Term term;
    std::optional<UpstreamStatus> status;
};

/// Returns why the primary has to be replaced now, or ChangeReason::None.
ChangeReason changeDue(const ChangeInput &input);

/// Records a reply. Replies to fence and promote calls of earlier attempts are ignored.
void onCallAnswer(PrimaryChange &change, const CallAnswer &answer, TimePoint now);

/// Advances the change and returns the actions to execute. Call on each tick (50 ms), after each
/// reply and after each decision committed for the group. A new controller starts with a
/// default-constructed PrimaryChange and restarts an unfinished change of the previous controller
/// with a higher term.
std::vector<ChangeAction> stepPrimaryChange(PrimaryChange &change, const ChangeInput &input,
                                            TimePoint now, Random &random);

/// Returns the member to promote, given the replies of the fenced members; nullopt if they are not
/// a majority.
///
/// `published` is the term of the last published primary. Acknowledged writes have terms up to it,
/// and a primary is published only when a majority follows its history from its start, so every
/// majority contains a member at `published` or above that holds them all. Members below
/// `published` are therefore excluded. Among the others the longest log wins: terms above
/// `published` have no acknowledged writes, and a member that follows one of them may not have
/// reached the start of that term, so a higher term alone does not show that it holds all
/// acknowledged writes.
std::optional<UpstreamId> chooseCandidate(const std::map<UpstreamId, UpstreamStatus> &fenced,
                                          const std::set<UpstreamId> &votingSet, Term published,
                                          const std::set<UpstreamId> &avoid);

} // namespace shallotlever
