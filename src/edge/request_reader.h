#pragma once

#include <cstddef>
#include <optional>

#include <QByteArray>

#include "shallotlever/base/errors.h"
#include "shallotlever/edge/codec.h"
#include "shallotlever/edge/listener.h"

namespace shallotlever {

/// Start line and headers of a request.
struct RequestHead
{
    QByteArray method;
    /// As sent: path and query.
    QByteArray target;
    HttpHeaders headers;
    /// The client wants to use the connection again.
    bool keepAlive = true;
    /// The client waits for `100 Continue` before it sends the body.
    bool expectContinue = false;
    bool chunked = false;
    std::size_t contentLength = 0;
};

/// Reads start line and headers up to and including the empty line. Strict, because a lenient
/// reading of lengths and line ends lets two parsers disagree about where a request ends.
Parsed<RequestHead> parseRequestHead(const QByteArray &text);

struct FramedRequest
{
    RequestHead head;
    QByteArray body;
};

/// Cuts a stream of bytes into requests and enforces the limits of size before anything else
/// buffers the bytes. Holds at most one request plus the bytes of one append().
class RequestReader
{
public:
    enum class Status {
        NeedMore,
        /// takeRequest() returns the request.
        Complete,
        /// error() says why. The rest of the stream cannot be interpreted.
        Failed,
    };

    explicit RequestReader(const EdgeLimits &limits);

    void append(const QByteArray &bytes) { m_input += bytes; }
    Status next();
    FramedRequest takeRequest();
    const Error &error() const { return *m_error; }

    /// At least one byte of a request that is not complete has been read.
    bool hasPartialRequest() const;
    /// True once per request whose client waits for `100 Continue`.
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
    /// A line without its end, or nullopt if it is not complete.
    std::optional<QByteArray> takeLine(qsizetype maxBytes);
    bool fail(Error error);
    QByteArray takeBytes(qsizetype count);

    EdgeLimits m_limits;
    Stage m_stage = Stage::Head;
    QByteArray m_input;
    /// Part of the input that is known to hold no end of the head.
    qsizetype m_scannedBytes = 0;
    FramedRequest m_request;
    std::size_t m_remainingBodyBytes = 0;
    std::size_t m_trailerBytes = 0;
    bool m_expectContinue = false;
    std::optional<Error> m_error;
};

} // namespace shallotlever
