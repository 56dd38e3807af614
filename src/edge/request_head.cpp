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

bool isControlChar(char c)
{
    return (static_cast<unsigned char>(c) < 0x20U && c != '\t') || c == 0x7F;
}

std::optional<Error> parseRequestLine(const QByteArray &line, RequestHead &head)
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

std::optional<Error> parseHeaderLine(const QByteArray &line, RequestHead &head)
{
    const qsizetype colon = line.indexOf(':');
    const QByteArray name = line.left(std::max<qsizetype>(colon, 0));
    if (!isToken(name))
        return malformedRequest(QStringLiteral("header: must be NAME: VALUE"));
    const QByteArray value = line.mid(colon + 1).trimmed();
    if (std::any_of(value.begin(), value.end(), isControlChar))
        return malformedRequest(
            QStringLiteral("%1: has a control character").arg(QString::fromLatin1(name)));
    head.headers.append({ name, value });
    return std::nullopt;
}

bool equalsIgnoreCase(const QByteArray &name, QByteArrayView expected)
{
    return name.compare(expected, Qt::CaseInsensitive) == 0;
}

std::optional<Error> parseContentLength(const QByteArray &value, RequestHead &head)
{
    constexpr qsizetype kMaxDigits = std::numeric_limits<std::uint64_t>::digits10;
    const bool allDigits =
        std::all_of(value.begin(), value.end(), [](char c) { return c >= '0' && c <= '9'; });
    if (!allDigits || value.isEmpty() || value.size() > kMaxDigits)
        return malformedRequest(QStringLiteral("Content-Length: must be a whole number"));
    head.contentLength = value.toULongLong();
    return std::nullopt;
}

void parseConnectionOptions(const QByteArray &value, RequestHead &head)
{
    for (const QByteArray &option : value.split(',')) {
        if (equalsIgnoreCase(option.trimmed(), "close"))
            head.keepAlive = false;
        else if (equalsIgnoreCase(option.trimmed(), "keep-alive"))
            head.keepAlive = true;
    }
}

struct FramingHeaderCounts
{
    int hostCount = 0;
    int contentLengthCount = 0;
    int transferEncodingCount = 0;
};

std::optional<Error> parseFramingHeader(const QByteArray &name, const QByteArray &value,
                                        RequestHead &head, FramingHeaderCounts &counts)
{
    if (equalsIgnoreCase(name, "Host"))
        ++counts.hostCount;
    if (equalsIgnoreCase(name, "Connection"))
        parseConnectionOptions(value, head);
    if (equalsIgnoreCase(name, "Expect")) {
        if (!equalsIgnoreCase(value, "100-continue"))
            return malformedRequest(QStringLiteral("Expect: must be 100-continue"));
        head.expectContinue = true;
    }
    if (equalsIgnoreCase(name, "Transfer-Encoding")) {
        ++counts.transferEncodingCount;
        head.chunked = true;
        if (!equalsIgnoreCase(value, "chunked"))
            return malformedRequest(QStringLiteral("Transfer-Encoding: must be chunked"));
    }
    if (equalsIgnoreCase(name, "Content-Length")) {
        ++counts.contentLengthCount;
        return parseContentLength(value, head);
    }
    return std::nullopt;
}

std::optional<Error> parseFraming(RequestHead &head, bool http11)
{
    FramingHeaderCounts counts;
    for (const auto &[name, value] : head.headers) {
        if (const std::optional<Error> error = parseFramingHeader(name, value, head, counts))
            return error;
    }
    if (counts.hostCount > 1 || (http11 && counts.hostCount == 0))
        return malformedRequest(QStringLiteral("Host: must occur once"));
    if (counts.contentLengthCount + counts.transferEncodingCount > 1
        || (!http11 && counts.transferEncodingCount > 0))
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
            start == 0 ? parseRequestLine(line, head) : parseHeaderLine(line, head);
        if (error)
            return *error;
    }
    // Up to here keepAlive only depends on the version, because the Connection header is not
    // parsed yet.
    const bool http11 = head.keepAlive;
    if (const std::optional<Error> error = parseFraming(head, http11))
        return *error;
    return head;
}

} // namespace shallotlever
