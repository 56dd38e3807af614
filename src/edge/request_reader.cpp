#include "request_reader.h"

#include <algorithm>

#include "json_fields.h"

namespace shallotlever {

namespace {

constexpr QByteArrayView kLineEnd = "\r\n";
constexpr QByteArrayView kHeadEnd = "\r\n\r\n";
/// Allows a chunk size of kMaxChunkSizeDigits digits and a short chunk extension.
constexpr qsizetype kMaxChunkLineBytes = 256;
constexpr qsizetype kMaxChunkSizeDigits = 15;

Error tooLarge(const char *part, std::size_t limit)
{
    return Error { ErrorKind::RequestTooLarge,
                   std::string(part) + ": more than " + std::to_string(limit) + " bytes",
                   std::nullopt };
}

/// Position of the first line feed in [from, end) that is not part of a CRLF, or -1.
qsizetype findBareLineFeed(const QByteArray &text, qsizetype from, qsizetype end)
{
    for (qsizetype at = text.indexOf('\n', from); at >= 0 && at < end;
         at = text.indexOf('\n', at + 1)) {
        if (at == 0 || text[at - 1] != '\r')
            return at;
    }
    return -1;
}

} // namespace

RequestReader::RequestReader(const EdgeLimits &limits)
    : m_limits(limits)
{
}

RequestReader::Status RequestReader::next()
{
    while (m_stage != Stage::Done && m_stage != Stage::Failed) {
        if (!processStage())
            break;
    }
    if (m_stage == Stage::Failed)
        return Status::Failed;
    return m_stage == Stage::Done ? Status::Complete : Status::NeedMore;
}

FramedRequest RequestReader::takeRequest()
{
    m_stage = Stage::Head;
    m_scannedBytes = 0;
    m_trailerBytes = 0;
    return std::exchange(m_request, FramedRequest {});
}

bool RequestReader::hasPartialRequest() const
{
    return m_stage != Stage::Done && (m_stage != Stage::Head || !m_input.isEmpty());
}

bool RequestReader::takeExpectContinue()
{
    return std::exchange(m_expectContinue, false);
}

/// Returns false if more input is needed or if the reader is in a final stage.
bool RequestReader::processStage()
{
    switch (m_stage) {
    case Stage::Head:
        return readHead();
    case Stage::FixedBody:
        return readFixedBody();
    case Stage::ChunkSize:
        return readChunkSize();
    case Stage::ChunkData:
        return readChunkData();
    case Stage::ChunkEnd:
        return readChunkEnd();
    case Stage::Trailer:
        return readTrailer();
    case Stage::Done:
    case Stage::Failed:
        break;
    }
    return false;
}

bool RequestReader::readHead()
{
    // Some clients send an additional CRLF after a body.
    while (m_scannedBytes == 0 && m_input.startsWith(kLineEnd))
        m_input.remove(0, kLineEnd.size());
    const auto limit = static_cast<qsizetype>(m_limits.maxHeaderBytes);
    const qsizetype from = std::max<qsizetype>(m_scannedBytes - kHeadEnd.size(), 0);
    const qsizetype end = m_input.indexOf(kHeadEnd, from);
    const qsizetype scanEnd = end >= 0 ? end : m_input.size();
    if (findBareLineFeed(m_input, from, scanEnd) >= 0)
        return fail(malformedRequest(QStringLiteral("header: lines must end with CR LF")));
    const qsizetype headBytes = end >= 0 ? end + kHeadEnd.size() : m_input.size();
    if (headBytes > limit)
        return fail(tooLarge("headers", m_limits.maxHeaderBytes));
    if (end < 0) {
        // A single carriage return may be the start of an empty line before the request.
        m_scannedBytes = m_input == "\r" ? 0 : m_input.size();
        return false;
    }
    Parsed<RequestHead> head = parseRequestHead(takeBytes(headBytes));
    if (const auto *error = std::get_if<Error>(&head))
        return fail(*error);
    m_request.head = std::get<RequestHead>(std::move(head));
    return startBody();
}

bool RequestReader::startBody()
{
    const RequestHead &head = m_request.head;
    if (head.contentLength > m_limits.maxBodyBytes)
        return fail(tooLarge("body", m_limits.maxBodyBytes));
    m_remainingBodyBytes = head.contentLength;
    m_stage = head.chunked ? Stage::ChunkSize : Stage::FixedBody;
    m_expectContinue = head.expectContinue && (head.chunked || m_remainingBodyBytes > 0);
    return true;
}

bool RequestReader::readFixedBody()
{
    const auto count = std::min(m_remainingBodyBytes, static_cast<std::size_t>(m_input.size()));
    m_request.body += takeBytes(static_cast<qsizetype>(count));
    m_remainingBodyBytes -= count;
    if (m_remainingBodyBytes == 0)
        m_stage = Stage::Done;
    return m_remainingBodyBytes == 0;
}

std::optional<QByteArray> RequestReader::takeLine(qsizetype maxBytes)
{
    const qsizetype end = m_input.indexOf(kLineEnd);
    if (end > maxBytes || (end < 0 && m_input.size() > maxBytes)) {
        fail(malformedRequest(QStringLiteral("body: a chunk line is too long")));
        return std::nullopt;
    }
    if (end < 0)
        return std::nullopt;
    const QByteArray line = takeBytes(end);
    m_input.remove(0, kLineEnd.size());
    return line;
}

bool RequestReader::readChunkSize()
{
    const std::optional<QByteArray> line = takeLine(kMaxChunkLineBytes);
    if (!line)
        return false;
    const QByteArray digits = line->split(';').first().trimmed();
    const bool hexadecimal = std::all_of(digits.begin(), digits.end(), [](char c) {
        return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'f') || (c >= 'A' && c <= 'F');
    });
    if (digits.isEmpty() || digits.size() > kMaxChunkSizeDigits || !hexadecimal)
        return fail(malformedRequest(QStringLiteral("body: invalid chunk size")));
    m_remainingBodyBytes = digits.toULongLong(nullptr, 16);
    if (m_remainingBodyBytes + static_cast<std::size_t>(m_request.body.size())
        > m_limits.maxBodyBytes)
        return fail(tooLarge("body", m_limits.maxBodyBytes));
    m_stage = m_remainingBodyBytes == 0 ? Stage::Trailer : Stage::ChunkData;
    return true;
}

bool RequestReader::readChunkData()
{
    const auto count = std::min(m_remainingBodyBytes, static_cast<std::size_t>(m_input.size()));
    m_request.body += takeBytes(static_cast<qsizetype>(count));
    m_remainingBodyBytes -= count;
    if (m_remainingBodyBytes == 0)
        m_stage = Stage::ChunkEnd;
    return m_remainingBodyBytes == 0;
}

bool RequestReader::readChunkEnd()
{
    if (m_input.size() < kLineEnd.size())
        return false;
    if (!m_input.startsWith(kLineEnd))
        return fail(malformedRequest(QStringLiteral("body: a chunk is longer than its size")));
    m_input.remove(0, kLineEnd.size());
    m_stage = Stage::ChunkSize;
    return true;
}

bool RequestReader::readTrailer()
{
    const std::optional<QByteArray> line =
        takeLine(static_cast<qsizetype>(m_limits.maxHeaderBytes - m_trailerBytes));
    if (!line)
        return false;
    // Trailer fields are ignored, but their total size is limited to that of the headers.
    m_trailerBytes = std::min(m_limits.maxHeaderBytes,
                              m_trailerBytes + static_cast<std::size_t>(line->size()) + 2);
    if (line->isEmpty())
        m_stage = Stage::Done;
    return true;
}

bool RequestReader::fail(Error error)
{
    m_error = std::move(error);
    m_stage = Stage::Failed;
    m_input.clear();
    return false;
}

QByteArray RequestReader::takeBytes(qsizetype count)
{
    const QByteArray taken = m_input.left(count);
    m_input.remove(0, count);
    return taken;
}

} // namespace shallotlever
