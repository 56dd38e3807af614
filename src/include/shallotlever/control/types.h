#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "shallotlever/base/ids.h"
#include "shallotlever/base/time.h"

/// Data types of the control group's replicated log.
namespace shallotlever {

/// Random number generated when a data directory is created. A member that lost its disk gets a new
/// identity and is never counted as the member it was before. 0 means that there is no identity.
using MemberIdentity = Number<struct MemberIdentityTag>;

struct Member
{
    NodeId node;
    MemberIdentity identity;
    friend auto operator<=>(const Member &, const Member &) = default;
};

/// Voters and learner of the control group. A member uses a new membership as soon as it appends it
/// to its log, before it is committed.
struct Membership
{
    std::vector<Member> voters;
    /// Receives the log but does not vote. Becomes a voter once it has caught up.
    std::optional<Member> learner;
    friend bool operator==(const Membership &, const Membership &) = default;
};

enum class EntryKind : std::uint8_t { Data, NoOp, Membership };

struct LogEntry
{
    LogIndex index;
    ControlTerm term;
    EntryKind kind = EntryKind::Data;
    /// Data: opaque bytes of the application. Membership: output of encodeMembership(). NoOp:
    /// empty.
    std::string data;
    friend bool operator==(const LogEntry &, const LogEntry &) = default;
};

/// Raft hard state. Must be durable before any message that depends on it is sent.
struct HardState
{
    ControlTerm term;
    /// Candidate that received this member's vote in `term`.
    std::optional<Member> votedFor;
    friend bool operator==(const HardState &, const HardState &) = default;
};

struct ControlSnapshot
{
    /// Last entry that the snapshot covers.
    LogIndex index;
    ControlTerm term;
    Membership membership;
    /// Application state after the entry at `index`.
    std::string data;
    friend bool operator==(const ControlSnapshot &, const ControlSnapshot &) = default;
};

using ControlSnapshotPtr = std::shared_ptr<const ControlSnapshot>;

/// Changes to durable state, to be applied in the order of `sequence`.
struct DurableWrite
{
    std::uint64_t sequence = 0;
    std::optional<HardState> hardState;
    ControlSnapshotPtr snapshot;
    /// Set if the snapshot came from the leader. All entries that were stored before this write are
    /// discarded.
    bool resetLog = false;
    /// In index order. Stored entries at or after the index of the first one are discarded.
    std::vector<LogEntry> entries;

    bool empty() const { return !hardState && !snapshot && entries.empty(); }
};

/// Contents of a member's data directory when it starts.
struct RecoveredState
{
    MemberIdentity identity;
    HardState hardState;
    ControlSnapshotPtr snapshot;
    /// Contiguous. The first index is at most snapshot->index + 1, or 1 without a snapshot.
    std::vector<LogEntry> entries;
};

// Messages between members.

/// Sent periodically to all known peers while the member has no leader.
struct HelloMessage
{
    /// The data directory holds no log and no vote, so the member may join in bootstrapping a
    /// group.
    bool fresh = false;
};
struct VoteRequest
{
    /// Asks whether the vote would be granted, without changing any state.
    bool preVote = false;
    /// The leader requested this election (leadership transfer), so voters ignore its lease.
    bool transfer = false;
    LogIndex lastIndex;
    ControlTerm lastTerm;
    /// Echoed in replies, so that replies to earlier requests can be ignored.
    std::uint64_t round = 0;
};
struct VoteReply
{
    bool preVote = false;
    bool granted = false;
    std::uint64_t round = 0;
};
/// Entries, or a heartbeat if there are none.
struct AppendRequest
{
    LogIndex previousIndex;
    ControlTerm previousTerm;
    LogIndex commit;
    /// By the leader's clock. Echoed in the reply, from which the leader computes its lease.
    TimePoint sentAt;
    std::vector<LogEntry> entries;
};
struct AppendReply
{
    bool accepted = false;
    /// If accepted, the last index up to which the log is known to match the leader's. If rejected,
    /// the last index up to which it may match.
    LogIndex match;
    /// previousIndex of the request.
    LogIndex previousIndex;
    TimePoint sentAt;
};
struct SnapshotChunk
{
    LogIndex index;
    ControlTerm snapshotTerm;
    Membership membership;
    std::uint64_t offset = 0;
    std::uint64_t totalBytes = 0;
    TimePoint sentAt;
    std::string data;
};
struct SnapshotReply
{
    LogIndex index;
    /// Next byte expected, or past the end once the member has stored the snapshot durably.
    std::uint64_t offset = 0;
    TimePoint sentAt;
};
/// Asks the receiver to start an election immediately (leadership transfer).
struct TransferRequest
{
};

using ControlBody = std::variant<HelloMessage, VoteRequest, VoteReply, AppendRequest, AppendReply,
                                 SnapshotChunk, SnapshotReply, TransferRequest>;

struct ControlMessage
{
    Member from;
    /// The identity may be 0 (not yet known) only in a HelloMessage.
    Member to;
    /// The sender's term. In pre-vote requests, and in replies that grant them, the term of the
    /// election that would follow.
    ControlTerm term;
    ControlBody body;
};

} // namespace shallotlever
