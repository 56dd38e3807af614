#pragma once

#include <cstddef>
#include <optional>

#include <QByteArray>

#include "shallotlever/base/errors.h"
#include "shallotlever/edge/codec.h"
#include "shallotlever/edge/listener.h"

namespace shallotlever {

/// Request line and headers of a request.
struct RequestHead
{
    QByteArray method;
    /// Path and query as sent by the client, without decoding.
    QByteArray target;
    HttpHeaders headers;
    /// The client requested a persistent connection.
    bool keepAlive = true;
    /// The client waits for `100 Continue` before sending the body.
    bool expectContinue = false;
    bool chunked = false;
    std::size_t contentLength = 0;
};

/// Parses the request line and the headers, including the empty line that ends them. The parser is
/// strict to prevent request smuggling: with lenient parsing of lengths and line ends, two parsers
/// may disagree about where a request ends.
Parsed<RequestHead> parseRequestHead(const QByteArray &text);

struct FramedRequest
{
    RequestHead head;
    QByteArray body;
};

/// Incremental parser that splits a byte stream into requests. Enforces the size limits before any
/// other component buffers the bytes. Buffers at most one request and the bytes of one append().
class RequestReader
{
public:
    enum class Status {
        NeedMore,
        /// takeRequest() returns the request.
        Complete,
        /// error() returns the reason. The rest of the stream cannot be parsed.
        Failed,
    };

    explicit RequestReader(const EdgeLimits &limits);

    void append(const QByteArray &bytes) { m_input += bytes; }
    /// Memory of the request that is being received.
    std::size_t heldBytes() const
    {
        return static_cast<std::size_t>(m_input.capacity() + m_request.body.capacity());
    }
    Status next();
    FramedRequest takeRequest();
    const Error &error() const { return *m_error; }

    /// Returns whether at least one byte of an incomplete request has been read.
    bool hasPartialRequest() const;
    /// Returns true once per request whose client waits for `100 Continue`.
    bool takeExpectContinue();

private:
    enum class Stage { Head, FixedBody, ChunkSize, ChunkData, ChunkEnd, Trailer, Done, Failed };

    bool processStage();
    bool readHead();
    bool startBody();
    bool readFixedBody();
    bool readChunkSize();
    bool readChunkData();
    bool readChunkEnd();
    bool readTrailer();
    /// Removes a line from the input and returns it without its CRLF. Returns nullopt if the line
    /// is incomplete, or after failing if it is longer than `maxBytes`.
    std::optional<QByteArray> takeLine(qsizetype maxBytes);
    bool fail(Error error);
    QByteArray takeBytes(qsizetype count);

    EdgeLimits m_limits;
    Stage m_stage = Stage::Head;
    QByteArray m_input;
    /// Length of the input prefix in which no end of the head was found.
    qsizetype m_scannedBytes = 0;
    FramedRequest m_request;
    std::size_t m_remainingBodyBytes = 0;
    std::size_t m_trailerBytes = 0;
    bool m_expectContinue = false;
    std::optional<Error> m_error;
};

} // namespace shallotlever
