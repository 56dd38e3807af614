#pragma once

#include <QJsonObject>
#include <cstdint>
#include <string>

class QSslConfiguration;

namespace shallotlever::support {

struct HttpRequest
{
    std::string method = "POST";
    std::string path;
    /// Sent as the body; an empty object sends none.
    QJsonObject body;
    std::string key;
    std::string session;
    std::string idempotencyKey;
    int deadlineMs = 0;
    /// Replaces `body` if not empty.
    std::string rawBody;
};

struct HttpReply
{
    /// 0: no complete answer, so the outcome is unknown.
    int status = 0;
    QJsonObject body;
    /// Header Shallotlever-Session.
    std::string session;

    bool ok() const { return status == 200; }
    std::string text(const char *field) const;
    /// Kind and outcome of an error answer.
    std::string kind() const;
    std::string outcome() const;
    /// Value at row and column of a statement answer; empty if there is none.
    std::string cell(int row = 0, int column = 0) const;
};

/// Sends one request on a new connection to 127.0.0.1 and blocks until it is answered. Callable
/// from any thread. With `tls` the connection is encrypted.
HttpReply sendHttp(std::uint16_t port, const HttpRequest &request,
                   const QSslConfiguration *tls = nullptr);

} // namespace shallotlever::support
