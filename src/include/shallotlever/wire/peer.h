#pragma once

#include <cstddef>
#include <cstdint>
#include <string>

#include "shallotlever/base/ids.h"

/// Messages between nodes. All protocols share one envelope; each encodes its own payload.
namespace shallotlever {

enum class MessageType : std::uint8_t {
    /// Replicated log of the control group.
    Control = 1,
    NodeReport = 2,
    NodeLease = 3,
    Forward = 4,
    ForwardReply = 5,
    Hello = 6,
    /// Reply to a report by a control member that is not the controller: the leader's node id as
    /// plain text, or empty if the leader is unknown.
    ControllerHint = 7,
    /// The controller requests an immediate report, because its reply will carry new information
    /// for the node. No payload.
    ReportRequest = 8,
    /// A node requests individual rate-limit tokens for teams from the controller.
    TokenRequest = 9,
    TokenGrant = 10,
    /// A statement for the node that holds the connections to its database, and the answer.
    StatementRequest = 11,
    StatementReply = 12,
    /// Ends a transaction of forwarded statements without a commit. Not answered.
    TransactionEnd = 13,
    /// Asks for log positions of services, or for a sign of life.
    PositionRequest = 14,
    PositionReply = 15,
};
/// One more than the largest MessageType.
inline constexpr auto kMessageTypeCount = static_cast<std::size_t>(MessageType::PositionReply) + 1;

/// Maximum size of the envelope in a frame, in bytes, without the length prefix.
constexpr std::uint32_t kMaxFrameBytes = 4U << 20U;

/// Maximum size of a payload, in bytes: the other fields of the envelope take less than 1 KiB.
constexpr std::size_t kMaxPayloadBytes = kMaxFrameBytes - 1024;

/// One process of a node. A node that restarts is another process under the same id.
struct PeerProcess
{
    NodeId node;
    Incarnation incarnation;
    friend auto operator<=>(const PeerProcess &, const PeerProcess &) = default;
};

struct PeerMessage
{
    MessageType type = MessageType::Control;
    /// Matches a reply to its request; 0 if no reply is expected.
    std::uint64_t requestId = 0;
    NodeId sender;
    Incarnation senderIncarnation;
    /// Incarnation of the process that the message is addressed to; 0 if not yet known.
    Incarnation receiverIncarnation;
    /// FlatBuffers payload of the protocol given by `type`.
    std::string payload;

    PeerProcess senderProcess() const { return { sender, senderIncarnation }; }
};

} // namespace shallotlever
