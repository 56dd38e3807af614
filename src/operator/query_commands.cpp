#include <ostream>

#include <QDateTime>
#include <QJsonArray>
#include <QJsonDocument>

#include "commands.h"
#include "connection.h"
#include "text_table.h"

namespace shallotlever {

namespace {

constexpr std::uint64_t kMaxDecisions = 1'000'000;
constexpr std::uint64_t kAllDecisions = kMaxDecisions;

struct Column
{
    const char *title;
    const char *field;
};

std::string tableOf(const QJsonArray &objects, const std::vector<Column> &columns)
{
    std::vector<std::string> header;
    for (const Column &column : columns)
        header.emplace_back(column.title);
    std::vector<std::vector<std::string>> rows;
    for (const QJsonValue &object : objects) {
        std::vector<std::string> &row = rows.emplace_back();
        for (const Column &column : columns)
            row.push_back(cellText(object.toObject(), column.field));
    }
    return formatTable(header, rows);
}

/// Sends a request that needs no further arguments, or returns the exit status.
std::variant<HttpReply, int> ask(CommandContext &context, const HttpRequest &request)
{
    HttpClientOptions options = readConnection(context.arguments);
    if (reportFaults(context))
        return kExitUsage;
    auto client = connectClient(context, std::move(options));
    if (!client)
        return kExitUsage;
    const absl::StatusOr<HttpReply> reply =
        request.repeatable ? sendPatiently(*client, request) : client->send(request);
    if (const std::optional<int> status = reportRefusal(context, reply))
        return *status;
    return *reply;
}

std::variant<HttpReply, int> askFor(CommandContext &context, const char *path)
{
    HttpRequest request;
    request.path = path;
    return ask(context, request);
}

void printArray(const CommandContext &context, const QJsonArray &objects,
                const std::vector<Column> &columns)
{
    if (context.arguments.isSet("--json"))
        context.out << QJsonDocument(objects).toJson(QJsonDocument::Compact).toStdString() << "\n";
    else
        context.out << tableOf(objects, columns);
}

int listConfigured(CommandContext &context, const char *field, const std::vector<Column> &columns)
{
    const auto status = askFor(context, "/v1/operator/status");
    if (const int *exitStatus = std::get_if<int>(&status))
        return *exitStatus;
    const QJsonObject configuration =
        jsonBody(std::get<HttpReply>(status)).value(QLatin1String("configuration")).toObject();
    printArray(context, configuration.value(QLatin1String(field)).toArray(), columns);
    return kExitDone;
}

/// Policy fields beside the id, so that a row of the table holds them all.
QJsonArray flatPresets(const QJsonObject &configuration)
{
    QJsonArray rows;
    for (const QJsonValue &value : configuration.value(QLatin1String("presets")).toArray()) {
        const QJsonObject preset = value.toObject();
        QJsonObject row = preset.value(QLatin1String("policy")).toObject();
        const QJsonValue id = preset.value(QLatin1String("id"));
        row.insert(QStringLiteral("id"), id);
        row.insert(QStringLiteral("in_force"),
                   id == configuration.value(QLatin1String("active_preset")));
        rows.append(row);
    }
    return rows;
}

QJsonArray upstreamRows(const QJsonObject &status)
{
    QJsonArray rows;
    for (const QJsonValue &value : status.value(QLatin1String("groups")).toArray()) {
        const QJsonObject group = value.toObject();
        for (const QJsonValue &upstream : group.value(QLatin1String("upstreams")).toArray()) {
            QJsonObject row = upstream.toObject();
            const bool primary = row.value(QLatin1String("primary")).toBool();
            row.insert(QStringLiteral("service"), group.value(QLatin1String("service")));
            row.insert(QStringLiteral("term"), group.value(QLatin1String("term")));
            row.insert(QStringLiteral("role"),
                       primary ? QStringLiteral("primary") : QStringLiteral("replica"));
            row.insert(QStringLiteral("address"),
                       QStringLiteral("%1:%2")
                           .arg(row.value(QLatin1String("host")).toString())
                           .arg(row.value(QLatin1String("port")).toInt()));
            rows.append(row);
        }
    }
    return rows;
}

QString processNames(const QJsonArray &processes)
{
    QStringList names;
    for (const QJsonValue &process : processes) {
        QString name =
            QStringLiteral("%1/%2").arg(process[QLatin1String("id")].toString(),
                                        process[QLatin1String("incarnation")].toString());
        const QString reason = process[QLatin1String("reason")].toString();
        if (!reason.isEmpty())
            name += QLatin1Char('/') + reason;
        names << name;
    }
    return names.join(QLatin1Char(' '));
}

/// Members of the groups whose databases confirm commits, and what their changes of primary wait
/// for.
QJsonArray memberRows(const QJsonObject &status)
{
    QJsonArray rows;
    for (const QJsonValue &value : status.value(QLatin1String("members")).toArray()) {
        QJsonObject row = value.toObject();
        const QJsonArray members = row.value(QLatin1String("members")).toArray();
        if (members.isEmpty())
            continue;
        row.insert(QStringLiteral("members"), processNames(members));
        row.insert(QStringLiteral("awaited"),
                   processNames(row.value(QLatin1String("awaited")).toArray()));
        rows.append(row);
    }
    return rows;
}

void printStatus(const CommandContext &context, const QJsonObject &status)
{
    const QJsonObject configuration = status.value(QLatin1String("configuration")).toObject();
    const QJsonObject control = status.value(QLatin1String("control")).toObject();
    context.out << "configuration: version " << cellText(configuration, "version") << ", preset "
                << cellText(configuration, "active_preset")
                << ", in force everywhere: " << cellText(status, "in_force") << "\n"
                << "control group: leader " << cellText(control, "leader") << ", term "
                << cellText(control, "term") << ", commit index "
                << cellText(control, "commit_index") << ", voters " << cellText(control, "voters")
                << "\n";
    if (!configuration.value(QLatin1String("evacuated_data_centres")).toArray().isEmpty())
        context.out << "evacuated data centres: "
                    << cellText(configuration, "evacuated_data_centres") << "\n";
    context.out << "\n"
                << tableOf(status.value(QLatin1String("nodes")).toArray(),
                           { { "NODE", "id" }, { "APPLIED VERSION", "applied_version" } })
                << "\n"
                << tableOf(upstreamRows(status),
                           { { "SERVICE", "service" },
                             { "UPSTREAM", "id" },
                             { "DATA CENTRE", "data_centre" },
                             { "ADDRESS", "address" },
                             { "STATE", "state" },
                             { "ROLE", "role" },
                             { "VOTING", "voting" },
                             { "TERM", "term" } });
    const QJsonArray members = memberRows(status);
    if (members.isEmpty())
        return;
    context.out << "\n"
                << tableOf(members,
                           { { "SERVICE", "service" },
                             { "MEMBERS", "members" },
                             { "CHANGE WAITS FOR", "awaited" },
                             { "SINCE MS", "awaited_ms" } });
}

QJsonArray lastDecisions(const QJsonObject &document, std::uint64_t count)
{
    const QJsonArray all = document.value(QLatin1String("decisions")).toArray();
    QJsonArray last;
    const auto limit = static_cast<qsizetype>(count);
    for (qsizetype i = std::max<qsizetype>(all.size() - limit, 0); i < all.size(); ++i) {
        QJsonObject row = all[i].toObject();
        const qint64 wallTime = row.value(QLatin1String("wall_time_ms")).toInteger();
        row.insert(QStringLiteral("time"),
                   QDateTime::fromMSecsSinceEpoch(wallTime, Qt::UTC).toString(Qt::ISODateWithMs));
        last.append(row);
    }
    return last;
}

} // namespace

int runServiceList(CommandContext &context)
{
    const auto status = askFor(context, "/v1/operator/status");
    if (const int *exitStatus = std::get_if<int>(&status))
        return *exitStatus;
    const QJsonArray services = jsonBody(std::get<HttpReply>(status))
                                    .value(QLatin1String("configuration"))
                                    .toObject()
                                    .value(QLatin1String("services"))
                                    .toArray();
    QJsonArray rows;
    for (const QJsonValue &service : services)
        rows.append(QJsonObject { { QStringLiteral("id"), service } });
    printArray(context, rows, { { "SERVICE", "id" } });
    return kExitDone;
}

int runTeamList(CommandContext &context)
{
    return listConfigured(context, "teams",
                          { { "TEAM", "id" },
                            { "RATE", "rate_per_second" },
                            { "BURST", "burst" },
                            { "SERVICES", "services" } });
}

int runKeyList(CommandContext &context)
{
    return listConfigured(
        context, "keys",
        { { "KEY", "id" }, { "ROLE", "role" }, { "TEAM", "team" }, { "SERVICE", "service" } });
}

int runRouteList(CommandContext &context)
{
    return listConfigured(context, "routes",
                          { { "ROUTE", "id" },
                            { "SERVICE", "service" },
                            { "MAX STALENESS MS", "max_staleness_ms" },
                            { "SQL", "sql" } });
}

int runPresetList(CommandContext &context)
{
    const auto status = askFor(context, "/v1/operator/status");
    if (const int *exitStatus = std::get_if<int>(&status))
        return *exitStatus;
    const QJsonObject configuration =
        jsonBody(std::get<HttpReply>(status)).value(QLatin1String("configuration")).toObject();
    printArray(context, flatPresets(configuration),
               { { "PRESET", "id" },
                 { "IN FORCE", "in_force" },
                 { "QUEUE LIMIT", "queue_limit_per_team" },
                 { "RATE WAIT MS", "rate_wait_ms" },
                 { "CATCH-UP WAIT MS", "catch_up_wait_ms" },
                 { "RETRY BUDGET", "retry_budget_ratio" },
                 { "ATTEMPTS", "max_attempts" },
                 { "DEADLINE MS", "default_deadline_ms" },
                 { "OPEN RESERVE", "open_route_reserve" },
                 { "WRITES", "writes_allowed" } });
    return kExitDone;
}

int runStatus(CommandContext &context)
{
    const auto reply = askFor(context, "/v1/operator/status");
    if (const int *exitStatus = std::get_if<int>(&reply))
        return *exitStatus;
    if (!printRaw(context, std::get<HttpReply>(reply)))
        printStatus(context, jsonBody(std::get<HttpReply>(reply)));
    return kExitDone;
}

int runExplain(CommandContext &context)
{
    const std::uint64_t count = context.arguments.number("--last", 1, kMaxDecisions, kAllDecisions);
    const auto reply = askFor(context, "/v1/operator/explain");
    if (const int *exitStatus = std::get_if<int>(&reply))
        return *exitStatus;
    if (printRaw(context, std::get<HttpReply>(reply)))
        return kExitDone;
    context.out << tableOf(lastDecisions(jsonBody(std::get<HttpReply>(reply)), count),
                           { { "INDEX", "index" }, { "TIME", "time" }, { "DECISION", "text" } });
    return kExitDone;
}

int runDrain(CommandContext &context)
{
    HttpRequest request;
    request.method = "POST";
    request.path = "/v1/operator/drain";
    QJsonObject body;
    const bool node = !context.arguments.isSet("--upstream");
    if (!node)
        body.insert(QStringLiteral("upstream"),
                    QString::fromStdString(context.arguments.id("--upstream")));
    const bool cancel = context.arguments.isSet("--cancel");
    if (cancel)
        body.insert(QStringLiteral("cancel"), true);
    request.body = QJsonDocument(body).toJson(QJsonDocument::Compact);
    // A second request would stop the node without waiting for its open work.
    request.repeatable = !node;
    const auto nodes = context.arguments.textOrVariable("--nodes", "SHALLOTLEVER_NODES");
    if (node && nodes && nodes->find(',') != std::string::npos)
        context.arguments.fail("--nodes", "must name only the node to drain");
    const auto reply = ask(context, request);
    if (const int *exitStatus = std::get_if<int>(&reply))
        return *exitStatus;
    if (!printRaw(context, std::get<HttpReply>(reply))) {
        context.out << (node         ? "the node drains and then stops\n"
                            : cancel ? "the upstream takes work again\n"
                                     : "the upstream drains\n");
    }
    return kExitDone;
}

} // namespace shallotlever
