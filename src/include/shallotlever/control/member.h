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

/// Faults that only tests switch on, to show that the tests detect them.
struct ControlFaults
{
    /// Acknowledgements and votes do not wait for durable writes.
    bool ackBeforeSync = false;
    /// Identities are not compared, so a member without its disk votes as its former self.
    bool voteAfterDiskLoss = false;
    /// Elections start without a pre-vote, and followers do not protect a live leader.
    bool noPreVote = false;
    /// A leader holds its lease until it hears of a higher term.
    bool leaseWithoutQuorum = false;
    /// The commit index counts entries of earlier terms by their replicas alone.
    bool commitEarlierTerms = false;
};

struct ControlOptions
{
    NodeId node;
    /// Configured control members, this one included. Three or five.
    std::vector<NodeId> peers;
    std::uint64_t seed = 1;
    /// Entries kept behind a snapshot for members that lag.
    std::uint64_t keptEntries = 1'000;
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

    virtual ~ControlMember() = default;

    /// Call at least every 20 ms.
    virtual void tick(TimePoint now) = 0;
    /// Drops messages that are not addressed to this member's identity.
    virtual void receive(TimePoint now, const ControlMessage &message) = 0;
    /// FailedPrecondition unless leader, InvalidArgument if too large, ResourceExhausted if too
    /// much is waiting to be committed.
    virtual absl::StatusOr<Proposal> propose(TimePoint now, std::string command) = 0;
    /// All writes up to `sequence` are durable.
    virtual void persisted(TimePoint now, std::uint64_t sequence) = 0;
    /// `state` is the application state after the entry at `index`, which was delivered as
    /// committed. The log before it is dropped, except for keptEntries.
    virtual absl::Status compact(LogIndex index, std::string state) = 0;
    /// Gives up leadership to the member that is most up to date. The lease ends at once. Returns
    /// false if not leader or if no other member is up to date yet; call again later.
    virtual bool transferLeadership(TimePoint now) = 0;
    virtual ControlReady takeReady(TimePoint now) = 0;

    virtual ControlRole role() const = 0;
    /// True only while no other member can be leader.
    virtual bool holdsLease(TimePoint now) const = 0;
    /// Leader of the current term, if known.
    virtual std::optional<Member> leader() const = 0;
    virtual Member self() const = 0;
    virtual ControlTerm term() const = 0;
    virtual LogIndex commitIndex() const = 0;
    virtual LogIndex appliedIndex() const = 0;
    virtual LogIndex lastIndex() const = 0;
    virtual LogIndex snapshotIndex() const = 0;
    /// Latest configuration in the log, committed or not. No voters before the group is founded.
    virtual const Membership &membership() const = 0;
};

} // namespace shallotlever
