#pragma once

#include <optional>

#include <QSslConfiguration>
#include <QSslSocket>
#include <QTcpServer>

namespace shallotlever {

/// Accepts peer connections. Uses TLS if a TLS configuration is set.
class PeerServer : public QTcpServer
{
    Q_OBJECT
public:
    using QTcpServer::QTcpServer;

    void setTls(const QSslConfiguration &configuration) { m_tls = configuration; }

Q_SIGNALS:
    /// Emitted when the connection is established and, with TLS, the peer's certificate is
    /// verified.
    void accepted(QSslSocket *socket);

protected:
    void incomingConnection(qintptr descriptor) override;

private:
    std::optional<QSslConfiguration> m_tls;
};

} // namespace shallotlever
