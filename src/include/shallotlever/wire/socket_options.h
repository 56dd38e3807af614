#pragma once

#include <chrono>

#include <QTcpSocket>

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace shallotlever {

/// Closes the connection when data that was sent is not acknowledged for this long. Without it, a
/// connection whose peer has lost power or is partitioned stays open for minutes.
inline void setUserTimeout(const QTcpSocket &socket, std::chrono::milliseconds timeout)
{
    const auto descriptor = static_cast<int>(socket.socketDescriptor());
    const auto value = static_cast<unsigned>(timeout.count());
    setsockopt(descriptor, IPPROTO_TCP, TCP_USER_TIMEOUT, &value, sizeof(value));
}

/// Closing the connection from now on resets it, and discards what has been written and not yet
/// delivered. By default the operating system goes on delivering it after the close.
inline void discardUnsentOnClose(const QTcpSocket &socket)
{
    const auto descriptor = static_cast<int>(socket.socketDescriptor());
    if (descriptor < 0)
        return;
    const linger immediately { .l_onoff = 1, .l_linger = 0 };
    setsockopt(descriptor, SOL_SOCKET, SO_LINGER, &immediately, sizeof(immediately));
}

} // namespace shallotlever
