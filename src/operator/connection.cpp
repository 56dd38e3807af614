#include "connection.h"

#include <algorithm>
#include <fstream>
#include <ostream>
#include <sstream>

#include <QJsonDocument>
#include <QThread>

namespace shallotlever {

namespace {

constexpr std::uint64_t kMinTimeoutMs = 100;
constexpr std::uint64_t kMaxTimeoutMs = 600'000;
constexpr std::uint64_t kDefaultTimeoutMs = 15'000;
constexpr std::size_t kMaxKeyBytes = 256;
constexpr int kMaxAttempts = 5;
/// Pause if an answer that can be repeated advises none.
constexpr int kMinPauseMs = 100;
constexpr int kMaxPauseMs = 2000;

std::string trimmed(const std::string &text)
{
    constexpr auto kBlanks = " \t\r\n";
    const std::size_t first = text.find_first_not_of(kBlanks);
    if (first == std::string::npos)
        return {};
    return text.substr(first, text.find_last_not_of(kBlanks) - first + 1);
}

bool mayRepeat(const Refusal &refusal, int status)
{
    constexpr int kServiceUnavailable = 503;
    return refusal.outcome == QLatin1String("unknown")
        || (status == kServiceUnavailable && refusal.outcome == QLatin1String("not_run"));
}

} // namespace

std::optional<std::string> readKeyFile(const std::string &path, std::string &problem)
{
    std::ifstream file(path);
    std::ostringstream content;
    content << file.rdbuf();
    const std::string key = trimmed(content.str());
    const bool printable =
        std::all_of(key.begin(), key.end(), [](unsigned char c) { return c > 0x20 && c < 0x7f; });
    if (!file)
        problem = "cannot be read";
    else if (key.empty() || key.size() > kMaxKeyBytes || !printable)
        problem = "does not hold one key";
    return problem.empty() ? std::optional(key) : std::nullopt;
}

HttpClientOptions readConnection(ArgumentReader &arguments)
{
    HttpClientOptions options;
    const auto nodes = arguments.textOrVariable("--nodes", "SHALLOTLEVER_NODES");
    const auto urls = nodes ? parseNodeUrls(*nodes) : std::nullopt;
    if (!nodes)
        arguments.fail("--nodes", "is required (or SHALLOTLEVER_NODES)");
    else if (!urls)
        arguments.fail("--nodes", "must be http://HOST:PORT or https://HOST:PORT, comma-separated");
    options.nodes = urls.value_or(std::vector<QUrl>());
    const auto keyFile = arguments.textOrVariable("--key-file", "SHALLOTLEVER_KEY_FILE");
    if (!keyFile) {
        arguments.fail("--key-file", "is required (or SHALLOTLEVER_KEY_FILE)");
    } else {
        std::string problem;
        options.key = readKeyFile(*keyFile, problem).value_or("");
        if (!problem.empty())
            arguments.fail("--key-file", problem);
    }
    options.authorityFile = arguments.text("--ca");
    options.timeout = std::chrono::milliseconds(
        arguments.number("--timeout-ms", kMinTimeoutMs, kMaxTimeoutMs, kDefaultTimeoutMs));
    return options;
}

bool reportFaults(const CommandContext &context)
{
    for (const std::string &fault : context.arguments.faults())
        context.err << "shallotlever: " << fault << "\n";
    return !context.arguments.faults().empty();
}

std::optional<HttpClient> connectClient(const CommandContext &context, HttpClientOptions options)
{
    absl::StatusOr<HttpClient> client = HttpClient::create(std::move(options));
    if (client.ok())
        return *std::move(client);
    context.arguments.fail("--ca", std::string(client.status().message()));
    reportFaults(context);
    return std::nullopt;
}

QJsonObject jsonBody(const HttpReply &reply)
{
    return QJsonDocument::fromJson(reply.body).object();
}

std::optional<Refusal> refusalOf(const HttpReply &reply)
{
    constexpr int kFirstErrorStatus = 300;
    const QJsonObject error = jsonBody(reply).value(QLatin1String("error")).toObject();
    if (!error.isEmpty()) {
        Refusal refusal { error.value(QLatin1String("kind")).toString(),
                          error.value(QLatin1String("outcome")).toString(),
                          error.value(QLatin1String("message")).toString(),
                          error.value(QLatin1String("retry_after_ms")).toInt() };
        // That the last attempt did not run says nothing about an earlier one. Only the decision
        // on a change, which has an outcome of its own, covers every attempt.
        if (reply.earlierMayHaveRun && !jsonBody(reply).contains(QLatin1String("outcome")))
            refusal.outcome = QStringLiteral("unknown");
        return refusal;
    }
    if (reply.status < kFirstErrorStatus && !jsonBody(reply).isEmpty())
        return std::nullopt;
    // Drain and rollback are answered with an empty object.
    if (reply.status < kFirstErrorStatus && reply.body.trimmed() == "{}")
        return std::nullopt;
    return Refusal { QStringLiteral("not_understood"), QStringLiteral("unknown"),
                     QStringLiteral("HTTP status %1 without an error object").arg(reply.status) };
}

absl::StatusOr<HttpReply> sendPatiently(HttpClient &client, const HttpRequest &request)
{
    bool mayHaveRun = false;
    for (int attempt = 1;; ++attempt) {
        absl::StatusOr<HttpReply> reply = client.send(request);
        if (!reply.ok())
            return mayHaveRun ? absl::UnknownError(reply.status().message()) : reply;
        reply->earlierMayHaveRun = reply->earlierMayHaveRun || mayHaveRun;
        const std::optional<Refusal> refusal = refusalOf(*reply);
        if (attempt == kMaxAttempts || !refusal || !mayRepeat(*refusal, reply->status))
            return reply;
        mayHaveRun = mayHaveRun || refusal->outcome == QLatin1String("unknown");
        QThread::msleep(std::clamp(refusal->retryAfterMs, kMinPauseMs, kMaxPauseMs));
    }
}

bool printRaw(const CommandContext &context, const HttpReply &reply)
{
    if (!context.arguments.isSet("--json"))
        return false;
    context.out << reply.body.toStdString() << "\n";
    return true;
}

std::optional<int> reportRefusal(const CommandContext &context,
                                 const absl::StatusOr<HttpReply> &reply)
{
    if (!reply.ok()) {
        const bool sent = absl::IsUnknown(reply.status());
        context.err << "shallotlever: no_answer (" << (sent ? "unknown" : "not_run")
                    << "): " << reply.status().message() << "\n";
        return kExitRefused;
    }
    const std::optional<Refusal> refusal = refusalOf(*reply);
    if (!refusal)
        return std::nullopt;
    printRaw(context, *reply);
    context.err << "shallotlever: " << refusal->kind.toStdString() << " ("
                << refusal->outcome.toStdString() << ")";
    if (!refusal->message.isEmpty())
        context.err << ": " << refusal->message.toStdString();
    context.err << "\n";
    return kExitRefused;
}

std::variant<HttpReply, int> fetchStatus(const CommandContext &context, HttpClient &client)
{
    HttpRequest request;
    request.path = "/v1/operator/status";
    const absl::StatusOr<HttpReply> reply = sendPatiently(client, request);
    if (const std::optional<int> status = reportRefusal(context, reply))
        return *status;
    return *reply;
}

} // namespace shallotlever
