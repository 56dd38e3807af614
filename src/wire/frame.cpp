#include "shallotlever/wire/frame.h"

#include <algorithm>

#include "generated/peer_generated.h"
#include "link_compression.h"

namespace shallotlever {

namespace {

constexpr std::size_t kLengthBytes = 4;
/// Consumed bytes are erased from a partly consumed buffer only when there are more of them than
/// this, so that the remaining bytes are not moved for every frame.
constexpr std::size_t kCompactThresholdBytes = 64 * 1024;
/// Set in the length of a frame whose envelope is compressed. No other length has this bit.
constexpr std::uint32_t kCompressedBit = 0x80000000U;
static_assert(kMaxFrameBytes < kCompressedBit);
/// First byte of the payload of a Hello: bits for what the sender can read.
constexpr unsigned kReadsCompressedFrames = 1;

void appendLength(std::string &out, std::uint32_t length)
{
    for (int shift = 24; shift >= 0; shift -= 8)
        out.push_back(static_cast<char>((length >> static_cast<unsigned>(shift)) & 0xFFU));
}

std::uint32_t readLength(const char *bytes)
{
    std::uint32_t length = 0;
    for (std::size_t i = 0; i < kLengthBytes; ++i)
        length = (length << 8U) | static_cast<unsigned char>(bytes[i]);
    return length;
}

absl::StatusOr<PeerMessage> decodeEnvelope(const char *bytes, std::size_t size)
{
    const auto *data = reinterpret_cast<const std::uint8_t *>(bytes);
    flatbuffers::Verifier verifier(data, size);
    if (!wire::VerifyEnvelopeBuffer(verifier))
        return absl::InvalidArgumentError("the frame does not hold a valid envelope");
    const wire::Envelope *envelope = wire::GetEnvelope(data);
    const std::uint8_t type = envelope->type();
    if (type < static_cast<std::uint8_t>(MessageType::Control) || type >= kMessageTypeCount)
        return absl::InvalidArgumentError("the frame has an unknown message type");
    const auto *payload = envelope->payload();
    return PeerMessage { static_cast<MessageType>(type),
                         envelope->request_id(),
                         NodeId(envelope->sender()->str()),
                         Incarnation(envelope->sender_incarnation()),
                         Incarnation(envelope->receiver_incarnation()),
                         std::string(payload->begin(), payload->end()) };
}

} // namespace

std::string helloPayload()
{
    return { static_cast<char>(kReadsCompressedFrames) };
}

bool readsCompressedFrames(std::string_view peerHelloPayload)
{
    return !peerHelloPayload.empty()
        && (static_cast<unsigned char>(peerHelloPayload.front()) & kReadsCompressedFrames) != 0;
}

bool isCompressible(MessageType type)
{
    switch (type) {
    case MessageType::Control:
    case MessageType::NodeReport:
    case MessageType::NodeLease:
    case MessageType::ControllerHint:
    case MessageType::ReportRequest:
    case MessageType::TokenRequest:
    case MessageType::TokenGrant:
        return true;
    case MessageType::Hello:
    case MessageType::Forward:
    case MessageType::ForwardReply:
    case MessageType::StatementRequest:
    case MessageType::StatementReply:
    case MessageType::TransactionEnd:
    case MessageType::PositionRequest:
    case MessageType::PositionReply:
        break;
    }
    return false;
}

absl::StatusOr<std::string> encodeFrame(const PeerMessage &message)
{
    flatbuffers::FlatBufferBuilder builder(message.payload.size() + 256);
    const auto payload = builder.CreateVector(
        reinterpret_cast<const std::uint8_t *>(message.payload.data()), message.payload.size());
    const auto sender = builder.CreateString(message.sender.value());
    builder.Finish(wire::CreateEnvelope(
        builder, static_cast<std::uint8_t>(message.type), message.requestId, sender,
        message.senderIncarnation.value(), message.receiverIncarnation.value(), payload));
    if (builder.GetSize() > kMaxFrameBytes)
        return absl::InvalidArgumentError("the message exceeds the largest frame");
    std::string frame;
    frame.reserve(kLengthBytes + builder.GetSize());
    appendLength(frame, builder.GetSize());
    frame.append(reinterpret_cast<const char *>(builder.GetBufferPointer()), builder.GetSize());
    return frame;
}

FrameWriter::FrameWriter()
    : m_compressor(std::make_unique<LinkCompressor>())
{
}

FrameWriter::~FrameWriter() = default;

absl::StatusOr<std::string> FrameWriter::frame(const PeerMessage &message,
                                               std::uint64_t &bytesSaved)
{
    absl::StatusOr<std::string> plain = encodeFrame(message);
    if (!plain.ok() || !m_compresses || !isCompressible(message.type))
        return plain;
    const absl::StatusOr<std::string> compressed =
        m_compressor->compress(std::string_view(*plain).substr(kLengthBytes));
    // Data that can't be compressed may become too long for the receiver.
    if (!compressed.ok() || compressed->size() > kMaxFrameBytes) {
        // The receiver needs every compressed message, so there can be no later one.
        m_compresses = false;
        return plain;
    }
    std::string frame;
    frame.reserve(kLengthBytes + compressed->size());
    appendLength(frame, static_cast<std::uint32_t>(compressed->size()) | kCompressedBit);
    frame += *compressed;
    bytesSaved += plain->size() - std::min(plain->size(), frame.size());
    return frame;
}

FrameReader::FrameReader()
    : m_decompressor(std::make_unique<LinkDecompressor>())
{
}

FrameReader::~FrameReader() = default;

void FrameReader::feed(std::string_view bytes)
{
    if (m_offset > kCompactThresholdBytes || m_offset == m_buffer.size()) {
        m_buffer.erase(0, m_offset);
        m_offset = 0;
    }
    m_buffer.append(bytes);
}

absl::StatusOr<std::optional<PeerMessage>> FrameReader::next()
{
    const std::size_t available = m_buffer.size() - m_offset;
    if (available < kLengthBytes)
        return std::nullopt;
    const std::uint32_t prefix = readLength(m_buffer.data() + m_offset);
    const std::uint32_t length = prefix & ~kCompressedBit;
    if (length > kMaxFrameBytes)
        return absl::InvalidArgumentError("the frame exceeds the permitted length");
    if (available < kLengthBytes + length)
        return std::nullopt;
    // Copied because FlatBuffers requires an aligned buffer, and a frame may start at any offset of
    // the stream.
    std::string aligned(m_buffer, m_offset + kLengthBytes, length);
    m_offset += kLengthBytes + length;
    if ((prefix & kCompressedBit) != 0) {
        absl::StatusOr<std::string> envelope = m_decompressor->decompress(aligned, kMaxFrameBytes);
        if (!envelope.ok())
            return envelope.status();
        aligned = std::move(*envelope);
    }
    absl::StatusOr<PeerMessage> message = decodeEnvelope(aligned.data(), aligned.size());
    if (!message.ok())
        return message.status();
    return std::optional<PeerMessage>(std::move(*message));
}

} // namespace shallotlever
