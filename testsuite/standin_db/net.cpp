#include "net.h"

#include <arpa/inet.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>
#include <stdexcept>

namespace standin {

namespace {

constexpr std::size_t kReceiveBytes = 64 * 1024;
constexpr int kBacklog = 256;

sockaddr_in toSockaddr(const Address &address)
{
    sockaddr_in result {};
    result.sin_family = AF_INET;
    result.sin_port = htons(address.port);
    if (inet_pton(AF_INET, address.host.c_str(), &result.sin_addr) != 1)
        throw std::runtime_error("not an IPv4 address: " + address.host);
    return result;
}

void disableNagle(int fd)
{
    const int on = 1;
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
}

} // namespace

Address parseAddress(std::string_view text)
{
    const auto colon = text.rfind(':');
    if (colon == std::string_view::npos)
        throw std::invalid_argument("expected host:port");
    const int port = std::stoi(std::string(text.substr(colon + 1)));
    return { std::string(text.substr(0, colon)), static_cast<std::uint16_t>(port) };
}

Socket::~Socket()
{
    if (m_fd >= 0)
        close(m_fd);
}

Socket &Socket::operator=(Socket &&other) noexcept
{
    std::swap(m_fd, other.m_fd);
    std::swap(m_buffer, other.m_buffer);
    return *this;
}

void Socket::setTimeout(int milliseconds) const
{
    const timeval limit { milliseconds / 1000, (milliseconds % 1000) * 1000 };
    setsockopt(m_fd, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof(limit));
    setsockopt(m_fd, SOL_SOCKET, SO_SNDTIMEO, &limit, sizeof(limit));
}

bool Socket::sendAll(std::string_view bytes) const
{
    while (!bytes.empty()) {
        const ssize_t sent = ::send(m_fd, bytes.data(), bytes.size(), MSG_NOSIGNAL);
        if (sent <= 0)
            return false;
        bytes.remove_prefix(static_cast<std::size_t>(sent));
    }
    return true;
}

bool Socket::fill()
{
    const std::size_t old = m_buffer.size();
    m_buffer.resize(old + kReceiveBytes);
    const ssize_t got = ::recv(m_fd, m_buffer.data() + old, kReceiveBytes, 0);
    m_buffer.resize(old + static_cast<std::size_t>(got > 0 ? got : 0));
    return got > 0;
}

std::optional<std::string> Socket::receive(std::size_t length)
{
    while (m_buffer.size() < length) {
        if (!fill())
            return std::nullopt;
    }
    std::string result = m_buffer.substr(0, length);
    m_buffer.erase(0, length);
    return result;
}

std::optional<std::string> Socket::receiveLine()
{
    std::size_t end = 0;
    while ((end = m_buffer.find('\n')) == std::string::npos) {
        if (!fill())
            return std::nullopt;
    }
    auto line = receive(end + 1);
    line->pop_back();
    return line;
}

Socket listenOn(const Address &address)
{
    Socket socket(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
    const int on = 1;
    setsockopt(socket.fd(), SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    const sockaddr_in target = toSockaddr(address);
    if (bind(socket.fd(), reinterpret_cast<const sockaddr *>(&target), sizeof(target)) != 0
        || listen(socket.fd(), kBacklog) != 0)
        throw std::runtime_error("cannot listen on " + address.host);
    return socket;
}

std::uint16_t localPort(const Socket &socket)
{
    sockaddr_in local {};
    socklen_t length = sizeof(local);
    getsockname(socket.fd(), reinterpret_cast<sockaddr *>(&local), &length);
    return ntohs(local.sin_port);
}

Socket acceptFrom(const Socket &listener)
{
    Socket socket(accept4(listener.fd(), nullptr, nullptr, SOCK_CLOEXEC));
    if (socket.valid())
        disableNagle(socket.fd());
    return socket;
}

Socket connectTo(const Address &address, int timeoutMs)
{
    Socket socket(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
    socket.setTimeout(timeoutMs);
    disableNagle(socket.fd());
    const sockaddr_in target = toSockaddr(address);
    if (connect(socket.fd(), reinterpret_cast<const sockaddr *>(&target), sizeof(target)) != 0)
        return Socket();
    return socket;
}

} // namespace standin
