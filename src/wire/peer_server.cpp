#include "peer_server.h"

namespace shallotlever {

void PeerServer::incomingConnection(qintptr descriptor)
{
    auto *socket = new QSslSocket(this);
    if (!socket->setSocketDescriptor(descriptor)) {
        socket->deleteLater();
        return;
    }
    if (!m_tls) {
        Q_EMIT accepted(socket);
        return;
    }
    socket->setSslConfiguration(*m_tls);
    connect(socket, &QSslSocket::encrypted, this, [this, socket] {
        disconnect(socket, nullptr, this, nullptr);
        Q_EMIT accepted(socket);
    });
    connect(socket, &QSslSocket::disconnected, socket, &QObject::deleteLater);
    socket->startServerEncryption();
}

} // namespace shallotlever
