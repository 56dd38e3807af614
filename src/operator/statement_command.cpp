#include <fstream>
#include <ostream>

#include <QJsonArray>
#include <QJsonDocument>

#include "commands.h"
#include "connection.h"
#include "private_file.h"
#include "text_table.h"

namespace shallotlever {

namespace {

constexpr std::uint64_t kMaxStalenessMs = 24ULL * 3600 * 1000;
constexpr std::uint64_t kMaxDeadlineMs = 3'600'000;
constexpr std::size_t kMaxIdempotencyKeyBytes = 255;
/// Stands for SQL NULL, as in PostgreSQL's COPY format.
constexpr const char *kNullParam = "\\N";

std::string readMode(ArgumentReader &arguments)
{
    std::string mode = arguments.text("--mode").value_or("");
    if (mode != "read" && mode != "write")
        arguments.fail("--mode", "must be read or write");
    return mode;
}

QByteArray readBody(ArgumentReader &arguments)
{
    QJsonArray params;
    for (const std::string &param : arguments.list("--param"))
        params.append(param == kNullParam ? QJsonValue() : QString::fromStdString(param));
    const std::string sql = arguments.text("--sql").value_or("");
    if (sql.empty())
        arguments.fail("--sql", "must not be empty");
    QJsonObject body { { QStringLiteral("sql"), QString::fromStdString(sql) },
                       { QStringLiteral("params"), params },
                       { QStringLiteral("mode"), QString::fromStdString(readMode(arguments)) } };
    if (arguments.isSet("--max-staleness-ms"))
        body.insert(
            QStringLiteral("max_staleness_ms"),
            static_cast<qint64>(arguments.number("--max-staleness-ms", 0, kMaxStalenessMs, 0)));
    return QJsonDocument(body).toJson(QJsonDocument::Compact);
}

void addIdempotencyKey(ArgumentReader &arguments, HttpRequest &request)
{
    const auto key = arguments.text("--idempotency-key");
    if (!key)
        return;
    if (key->empty() || key->size() > kMaxIdempotencyKeyBytes
        || key->find_first_of("\r\n") != std::string::npos)
        arguments.fail("--idempotency-key", "must have 1 to 255 printable characters");
    request.headers.append({ "Idempotency-Key", QByteArray::fromStdString(*key) });
}

void addSession(const ArgumentReader &arguments, HttpRequest &request)
{
    const auto path = arguments.text("--session-file");
    if (!path)
        return;
    std::ifstream file(*path);
    std::string token;
    // The first statement of a session finds no file.
    if (file >> token)
        request.headers.append({ "Shallotlever-Session", QByteArray::fromStdString(token) });
}

HttpRequest readRequest(ArgumentReader &arguments)
{
    HttpRequest request;
    request.method = "POST";
    const std::string service = arguments.id("--service");
    request.path =
        "/v1/services/" + QByteArray::fromStdString(service).toPercentEncoding() + "/statements";
    request.body = readBody(arguments);
    addIdempotencyKey(arguments, request);
    addSession(arguments, request);
    if (arguments.isSet("--deadline-ms"))
        request.headers.append({ "Shallotlever-Deadline-Ms",
                                 QByteArray::number(static_cast<qulonglong>(
                                     arguments.number("--deadline-ms", 1, kMaxDeadlineMs, 1))) });
    request.repeatable = arguments.isSet("--idempotency-key") || arguments.text("--mode") == "read";
    return request;
}

/// The value as in PostgreSQL's COPY format, so that it can't be read as several, as another row or
/// as NULL.
std::string escapedValue(const QJsonValue &value)
{
    if (value.isNull())
        return kNullParam;
    std::string text;
    for (const char c : value.toString().toStdString()) {
        switch (c) {
        case '\\':
            text += "\\\\";
            break;
        case '\t':
            text += "\\t";
            break;
        case '\n':
            text += "\\n";
            break;
        case '\r':
            text += "\\r";
            break;
        default:
            text += c;
        }
    }
    return text;
}

std::string rowText(const QJsonArray &row)
{
    std::string line;
    for (qsizetype i = 0; i < row.size(); ++i)
        line += (i == 0 ? "" : "\t") + escapedValue(row[i]);
    return line + "\n";
}

void printAnswer(const CommandContext &context, const QJsonObject &answer)
{
    const QJsonArray columns = answer.value(QLatin1String("columns")).toArray();
    if (!columns.isEmpty())
        context.out << rowText(columns);
    for (const QJsonValue &row : answer.value(QLatin1String("rows")).toArray())
        context.out << rowText(row.toArray());
    context.out << "affected rows " << cellText(answer, "affected_rows") << ", upstream "
                << cellText(answer, "upstream") << ", replica " << cellText(answer, "replica")
                << ", staleness " << cellText(answer, "staleness_ms") << " ms";
    if (answer.value(QLatin1String("repeated")).toBool())
        context.out << ", result of an earlier request with the same key";
    context.out << "\n";
}

int keepSession(const CommandContext &context, const HttpReply &reply)
{
    const auto path = context.arguments.text("--session-file");
    const QByteArray token = reply.header("Shallotlever-Session");
    if (!path || token.isEmpty())
        return kExitDone;
    const absl::Status status = replacePrivateFile(*path, token.toStdString());
    if (!status.ok())
        context.err << "shallotlever: --session-file: " << status.message() << "\n";
    return status.ok() ? kExitDone : kExitRefused;
}

} // namespace

int runStatement(CommandContext &context)
{
    HttpClientOptions options = readConnection(context.arguments);
    const HttpRequest request = readRequest(context.arguments);
    if (reportFaults(context))
        return kExitUsage;
    auto client = connectClient(context, std::move(options));
    if (!client)
        return kExitUsage;
    const absl::StatusOr<HttpReply> reply = client->send(request);
    if (const std::optional<int> status = reportRefusal(context, reply))
        return *status;
    if (!printRaw(context, *reply))
        printAnswer(context, jsonBody(*reply));
    return keepSession(context, *reply);
}

} // namespace shallotlever
