#pragma once

#include <chrono>
#include <optional>
#include <string>
#include <vector>

#include <QByteArray>
#include <QSslConfiguration>
#include <QUrl>

#include "absl/status/statusor.h"

/// Blocking HTTP client for a list of nodes. Not thread-safe; needs no event loop.
namespace shallotlever {

struct HttpClientOptions
{
    std::vector<QUrl> nodes;
    /// Sent as `Authorization: Bearer`; empty for none.
    std::string key;
    /// File with the authority of the nodes' certificates; the system's authorities if not set.
    std::optional<std::string> authorityFile;
    /// Bound for each attempt, from connecting to the last byte of the answer.
    std::chrono::milliseconds timeout { 15000 };
};

struct HttpRequest
{
    QByteArray method = "GET";
    QByteArray path;
    QByteArray body;
    QList<QPair<QByteArray, QByteArray>> headers;
    /// The request may run twice without harm, so it is sent again after a lost answer.
    bool repeatable = true;
};

struct HttpReply
{
    int status = 0;
    QList<QPair<QByteArray, QByteArray>> headers;
    QByteArray body;
    /// An earlier attempt may have run: it was sent and got no answer that tells.
    bool earlierMayHaveRun = false;

    /// Value of a header, empty if absent.
    QByteArray header(const QByteArray &name) const;
};

class HttpClient
{
public:
    /// Fails if the authority file holds no certificate.
    static absl::StatusOr<HttpClient> create(HttpClientOptions options);

    /// Sends to the first node that can be reached. Unavailable: no node got the request.
    /// Unknown: a node may have got it, and no answer came.
    absl::StatusOr<HttpReply> send(const HttpRequest &request);

private:
    explicit HttpClient(HttpClientOptions options);

    absl::StatusOr<HttpReply> sendTo(const QUrl &node, const HttpRequest &request) const;
    QByteArray encode(const QUrl &node, const HttpRequest &request) const;

    HttpClientOptions m_options;
    QSslConfiguration m_tls;
};

/// `http://HOST:PORT` or `https://HOST:PORT`, comma-separated; nullopt if one is malformed.
std::optional<std::vector<QUrl>> parseNodeUrls(const std::string &text);

} // namespace shallotlever
