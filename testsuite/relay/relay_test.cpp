#include <fstream>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include <QJsonArray>
#include <QJsonDocument>
#include <QJsonObject>
#include <QNetworkAccessManager>
#include <QNetworkReply>
#include <QTcpServer>
#include <QTemporaryDir>

#include <gtest/gtest.h>

#include "event_loop.h"
#include "program.h"

namespace shallotlever {
namespace {

using support::Program;
using support::spinUntil;

const std::string kOperatorKey = "operator-key-of-the-relay-test";

/// Ports that were free a moment ago; peers must know each other's ports before they start.
std::vector<std::uint16_t> freePorts(std::size_t count)
{
    std::vector<std::unique_ptr<QTcpServer>> servers;
    std::vector<std::uint16_t> ports;
    for (std::size_t i = 0; i < count; ++i) {
        servers.push_back(std::make_unique<QTcpServer>());
        servers.back()->listen(QHostAddress::LocalHost);
        ports.push_back(servers.back()->serverPort());
    }
    return ports;
}

/// Three control members, a relay and two nodes behind it.
class Relay : public testing::Test
{
protected:
    Relay()
    {
        support::ensureApplication();
        m_http = std::make_unique<QNetworkAccessManager>();
        std::ofstream(path("secret")) << std::string(32, 's');
        std::ofstream(path("operator")) << kOperatorKey;
        const std::vector<std::uint16_t> ports = freePorts(4);
        for (std::size_t i = 0; i < 3; ++i) {
            m_members += (i == 0 ? "" : ",") + address("c" + std::to_string(i), ports[i]);
        }
        for (std::size_t i = 0; i < 3; ++i) {
            const std::string id = "c" + std::to_string(i);
            QDir().mkdir(QString::fromStdString(path(id)));
            startNode(id, ports[i], { "--control", "--data-dir", path(id) });
        }
        startNode("relay", ports[3], { "--relay" });
        for (const char *id : { "n1", "n2" })
            startNode(id, 0, { "--relays", address("relay", ports[3]) });
    }

    static std::string address(const std::string &id, std::uint16_t port)
    {
        return id + "=127.0.0.1:" + std::to_string(port);
    }
    std::string path(const std::string &name) const
    {
        return m_directory.filePath(QString::fromStdString(name)).toStdString();
    }

    void startNode(const std::string &id, std::uint16_t peerPort,
                   const std::vector<std::string> &extra)
    {
        std::vector<std::string> arguments { "--node-id",
                                             id,
                                             "--data-centre",
                                             "waw-a",
                                             "--region",
                                             "mazowsze",
                                             "--listen",
                                             "127.0.0.1:0",
                                             "--peer-listen",
                                             "127.0.0.1:" + std::to_string(peerPort),
                                             "--control-members",
                                             m_members,
                                             "--session-secret-file",
                                             path("secret"),
                                             "--operator-key-file",
                                             path("operator"),
                                             "--allow-insecure-peers",
                                             "--log-output",
                                             "stderr",
                                             "--edge-threads",
                                             "1",
                                             "--executor-threads",
                                             "1",
                                             "--log-level",
                                             "warning" };
        arguments.insert(arguments.end(), extra.begin(), extra.end());
        m_nodes[id] = std::make_unique<Program>(SHALLOTLEVERD, arguments);
    }

    struct Answer
    {
        int status = 0;
        QByteArray body;
    };
    /// POST if there is a body.
    Answer request(const std::string &node, const QString &target, const QByteArray &body = {})
    {
        QNetworkRequest request(QStringLiteral("http://127.0.0.1:%1%2")
                                    .arg(m_nodes.at(node)->port("port"))
                                    .arg(target));
        request.setRawHeader("Authorization", "Bearer " + QByteArray::fromStdString(kOperatorKey));
        request.setHeader(QNetworkRequest::ContentTypeHeader, QStringLiteral("application/json"));
        std::unique_ptr<QNetworkReply> reply(body.isEmpty() ? m_http->get(request)
                                                            : m_http->post(request, body));
        spinUntil([&] { return reply->isFinished(); });
        return { reply->attribute(QNetworkRequest::HttpStatusCodeAttribute).toInt(),
                 reply->readAll() };
    }
    bool ready(const std::string &node)
    {
        return request(node, QStringLiteral("/readyz")).status == 200;
    }
    bool allReady(const std::vector<std::string> &nodes)
    {
        return spinUntil([&] {
            return std::all_of(nodes.begin(), nodes.end(),
                               [this](const std::string &node) { return ready(node); });
        });
    }
    QJsonObject status()
    {
        return QJsonDocument::fromJson(request("n1", QStringLiteral("/v1/operator/status")).body)
            .object();
    }
    /// Applied configuration version of each node that holds a lease.
    std::map<std::string, int> appliedVersions()
    {
        std::map<std::string, int> applied;
        for (const QJsonValue &node : status()[QLatin1String("nodes")].toArray()) {
            applied[node.toObject()[QLatin1String("id")].toString().toStdString()] =
                node.toObject()[QLatin1String("applied_version")].toInt();
        }
        return applied;
    }
    /// Sends one change through n1 until it is accepted and in force; false if that never happens.
    bool changeInForce(int basedOn)
    {
        const QByteArray body =
            QStringLiteral(R"({"change_id":"change-%1","based_on":%1,"wait":true,)"
                           R"("change":{"op":"put_service","service":{"id":"s%1"}}})")
                .arg(basedOn)
                .toUtf8();
        return spinUntil([&] {
            const QJsonObject answer =
                QJsonDocument::fromJson(
                    request("n1", QStringLiteral("/v1/operator/changes"), body).body)
                    .object();
            return answer[QLatin1String("outcome")].toString() == QLatin1String("accepted")
                && answer[QLatin1String("in_force")].toBool();
        });
    }
    bool relayCarriesReports()
    {
        const QString name = QStringLiteral("shallotlever_relayed_reports_total ");
        const QByteArray metrics = request("relay", QStringLiteral("/metrics")).body;
        const auto at = metrics.indexOf(("\n" + name).toUtf8());
        return at >= 0 && metrics.mid(at + 1 + name.size(), 1) != "0";
    }

    QTemporaryDir m_directory;
    std::string m_members;
    std::unique_ptr<QNetworkAccessManager> m_http;
    std::map<std::string, std::unique_ptr<Program>> m_nodes;
};

const std::vector<std::string> kNodes { "c0", "c1", "c2", "relay", "n1", "n2" };

// A change must reach nodes that the controller has no direct answer from.
TEST_F(Relay, ChangeComesIntoForceOnEveryNode)
{
    ASSERT_TRUE(allReady(kNodes));
    EXPECT_TRUE(relayCarriesReports());
    ASSERT_TRUE(changeInForce(0));
    for (const std::string &node : kNodes)
        EXPECT_TRUE(spinUntil([&] { return appliedVersions()[node] == 1; })) << node;
}

// The death of a relay must not take its data centre's nodes with it.
TEST_F(Relay, NodesFallBackWhenTheRelayIsKilled)
{
    ASSERT_TRUE(allReady(kNodes));
    ASSERT_TRUE(changeInForce(0));
    m_nodes.at("relay")->kill();
    // The relay's own lease ends before the second change is in force, the nodes' leases must not
    // be missing afterwards.
    ASSERT_TRUE(changeInForce(1));
    EXPECT_TRUE(spinUntil([this] { return !appliedVersions().contains("relay"); }));
    for (const char *node : { "n1", "n2" }) {
        EXPECT_TRUE(allReady({ node })) << node;
        EXPECT_TRUE(spinUntil([&] { return appliedVersions()[node] == 2; })) << node;
    }
}

} // namespace
} // namespace shallotlever
