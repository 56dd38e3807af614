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

constexpr Duration kControlHeartbeat = 100ms;
constexpr Duration kMinElectionTimeout = 500ms;
constexpr Duration kMaxElectionTimeout = 1000ms;
/// Below kMinElectionTimeout by 100 ms, which tolerates clocks whose rates differ by 20%.
constexpr Duration kLeaderLease = 400ms;
/// Largest proposal; leaves room for the envelope in a frame of 1 MiB.
constexpr std::size_t kMaxProposalBytes = 768U * 1024U;
/// Entry bytes in one AppendRequest and bytes in one SnapshotChunk.
constexpr std::size_t kMaxAppendBytes = 768U * 1024U;

enum class ControlRole : std::uint8_t { Follower, PreCandidate, Candidate, Leader };

/// For log lines.
const char *controlRoleName(ControlRole role);

/// Faults that only tests switch on, to show that the tests detect them.
struct ControlFaults
{
    /// Acknowledgements and votes do not wait for durable writes.
    bool ackBeforeSync = false;
    /// Elections start without a pre-vote, and followers do not protect a live leader.
    bool noPreVote = false;
    /// A leader holds its lease until it hears of a higher term.
    bool leaseWithoutQuorum = false;
};

struct ControlOptions
{
    NodeId node;
    /// Configured control members, this one included. Three or five.
    std::vector<NodeId> peers;
    /// Lost machines that the group bears at the same time. A group that has standbys grows to
    /// twice as many voters and one, but never shrinks below the configured members.
    std::size_t toleratedLosses = 1;
    /// Nodes that are not configured may take the place of a voter that stays silent; this node
    /// may itself be one of them.
    bool acceptsStandbys = false;
    /// False where the group is known to have been founded before.
    bool mayFound = true;
    /// Of election timers. Members with equal seeds still have different timers.
    std::uint64_t seed = 1;
    /// Entries kept behind a snapshot for members that lag.
    std::uint64_t keptEntries = 1'000;
    std::size_t snapshotChunkBytes = kMaxAppendBytes;
    ControlFaults faults;
};

/// Identifies a proposal. It is committed if the entry committed at `index` has this term, and
/// lost if that entry has another one.
struct Proposal
{
    LogIndex index;
    ControlTerm term;
    friend bool operator==(const Proposal &, const Proposal &) = default;
};

/// What the owner has to do after an input.
struct ControlReady
{
    /// Write it, sync it, then call persisted(write.sequence). Nothing to do if empty().
    DurableWrite write;
    /// Send at once. Messages that depend on a write are held back until persisted().
    std::vector<ControlMessage> messages;
    /// Set if the application state must be replaced by the snapshot, before `committed`.
    ControlSnapshotPtr restore;
    /// Apply in order.
    std::vector<LogEntry> committed;

    bool empty() const
    {
        return write.empty() && messages.empty() && !restore && committed.empty();
    }
};

/// One member of the control group: a replicated log with pre-vote, check-quorum, a leader lease,
/// snapshots and automatic repair of members that lost their disk. Sans-I/O and single-threaded.
/// After each input the owner calls takeReady() until it is empty.
class ControlMember
{
public:
    /// Starts from what the data directory holds. `recovered.entries` up to the commit index are
    /// delivered again as committed, after `recovered.snapshot`, which the owner restores itself.
    static absl::StatusOr<std::unique_ptr<ControlMember>>
    create(TimePoint now, ControlOptions options, RecoveredState recovered);

    ~ControlMember();

    /// Call at least every 20 ms.
    void tick(TimePoint now);
    /// Another control member, which is told of this one while no leader is heard.
    void learnPeer(const NodeId &peer);
    /// Drops messages that are not addressed to this member's identity.
    void receive(TimePoint now, const ControlMessage &message);
    /// FailedPrecondition unless leader, InvalidArgument if too large, ResourceExhausted if too
    /// much is waiting to be committed.
    absl::StatusOr<Proposal> propose(TimePoint now, std::string command);
    /// All writes up to `sequence` are durable.
    void persisted(TimePoint now, std::uint64_t sequence);
    /// `state` is the application state after the entry at `index`, which was delivered as
    /// committed. The log before it is dropped, except for keptEntries.
    absl::Status compact(LogIndex index, std::string state);
    /// Gives up leadership to the member that is most up to date. The lease ends at once. Returns
    /// false if not leader or if no other member is up to date yet; call again later.
    bool transferLeadership(TimePoint now);
    ControlReady takeReady(TimePoint now);

    ControlRole role() const;
    /// True only while no other member can be leader.
    bool holdsLease(TimePoint now) const;
    /// Leader of the current term, if known.
    std::optional<Member> leader() const;
    Member self() const;
    ControlTerm term() const;
    LogIndex commitIndex() const;
    LogIndex appliedIndex() const;
    LogIndex lastIndex() const;
    LogIndex snapshotIndex() const;
    /// Latest configuration in the log, committed or not. No voters before the group is founded.
    const Membership &membership() const;
    /// The configuration entry of membership() is committed.
    bool membershipCommitted() const;

private:
    class Impl;
    explicit ControlMember(std::unique_ptr<Impl> impl);
    std::unique_ptr<Impl> m_impl;
};

} // namespace shallotlever
