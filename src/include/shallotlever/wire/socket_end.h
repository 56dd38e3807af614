#pragma once

#include <QSslSocket>
#include <QTcpSocket>

#include <sys/socket.h>

/// The orderly end of a connection. Closing a socket with unread input resets the connection, and
/// the peer may lose an answer that it has not read. So the sending direction is shut down after
/// the last answer, and input is read until the peer closes.
namespace shallotlever {

/// Whether bytes of the peer wait in Qt's buffer or in that of the operating system.
inline bool hasUnreadInput(const QTcpSocket &socket)
{
    if (socket.bytesAvailable() > 0)
        return true;
    char byte = 0;
    const auto descriptor = static_cast<int>(socket.socketDescriptor());
    return ::recv(descriptor, &byte, 1, MSG_PEEK | MSG_DONTWAIT) > 0;
}

/// Shuts down the sending direction; call it when no output is buffered. Qt has no function for
/// this, so it uses the descriptor. With TLS it does nothing: the peer detects the end of an answer
/// by its length instead.
inline void shutDownSending(const QTcpSocket &socket)
{
    if (qobject_cast<const QSslSocket *>(&socket) == nullptr)
        ::shutdown(static_cast<int>(socket.socketDescriptor()), SHUT_WR);
}

} // namespace shallotlever
