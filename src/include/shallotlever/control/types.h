#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "shallotlever/base/ids.h"
#include "shallotlever/base/time.h"

/// Plain structs of the control group's replicated log.
namespace shallotlever {

/// Random number made with a data directory. A member that lost its disk has a new one and is
/// never counted as its former self. 0 is no identity.
using MemberIdentity = Number<struct MemberIdentityTag>;

struct Member
{
    NodeId node;
    MemberIdentity identity;
    friend auto operator<=>(const Member &, const Member &) = default;
};

/// Configuration of the control group. Takes effect as soon as it is appended to a log.
struct Membership
{
    std::vector<Member> voters;
    /// Receives the log but does not vote; becomes a voter once it has caught up.
    std::optional<Member> learner;
    friend bool operator==(const Membership &, const Membership &) = default;
};

enum class EntryKind : std::uint8_t { Data, NoOp, Membership };

struct LogEntry
{
    LogIndex index;
    ControlTerm term;
    EntryKind kind = EntryKind::Data;
    /// Data: bytes of the application. Membership: encodeMembership. NoOp: empty.
    std::string data;
    friend bool operator==(const LogEntry &, const LogEntry &) = default;
};

/// Must be durable before a message that depends on it is sent.
struct HardState
{
    ControlTerm term;
    /// Vote given in `term`.
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
    /// The snapshot came from the leader: all entries in the log before this write are discarded.
    bool resetLog = false;
    /// In index order. The first one discards every stored entry at or after its index.
    std::vector<LogEntry> entries;

    bool empty() const { return !hardState && !snapshot && entries.empty(); }
};

/// What a member's data directory holds when it starts.
struct RecoveredState
{
    MemberIdentity identity;
    HardState hardState;
    ControlSnapshotPtr snapshot;
    /// Contiguous; the first one is at or before snapshot->index + 1 (1 without a snapshot).
    std::vector<LogEntry> entries;
};

// Messages between members.

/// Sent to all configured peers while no leader is heard.
struct HelloMessage
{
    /// The data directory holds no log and no vote, so the member may found a new group.
    bool fresh = false;
};
struct VoteRequest
{
    /// Asks whether a vote would be given, without changing any state.
    bool preVote = false;
    /// The leader asked for the election (leadership transfer); its lease does not count.
    bool transfer = false;
    LogIndex lastIndex;
    ControlTerm lastTerm;
    /// Pairs replies with the round of requests.
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
    /// The leader's clock; echoed for its lease.
    TimePoint sentAt;
    std::vector<LogEntry> entries;
};
struct AppendReply
{
    bool accepted = false;
    /// Accepted: last index known to be equal to the leader's log. Refused: last index that may be.
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
    /// Next byte expected.
    std::uint64_t offset = 0;
    TimePoint sentAt;
};
/// The receiver starts an election at once.
struct TransferRequest
{
};

using ControlBody = std::variant<HelloMessage, VoteRequest, VoteReply, AppendRequest, AppendReply,
                                 SnapshotChunk, SnapshotReply, TransferRequest>;

struct ControlMessage
{
    Member from;
    /// The identity may be 0 (not yet known) in HelloMessage only.
    Member to;
    /// Sender's term; for pre-vote requests and replies the term that is asked for.
    ControlTerm term;
    ControlBody body;
};

} // namespace shallotlever
