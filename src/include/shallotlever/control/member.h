#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <absl/status/status.h>
#include <absl/status/statusor.h>

#include "shallotlever/base/random.h"
#include "shallotlever/control/types.h"

namespace shallotlever {

constexpr Duration kControlHeartbeatInterval = 100ms;
constexpr Duration kMinElectionTimeout = 500ms;
constexpr Duration kMaxElectionTimeout = 1000ms;
/// A candidate repeats its request to members that have not granted it, about as often as a request
/// and its reply take between regions.
constexpr Duration kVoteRequestInterval = 50ms;
/// Time that a member leaves to another one that it has promised its vote in a pre-vote. Covers two
/// round trips between regions and the writes between them.
constexpr Duration kPreVoteHold = 200ms;
/// Shorter than kMinElectionTimeout by 100 ms, so that the lease ends before an election can start
/// even if the rates of two clocks differ by 20%.
constexpr Duration kLeaderLeaseDuration = 400ms;
/// Maximum size of a proposal. Leaves space for the envelope in a frame of 1 MiB.
constexpr std::size_t kMaxProposalBytes = 768U * 1024U;
/// Maximum bytes of entries in one AppendRequest, and of data in one SnapshotChunk.
constexpr std::size_t kMaxAppendBytes = 768U * 1024U;

enum class ControlRole : std::uint8_t { Follower, PreCandidate, Candidate, Leader };

/// Name of the role in log lines.
const char *controlRoleName(ControlRole role);

/// Faults that tests inject to show that they detect violations of the protocol.
struct ControlFaults
{
    /// Acknowledgements and votes are sent before the writes they depend on are durable.
    bool ackBeforeSync = false;
    /// Elections start without a pre-vote, and followers vote even while they hear a leader.
    bool noPreVote = false;
    /// A leader keeps its lease until it receives a higher term, without replies of a quorum.
    bool leaseWithoutQuorum = false;
};

struct ControlOptions
{
    NodeId node;
    /// Configured control members, three or five, including this node. With acceptsStandbys: the
    /// seeds, any number, which need not include this node.
    std::vector<NodeId> peers;
    /// Number of simultaneous machine failures that the group tolerates. A group with standbys
    /// grows to 2 * toleratedLosses + 1 voters, but never below the number of configured members.
    std::size_t toleratedLosses = 1;
    /// Nodes that are not configured as members (standbys) may replace an unresponsive voter. This
    /// node may be a standby itself.
    bool acceptsStandbys = false;
    /// Whether this member may bootstrap a new group. False if the group is known to exist already.
    bool mayBootstrap = true;
    /// Seed of the random election timeouts. It is combined with the node id, so that members with
    /// equal seeds have different timeouts.
    std::uint64_t seed = 1;
    /// Entries retained before the snapshot index, so that members that lag need no snapshot.
    std::uint64_t retainedEntries = 1'000;
    std::size_t snapshotChunkBytes = kMaxAppendBytes;
    ControlFaults faults;
};

/// Identifies a proposal. The proposal is committed if the entry committed at `index` has this
/// term, and lost if that entry has another term.
struct Proposal
{
    LogIndex index;
    ControlTerm term;
    friend bool operator==(const Proposal &, const Proposal &) = default;
};

/// Work that the owner must carry out after an input.
struct ControlReady
{
    /// Write and sync this, then call persisted(write.sequence). Skip it if it is empty().
    DurableWrite write;
    /// Send these immediately. Messages that depend on a write are not included until persisted()
    /// was called for that write.
    std::vector<ControlMessage> messages;
    /// If set, replace the application state by this snapshot before applying `committed`.
    ControlSnapshotPtr restore;
    /// Committed entries, to be applied in order.
    std::vector<LogEntry> committed;

    bool empty() const
    {
        return write.empty() && messages.empty() && !restore && committed.empty();
    }
};

/// One member of the control group: a Raft log with pre-vote, check-quorum, a leader lease,
/// snapshots and automatic repair of members that lost their disk. Performs no I/O itself and is
/// single-threaded. After each input the owner calls takeReady() until the result is empty.
class ControlMember
{
public:
    /// Starts from the contents of the data directory. The owner must restore `recovered.snapshot`
    /// itself. `recovered.entries` up to the commit index are delivered again as committed.
    static absl::StatusOr<std::unique_ptr<ControlMember>>
    create(TimePoint now, ControlOptions options, RecoveredState recovered);

    ~ControlMember();

    /// Advances timers. Call at least every 20 ms.
    void tick(TimePoint now);
    /// Adds a control member that is not configured to the peers that receive hello messages from
    /// this member while it has no leader.
    void addDiscoveredPeer(const NodeId &peer);
    /// Drops messages that are not addressed to this member's identity.
    void receive(TimePoint now, const ControlMessage &message);
    /// FailedPrecondition unless leader, InvalidArgument if too large, ResourceExhausted if too
    /// much is waiting to be committed.
    absl::StatusOr<Proposal> propose(TimePoint now, std::string command);
    /// Reports that all writes up to `sequence` are durable.
    void persisted(TimePoint now, std::uint64_t sequence);
    /// Replaces the log up to `index` by a snapshot, except for the last retainedEntries. `state`
    /// is the application state after the entry at `index`, which was delivered as committed.
    absl::Status compact(LogIndex index, std::string state);
    /// Transfers leadership to a voter whose log is up to date. The lease ends immediately. Returns
    /// false if this member is not the leader, or if no other voter is up to date yet; the caller
    /// may then try again later.
    bool transferLeadership(TimePoint now);
    ControlReady takeReady(TimePoint now);

    ControlRole role() const;
    /// True only while no other member can be leader.
    bool holdsLease(TimePoint now) const;
    /// Time until the lease ends unless it is renewed, kLeaderLeaseDuration at most; zero without
    /// one.
    Duration leaseLeft(TimePoint now) const;
    /// Leader of the current term, if known.
    std::optional<Member> leader() const;
    Member self() const;
    ControlTerm term() const;
    LogIndex commitIndex() const;
    LogIndex appliedIndex() const;
    LogIndex lastIndex() const;
    LogIndex snapshotIndex() const;
    /// Latest configuration in the log, committed or not. Has no voters before the group is
    /// bootstrapped.
    const Membership &membership() const;
    /// Whether the entry that holds membership() is committed.
    bool membershipCommitted() const;

private:
    class Impl;
    explicit ControlMember(std::unique_ptr<Impl> impl);
    std::unique_ptr<Impl> m_impl;
};

} // namespace shallotlever
