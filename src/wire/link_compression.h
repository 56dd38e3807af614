#pragma once

#include <memory>
#include <string>
#include <string_view>

#include "absl/status/statusor.h"

/// Compression of one direction of a link. Each message is compressed with reference to those
/// before it, so both ends must process all compressed messages of the link in the same order.
namespace shallotlever {

/// Bytes of earlier messages that a message can refer to, as a power of two: two leases of a node
/// with 70 teams. The state of one direction takes about 100 KiB at the sender and 25 KiB at the
/// receiver, and is allocated with the first message.
constexpr int kCompressionWindowBits = 14;

class LinkCompressor
{
public:
    LinkCompressor();
    ~LinkCompressor();

    /// After an error no message may be compressed for the same receiver.
    absl::StatusOr<std::string> compress(std::string_view message);

private:
    struct State;
    std::unique_ptr<State> m_state;
};

class LinkDecompressor
{
public:
    LinkDecompressor();
    ~LinkDecompressor();

    /// Returns the message, or an error if the bytes are no compressed message of at most
    /// `maxBytes`. After an error the link is unusable.
    absl::StatusOr<std::string> decompress(std::string_view bytes, std::size_t maxBytes);

private:
    struct State;
    std::unique_ptr<State> m_state;
};

} // namespace shallotlever
