#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <variant>
#include <vector>

#include "shallotlever/base/random.h"
#include "shallotlever/config/state.h"
#include "shallotlever/fleet/confirmed_change.h"
#include "shallotlever/fleet/distribution.h"
#include "shallotlever/fleet/freshness.h"
#include "shallotlever/fleet/primary_change.h"
#include "shallotlever/fleet/registry.h"
#include "shallotlever/fleet/replication_watch.h"
#include "shallotlever/fleet/voting_set.h"
#include "shallotlever/policy/rate_allocator.h"
#include "shallotlever/policy/slot_allocator.h"

/// What the leader of the control group decides beyond its log: leases, the fleet view, changes of
/// primary and shares. Sans-I/O: the shell calls these functions only while the member holds the
/// leader lease, and carries out the actions.
namespace shallotlever {

/// How often the primary of each group is asked for its status.
constexpr Duration kPrimaryStatusInterval = 500ms;

/// A call to an upstream that the shell makes; the answer comes back through onUpstreamAnswer.
struct UpstreamCall
{
    CallKind kind = CallKind::Status;
    ServiceId service;
    UpstreamId upstream;
    Endpoint endpoint;
    /// For Fence, StepDown and Promote.
    Term term;
};

/// A finished change of primary, for logs and metrics.
struct PrimaryChanged
{
    ServiceId service;
    ChangeDone change;
};

struct ControllerActions
{
    /// To be proposed; the nodes get leases once they are applied.
    std::vector<RecordNode> records;
    std::vector<UpstreamCall> calls;
    std::vector<GroupDecision> proposals;
    std::vector<PrimaryChanged> changes;
    std::vector<StateChange> upstreamStates;
    /// The fleet view was republished; leases are worth sending before the next report.
    bool fleetChanged = false;
};

/// Shares granted to one node, with the grant numbers behind each share version.
struct NodeShares
{
    struct Granted
    {
        std::uint64_t version = 0;
        GrantNumber rate;
        GrantNumber slot;
    };
    Incarnation incarnation;
    ShareSet shares;
    std::deque<Granted> recent;
};

/// What the controller keeps per group beside the committed state.
struct GroupControl
{
    PrimaryChange change;
    /// In place of `change` and `voting` where databases confirm commits themselves.
    ConfirmedChange confirmed;
    VotingSetProgress voting;
    ReplicationWatch replication;
    std::map<UpstreamId, MemberStatus> statuses;
    std::map<UpstreamId, TimePoint> statusAskedAt;
    TimePoint proposedAt;
    /// Version of the fleet view that shows the current term and voting set.
    Term shownTerm;
    std::set<UpstreamId> shownVotingSet;
    std::optional<UpstreamId> shownPrimary;
    FleetVersion shownSince;
    std::optional<TimePoint> viewInForceAt;
    /// Highest term that this controller reserved itself, in its present control term.
    Term ownReservedTerm;
    /// When the decision that put the primary into office was applied; statuses that were asked
    /// before say nothing about it.
    TimePoint primarySince;
};

/// Records of the processes that may hold leases. A new controller so knows when it has heard from
/// each process that may hold a lease of its predecessor, and need not wait for leases to run out.
struct NodeRecords
{
    bool enabled = false;
    /// As committed.
    std::map<NodeId, Incarnation> known;
    /// Processes of the predecessor's time that have neither reported nor been replaced.
    std::map<NodeId, Incarnation> unaccounted;
    /// One of them has reported itself, so that it may have spent tokens until then.
    bool survivors = false;
    /// Waiting to be proposed, and when the last proposal for a node was made.
    std::map<NodeId, RecordNode> due;
    std::map<NodeId, TimePoint> proposedAt;
};

struct ControllerState
{
    ControlTerm controlTerm;
    TimePoint since;
    Random random;
    Registry registry;
    LeaseTable leases;
    std::map<ServiceId, GroupControl> groups;
    ConfigLog configLog;
    FleetLog fleetLog;
    /// View with which it took office. It may be older than that of other nodes, or empty if this
    /// process has just started.
    FleetVersion takenOver;
    RateAllocator rates;
    SlotAllocator slots;
    std::map<NodeId, NodeShares> shares;
    std::uint64_t lastShareVersion = 0;
    LogIndex logIndex;
    NodeRecords records;
    /// A node has reported a fleet view of a predecessor.
    bool viewsReported = false;
    /// State that the published fleet view shows.
    std::uint64_t shownRevision = 0;
    std::optional<LogIndex> shownIndex;
};

/// Takes office. `ownView` is the fleet log of the controller's own node, so that the fleet view
/// continues. Call only once the member holds the leader lease.
/// With `recordNodes`, nodes get leases only once they are recorded in the log.
ControllerState makeController(ControlTerm term, const ReplicatedState &replicated,
                               const FleetLog &ownView, std::uint64_t seed, TimePoint now,
                               bool recordNodes = false);

/// A command was applied to `replicated`.
void onCommandApplied(ControllerState &controller, const ReplicatedState &replicated,
                      const Command &command, const ChangeResult &result, LogIndex index,
                      TimePoint now);

/// A decision that this controller proposed was committed as its own entry and accepted.
void onOwnDecisionAccepted(ControllerState &controller, const GroupDecision &decision);

/// Lease in answer to a report, nested ones included; nullopt for a report that came out of order.
std::optional<NodeLease> onNodeReport(ControllerState &controller, const NodeReport &report,
                                      TimePoint now);

/// Answer to an UpstreamCall.
struct UpstreamAnswer
{
    /// Empty if the call failed, or was answered without a status.
    std::optional<UpstreamStatus> status;
    /// The call was refused for good, in contrast to a failure that may pass.
    bool refused = false;
    /// A promotion was accepted.
    bool accepted = false;
};
void onUpstreamAnswer(ControllerState &controller, const UpstreamCall &call,
                      const UpstreamAnswer &answer, TimePoint askedAt, TimePoint now);

/// Advances everything that depends on time. Call every 50 ms and after each input.
ControllerActions advanceController(ControllerState &controller, const ReplicatedState &replicated,
                                    TimePoint now);

} // namespace shallotlever
