#include "shallotlever/wire/peer_transport.h"

#include <QCoreApplication>
#include <QElapsedTimer>
#include <QTcpSocket>
#include <gtest/gtest.h>

#include "shallotlever/wire/frame.h"

namespace shallotlever {
namespace {

constexpr int kWaitLimitMs = 10000;

/// Runs the event loop until the condition holds. The time limit ends a test that hangs.
bool runUntil(const std::function<bool()> &condition)
{
    QElapsedTimer timer;
    timer.start();
    while (!condition() && timer.elapsed() < kWaitLimitMs)
        QCoreApplication::processEvents(QEventLoop::AllEvents, 10);
    return condition();
}

struct TestPeer
{
    std::vector<PeerMessage> received;
    std::unique_ptr<PeerTransport> transport;
};

std::unique_ptr<TestPeer> makePeer(const std::string &id, std::uint64_t incarnation,
                                   std::map<NodeId, Endpoint> peers, std::uint16_t port = 0)
{
    auto peer = std::make_unique<TestPeer>();
    TestPeer *raw = peer.get();
    auto transport = PeerTransport::create(
        { NodeId(id), Incarnation(incarnation), { "127.0.0.1", port }, std::move(peers), {} },
        [raw](PeerMessage message) { raw->received.push_back(std::move(message)); });
    EXPECT_TRUE(transport.ok()) << transport.status();
    peer->transport = std::move(*transport);
    return peer;
}

// Guards against a node that can reply only to peers that it connected to itself.
TEST(PeerTransport, RepliesOverInboundLink)
{
    auto server = makePeer("a", 1, {});
    auto client = makePeer("b", 2, { { NodeId("a"), { "127.0.0.1", server->transport->port() } } });
    ASSERT_TRUE(runUntil([&] { return client->transport->isConnected(NodeId("a")); }));
    ASSERT_TRUE(client->transport->send(NodeId("a"), MessageType::NodeReport, 5, "report"));
    ASSERT_TRUE(runUntil([&] { return !server->received.empty(); }));
    EXPECT_EQ(server->received[0].senderIncarnation, Incarnation(2));
    ASSERT_TRUE(server->transport->send(NodeId("b"), MessageType::NodeLease, 5, "lease"));
    ASSERT_TRUE(runUntil([&] { return !client->received.empty(); }));
    EXPECT_EQ(client->received[0].payload, "lease");
}

// Guards against a controller that does not know which nodes it can request reports from.
TEST(PeerTransport, ReportsConnectedPeersAtBothEnds)
{
    auto server = makePeer("a", 1, {});
    std::vector<NodeId> connected;
    QObject::connect(server->transport.get(), &PeerTransport::connected,
                     [&](const NodeId &peer) { connected.push_back(peer); });
    EXPECT_TRUE(server->transport->connectedPeers().empty());
    auto client = makePeer("b", 2, { { NodeId("a"), { "127.0.0.1", server->transport->port() } } });
    ASSERT_TRUE(runUntil(
        [&] { return !connected.empty() && client->transport->isConnected(NodeId("a")); }));
    EXPECT_EQ(connected, std::vector<NodeId> { NodeId("b") });
    EXPECT_EQ(server->transport->connectedPeers(), std::vector<NodeId> { NodeId("b") });
    EXPECT_EQ(client->transport->connectedPeers(), std::vector<NodeId> { NodeId("a") });
}

// Guards against a link that is not re-established after the peer restarts.
TEST(PeerTransport, ReconnectsAfterPeerRestart)
{
    auto server = makePeer("a", 1, {});
    const std::uint16_t port = server->transport->port();
    auto client = makePeer("b", 2, { { NodeId("a"), { "127.0.0.1", port } } });
    ASSERT_TRUE(runUntil([&] { return client->transport->isConnected(NodeId("a")); }));
    server.reset();
    ASSERT_TRUE(runUntil([&] { return !client->transport->isConnected(NodeId("a")); }));
    server = makePeer("a", 7, {}, port);
    ASSERT_TRUE(runUntil([&] { return client->transport->isConnected(NodeId("a")); }));
    client->transport->send(NodeId("a"), MessageType::Forward, 1, "again");
    ASSERT_TRUE(runUntil([&] { return !server->received.empty(); }));
    EXPECT_EQ(server->received[0].receiverIncarnation, Incarnation(7));
}

// Guards against a reply that is delivered to another process than the one that sent the request.
TEST(PeerTransport, ReplyDoesNotReachSuccessorOfRequester)
{
    auto server = makePeer("a", 1, {});
    const std::map<NodeId, Endpoint> peers { { NodeId("a"),
                                               { "127.0.0.1", server->transport->port() } } };
    auto client = makePeer("b", 2, peers);
    ASSERT_TRUE(runUntil([&] { return client->transport->isConnected(NodeId("a")); }));
    client->transport->send(NodeId("a"), MessageType::Forward, 1, "request");
    ASSERT_TRUE(runUntil([&] { return !server->received.empty(); }));
    const PeerProcess requester = server->received[0].senderProcess();
    client.reset();
    client = makePeer("b", 3, peers);
    const PeerProcess successor { NodeId("b"), Incarnation(3) };
    bool sent = false;
    ASSERT_TRUE(runUntil([&] {
        sent =
            sent || server->transport->sendTo(successor, MessageType::ForwardReply, 2, "for b 3");
        return sent;
    }));
    EXPECT_FALSE(server->transport->sendTo(requester, MessageType::ForwardReply, 1, "for b 2"));
    ASSERT_TRUE(runUntil([&] { return !client->received.empty(); }));
    EXPECT_EQ(client->received[0].payload, "for b 3");
    EXPECT_EQ(client->received.size(), 1U);
}

// Guards against a large message that looks like silence until its last byte has arrived.
TEST(PeerTransport, ReportsMessageThatIsArriving)
{
    auto server = makePeer("a", 1, {});
    QTcpSocket client;
    client.connectToHost("127.0.0.1", server->transport->port());
    const auto frameOf = [](MessageType type) {
        return QByteArray::fromStdString(
            *encodeFrame({ type, 0, NodeId("b"), Incarnation(2), {}, "lease" }));
    };
    client.write(frameOf(MessageType::Hello));
    ASSERT_TRUE(runUntil([&] { return server->transport->isConnected(NodeId("b")); }));
    EXPECT_FALSE(server->transport->lastPartialReceiveAt(NodeId("b")));
    const QByteArray frame = frameOf(MessageType::NodeLease);
    client.write(frame.first(frame.size() / 2));
    EXPECT_TRUE(
        runUntil([&] { return server->transport->lastPartialReceiveAt(NodeId("b")).has_value(); }));
    client.write(frame.sliced(frame.size() / 2));
    ASSERT_TRUE(runUntil([&] { return !server->received.empty(); }));
    EXPECT_FALSE(server->transport->lastPartialReceiveAt(NodeId("b")));
}

// Guards against leases that are compressed only in one direction of a link, or for a process of an
// earlier version, which closes the link on a frame that it can't read.
TEST(PeerTransport, CompressesForPeersThatSayTheyReadIt)
{
    auto server = makePeer("a", 1, {});
    auto client = makePeer("b", 2, { { NodeId("a"), { "127.0.0.1", server->transport->port() } } });
    ASSERT_TRUE(runUntil([&] { return client->transport->isConnected(NodeId("a")); }));
    const std::string payload(2000, 'x');
    ASSERT_TRUE(client->transport->send(NodeId("a"), MessageType::NodeReport, 1, payload));
    ASSERT_TRUE(runUntil([&] { return !server->received.empty(); }));
    ASSERT_TRUE(server->transport->send(NodeId("b"), MessageType::NodeLease, 1, payload));
    ASSERT_TRUE(runUntil([&] { return !client->received.empty(); }));
    EXPECT_EQ(server->received[0].payload, payload);
    EXPECT_EQ(client->received[0].payload, payload);
    EXPECT_GT(client->transport->counters().bytesSavedOf(MessageType::NodeReport), 1000U);
    const std::uint64_t saved = server->transport->counters().bytesSavedOf(MessageType::NodeLease);
    EXPECT_GT(saved, 1000U);

    QTcpSocket earlier;
    earlier.connectToHost("127.0.0.1", server->transport->port());
    earlier.write(QByteArray::fromStdString(
        *encodeFrame({ MessageType::Hello, 0, NodeId("c"), Incarnation(2), {}, {} })));
    ASSERT_TRUE(runUntil([&] { return server->transport->isConnected(NodeId("c")); }));
    ASSERT_TRUE(server->transport->send(NodeId("c"), MessageType::NodeLease, 1, payload));
    ASSERT_TRUE(runUntil([&] { return earlier.bytesAvailable() > 2000; }));
    EXPECT_EQ(server->transport->counters().bytesSavedOf(MessageType::NodeLease), saved);
}

// Guards against bytes of another protocol that are delivered as a message or crash the node.
TEST(PeerTransport, RejectsMalformedFrame)
{
    auto server = makePeer("a", 1, {});
    QTcpSocket client;
    client.connectToHost("127.0.0.1", server->transport->port());
    ASSERT_TRUE(runUntil([&] { return client.state() == QAbstractSocket::ConnectedState; }));
    client.write("GET / HTTP/1.1\r\n\r\n");
    ASSERT_TRUE(runUntil([&] { return server->transport->counters().linksRejected == 1; }));
    EXPECT_TRUE(server->received.empty());
}

// Guards against a send to an unknown peer that blocks or reports success.
TEST(PeerTransport, DropsMessageWithoutLink)
{
    auto peer = makePeer("a", 1, {});
    EXPECT_FALSE(peer->transport->send(NodeId("x"), MessageType::Forward, 1, ""));
    EXPECT_EQ(peer->transport->counters().messagesDropped, 1U);
}

} // namespace
} // namespace shallotlever

int main(int argc, char **argv)
{
    QCoreApplication app(argc, argv);
    testing::InitGoogleTest(&argc, argv);
    return RUN_ALL_TESTS();
}
