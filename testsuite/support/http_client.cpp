#include "http_client.h"

#include <QDeadlineTimer>
#include <QJsonArray>
#include <QJsonDocument>
#include <QSslConfiguration>
#include <QSslSocket>

#include "event_loop.h"

namespace shallotlever::support {

namespace {

constexpr int kWaitLimitMs = std::chrono::milliseconds(kWaitLimit).count();

QByteArray headerLine(const char *name, const std::string &value)
{
    return value.empty() ? QByteArray()
                         : QByteArray(name) + ": " + QByteArray::fromStdString(value) + "\r\n";
}

QByteArray encode(const HttpRequest &request)
{
    QByteArray body = QByteArray::fromStdString(request.rawBody);
    if (body.isEmpty() && !request.body.isEmpty())
        body = QJsonDocument(request.body).toJson(QJsonDocument::Compact);
    const std::string deadline = request.deadlineMs > 0 ? std::to_string(request.deadlineMs) : "";
    return QByteArray::fromStdString(request.method + " " + request.path + " HTTP/1.1\r\n")
        + "Host: 127.0.0.1\r\nConnection: close\r\nContent-Type: application/json\r\n"
        + headerLine("Authorization", request.key.empty() ? "" : "Bearer " + request.key)
        + headerLine("Shallotlever-Session", request.session)
        + headerLine("Idempotency-Key", request.idempotencyKey)
        + headerLine("Shallotlever-Deadline-Ms", deadline)
        + "Content-Length: " + QByteArray::number(body.size()) + "\r\n\r\n" + body;
}

std::string headerValue(const QByteArray &head, const QByteArray &name)
{
    for (const QByteArray &line : head.split('\n')) {
        const qsizetype colon = line.indexOf(':');
        if (line.left(colon).compare(name, Qt::CaseInsensitive) == 0)
            return line.mid(colon + 1).trimmed().toStdString();
    }
    return {};
}

/// Status 0 unless the answer is complete.
HttpReply decode(const QByteArray &answer)
{
    const qsizetype end = answer.indexOf("\r\n\r\n");
    if (end < 0)
        return {};
    const QByteArray head = answer.left(end);
    const QByteArray body = answer.mid(end + 4);
    if (body.size() < std::atoi(headerValue(head, "Content-Length").c_str()))
        return {};
    return { head.mid(9, 3).toInt(), QJsonDocument::fromJson(body).object(),
             headerValue(head, "Shallotlever-Session") };
}

} // namespace

std::string HttpReply::text(const char *field) const
{
    return body[QLatin1String(field)].toString().toStdString();
}

std::string HttpReply::kind() const
{
    return body["error"].toObject()["kind"].toString().toStdString();
}

std::string HttpReply::outcome() const
{
    return body["error"].toObject()["outcome"].toString().toStdString();
}

std::string HttpReply::cell(int row, int column) const
{
    return body["rows"].toArray().at(row).toArray().at(column).toString().toStdString();
}

HttpReply sendHttp(std::uint16_t port, const HttpRequest &request, const QSslConfiguration *tls)
{
    QSslSocket socket;
    if (tls != nullptr) {
        socket.setSslConfiguration(*tls);
        socket.connectToHostEncrypted("127.0.0.1", port);
        if (!socket.waitForEncrypted(kWaitLimitMs))
            return {};
    } else {
        socket.connectToHost("127.0.0.1", port);
        if (!socket.waitForConnected(kWaitLimitMs))
            return {};
    }
    socket.write(encode(request));
    const QDeadlineTimer deadline(kWaitLimit);
    QByteArray answer;
    HttpReply reply;
    while (reply.status == 0 && !deadline.hasExpired()) {
        const bool more = socket.waitForReadyRead(kWaitLimitMs);
        answer += socket.readAll();
        reply = decode(answer);
        if (!more)
            break;
    }
    return reply;
}

} // namespace shallotlever::support
