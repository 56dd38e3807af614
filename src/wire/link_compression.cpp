#include "link_compression.h"

#include <algorithm>
#include <array>

#include <zlib.h>

namespace shallotlever {

namespace {

/// Raw deflate: the link has checksums of its own and the stream never ends.
constexpr int kRawWindowBits = -kCompressionWindowBits;
/// Hash table of 8,192 entries; a larger one gains little for messages of a few KiB.
constexpr int kMemoryLevel = 6;
constexpr std::size_t kChunkBytes = 16U * 1024U;
/// End of every flushed message; not sent.
constexpr std::string_view kFlushMarker("\x00\x00\xff\xff", 4);

void setInput(z_stream &stream, std::string_view bytes)
{
    // zlib doesn't write to its input; its type lacks const unless ZLIB_CONST is defined.
    stream.next_in = reinterpret_cast<Bytef *>(const_cast<char *>(bytes.data()));
    stream.avail_in = static_cast<uInt>(bytes.size());
}

void setOutput(z_stream &stream, std::array<char, kChunkBytes> &chunk)
{
    stream.next_out = reinterpret_cast<Bytef *>(chunk.data());
    stream.avail_out = static_cast<uInt>(chunk.size());
}

} // namespace

struct LinkCompressor::State
{
    z_stream stream {};
    bool ready = deflateInit2(&stream, Z_BEST_SPEED, Z_DEFLATED, kRawWindowBits, kMemoryLevel,
                              Z_DEFAULT_STRATEGY)
        == Z_OK;

    State() = default;
    State(const State &) = delete;
    State &operator=(const State &) = delete;
    ~State() { deflateEnd(&stream); }
};

struct LinkDecompressor::State
{
    z_stream stream {};
    bool ready = inflateInit2(&stream, kRawWindowBits) == Z_OK;

    State() = default;
    State(const State &) = delete;
    State &operator=(const State &) = delete;
    ~State() { inflateEnd(&stream); }
};

LinkCompressor::LinkCompressor() = default;
LinkCompressor::~LinkCompressor() = default;

absl::StatusOr<std::string> LinkCompressor::compress(std::string_view message)
{
    if (!m_state)
        m_state = std::make_unique<State>();
    z_stream &stream = m_state->stream;
    if (!m_state->ready)
        return absl::ResourceExhaustedError("no memory for the compression of a link");
    std::string compressed;
    std::array<char, kChunkBytes> chunk;
    setInput(stream, message);
    do {
        setOutput(stream, chunk);
        const int result = deflate(&stream, Z_SYNC_FLUSH);
        if (result != Z_OK && result != Z_BUF_ERROR)
            return absl::InternalError("a message could not be compressed");
        compressed.append(chunk.data(), chunk.size() - stream.avail_out);
    } while (stream.avail_out == 0);
    if (!compressed.ends_with(kFlushMarker))
        return absl::InternalError("a compressed message lacks its end");
    compressed.resize(compressed.size() - kFlushMarker.size());
    return compressed;
}

LinkDecompressor::LinkDecompressor() = default;
LinkDecompressor::~LinkDecompressor() = default;

absl::StatusOr<std::string> LinkDecompressor::decompress(std::string_view bytes,
                                                         std::size_t maxBytes)
{
    if (!m_state)
        m_state = std::make_unique<State>();
    z_stream &stream = m_state->stream;
    if (!m_state->ready)
        return absl::ResourceExhaustedError("no memory for the compression of a link");
    std::string message;
    std::array<char, kChunkBytes> chunk;
    for (const std::string_view part : { bytes, kFlushMarker }) {
        setInput(stream, part);
        do {
            setOutput(stream, chunk);
            const int result = inflate(&stream, Z_SYNC_FLUSH);
            // Z_BUF_ERROR: all input was processed with the call before. A stream that ends is not
            // one of a link.
            if (result != Z_OK && result != Z_BUF_ERROR)
                return absl::InvalidArgumentError("the bytes are no compressed message");
            message.append(chunk.data(), chunk.size() - stream.avail_out);
            if (message.size() > maxBytes)
                return absl::InvalidArgumentError("a compressed message is too long");
        } while (stream.avail_out == 0);
        if (stream.avail_in > 0)
            return absl::InvalidArgumentError("the bytes are no compressed message");
    }
    return message;
}

} // namespace shallotlever
