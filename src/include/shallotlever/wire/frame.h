#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "absl/status/statusor.h"
#include "shallotlever/wire/peer.h"

/// Framing of messages between nodes: a 4-byte big-endian length, then a FlatBuffers envelope.
namespace shallotlever {

/// One frame, length included. Fails with InvalidArgument if it would exceed kMaxFrameBytes.
absl::StatusOr<std::string> encodeFrame(const PeerMessage &message);

/// Cuts a byte stream into messages. After an error the stream is unusable and the link must be
/// closed.
class FrameReader
{
public:
    /// Appends bytes received from the peer.
    void feed(std::string_view bytes);

    /// The next complete message, nullopt if more bytes are needed, an error for a frame that is
    /// too long or does not verify.
    absl::StatusOr<std::optional<PeerMessage>> next();

private:
    std::string m_buffer;
    std::size_t m_offset = 0;
};

} // namespace shallotlever
