#pragma once

#include <cstdint>
#include <string>

#include "shallotlever/base/ids.h"

/// Messages between nodes. Each protocol encodes its own payload; the envelope is the same.
namespace shallotlever {

enum class MessageType : std::uint8_t {
    /// Replicated log of the control group.
    Control = 1,
    NodeReport = 2,
    NodeLease = 3,
    Forward = 4,
    ForwardReply = 5,
    Hello = 6,
    /// A control member that is not the controller answers a report with the leader's node id, as
    /// plain text; empty if it knows none.
    ControllerHint = 7,
    /// The controller asks for a report now, because its answer brings something new. No payload.
    ReportRequest = 8,
    /// A node asks the controller for single tokens of teams.
    TokenRequest = 9,
    TokenGrant = 10,
};
/// One more than the largest MessageType.
inline constexpr auto kMessageTypes = static_cast<std::size_t>(MessageType::TokenGrant) + 1;

/// Largest frame on a peer link, in bytes.
constexpr std::uint32_t kMaxFrameBytes = 1U << 20U;

struct PeerMessage
{
    MessageType type = MessageType::Control;
    /// Pairs an answer with its request; 0 if none is expected.
    std::uint64_t requestId = 0;
    NodeId sender;
    Incarnation senderIncarnation;
    /// Incarnation the message is meant for; 0 if not yet known.
    Incarnation receiverIncarnation;
    /// FlatBuffers payload of the protocol given by `type`.
    std::string payload;
};

} // namespace shallotlever
