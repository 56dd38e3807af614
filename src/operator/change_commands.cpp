#include <unistd.h>

#include <ostream>

#include <QJsonArray>
#include <QJsonDocument>

#include "change_readers.h"
#include "commands.h"
#include "connection.h"
#include "private_file.h"
#include "shallotlever/edge/codec.h"
#include "shallotlever/session/keys.h"

namespace shallotlever {

namespace {

/// Largest whole number that JSON carries without loss.
constexpr std::uint64_t kMaxVersion = 1ULL << 53U;

struct Base
{
    ConfigVersion version;
    QJsonObject configuration;
};

/// Version and configuration that the change starts from, or the exit status.
std::variant<Base, int> fetchBase(const CommandContext &context, HttpClient &client)
{
    const auto status = fetchStatus(context, client);
    if (const int *exitStatus = std::get_if<int>(&status))
        return *exitStatus;
    Base base;
    base.configuration =
        jsonBody(std::get<HttpReply>(status)).value(QLatin1String("configuration")).toObject();
    base.version = ConfigVersion(
        static_cast<std::uint64_t>(base.configuration.value(QLatin1String("version")).toInteger()));
    return base;
}

HttpRequest changeRequest(const ChangeRequest &change)
{
    HttpRequest request;
    request.method = "POST";
    request.path = "/v1/operator/changes";
    request.body = QJsonDocument(encodeChangeRequest(change)).toJson(QJsonDocument::Compact);
    return request;
}

std::string outstandingText(const QJsonObject &answer)
{
    std::string text;
    for (const QJsonValue &node : answer.value(QLatin1String("outstanding")).toArray())
        text += (text.empty() ? "" : " ") + node.toString().toStdString();
    return text;
}

int printAccepted(const CommandContext &context, const HttpReply &reply, bool wait)
{
    const QJsonObject answer = jsonBody(reply);
    const bool inForce = answer.value(QLatin1String("in_force")).toBool();
    const std::string outstanding = outstandingText(answer);
    if (!printRaw(context, reply)) {
        context.out << "accepted as version " << answer.value(QLatin1String("version")).toInteger()
                    << (inForce ? ", in force everywhere" : ", not in force everywhere yet");
        if (!outstanding.empty())
            context.out << "; outstanding: " << outstanding;
        context.out << "\n";
    }
    return wait && !inForce ? kExitNotInForce : kExitDone;
}

/// Says what to do after an answer that leaves the outcome of the change open.
void adviseResend(const CommandContext &context, const ChangeRequest &change)
{
    if (const auto *added = std::get_if<AddKey>(&change.change.change)) {
        // A second run would make another key, so it is no resend.
        context.err << "shallotlever: the key may have been added; look for "
                    << added->key.id.value() << " in 'key list'\n";
        return;
    }
    context.err << "shallotlever: the change may have been accepted; send it again with "
                << "--change-id " << change.change.id.value() << " --based-on "
                << change.change.basedOn.value() << "\n";
}

void reportWinner(const CommandContext &context, const HttpReply &reply)
{
    const QString winner = jsonBody(reply).value(QLatin1String("winner")).toString();
    if (!winner.isEmpty())
        context.err << "shallotlever: the change accepted instead: " << winner.toStdString()
                    << "\n";
}

struct SentChange
{
    int exitStatus = kExitRefused;
    /// The change is known not to have been accepted.
    bool refused = false;
};

bool leavesOutcomeOpen(const absl::StatusOr<HttpReply> &reply)
{
    if (!reply.ok())
        return absl::IsUnknown(reply.status());
    const std::optional<Refusal> refusal = refusalOf(*reply);
    return refusal && refusal->outcome != QLatin1String("not_run");
}

SentChange sendChange(const CommandContext &context, HttpClient &client,
                      const ChangeRequest &change)
{
    const absl::StatusOr<HttpReply> reply = sendPatiently(client, changeRequest(change));
    const std::optional<int> status = reportRefusal(context, reply);
    if (!status)
        return { printAccepted(context, *reply, change.wait), false };
    const bool open = leavesOutcomeOpen(reply);
    if (open)
        adviseResend(context, change);
    else if (reply.ok())
        reportWinner(context, *reply);
    return { *status, !open };
}

ChangeRequest readRequest(ArgumentReader &arguments)
{
    ChangeRequest request;
    request.wait = arguments.isSet("--wait");
    request.change.id =
        ChangeId(arguments.isSet("--change-id") ? arguments.id("--change-id") : randomId());
    request.change.basedOn = ConfigVersion(arguments.number("--based-on", 0, kMaxVersion, 0));
    if (arguments.isSet("--change-id") && !arguments.isSet("--based-on"))
        arguments.fail("--based-on", "is required with --change-id, as in the first attempt");
    return request;
}

/// Sets the version the change is based on, and its content. Returns the exit status on failure.
std::optional<int> completeRequest(const CommandContext &context, HttpClient &client,
                                   ChangeRequest &request)
{
    const bool stated = context.arguments.isSet("--based-on");
    if (stated && !context.command.needsConfiguration)
        return std::nullopt;
    const auto base = fetchBase(context, client);
    if (const int *exitStatus = std::get_if<int>(&base))
        return *exitStatus;
    if (!stated)
        request.change.basedOn = std::get<Base>(base).version;
    request.change.change =
        context.command.readChange(context.arguments, std::get<Base>(base).configuration);
    return std::nullopt;
}

/// Prints or files the secret of a key that was accepted, or may have been.
void handOutSecret(const CommandContext &context, const GeneratedKey &key)
{
    if (const auto path = context.arguments.text("--out"))
        context.err << "shallotlever: key " << key.id.value() << " written to " << *path << "\n";
    else if (context.arguments.isSet("--json"))
        context.out << R"({"key":")" << key.text << "\"}\n";
    else
        context.out << key.text << "\n";
}

bool fileSecret(const CommandContext &context, const GeneratedKey &key)
{
    const auto path = context.arguments.text("--out");
    if (!path)
        return true;
    // Before the change is sent: a key whose secret cannot be stored would be of no use.
    const absl::Status status = createPrivateFile(*path, key.text);
    if (!status.ok())
        context.err << "shallotlever: --out: " << status.message() << "\n";
    return status.ok();
}

void removeSecret(const CommandContext &context)
{
    if (const auto path = context.arguments.text("--out"))
        ::unlink(path->c_str());
}

} // namespace

int runChange(CommandContext &context)
{
    HttpClientOptions options = readConnection(context.arguments);
    ChangeRequest request = readRequest(context.arguments);
    request.change.change = context.command.readChange(context.arguments, {});
    if (reportFaults(context))
        return kExitUsage;
    auto client = connectClient(context, std::move(options));
    if (!client)
        return kExitUsage;
    if (const std::optional<int> failed = completeRequest(context, *client, request))
        return *failed;
    return sendChange(context, *client, request).exitStatus;
}

int runKeyCreate(CommandContext &context)
{
    HttpClientOptions options = readConnection(context.arguments);
    ChangeRequest request = readRequest(context.arguments);
    KeyConfig config = readNewKey(context.arguments);
    if (reportFaults(context))
        return kExitUsage;
    auto client = connectClient(context, std::move(options));
    if (!client)
        return kExitUsage;
    const GeneratedKey key = generateKey();
    config.id = key.id;
    config.hash = key.hash;
    request.change.change = AddKey { config };
    if (!context.arguments.isSet("--based-on")) {
        const auto base = fetchBase(context, *client);
        if (const int *exitStatus = std::get_if<int>(&base))
            return *exitStatus;
        request.change.basedOn = std::get<Base>(base).version;
    }
    if (!fileSecret(context, key))
        return kExitRefused;
    const SentChange sent = sendChange(context, *client, request);
    if (sent.refused)
        removeSecret(context);
    else
        handOutSecret(context, key);
    return sent.exitStatus;
}

} // namespace shallotlever
