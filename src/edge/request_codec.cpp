#include <cmath>
#include <limits>

#include <QHostAddress>
#include <QJsonArray>
#include <QJsonDocument>
#include <QVariant>

#include <fmt/format.h>

#include "json_fields.h"
#include "shallotlever/edge/codec.h"

namespace shallotlever {

namespace {

AccessMode readMode(FieldReader &fields)
{
    const std::string mode = fields.text("mode");
    if (mode != "read" && mode != "write")
        fields.fail(QStringLiteral("mode"), QStringLiteral("must be read or write"));
    return mode == "write" ? AccessMode::Write : AccessMode::Read;
}

/// Converts a number to PostgreSQL text format; returns nullopt if it would lose digits.
std::optional<std::string> toPostgresText(const QJsonValue &value)
{
    const QVariant variant = value.toVariant();
    if (variant.typeId() == QMetaType::LongLong)
        return std::to_string(variant.toLongLong());
    // Qt stores integers beyond 64 bits as a double, which would silently change digits.
    constexpr auto kIntegerLimit = static_cast<double>(std::numeric_limits<qint64>::max());
    const double number = value.toDouble();
    if (!std::isfinite(number) || std::abs(number) >= kIntegerLimit)
        return std::nullopt;
    return fmt::format("{}", number);
}

/// The outer optional is empty if the value is not permitted; the inner one is empty for SQL NULL.
std::optional<SqlParam> readParam(const QJsonValue &value)
{
    std::optional<std::string> text;
    if (value.isNull())
        return SqlParam();
    if (value.isBool())
        text = value.toBool() ? "true" : "false";
    else if (value.isDouble())
        text = toPostgresText(value);
    else if (value.isString())
        text = toValidUtf8(value.toString());
    if (!text)
        return std::nullopt;
    return SqlParam(std::move(text));
}

std::vector<SqlParam> readParams(FieldReader &fields)
{
    std::vector<SqlParam> params;
    for (const QJsonValue &value : fields.optionalArray("params")) {
        std::optional<SqlParam> param = readParam(value);
        if (!param) {
            fields.fail(QStringLiteral("params[%1]").arg(params.size()),
                        QStringLiteral("must be null, a boolean, a number of at most 64 bits, or a "
                                       "string without U+0000"));
            break;
        }
        params.push_back(std::move(*param));
    }
    return params;
}

StatementRequest readStatement(FieldReader &fields, const ServiceId &service)
{
    StatementRequest request;
    request.service = service;
    request.sql = fields.text("sql");
    if (request.sql.empty())
        fields.fail(QStringLiteral("sql"), QStringLiteral("must not be empty"));
    request.params = readParams(fields);
    request.mode = readMode(fields);
    if (fields.has("max_staleness_ms"))
        request.maxStaleness = fields.milliseconds("max_staleness_ms");
    request.transaction = fields.optionalId<TransactionId>("transaction");
    return request;
}

UpstreamRole readUpstreamRole(FieldReader &fields)
{
    const std::string role = fields.text("role");
    if (role != "primary" && role != "replica")
        fields.fail(QStringLiteral("role"), QStringLiteral("must be primary or replica"));
    return role == "primary" ? UpstreamRole::Primary : UpstreamRole::Replica;
}

Endpoint readEndpoint(FieldReader &fields)
{
    Endpoint endpoint { fields.text("host"),
                        static_cast<std::uint16_t>(fields.unsignedInteger("port", UINT16_MAX)) };
    if (QHostAddress address; !address.setAddress(QString::fromStdString(endpoint.host)))
        fields.fail(QStringLiteral("host"), QStringLiteral("must be an IP number"));
    if (endpoint.port == 0)
        fields.fail(QStringLiteral("port"), QStringLiteral("must not be 0"));
    return endpoint;
}

Announcement readAnnouncement(FieldReader &fields)
{
    constexpr std::uint64_t kMaxCount = 100000;
    Announcement result;
    result.service = fields.id<ServiceId>("service");
    if (fields.id<ServiceId>("group") != result.service)
        fields.fail(QStringLiteral("group"), QStringLiteral("must be equal to service"));
    result.upstream = fields.id<UpstreamId>("upstream");
    result.dataCentre = fields.id<DataCentreId>("data_centre");
    result.endpoint = readEndpoint(fields);
    result.slots = static_cast<std::uint32_t>(fields.unsignedInteger("slots", kMaxCount));
    result.connectionLimit =
        static_cast<std::uint32_t>(fields.unsignedInteger("connection_limit", kMaxCount));
    result.role = readUpstreamRole(fields);
    result.point.term = Term(fields.unsignedInteger("term", UINT64_MAX));
    result.point.position = LogPosition(fields.unsignedInteger("position", UINT64_MAX));
    result.leaving = fields.boolean("leaving", false);
    return result;
}

ExplainPlacementRequest readPlacementQuestion(FieldReader &fields)
{
    ExplainPlacementRequest request;
    request.team = fields.id<TeamId>("team");
    request.database = fields.id<DatabaseName>("database");
    request.mode = readMode(fields);
    if (fields.has("term") || fields.has("position"))
        request.position = { Term(fields.unsignedInteger("term", UINT64_MAX)),
                             LogPosition(fields.unsignedInteger("position", UINT64_MAX)) };
    return request;
}

/// Returns the decoded segments of the path after "/v1/", or an empty list if the path is invalid.
std::vector<std::string> pathSegments(QByteArrayView path)
{
    constexpr QByteArrayView kPrefix = "/v1/";
    std::vector<std::string> segments;
    if (!path.startsWith(kPrefix))
        return segments;
    const QByteArray rest = path.sliced(kPrefix.size()).toByteArray();
    // Decoded after splitting, so that an encoded slash remains part of an id.
    for (const QByteArray &part : rest.split('/')) {
        const QByteArray decoded = QByteArray::fromPercentEncoding(part);
        if (decoded.isEmpty() || decoded.size() > static_cast<qsizetype>(kMaxIdBytes)
            || decoded.contains('\0') || !QUtf8StringView(decoded).isValidUtf8())
            return {};
        segments.push_back(decoded.toStdString());
    }
    return segments;
}

Error unknownPathError()
{
    return Error { ErrorKind::UnknownRoute, "there is no such path", std::nullopt };
}

/// Parses the body as a JSON object and reads it with `read`. Fields that are not read are errors.
template <typename Read>
Parsed<EdgeRequest> parseBody(const QByteArray &body, Read read)
{
    QJsonParseError parseError;
    const QJsonDocument document = QJsonDocument::fromJson(body, &parseError);
    if (parseError.error != QJsonParseError::NoError)
        return malformedRequest(QStringLiteral("body: is not valid JSON at byte %1: %2")
                                    .arg(parseError.offset)
                                    .arg(parseError.errorString()));
    if (!document.isObject())
        return malformedRequest(QStringLiteral("body: must be a JSON object"));
    FieldReader fields(document.object());
    EdgeRequest request = read(fields);
    if (const std::optional<Error> error = fields.firstError())
        return *error;
    return request;
}

/// Like parseBody, but accepts an empty body as an empty object.
template <typename Read>
Parsed<EdgeRequest> parseOptionalBody(const QByteArray &body, Read read)
{
    return parseBody(body.isEmpty() ? QByteArray("{}") : body, read);
}

Parsed<EdgeRequest> parseServiceRequest(const std::vector<std::string> &path,
                                        const QByteArray &body)
{
    const ServiceId service(path[1]);
    if (path.size() == 3 && path[2] == "statements")
        return parseBody(body, [&](FieldReader &f) { return readStatement(f, service); });
    if (path.size() == 3 && path[2] == "transactions")
        return parseBody(body, [&](FieldReader &f) {
            return BeginRequest { service, readMode(f) };
        });
    if (path.size() != 5 || path[2] != "transactions")
        return unknownPathError();
    const TransactionId transaction(path[3]);
    if (path[4] == "commit")
        return parseOptionalBody(body, [&](FieldReader &) {
            return CommitRequest { service, transaction };
        });
    if (path[4] == "rollback")
        return parseOptionalBody(body, [&](FieldReader &) {
            return RollbackRequest { service, transaction };
        });
    return unknownPathError();
}

Parsed<EdgeRequest> parseChangeBody(const QByteArray &body)
{
    const QJsonDocument document = QJsonDocument::fromJson(body);
    // parseBody reports errors of the JSON syntax.
    if (!document.isObject())
        return parseBody(body, [](FieldReader &) { return ChangeRequest {}; });
    Parsed<ChangeRequest> parsed = parseChangeRequest(document.object());
    if (const auto *error = std::get_if<Error>(&parsed))
        return *error;
    return EdgeRequest(std::get<ChangeRequest>(std::move(parsed)));
}

Parsed<EdgeRequest> parseOperatorRequest(const std::string &action, const QByteArray &body)
{
    if (action == "changes")
        return parseChangeBody(body);
    if (action == "status")
        return EdgeRequest(StatusRequest {});
    if (action == "explain")
        return EdgeRequest(ExplainRequest {});
    if (action == "placement")
        return parseBody(body, readPlacementQuestion);
    if (action == "drain")
        return parseOptionalBody(body, [](FieldReader &f) {
            return DrainRequest { f.optionalId<UpstreamId>("upstream"),
                                  f.boolean("cancel", false) };
        });
    return unknownPathError();
}

Parsed<EdgeRequest> parseByPath(const std::vector<std::string> &path, const QByteArray &body)
{
    if (path.size() >= 3 && path[0] == "services")
        return parseServiceRequest(path, body);
    if (path.size() == 2 && path[0] == "open")
        return EdgeRequest(OpenRouteRequest { RouteId(path[1]) });
    if (path.size() == 1 && path[0] == "announcements")
        return parseBody(body,
                         [](FieldReader &f) { return AnnounceRequest { readAnnouncement(f) }; });
    if (path.size() == 2 && path[0] == "operator")
        return parseOperatorRequest(path[1], body);
    return unknownPathError();
}

bool isGetPath(const std::vector<std::string> &path)
{
    const bool document = path.size() == 2 && (path[1] == "status" || path[1] == "explain");
    return path[0] == "open" || (path[0] == "operator" && document);
}

} // namespace

Parsed<EdgeRequest> parseRequest(QByteArrayView method, QByteArrayView path, const QByteArray &body)
{
    const std::vector<std::string> segments = pathSegments(path);
    if (segments.empty())
        return unknownPathError();
    Parsed<EdgeRequest> parsed = parseByPath(segments, body);
    const auto *error = std::get_if<Error>(&parsed);
    const bool unknown = error != nullptr && error->kind == ErrorKind::UnknownRoute;
    const QByteArrayView expected = isGetPath(segments) ? QByteArrayView("GET") : "POST";
    if (!unknown && method != expected)
        return malformedRequest(
            QStringLiteral("method: must be %1 for this path").arg(QLatin1String(expected)));
    return parsed;
}

Parsed<AnnounceRequest> parseAnnounceRequest(const QJsonObject &body)
{
    FieldReader fields(body);
    AnnounceRequest request { readAnnouncement(fields) };
    if (const std::optional<Error> error = fields.firstError())
        return *error;
    return request;
}

QJsonObject encodeAnnouncement(const Announcement &announcement)
{
    const auto text = [](const auto &id) { return QString::fromStdString(id.value()); };
    const bool primary = announcement.role == UpstreamRole::Primary;
    return { { QStringLiteral("service"), text(announcement.service) },
             { QStringLiteral("group"), text(announcement.service) },
             { QStringLiteral("upstream"), text(announcement.upstream) },
             { QStringLiteral("data_centre"), text(announcement.dataCentre) },
             { QStringLiteral("host"), QString::fromStdString(announcement.endpoint.host) },
             { QStringLiteral("port"), announcement.endpoint.port },
             { QStringLiteral("slots"), qint64(announcement.slots) },
             { QStringLiteral("connection_limit"), qint64(announcement.connectionLimit) },
             { QStringLiteral("role"), QLatin1String(primary ? "primary" : "replica") },
             { QStringLiteral("term"), qint64(announcement.point.term.value()) },
             { QStringLiteral("position"), qint64(announcement.point.position.value()) },
             { QStringLiteral("leaving"), announcement.leaving } };
}

} // namespace shallotlever
