#include <ostream>

#include <QJsonArray>
#include <QJsonDocument>

#include "commands.h"
#include "connection.h"
#include "text_table.h"

namespace shallotlever {

namespace {

/// Reads TERM:POSITION into the body.
void readPosition(ArgumentReader &arguments, QJsonObject &body)
{
    const auto position = arguments.text("--position");
    if (!position)
        return;
    const QStringList parts = QString::fromStdString(*position).split(QLatin1Char(':'));
    bool termValid = false;
    bool positionValid = false;
    const qint64 term = parts.front().toLongLong(&termValid);
    const qint64 number = parts.back().toLongLong(&positionValid);
    if (parts.size() != 2 || !termValid || !positionValid || term < 0 || number < 0) {
        arguments.fail("--position", "must be TERM:POSITION");
        return;
    }
    body.insert(QStringLiteral("term"), term);
    body.insert(QStringLiteral("position"), number);
}

HttpRequest readRequest(ArgumentReader &arguments)
{
    const std::string mode = arguments.text("--mode").value_or("");
    if (mode != "read" && mode != "write")
        arguments.fail("--mode", "must be read or write");
    QJsonObject body { { QStringLiteral("team"), QString::fromStdString(arguments.id("--team")) },
                       { QStringLiteral("database"),
                         QString::fromStdString(arguments.id("--database")) },
                       { QStringLiteral("mode"), QString::fromStdString(mode) } };
    readPosition(arguments, body);
    HttpRequest request;
    request.method = "POST";
    request.path = "/v1/operator/placement";
    request.body = QJsonDocument(body).toJson(QJsonDocument::Compact);
    request.repeatable = true;
    return request;
}

std::string number(const QJsonObject &object, const char *field, int decimals)
{
    return QString::number(object[QLatin1String(field)].toDouble(), 'f', decimals).toStdString();
}

std::string textOf(const QJsonObject &object, const char *field)
{
    return object[QLatin1String(field)].toString(QStringLiteral("-")).toStdString();
}

std::string candidateTable(const QJsonArray &candidates)
{
    std::vector<std::vector<std::string>> rows;
    for (const QJsonValue &value : candidates) {
        const QJsonObject row = value.toObject();
        rows.push_back({ textOf(row, "upstream"), textOf(row, "role"), textOf(row, "owner"),
                         textOf(row, "left_out"), number(row, "share", 2),
                         number(row, "estimated_outstanding", 1), number(row, "parallel", 1),
                         number(row, "age_ms", 0), number(row, "service_ms", 1),
                         number(row, "reach_ms", 1), number(row, "wait_ms", 1),
                         textOf(row, "position") });
    }
    return formatTable({ "UPSTREAM", "ROLE", "OWNER", "LEFT OUT", "SHARE", "OUTSTANDING", "SLOTS",
                         "AGE MS", "SERVICE MS", "REACH MS", "WAIT MS", "POSITION" },
                       rows);
}

} // namespace

int runExplainRequest(CommandContext &context)
{
    const HttpRequest request = readRequest(context.arguments);
    HttpClientOptions options = readConnection(context.arguments);
    if (reportFaults(context))
        return kExitUsage;
    auto client = connectClient(context, std::move(options));
    if (!client)
        return kExitUsage;
    const absl::StatusOr<HttpReply> reply = sendPatiently(*client, request);
    if (const std::optional<int> status = reportRefusal(context, reply))
        return *status;
    if (printRaw(context, *reply))
        return kExitDone;
    const QJsonObject body = jsonBody(*reply);
    context.out << "node " << textOf(body, "node") << ": ";
    if (body[QLatin1String("admitted")].toBool())
        context.out << "admitted, waits " << number(body, "token_wait_ms", 0) << " ms for its rate";
    else
        context.out << "refused as " << textOf(body, "refusal");
    context.out << "; next one to " << textOf(body, "chosen")
                << (body[QLatin1String("primary_only")].toBool() ? " (primary only)" : "") << "\n"
                << candidateTable(body[QLatin1String("candidates")].toArray());
    return kExitDone;
}

} // namespace shallotlever
