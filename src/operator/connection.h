#pragma once

#include <optional>

#include <QJsonObject>

#include "shallotlever/operator/command_line.h"
#include "shallotlever/operator/http_client.h"

namespace shallotlever {

/// Reads the options that say how to reach the nodes. Faults are kept in the reader.
HttpClientOptions readConnection(ArgumentReader &arguments);

/// Prints the faults of the arguments; false if there are none.
bool reportFaults(const CommandContext &context);

/// The client, or nullopt after a message. Call when the arguments have no faults.
std::optional<HttpClient> connectClient(const CommandContext &context, HttpClientOptions options);

/// Error object of an answer; nullopt if the answer has none.
struct Refusal
{
    QString kind;
    QString outcome;
    QString message;
    int retryAfterMs = 0;
};
std::optional<Refusal> refusalOf(const HttpReply &reply);

/// Sends a repeatable request until it is answered with something other than a refusal that
/// advises to send it again, for a few attempts.
absl::StatusOr<HttpReply> sendPatiently(HttpClient &client, const HttpRequest &request);

/// Prints the raw answer if --json is given; true if it was.
bool printRaw(const CommandContext &context, const HttpReply &reply);

/// Prints why there is no usable answer, and returns the exit status. Returns nullopt if the
/// answer is good.
std::optional<int> reportRefusal(const CommandContext &context,
                                 const absl::StatusOr<HttpReply> &reply);

QJsonObject jsonBody(const HttpReply &reply);

/// The status document, or the exit status after a message.
std::variant<HttpReply, int> fetchStatus(const CommandContext &context, HttpClient &client);

/// Rejects a file that others may read or that holds anything but one key.
std::optional<std::string> readKeyFile(const std::string &path, std::string &problem);

} // namespace shallotlever
