#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "absl/status/statusor.h"
#include "shallotlever/wire/peer.h"

/// Framing of messages between nodes: a 4-byte big-endian length, then a FlatBuffers envelope.
namespace shallotlever {

/// Returns one frame, including the length prefix. Fails with INVALID_ARGUMENT if the envelope
/// exceeds kMaxFrameBytes, which no message with a payload of at most kMaxPayloadBytes does.
absl::StatusOr<std::string> encodeFrame(const PeerMessage &message);

/// Splits a byte stream into messages. After an error the stream is unusable and the link must be
/// closed.
class FrameReader
{
public:
    /// Appends bytes received from the peer.
    void feed(std::string_view bytes);

    /// Returns the next complete message, std::nullopt if more bytes are needed, or an error if the
    /// frame is too long or invalid.
    absl::StatusOr<std::optional<PeerMessage>> next();

    /// Whether a part of the next message has been received.
    bool hasPartialMessage() const { return m_offset < m_buffer.size(); }

private:
    std::string m_buffer;
    std::size_t m_offset = 0;
};

} // namespace shallotlever
