#include <algorithm>

#include <QJsonArray>
#include <QJsonDocument>

#include "shallotlever/edge/codec.h"

namespace shallotlever {

namespace {

constexpr auto kJsonType = "application/json";

QString qtText(const std::string &text)
{
    return QString::fromStdString(text);
}

QLatin1String latin(std::string_view text)
{
    return QLatin1String(text.data(), static_cast<qsizetype>(text.size()));
}

HttpAnswer jsonAnswer(int status, const QJsonObject &body)
{
    return { status,
             { { "Content-Type", kJsonType } },
             QJsonDocument(body).toJson(QJsonDocument::Compact) };
}

HttpAnswer withSession(QJsonObject body, const std::string &token)
{
    if (!token.empty())
        body.insert(QStringLiteral("session"), qtText(token));
    HttpAnswer answer = jsonAnswer(200, body);
    if (!token.empty())
        answer.headers.append({ "Shallotlever-Session", QByteArray::fromStdString(token) });
    return answer;
}

QJsonArray encodeRow(const std::vector<SqlParam> &row)
{
    QJsonArray values;
    for (const SqlParam &value : row)
        values.append(value ? QJsonValue(qtText(*value)) : QJsonValue(QJsonValue::Null));
    return values;
}

QJsonObject encodeStatement(const StatementResponse &answer, bool openRoute)
{
    QJsonArray columns;
    for (const std::string &column : answer.columns)
        columns.append(qtText(column));
    QJsonArray rows;
    for (const std::vector<SqlParam> &row : answer.rows)
        rows.append(encodeRow(row));
    QJsonObject body { { QStringLiteral("columns"), columns },
                       { QStringLiteral("rows"), rows },
                       { QStringLiteral("affected_rows"), qint64(answer.affectedRows) },
                       { QStringLiteral("replica"), answer.replica },
                       { QStringLiteral("upstream"), qtText(answer.upstream.value()) },
                       { QStringLiteral("staleness_ms"), qint64(answer.staleness.count()) } };
    if (openRoute)
        body.insert(QStringLiteral("degraded"), answer.degraded);
    if (answer.repeated)
        body.insert(QStringLiteral("repeated"), true);
    return body;
}

std::chrono::milliseconds retryPause(const Error &error)
{
    return std::max(error.retryAfter.value_or(errorRow(error.kind).retryAfter),
                    std::chrono::milliseconds(0));
}

QJsonObject errorObject(const Error &error)
{
    const ErrorRow &row = errorRow(error.kind);
    return { { QStringLiteral("kind"), latin(row.name) },
             { QStringLiteral("outcome"), latin(outcomeName(row.outcome)) },
             { QStringLiteral("message"), qtText(error.message) },
             { QStringLiteral("retry_after_ms"), qint64(retryPause(error).count()) } };
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

HttpAnswer encodeChangeAnswer(const ChangeResponse &answer)
{
    const ChangeResult &result = answer.result;
    const ChangeOutcomeRow row = changeOutcomeRow(result.outcome);
    QJsonArray outstanding;
    for (const NodeId &node : answer.outstanding)
        outstanding.append(qtText(node.value()));
    QJsonObject body { { QStringLiteral("version"), qint64(result.version.value()) },
                       { QStringLiteral("outcome"), latin(row.name) },
                       { QStringLiteral("in_force"), answer.inForce },
                       { QStringLiteral("outstanding"), outstanding } };
    if (!result.winner.empty())
        body.insert(QStringLiteral("winner"), qtText(result.winner.value()));
    if (!row.refusal)
        return jsonAnswer(200, body);
    body.insert(QStringLiteral("error"),
                errorObject(Error { *row.refusal, result.message, std::nullopt }));
    return jsonAnswer(errorRow(*row.refusal).httpStatus, body);
}

struct AnswerEncoder
{
    bool openRoute;

    HttpAnswer operator()(const Error &error) const { return encodeError(error); }
    HttpAnswer operator()(const StatementResponse &answer) const
    {
        return withSession(encodeStatement(answer, openRoute), answer.sessionToken);
    }
    HttpAnswer operator()(const TransactionResponse &answer) const
    {
        return withSession(
            { { QStringLiteral("transaction"), qtText(answer.transaction.value()) } },
            answer.sessionToken);
    }
    HttpAnswer operator()(const AckResponse &answer) const
    {
        return withSession({}, answer.sessionToken);
    }
    HttpAnswer operator()(const ChangeResponse &answer) const { return encodeChangeAnswer(answer); }
    HttpAnswer operator()(const JsonResponse &answer) const
    {
        return { 200, { { "Content-Type", kJsonType } }, QByteArray::fromStdString(answer.json) };
    }
};

} // namespace

HttpAnswer encodeError(const Error &error)
{
    HttpAnswer answer = jsonAnswer(errorRow(error.kind).httpStatus,
                                   { { QStringLiteral("error"), errorObject(error) } });
    // The header counts whole seconds; rounding down would advise a repeat that comes too early.
    const auto seconds = std::chrono::ceil<std::chrono::seconds>(retryPause(error)).count();
    if (seconds > 0)
        answer.headers.append({ "Retry-After", QByteArray::number(qint64(seconds)) });
    return answer;
}

HttpAnswer encodeAnswer(const EdgeResponse &answer, bool openRoute)
{
    return std::visit(AnswerEncoder { openRoute }, answer);
}

std::optional<ErrorKind> refusalOf(const EdgeResponse &answer)
{
    if (const auto *error = std::get_if<Error>(&answer))
        return error->kind;
    if (const auto *change = std::get_if<ChangeResponse>(&answer))
        return changeOutcomeRow(change->result.outcome).refusal;
    return std::nullopt;
}

} // namespace shallotlever
