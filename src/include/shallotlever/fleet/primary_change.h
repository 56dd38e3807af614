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

/// Change of primary of one group, run by the controller.
namespace shallotlever {

/// Time after which an unanswered call to a database is repeated.
constexpr Duration kCallRetry = 250ms;
/// Time after which an uncommitted proposal is repeated.
constexpr Duration kProposalRetry = 500ms;
/// A promoted candidate that is silent for this long is given up.
constexpr Duration kCandidateTimeout = 1s;
/// After this time a majority without members to avoid is no longer waited for.
constexpr Duration kFenceGrace = 200ms;
/// A planned change waits this long for a replica to catch up.
constexpr Duration kCatchUpTimeout = 2s;
/// A replica that lags by at most this many positions is caught up.
constexpr std::uint64_t kCaughtUpDistance = 8;
/// Pause before another change of the same group, so that a flapping primary causes no storm.
constexpr Duration kChangePause = 1s;

enum class ChangePhase : std::uint8_t {
    Idle,
    /// Planned changes only: waits for a replica to catch up while the primary still writes.
    CatchingUp,
    Reserving,
    Fencing,
    Promoting,
    /// Waits until a majority of the voting set follows the new history up to its start.
    Confirming,
    Publishing,
};

enum class ChangeReason : std::uint8_t {
    None,
    Suspected,
    /// The primary left or was drained.
    Leaving,
    /// The primary reports that it is fenced, or another role or term than it was given.
    Fenced,
    Operator,
    /// The primary answers but replicates to no majority.
    Stalled,
    /// The group has had no primary yet.
    Founding,
    /// A term was reserved but never published, by this or a former controller.
    Unfinished,
};
std::string_view changeReasonName(ChangeReason reason);

/// When each phase of a change began, by the controller's clock.
struct ChangeTimes
{
    /// Last time the primary was known to be in office.
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
    TimePoint phaseSince;
    /// No change starts before.
    TimePoint notBefore;
    /// Last proposal or call, by target; the key of a proposal is empty.
    std::map<UpstreamId, TimePoint> sentAt;
    /// Members fenced at `term`, with their answers.
    std::map<UpstreamId, UpstreamStatus> fenced;
    /// The one member that is promoted at `term`. Another one needs a new term.
    std::optional<UpstreamId> candidate;
    /// Length of the history with which `term` begins.
    LogPosition start;
    /// Members known to follow `term` from `start` on.
    std::set<UpstreamId> followers;
    /// Last answer of the candidate as primary at `term`.
    TimePoint candidateSeen;
    /// Promotion of the candidate failed or was refused.
    bool promotionFailed = false;
    /// Members that failed promotion in this change; avoided where a majority exists without them.
    std::set<UpstreamId> failedCandidates;
    /// Latest statuses while a planned change waits.
    std::map<UpstreamId, UpstreamStatus> statuses;
    std::uint32_t attempts = 0;
    ChangeTimes times;
};

/// What the controller knows about the group at this time.
struct ChangeInput
{
    /// Committed state. The control log must accept ReserveTerm only for a term above
    /// reservedTerm, and SetPrimary only at exactly reservedTerm.
    GroupState group;
    /// State of each announced upstream of the group.
    std::map<UpstreamId, UpstreamState> states;
    /// Latest status of the primary in office, asked after its SetPrimary was applied.
    std::optional<UpstreamStatus> primaryStatus;
    /// When the query for the latest status of the primary was sent; for ChangeTimes only.
    std::optional<TimePoint> primarySeenAt;
    /// Highest term whose ReserveTerm was proposed by this controller in its present control term
    /// and committed at the index it was proposed at. Two controllers may propose the same term;
    /// only the one whose own entry was accepted may use it.
    Term ownReservedTerm;
    /// False while a new controller still waits for renewals; silence then proves nothing.
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
/// The change is complete; for logs and explain.
struct ChangeDone
{
    Term term;
    UpstreamId primary;
    ChangeReason reason = ChangeReason::None;
    ChangeTimes times;
    std::uint32_t attempts = 0;
};
using ChangeAction = std::variant<QueryStatus, Fence, Promote, Propose, ChangeDone>;

/// StepDown and Resume are for groups that confirm commits themselves.
enum class CallKind : std::uint8_t { Status, Fence, Promote, StepDown, Resume };
std::string_view callKindName(CallKind kind);

/// Answer to a call; `status` is empty if the call failed or was refused.
struct CallAnswer
{
    CallKind call = CallKind::Status;
    UpstreamId upstream;
    /// Term given in Fence or Promote.
    Term term;
    std::optional<UpstreamStatus> status;
};

/// Why a change of primary is due now, if it is.
ChangeReason changeDue(const ChangeInput &input);

/// Records an answer. Answers of earlier attempts are ignored.
void onCallAnswer(PrimaryChange &change, const CallAnswer &answer, TimePoint now);

/// Advances the change and returns what to do. Call on each tick (50 ms), after each answer and
/// after each decision committed for the group. A new controller starts with a default-constructed
/// PrimaryChange; an unfinished change of its predecessor is started over with a higher term.
std::vector<ChangeAction> stepPrimaryChange(PrimaryChange &change, const ChangeInput &input,
                                            TimePoint now, Random &random);

/// The member to promote, given answers of a fenced majority; nullopt without a majority.
///
/// `published` is the term of the last primary in office. Acknowledged writes have terms up to it,
/// and a primary is published only when a majority follows its history from its start, so every
/// majority contains a member at `published` or above that holds them all. Members below
/// `published` are therefore left out. Among the others the longest log wins: terms above
/// `published` have no acknowledged writes, and a member that follows one of them may not have
/// reached the start of that term, so a higher term alone proves nothing.
std::optional<UpstreamId> chooseCandidate(const std::map<UpstreamId, UpstreamStatus> &fenced,
                                          const std::set<UpstreamId> &votingSet, Term published,
                                          const std::set<UpstreamId> &avoid);

} // namespace shallotlever
