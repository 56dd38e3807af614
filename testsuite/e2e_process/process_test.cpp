#include <gtest/gtest.h>

#include <QDeadlineTimer>
#include <QFile>
#include <QProcess>
#include <QSslCertificate>
#include <QSslConfiguration>
#include <QTcpSocket>
#include <algorithm>

#include "cluster.h"
#include "event_loop.h"

namespace shallotlever::support {
namespace {

constexpr int kWaitLimitMs = std::chrono::milliseconds(kWaitLimit).count();

/// Certificates made by the openssl command in a temporary directory.
class Certificates
{
public:
    std::string path(const std::string &name) const
    {
        return m_directory.filePath(QString::fromStdString(name)).toStdString();
    }
    void makeAuthority(const std::string &name) const
    {
        run({ "req", "-x509", "-newkey", "rsa:2048", "-nodes", "-days", "2", "-subj", "/CN=" + name,
              "-keyout", path(name + ".key"), "-out", path(name + ".pem") });
    }
    /// A certificate for 127.0.0.1 of the authority.
    void make(const std::string &name, const std::string &authority) const
    {
        QFile extension(QString::fromStdString(path(name + ".ext")));
        ASSERT_TRUE(extension.open(QIODevice::WriteOnly));
        extension.write("subjectAltName=IP:127.0.0.1,DNS:" + QByteArray::fromStdString(name)
                        + "\nextendedKeyUsage=serverAuth,clientAuth\n");
        extension.close();
        run({ "req", "-newkey", "rsa:2048", "-nodes", "-subj", "/CN=" + name, "-keyout",
              path(name + ".key"), "-out", path(name + ".csr") });
        run({ "x509", "-req", "-days", "2", "-in", path(name + ".csr"), "-CA",
              path(authority + ".pem"), "-CAkey", path(authority + ".key"), "-CAcreateserial",
              "-extfile", path(name + ".ext"), "-out", path(name + ".pem") });
    }
    std::vector<std::string> peerOptions(const std::string &name,
                                         const std::string &authority) const
    {
        return { "--peer-tls-cert=" + path(name + ".pem"), "--peer-tls-key=" + path(name + ".key"),
                 "--peer-tls-ca=" + path(authority + ".pem") };
    }

private:
    static void run(const std::vector<std::string> &arguments)
    {
        QStringList list;
        for (const std::string &argument : arguments)
            list.append(QString::fromStdString(argument));
        QProcess process;
        process.start("openssl", list);
        ASSERT_TRUE(process.waitForFinished(kWaitLimitMs));
        ASSERT_EQ(process.exitCode(), 0) << process.readAllStandardError().toStdString();
    }

    QTemporaryDir m_directory;
};

/// Arguments without the options that begin with one of the prefixes.
std::vector<std::string> without(const std::vector<std::string> &arguments,
                                 const std::vector<std::string> &prefixes)
{
    std::vector<std::string> kept;
    for (const std::string &argument : arguments) {
        const auto begins = [&](const std::string &prefix) { return argument.starts_with(prefix); };
        if (std::none_of(prefixes.begin(), prefixes.end(), begins))
            kept.push_back(argument);
    }
    return kept;
}

int exitStatus(std::vector<std::string> arguments)
{
    QStringList list;
    for (const std::string &argument : arguments)
        list.append(QString::fromStdString(argument));
    QProcess process;
    process.start(SHALLOTLEVERD, list);
    return process.waitForFinished(kWaitLimitMs) ? process.exitCode() : -1;
}

HttpRequest readyRequest()
{
    HttpRequest request;
    request.method = "GET";
    request.path = "/readyz";
    return request;
}

// Guards against a node that takes a peer without a certificate of the authority, and against
// members that cannot work together over TLS.
TEST(Process, PeersAuthenticateEachOther)
{
    Certificates certificates;
    certificates.makeAuthority("ours");
    certificates.makeAuthority("theirs");
    for (const char *node : { "n0", "n1", "n2" })
        certificates.make(node, "ours");
    Cluster cluster({ .nodeOptions = certificates.peerOptions("{node}", "ours") });
    const HttpReply written = cluster.write(1, "INSERT INTO t VALUES (1, 'x')");
    EXPECT_TRUE(written.ok()) << written.kind();

    // The node with the foreign certificate trusts the authority of the others.
    cluster.killNode(2);
    std::vector<std::string> arguments = without(cluster.arguments(2), { "--peer-tls-" });
    certificates.make("n2", "theirs");
    for (const std::string &option : certificates.peerOptions("n2", "ours"))
        arguments.push_back(option);
    Program stranger(SHALLOTLEVERD, arguments);
    for (int i = 0; i < 20; ++i) {
        EXPECT_FALSE(sendHttp(cluster.port(2), readyRequest()).ok());
        spinUntil([end = QDeadlineTimer(100)] { return end.hasExpired(); });
    }
    EXPECT_TRUE(pollUntil(
        [&] { return cluster.write(1, "INSERT OR REPLACE INTO t VALUES (2, 'x')").ok(); }));
    stranger.kill();
    certificates.make("n2", "ours");
    cluster.startNode(2);
    EXPECT_TRUE(pollUntil([&] { return sendHttp(cluster.port(2), readyRequest()).ok(); }));
}

// Guards against a listener for callers that answers without encryption, or not at all with it.
TEST(Process, CallersUseTls)
{
    Certificates certificates;
    certificates.makeAuthority("ours");
    certificates.make("node", "ours");
    Cluster cluster;
    cluster.killNode(0);
    std::vector<std::string> arguments = cluster.arguments(0);
    arguments.push_back("--http-tls-cert=" + certificates.path("node.pem"));
    arguments.push_back("--http-tls-key=" + certificates.path("node.key"));
    Program node(SHALLOTLEVERD, arguments);
    QSslConfiguration tls = QSslConfiguration::defaultConfiguration();
    tls.setCaCertificates(
        QSslCertificate::fromPath(QString::fromStdString(certificates.path("ours.pem"))));
    EXPECT_TRUE(pollUntil([&] { return sendHttp(cluster.port(0), readyRequest(), &tls).ok(); }));
    EXPECT_EQ(sendHttp(cluster.port(0), readyRequest()).status, 0);
}

// Guards against a broken frame that ends the node or its links to other peers.
TEST(Process, BrokenFrameClosesOnlyItsConnection)
{
    Cluster cluster;
    const QByteArray frames[] = { QByteArray(64, '\xff'), QByteArray(64, '\0'),
                                  QByteArray("GET / HTTP/1.1\r\n\r\n"),
                                  QByteArray("\0\0\0\x10", 4) + QByteArray(16, '\x7f') };
    for (const QByteArray &frame : frames) {
        QTcpSocket socket;
        socket.connectToHost("127.0.0.1", cluster.peerPort(0));
        ASSERT_TRUE(socket.waitForConnected(kWaitLimitMs));
        socket.write(frame);
        EXPECT_TRUE(socket.waitForBytesWritten(kWaitLimitMs));
        EXPECT_TRUE(socket.state() == QAbstractSocket::UnconnectedState
                    || socket.waitForDisconnected(kWaitLimitMs));
    }
    for (int node = 0; node < cluster.size(); ++node)
        EXPECT_TRUE(cluster.read(node, "SELECT 1").ok());
}

// Guards against settings that are accepted by the check and refused at the start, or the reverse.
TEST(Process, CheckSettings)
{
    Cluster cluster;
    std::vector<std::string> good = cluster.arguments(0);
    good.emplace_back("--check-settings");
    EXPECT_EQ(exitStatus(good), 0);
    std::vector<std::string> bad = good;
    bad.emplace_back("--edge-threads=0");
    EXPECT_NE(exitStatus(bad), 0);
    EXPECT_NE(exitStatus(without(good, { "--allow-insecure-peers" })), 0);
    EXPECT_NE(exitStatus(without(good, { "--data-dir" })), 0);
}

} // namespace
} // namespace shallotlever::support
