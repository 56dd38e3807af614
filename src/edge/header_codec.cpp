#include <algorithm>
#include <array>

#include "json_fields.h"
#include "shallotlever/edge/codec.h"

namespace shallotlever {

namespace {

constexpr qsizetype kMaxIdempotencyKeyBytes = 255;
constexpr qulonglong kMaxDeadlineMs = 3600000;

Error headerError(const char *name, const QString &problem)
{
    return malformedRequest(QStringLiteral("%1: %2").arg(QLatin1String(name), problem));
}

/// Returns the value of a header that may occur at most once, or nullopt if it is absent.
Parsed<std::optional<QByteArray>> singleHeader(const HttpHeaders &headers, const char *name)
{
    std::optional<QByteArray> value;
    for (const auto &[key, content] : headers) {
        if (key.compare(name, Qt::CaseInsensitive) != 0)
            continue;
        if (value)
            return headerError(name, QStringLiteral("must occur only once"));
        value = content;
    }
    return value;
}

std::optional<Error> readBearer(const QByteArray &value, CallerContext &context)
{
    constexpr QByteArrayView kScheme = "bearer ";
    if (value.left(kScheme.size()).compare(kScheme, Qt::CaseInsensitive) != 0)
        return headerError("Authorization", QStringLiteral("must be 'Bearer KEY'"));
    context.bearerKey = value.mid(kScheme.size()).trimmed().toStdString();
    return std::nullopt;
}

std::optional<Error> readSession(const QByteArray &value, CallerContext &context)
{
    context.sessionToken = value.toStdString();
    return std::nullopt;
}

std::optional<Error> readIdempotencyKey(const QByteArray &value, CallerContext &context)
{
    const bool printable =
        std::all_of(value.begin(), value.end(), [](char c) { return c >= 0x20 && c < 0x7F; });
    if (value.isEmpty() || value.size() > kMaxIdempotencyKeyBytes || !printable)
        return headerError("Idempotency-Key",
                           QStringLiteral("must have 1 to %1 printable ASCII characters")
                               .arg(kMaxIdempotencyKeyBytes));
    context.idempotencyKey = value.toStdString();
    return std::nullopt;
}

std::optional<Error> readDeadline(const QByteArray &value, CallerContext &context)
{
    const bool digits =
        std::all_of(value.begin(), value.end(), [](char c) { return c >= '0' && c <= '9'; });
    bool valid = false;
    const qulonglong number = value.toULongLong(&valid);
    if (!digits || !valid || number == 0 || number > kMaxDeadlineMs)
        return headerError(
            "Shallotlever-Deadline-Ms",
            QStringLiteral("must be a whole number from 1 to %1").arg(kMaxDeadlineMs));
    context.deadline = std::chrono::milliseconds(number);
    return std::nullopt;
}

struct CallerHeader
{
    const char *name;
    std::optional<Error> (*read)(const QByteArray &, CallerContext &);
};

constexpr std::array kCallerHeaders {
    CallerHeader { "Authorization", readBearer },
    CallerHeader { "Shallotlever-Session", readSession },
    CallerHeader { "Idempotency-Key", readIdempotencyKey },
    CallerHeader { "Shallotlever-Deadline-Ms", readDeadline },
};

} // namespace

Parsed<CallerContext> parseCallerContext(const HttpHeaders &headers, TimePoint receivedAt)
{
    CallerContext context;
    context.receivedAt = receivedAt;
    for (const CallerHeader &header : kCallerHeaders) {
        const auto value = singleHeader(headers, header.name);
        if (const auto *error = std::get_if<Error>(&value))
            return *error;
        const auto &content = std::get<std::optional<QByteArray>>(value);
        if (!content)
            continue;
        if (const std::optional<Error> error = header.read(*content, context))
            return *error;
    }
    return context;
}

} // namespace shallotlever
