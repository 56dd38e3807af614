#include "relay.h"

#include <QTcpServer>
#include <QTcpSocket>
#include <QTimer>
#include <stdexcept>

#include "event_loop.h"

namespace shallotlever::support {

namespace {

/// Data that waited for a blocked direction are forwarded this long after it is resumed at most.
constexpr std::chrono::milliseconds kResumeInterval { 20 };
constexpr qint64 kBufferBytes = 64 * 1024;

void pump(QTcpSocket *source, QTcpSocket *target, const std::atomic<bool> &blocked)
{
    if (blocked || target->state() != QAbstractSocket::ConnectedState)
        return;
    target->write(source->readAll());
    if (source->state() == QAbstractSocket::UnconnectedState)
        target->disconnectFromHost();
}

void relayOneWay(QTcpSocket *source, QTcpSocket *target, const std::atomic<bool> &blocked)
{
    source->setReadBufferSize(kBufferBytes);
    const auto forward = [source, target, &blocked] { pump(source, target, blocked); };
    QObject::connect(source, &QTcpSocket::readyRead, target, forward);
    QObject::connect(source, &QTcpSocket::disconnected, target, forward);
    QObject::connect(target, &QTcpSocket::connected, target, forward);
    auto *timer = new QTimer(target);
    QObject::connect(timer, &QTimer::timeout, target, forward);
    timer->start(kResumeInterval);
}

} // namespace

RelayNetwork::RelayNetwork(std::vector<RelayPath> paths)
    : m_paths(std::move(paths))
{
    for (const RelayPath &path : m_paths) {
        for (const Direction way : { Direction(path.from, path.to), Direction(path.to, path.from) })
            m_blocked.try_emplace(way, std::make_unique<std::atomic<bool>>(false));
    }
    start();
    if (!spinUntil([this] { return m_started.load(); }))
        throw std::runtime_error("the relay did not start");
}

RelayNetwork::~RelayNetwork()
{
    quit();
    wait();
}

void RelayNetwork::setBlocked(int from, int to, bool blocked)
{
    *m_blocked.at({ from, to }) = blocked;
}

void RelayNetwork::isolate(int node, bool isolated)
{
    for (const auto &[way, blocked] : m_blocked) {
        if (way.first == node || way.second == node)
            *blocked = isolated;
    }
}

void RelayNetwork::run()
{
    QObject owner;
    for (const RelayPath &path : m_paths) {
        auto *server = new QTcpServer(&owner);
        server->listen(QHostAddress::LocalHost);
        m_ports[{ path.from, path.to }] = server->serverPort();
        const std::atomic<bool> &out = *m_blocked.at({ path.from, path.to });
        const std::atomic<bool> &back = *m_blocked.at({ path.to, path.from });
        QObject::connect(server, &QTcpServer::newConnection, server, [server, path, &out, &back] {
            while (QTcpSocket *dialer = server->nextPendingConnection()) {
                auto *target = new QTcpSocket(dialer);
                relayOneWay(dialer, target, out);
                relayOneWay(target, dialer, back);
                QObject::connect(target, &QTcpSocket::errorOccurred, dialer,
                                 [dialer] { dialer->disconnectFromHost(); });
                target->connectToHost(QHostAddress(QHostAddress::LocalHost), path.targetPort);
            }
        });
    }
    m_started = true;
    exec();
}

} // namespace shallotlever::support
