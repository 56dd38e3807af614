#include "shallotlever/operator/http_client.h"

#include <memory>

#include <QDeadlineTimer>
#include <QSslCertificate>
#include <QSslSocket>
#include <QStringList>

namespace shallotlever {

namespace {

constexpr quint16 kHttpPort = 80;
constexpr quint16 kHttpsPort = 443;
/// Answers are bounded by the frame limit between nodes (4 MiB) or by a result of that order.
constexpr qsizetype kMaxAnswerBytes = 64 * 1024 * 1024;
constexpr int kRounds = 3;

// QNetworkAccessManager is not used: it sends a request again on its own when the connection
// closes before the answer, which could run a write twice.

std::string faultOf(const QUrl &node, const QAbstractSocket &socket, const char *step)
{
    return node.toString().toStdString() + ": " + step + ": " + socket.errorString().toStdString();
}

int left(const QDeadlineTimer &deadline)
{
    return static_cast<int>(std::max<qint64>(deadline.remainingTime(), 0));
}

struct Head
{
    HttpReply reply;
    qsizetype bodySize = 0;
};

std::optional<Head> parseHead(const QByteArray &text)
{
    Head head;
    const QList<QByteArray> lines = text.split('\n');
    const QList<QByteArray> status = lines.first().trimmed().split(' ');
    if (status.size() < 2 || !status.first().startsWith("HTTP/1."))
        return std::nullopt;
    head.reply.status = status[1].toInt();
    for (const QByteArray &line : lines.sliced(1)) {
        const qsizetype colon = line.indexOf(':');
        if (colon > 0)
            head.reply.headers.append(
                { line.left(colon).trimmed(), line.mid(colon + 1).trimmed() });
    }
    bool valid = false;
    head.bodySize = head.reply.header("Content-Length").toLongLong(&valid);
    if (!valid || head.bodySize < 0 || head.bodySize > kMaxAnswerBytes)
        return std::nullopt;
    return head;
}

/// The answer, or nullopt if the connection ends, the time is up or the answer is malformed.
std::optional<HttpReply> readReply(QSslSocket &socket, const QDeadlineTimer &deadline)
{
    constexpr QByteArrayView kEndOfHead = "\r\n\r\n";
    QByteArray buffer;
    std::optional<Head> head;
    for (;;) {
        buffer += socket.readAll();
        const qsizetype end = head ? -1 : buffer.indexOf(kEndOfHead);
        if (end >= 0) {
            head = parseHead(buffer.left(end));
            if (!head)
                return std::nullopt;
            buffer.remove(0, end + kEndOfHead.size());
        }
        if (head && buffer.size() >= head->bodySize) {
            head->reply.body = buffer.left(head->bodySize);
            return std::move(head->reply);
        }
        if (buffer.size() > kMaxAnswerBytes || !socket.waitForReadyRead(left(deadline)))
            return std::nullopt;
    }
}

} // namespace

QByteArray HttpReply::header(const QByteArray &name) const
{
    for (const auto &[key, value] : headers) {
        if (key.compare(name, Qt::CaseInsensitive) == 0)
            return value;
    }
    return {};
}

HttpClient::HttpClient(HttpClientOptions options)
    : m_options(std::move(options))
    , m_tls(QSslConfiguration::defaultConfiguration())
{
}

absl::StatusOr<HttpClient> HttpClient::create(HttpClientOptions options)
{
    HttpClient client(std::move(options));
    if (client.m_options.authorityFile) {
        const auto authorities = QSslCertificate::fromPath(
            QString::fromStdString(*client.m_options.authorityFile), QSsl::Pem);
        if (authorities.isEmpty())
            return absl::InvalidArgumentError("holds no PEM certificate");
        client.m_tls.setCaCertificates(authorities);
    }
    return client;
}

absl::StatusOr<HttpReply> HttpClient::send(const HttpRequest &request)
{
    absl::Status fault = absl::UnavailableError("no node is named");
    bool maybeSent = false;
    for (int round = 0; round < kRounds; ++round) {
        for (const QUrl &node : m_options.nodes) {
            absl::StatusOr<HttpReply> reply = sendTo(node, request);
            if (reply.ok()) {
                reply->earlierMayHaveRun = maybeSent;
                return reply;
            }
            fault = reply.status();
            maybeSent = maybeSent || absl::IsUnknown(fault);
            if (maybeSent && !request.repeatable)
                return fault;
        }
        // Without a lost answer, one attempt at each node tells enough.
        if (!maybeSent)
            break;
    }
    return maybeSent ? absl::UnknownError(fault.message()) : fault;
}

absl::StatusOr<HttpReply> HttpClient::sendTo(const QUrl &node, const HttpRequest &request) const
{
    const QDeadlineTimer deadline(m_options.timeout);
    const bool tls = node.scheme() == QLatin1String("https");
    const auto port = static_cast<quint16>(node.port(tls ? kHttpsPort : kHttpPort));
    QSslSocket socket;
    socket.setSslConfiguration(m_tls);
    if (tls)
        socket.connectToHostEncrypted(node.host(), port);
    else
        socket.connectToHost(node.host(), port);
    const bool connected =
        tls ? socket.waitForEncrypted(left(deadline)) : socket.waitForConnected(left(deadline));
    if (!connected)
        return absl::UnavailableError(faultOf(node, socket, "cannot connect"));
    socket.write(encode(node, request));
    while (socket.bytesToWrite() > 0) {
        if (!socket.waitForBytesWritten(left(deadline)))
            break;
    }
    std::optional<HttpReply> reply = readReply(socket, deadline);
    if (!reply)
        return absl::UnknownError(faultOf(node, socket, "the answer was lost"));
    return *std::move(reply);
}

QByteArray HttpClient::encode(const QUrl &node, const HttpRequest &request) const
{
    QByteArray text = request.method + ' ' + request.path + " HTTP/1.1\r\nHost: "
        + node.authority().toUtf8() + "\r\nConnection: close\r\nContent-Length: "
        + QByteArray::number(request.body.size()) + "\r\n";
    if (!request.body.isEmpty())
        text += "Content-Type: application/json\r\n";
    if (!m_options.key.empty())
        text += "Authorization: Bearer " + QByteArray::fromStdString(m_options.key) + "\r\n";
    for (const auto &[name, value] : request.headers)
        text += name + ": " + value + "\r\n";
    return text + "\r\n" + request.body;
}

std::optional<std::vector<QUrl>> parseNodeUrls(const std::string &text)
{
    std::vector<QUrl> nodes;
    for (const QString &part : QString::fromStdString(text).split(QLatin1Char(','))) {
        const QUrl url(part, QUrl::StrictMode);
        const bool scheme =
            url.scheme() == QLatin1String("http") || url.scheme() == QLatin1String("https");
        const bool bare = url.path().isEmpty() || url.path() == QLatin1String("/");
        if (!url.isValid() || !scheme || url.host().isEmpty() || !bare || url.hasQuery()
            || url.hasFragment() || !url.userInfo().isEmpty())
            return std::nullopt;
        nodes.push_back(url);
    }
    return nodes;
}

} // namespace shallotlever
