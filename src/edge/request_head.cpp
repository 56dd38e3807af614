#include <algorithm>
#include <limits>

#include "json_fields.h"
#include "request_reader.h"

namespace shallotlever {

namespace {

constexpr QByteArrayView kTokenSymbols = "!#$%&'*+-.^_`|~";

bool isTokenChar(char c)
{
    return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z')
        || kTokenSymbols.contains(c);
}

bool isToken(const QByteArray &text)
{
    return !text.isEmpty() && std::all_of(text.begin(), text.end(), isTokenChar);
}

bool isTargetChar(char c)
{
    return c > 0x20 && c < 0x7F;
}

bool isControl(char c)
{
    return (static_cast<unsigned char>(c) < 0x20U && c != '\t') || c == 0x7F;
}

std::optional<Error> readStartLine(const QByteArray &line, RequestHead &head)
{
    const QList<QByteArray> parts = line.split(' ');
    if (parts.size() != 3 || !isToken(parts[0]))
        return malformedRequest(QStringLiteral("request line: must be METHOD PATH HTTP/1.1"));
    if (!parts[1].startsWith('/') || !std::all_of(parts[1].begin(), parts[1].end(), isTargetChar))
        return malformedRequest(QStringLiteral("request line: the path must begin with a slash"));
    if (parts[2] != "HTTP/1.1" && parts[2] != "HTTP/1.0")
        return malformedRequest(QStringLiteral("request line: the version must be HTTP/1.1"));
    head.method = parts[0];
    head.target = parts[1];
    head.keepAlive = parts[2] == "HTTP/1.1";
    return std::nullopt;
}

std::optional<Error> readHeaderLine(const QByteArray &line, RequestHead &head)
{
    const qsizetype colon = line.indexOf(':');
    const QByteArray name = line.left(std::max<qsizetype>(colon, 0));
    if (!isToken(name))
        return malformedRequest(QStringLiteral("header: must be NAME: VALUE"));
    const QByteArray value = line.mid(colon + 1).trimmed();
    if (std::any_of(value.begin(), value.end(), isControl))
        return malformedRequest(
            QStringLiteral("%1: has a control character").arg(QString::fromLatin1(name)));
    head.headers.append({ name, value });
    return std::nullopt;
}

bool isNamed(const QByteArray &name, QByteArrayView expected)
{
    return name.compare(expected, Qt::CaseInsensitive) == 0;
}

std::optional<Error> readContentLength(const QByteArray &value, RequestHead &head)
{
    constexpr qsizetype kMaxDigits = std::numeric_limits<std::uint64_t>::digits10;
    const bool digits =
        std::all_of(value.begin(), value.end(), [](char c) { return c >= '0' && c <= '9'; });
    if (!digits || value.isEmpty() || value.size() > kMaxDigits)
        return malformedRequest(QStringLiteral("Content-Length: must be a whole number"));
    head.contentLength = value.toULongLong();
    return std::nullopt;
}

void readConnection(const QByteArray &value, RequestHead &head)
{
    for (const QByteArray &option : value.split(',')) {
        if (isNamed(option.trimmed(), "close"))
            head.keepAlive = false;
        else if (isNamed(option.trimmed(), "keep-alive"))
            head.keepAlive = true;
    }
}

struct FramingHeaders
{
    int hosts = 0;
    int lengths = 0;
    int encodings = 0;
};

std::optional<Error> readFramingHeader(const QByteArray &name, const QByteArray &value,
                                       RequestHead &head, FramingHeaders &seen)
{
    if (isNamed(name, "Host"))
        ++seen.hosts;
    if (isNamed(name, "Connection"))
        readConnection(value, head);
    if (isNamed(name, "Expect")) {
        if (!isNamed(value, "100-continue"))
            return malformedRequest(QStringLiteral("Expect: must be 100-continue"));
        head.expectContinue = true;
    }
    if (isNamed(name, "Transfer-Encoding")) {
        ++seen.encodings;
        head.chunked = true;
        if (!isNamed(value, "chunked"))
            return malformedRequest(QStringLiteral("Transfer-Encoding: must be chunked"));
    }
    if (isNamed(name, "Content-Length")) {
        ++seen.lengths;
        return readContentLength(value, head);
    }
    return std::nullopt;
}

std::optional<Error> readFraming(RequestHead &head, bool http11)
{
    FramingHeaders seen;
    for (const auto &[name, value] : head.headers) {
        if (const std::optional<Error> error = readFramingHeader(name, value, head, seen))
            return error;
    }
    if (seen.hosts > 1 || (http11 && seen.hosts == 0))
        return malformedRequest(QStringLiteral("Host: must occur once"));
    if (seen.lengths + seen.encodings > 1 || (!http11 && seen.encodings > 0))
        return malformedRequest(
            QStringLiteral("Content-Length: must occur once, and not with Transfer-Encoding"));
    return std::nullopt;
}

} // namespace

Parsed<RequestHead> parseRequestHead(const QByteArray &text)
{
    RequestHead head;
    qsizetype start = 0;
    for (qsizetype end = 0; (end = text.indexOf("\r\n", start)) > start; start = end + 2) {
        const QByteArray line = text.mid(start, end - start);
        const std::optional<Error> error =
            start == 0 ? readStartLine(line, head) : readHeaderLine(line, head);
        if (error)
            return *error;
    }
    // Until here keepAlive only tells the version.
    const bool http11 = head.keepAlive;
    if (const std::optional<Error> error = readFraming(head, http11))
        return *error;
    return head;
}

} // namespace shallotlever
