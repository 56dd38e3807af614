#pragma once

#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "absl/status/statusor.h"
#include "shallotlever/wire/peer.h"

/// Framing of messages between nodes: a 4-byte big-endian length, then a FlatBuffers envelope. If
/// the length's highest bit is set, the envelope is compressed (docs/design/link-compression.md).
namespace shallotlever {

class LinkCompressor;
class LinkDecompressor;

/// Payload of a Hello whose sender reads compressed frames. A process that does not know it ignores
/// it, and sends a Hello without payload.
std::string helloPayload();
/// Whether the process that sent this payload reads compressed frames.
bool readsCompressedFrames(std::string_view peerHelloPayload);
/// Whether messages of this type are compressed for a peer that reads them: those of the control
/// plane that are sent regularly. Messages with callers' statements are not, because the
/// length of a compressed message depends on the contents of those before it. Leases and the
/// control log hold hashes of keys, no keys.
bool isCompressible(MessageType type);

/// Returns one frame, including the length prefix. Fails with INVALID_ARGUMENT if the envelope
/// exceeds kMaxFrameBytes, which no message with a payload of at most kMaxPayloadBytes does.
absl::StatusOr<std::string> encodeFrame(const PeerMessage &message);

/// Makes the frames of one direction of a link. They must be sent in the order in which they were
/// made, and all of them.
class FrameWriter
{
public:
    FrameWriter();
    ~FrameWriter();

    /// Compresses the messages that are compressible from now on.
    void setCompression(bool compresses) { m_compresses = compresses; }

    /// Like encodeFrame(); compresses no more after an error of compression. `bytesSaved` is
    /// increased by what compression saved.
    absl::StatusOr<std::string> frame(const PeerMessage &message, std::uint64_t &bytesSaved);

private:
    std::unique_ptr<LinkCompressor> m_compressor;
    bool m_compresses = false;
};

/// Splits a byte stream into messages. After an error the stream is unusable and the link must be
/// closed.
class FrameReader
{
public:
    FrameReader();
    ~FrameReader();

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
    std::unique_ptr<LinkDecompressor> m_decompressor;
};

} // namespace shallotlever
