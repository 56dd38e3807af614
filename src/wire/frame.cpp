#include "shallotlever/wire/frame.h"

#include "generated/peer_generated.h"

namespace shallotlever {

namespace {

constexpr std::size_t kLengthBytes = 4;
/// Consumed bytes are erased from a partly consumed buffer only when there are more of them than
/// this, so that the remaining bytes are not moved for every frame.
constexpr std::size_t kCompactThresholdBytes = 64 * 1024;

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
    const std::uint32_t length = readLength(m_buffer.data() + m_offset);
    if (length > kMaxFrameBytes)
        return absl::InvalidArgumentError("the frame exceeds the permitted length");
    if (available < kLengthBytes + length)
        return std::nullopt;
    // Copied because FlatBuffers requires an aligned buffer, and a frame may start at any offset of
    // the stream.
    const std::string aligned(m_buffer, m_offset + kLengthBytes, length);
    m_offset += kLengthBytes + length;
    absl::StatusOr<PeerMessage> message = decodeEnvelope(aligned.data(), aligned.size());
    if (!message.ok())
        return message.status();
    return std::optional<PeerMessage>(std::move(*message));
}

} // namespace shallotlever
