#include <gtest/gtest.h>

#include <QFile>
#include <QJsonDocument>
#include <QTcpServer>
#include <QTcpSocket>

#include "event_loop.h"
#include "standin.h"

namespace shallotlever::support {
namespace {

/// Accepts announcements and keeps the last request.
class EntryVm
{
public:
    EntryVm()
    {
        ensureApplication();
        m_server.listen(QHostAddress::LocalHost);
        QObject::connect(&m_server, &QTcpServer::newConnection, [this] { accept(); });
    }
    std::string url() const { return "http://127.0.0.1:" + std::to_string(m_server.serverPort()); }
    int count() const { return m_count; }
    const QByteArray &headers() const { return m_headers; }
    const QJsonObject &body() const { return m_body; }

private:
    void accept()
    {
        QTcpSocket *socket = m_server.nextPendingConnection();
        QObject::connect(socket, &QTcpSocket::readyRead, [this, socket] { read(socket); });
        QObject::connect(socket, &QTcpSocket::disconnected, socket, &QObject::deleteLater);
    }
    void read(QTcpSocket *socket)
    {
        const QByteArray request = socket->peek(socket->bytesAvailable());
        const auto split = request.indexOf("\r\n\r\n");
        const auto body = QJsonDocument::fromJson(request.mid(split + 4));
        if (split < 0 || !body.isObject())
            return;
        m_headers = request.left(split);
        m_body = body.object();
        ++m_count;
        socket->write("HTTP/1.1 204 No Content\r\n\r\n");
        socket->disconnectFromHost();
    }

    QTcpServer m_server;
    QByteArray m_headers;
    QJsonObject m_body;
    int m_count = 0;
};

// Guards against an upstream that is not found because one entry VM is gone, or that leaves unsaid.
TEST(Announcer, AnnouncesToAnEntryVmThatAnswersAndSaysWhenItLeaves)
{
    EntryVm entry;
    QTemporaryDir directory;
    QFile credential(directory.filePath("credential"));
    ASSERT_TRUE(credential.open(QIODevice::WriteOnly));
    credential.write("upstream-secret\n");
    credential.close();
    // Nothing listens on port 1, so the first entry VM is always unreachable.
    StandinDb database("a",
                       { "--initial-primary", "--announce=http://127.0.0.1:1," + entry.url(),
                         "--credential-file=" + credential.fileName().toStdString(),
                         "--service=bookings-db", "--data-centre=krk-a", "--slots=2" });
    ASSERT_TRUE(spinUntil([&] { return entry.count() > 0; }));
    EXPECT_TRUE(entry.headers().startsWith("POST /v1/announcements HTTP/1.1"));
    EXPECT_TRUE(entry.headers().contains("Authorization: Bearer upstream-secret"));
    EXPECT_EQ(entry.body()["upstream"].toString(), "a");
    EXPECT_EQ(entry.body()["service"].toString(), "bookings-db");
    EXPECT_EQ(entry.body()["group"].toString(), "bookings-db");
    EXPECT_EQ(entry.body()["data_centre"].toString(), "krk-a");
    EXPECT_EQ(entry.body()["port"].toInt(), database.endpoint().port);
    EXPECT_EQ(entry.body()["slots"].toInt(), 2);
    EXPECT_EQ(entry.body()["role"].toString(), "primary");
    EXPECT_EQ(entry.body()["term"].toInt(), 1);
    EXPECT_FALSE(entry.body()["leaving"].toBool());
    database.command("leaving on");
    EXPECT_TRUE(spinUntil([&] { return entry.body()["leaving"].toBool(); }));
    database.command("leaving off");
    EXPECT_TRUE(spinUntil([&] { return !entry.body()["leaving"].toBool(); }));
    EXPECT_EQ(database.program().terminate(), 0);
    EXPECT_TRUE(entry.body()["leaving"].toBool());
}

} // namespace
} // namespace shallotlever::support
