#include <algorithm>

#include <QJsonArray>
#include <QJsonDocument>

#include "shallotlever/edge/codec.h"

namespace shallotlever {

namespace {

constexpr auto kJsonType = "application/json";

QString toQString(const std::string &text)
{
    return QString::fromStdString(text);
}

QLatin1String toLatin1String(std::string_view text)
{
    return QLatin1String(text.data(), static_cast<qsizetype>(text.size()));
}

HttpResponse jsonResponse(int status, const QJsonObject &body)
{
    return { status,
             { { "Content-Type", kJsonType } },
             QJsonDocument(body).toJson(QJsonDocument::Compact) };
}

HttpResponse sessionResponse(QJsonObject body, const std::string &token)
{
    if (!token.empty())
        body.insert(QStringLiteral("session"), toQString(token));
    HttpResponse response = jsonResponse(200, body);
    if (!token.empty())
        response.headers.append({ "Shallotlever-Session", QByteArray::fromStdString(token) });
    return response;
}

QJsonArray encodeRow(const std::vector<SqlParam> &row)
{
    QJsonArray values;
    for (const SqlParam &value : row)
        values.append(value ? QJsonValue(toQString(*value)) : QJsonValue(QJsonValue::Null));
    return values;
}

QJsonObject encodeStatement(const StatementResponse &response, bool openRoute)
{
    QJsonArray columns;
    for (const std::string &column : response.columns)
        columns.append(toQString(column));
    QJsonArray rows;
    for (const std::vector<SqlParam> &row : response.rows)
        rows.append(encodeRow(row));
    QJsonObject body { { QStringLiteral("columns"), columns },
                       { QStringLiteral("rows"), rows },
                       { QStringLiteral("affected_rows"), qint64(response.affectedRows) },
                       { QStringLiteral("replica"), response.replica },
                       { QStringLiteral("upstream"), toQString(response.upstream.value()) },
                       { QStringLiteral("staleness_ms"), qint64(response.staleness.count()) } };
    if (openRoute)
        body.insert(QStringLiteral("degraded"), response.degraded);
    if (response.repeated)
        body.insert(QStringLiteral("repeated"), true);
    return body;
}

std::chrono::milliseconds retryDelay(const Error &error)
{
    return std::max(error.retryAfter.value_or(errorRow(error.kind).retryAfter),
                    std::chrono::milliseconds(0));
}

QJsonObject errorObject(const Error &error)
{
    const ErrorRow &row = errorRow(error.kind);
    return { { QStringLiteral("kind"), toLatin1String(row.name) },
             { QStringLiteral("outcome"), toLatin1String(outcomeName(row.outcome)) },
             { QStringLiteral("message"), toQString(error.message) },
             { QStringLiteral("retry_after_ms"), qint64(retryDelay(error).count()) } };
}

struct ChangeOutcomeRow
{
    std::string_view name;
    std::optional<ErrorKind> refusal;
};

ChangeOutcomeRow changeOutcomeRow(ChangeOutcome outcome)
{
    switch (outcome) {
    case ChangeOutcome::Accepted:
        return { "accepted", std::nullopt };
    case ChangeOutcome::Conflict:
        return { "conflict", ErrorKind::ConfigConflict };
    case ChangeOutcome::Invalid:
        break;
    }
    return { "invalid", ErrorKind::InvalidChange };
}

HttpResponse encodeChangeResponse(const ChangeResponse &response)
{
    const ChangeResult &result = response.result;
    const ChangeOutcomeRow row = changeOutcomeRow(result.outcome);
    QJsonArray outstanding;
    for (const NodeId &node : response.outstanding)
        outstanding.append(toQString(node.value()));
    QJsonObject body { { QStringLiteral("version"), qint64(result.version.value()) },
                       { QStringLiteral("outcome"), toLatin1String(row.name) },
                       { QStringLiteral("in_force"), response.inForce },
                       { QStringLiteral("outstanding"), outstanding } };
    if (!result.winner.empty())
        body.insert(QStringLiteral("winner"), toQString(result.winner.value()));
    if (!row.refusal)
        return jsonResponse(200, body);
    body.insert(QStringLiteral("error"),
                errorObject(Error { *row.refusal, result.message, std::nullopt }));
    return jsonResponse(errorRow(*row.refusal).httpStatus, body);
}

struct ResponseEncoder
{
    bool openRoute;

    HttpResponse operator()(const Error &error) const { return encodeError(error); }
    HttpResponse operator()(const StatementResponse &response) const
    {
        return sessionResponse(encodeStatement(response, openRoute), response.sessionToken);
    }
    HttpResponse operator()(const TransactionResponse &response) const
    {
        return sessionResponse(
            { { QStringLiteral("transaction"), toQString(response.transaction.value()) } },
            response.sessionToken);
    }
    HttpResponse operator()(const AckResponse &response) const
    {
        return sessionResponse({}, response.sessionToken);
    }
    HttpResponse operator()(const ChangeResponse &response) const
    {
        return encodeChangeResponse(response);
    }
    HttpResponse operator()(const JsonResponse &response) const
    {
        return { 200, { { "Content-Type", kJsonType } }, QByteArray::fromStdString(response.json) };
    }
};

} // namespace

HttpResponse encodeError(const Error &error)
{
    HttpResponse response = jsonResponse(errorRow(error.kind).httpStatus,
                                         { { QStringLiteral("error"), errorObject(error) } });
    // The unit of the header is whole seconds; rounding down would suggest a retry that is too
    // early.
    const auto seconds = std::chrono::ceil<std::chrono::seconds>(retryDelay(error)).count();
    if (seconds > 0)
        response.headers.append({ "Retry-After", QByteArray::number(qint64(seconds)) });
    return response;
}

HttpResponse encodeResponse(const EdgeResponse &response, bool openRoute)
{
    return std::visit(ResponseEncoder { openRoute }, response);
}

std::optional<ErrorKind> responseErrorKind(const EdgeResponse &response)
{
    if (const auto *error = std::get_if<Error>(&response))
        return error->kind;
    if (const auto *change = std::get_if<ChangeResponse>(&response))
        return changeOutcomeRow(change->result.outcome).refusal;
    return std::nullopt;
}

} // namespace shallotlever
