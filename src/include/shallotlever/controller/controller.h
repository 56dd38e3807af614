#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <variant>
#include <vector>

#include "shallotlever/base/random.h"
#include "shallotlever/config/state.h"
#include "shallotlever/controller/pool_ownership.h"
#include "shallotlever/fleet/confirmed_change.h"
#include "shallotlever/fleet/distribution.h"
#include "shallotlever/fleet/freshness.h"
#include "shallotlever/fleet/group_members.h"
#include "shallotlever/fleet/primary_change.h"
#include "shallotlever/fleet/registry.h"
#include "shallotlever/fleet/replication_watch.h"
#include "shallotlever/fleet/voting_set.h"
#include "shallotlever/policy/rate_allocator.h"
#include "shallotlever/policy/slot_allocator.h"

/// Decisions of the controller, which is the leader of the control group: node leases, the fleet
/// view, primary changes and shares. Performs no I/O itself. The caller calls these functions only
/// while its member holds the leader lease, and carries out the returned actions.
namespace shallotlever {

/// Interval of the status queries to the primary of each group.
constexpr Duration kPrimaryStatusInterval = 500ms;

/// A call to an upstream that the caller must make. The answer is passed to onUpstreamAnswer().
struct UpstreamCall
{
    CallKind kind = CallKind::Status;
    ServiceId service;
    UpstreamId upstream;
    /// Process to which the call is addressed.
    Incarnation incarnation;
    Endpoint endpoint;
    /// Used by Fence, StepDown and Promote only.
    Term term;
};

/// A completed primary change, for logs and metrics.
struct CompletedPrimaryChange
{
    ServiceId service;
    ChangeDone change;
};

struct ControllerActions
{
    /// Node records to propose. The nodes get leases once the records are applied.
    std::vector<RecordNode> records;
    std::vector<UpstreamCall> calls;
    std::vector<GroupDecision> proposals;
    std::vector<CompletedPrimaryChange> changes;
    std::vector<StateChange> upstreamStates;
    std::vector<RegistryEvent> registryEvents;
    /// The fleet view was republished, so leases should be sent without waiting for reports.
    bool fleetChanged = false;
};

/// Shares granted to one node, with the grant numbers of each recent share version.
struct NodeShares
{
    struct GrantNumbers
    {
        std::uint64_t version = 0;
        GrantNumber rate;
        GrantNumber slot;
    };
    Incarnation incarnation;
    ShareSet shares;
    std::deque<GrantNumbers> recentGrants;
};

/// Time within which a node confirms an update, unless the update was lost. A report that does not
/// confirm it yet is not answered with the same update again, because several reports may be on
/// their way and a full state is large; updates and leases arrive in order.
constexpr Duration kUpdateConfirmationTimeout = 500ms;

/// The last update sent to a node that it had not confirmed by then.
struct SentUpdate
{
    Incarnation incarnation;
    ConfigVersion config;
    FleetVersion fleet;
    TimePoint sentAt;
};

/// Controller state of one group that is not part of the committed state.
struct GroupControl
{
    PrimaryChange change;
    /// Used instead of `change` and `voting` for groups whose databases confirm commits themselves.
    ConfirmedChange confirmed;
    MemberProgress memberProgress;
    VotingSetProgress voting;
    ReplicationWatch replication;
    std::map<UpstreamId, MemberStatus> statuses;
    std::map<UpstreamId, TimePoint> statusAskedAt;
    TimePoint proposedAt;
    /// Term, voting set, primary and kind of change in the published fleet view, and the first
    /// version of the view that contains them.
    Term publishedTerm;
    std::set<UpstreamId> publishedVotingSet;
    std::optional<UpstreamId> publishedPrimary;
    bool publishedSwitchover = false;
    FleetVersion publishedVersion;
    /// Since when every node that holds a lease has applied publishedVersion or a later one.
    std::optional<TimePoint> viewInForceAt;
    /// Highest term that this controller has reserved in its own control term.
    Term ownReservedTerm;
    /// When the decision that set the primary was applied. Answers to status queries sent earlier
    /// are ignored.
    TimePoint primarySince;
};

/// Records of the node processes that may hold leases. They let a new controller find out when it
/// has heard from every process that may hold a lease of its predecessor, so that it need not wait
/// for those leases to expire.
struct NodeRecords
{
    bool enabled = false;
    /// Processes recorded in the committed state.
    std::map<NodeId, Incarnation> committed;
    /// Processes recorded under a predecessor that have neither reported nor been replaced.
    std::map<NodeId, Incarnation> unaccountedProcesses;
    /// At least one of those processes reported itself, so it may have spent tokens until then.
    bool recordedProcessReported = false;
    /// Latest start of a process that replaced one of those; the replaced ones have spent no tokens
    /// since.
    TimePoint lastReplacementStart = TimePoint::min();
    /// Processes were recorded when this controller was elected.
    bool anyRecorded = false;
    /// Records that will be proposed next.
    std::map<NodeId, RecordNode> pendingProposals;
    /// Time of the last proposal for each node.
    std::map<NodeId, TimePoint> proposedAt;
};

/// The last request for the fleet view of a node (NodeLease::wantsFleetView).
struct ViewRequest
{
    FleetVersion version;
    TimePoint sentAt;
};

struct ControllerState
{
    ControlTerm controlTerm;
    TimePoint electedAt;
    Random random;
    Registry registry;
    LeaseTable leases;
    std::map<ServiceId, GroupControl> groups;
    ConfigLog configLog;
    FleetLog fleetLog;
    /// Version of the fleet view that the controller continues from: the local one when it was
    /// elected, or a newer one that a node reported since. It may be older than the views of other
    /// nodes, or empty if this process has just started.
    FleetVersion inheritedFleetVersion;
    ViewRequest viewRequest;
    RateAllocator rates;
    SlotAllocator slots;
    std::map<NodeId, NodeShares> shares;
    std::uint64_t lastShareVersion = 0;
    std::map<NodeId, SentUpdate> sentUpdates;
    LogIndex logIndex;
    NodeRecords records;
    /// A node has reported a fleet view that a predecessor published.
    bool predecessorViewReported = false;
    /// Registry revision and log index from which the published fleet view was built.
    std::uint64_t publishedRevision = 0;
    std::optional<LogIndex> publishedIndex;
    PoolOwnership poolOwnership;
    /// Revision of poolOwnership from which the published owners were selected; nullopt while the
    /// inherited ones are kept.
    std::optional<std::uint64_t> publishedOwnership;
};

/// Creates the state of a newly elected controller. Call only once the member holds the leader
/// lease. `localFleetLog` is the fleet log of the controller's own node, from which the fleet view
/// continues. With `recordNodes`, nodes get leases only once they are recorded in the log.
ControllerState makeController(ControlTerm term, const ReplicatedState &replicated,
                               const FleetLog &localFleetLog, std::uint64_t seed, TimePoint now,
                               bool recordNodes = false);

/// Handles a command that was applied to `replicated`.
void onCommandApplied(ControllerState &controller, const ReplicatedState &replicated,
                      const Command &command, const ChangeResult &result, LogIndex index,
                      TimePoint now);

/// Handles a decision that was committed in the entry that this controller proposed, and accepted.
void onOwnDecisionAccepted(ControllerState &controller, const GroupDecision &decision);

/// Returns the lease that answers a report and the reports nested in it, or nullopt if no lease is
/// granted for it, for example because the report arrived out of order.
std::optional<NodeLease> onNodeReport(ControllerState &controller, const NodeReport &report,
                                      TimePoint now);

/// Whether the report can be answered with a lease once the record of its process is committed.
bool awaitsRecord(const NodeRecords &records, const NodeReport &report);

/// Answer to an UpstreamCall.
struct UpstreamAnswer
{
    /// Empty if the call failed or was answered without a status.
    std::optional<UpstreamStatus> status;
    /// The call was permanently refused, as opposed to a failure that may be transient.
    bool refused = false;
    /// The upstream accepted a promotion.
    bool accepted = false;
};
void onUpstreamAnswer(ControllerState &controller, const UpstreamCall &call,
                      const UpstreamAnswer &answer, TimePoint askedAt, TimePoint now);

/// Advances all state that depends on time. Call every 50 ms and after each input.
ControllerActions advanceController(ControllerState &controller, const ReplicatedState &replicated,
                                    TimePoint now);

} // namespace shallotlever
