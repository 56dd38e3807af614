#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

namespace standin {

struct Address
{
    std::string host;
    std::uint16_t port = 0;
};

/// Parses "host:port"; throws std::invalid_argument.
Address parseAddress(std::string_view text);

/// A blocking TCP socket that closes itself.
class Socket
{
public:
    explicit Socket(int fd = -1)
        : m_fd(fd)
    {
    }
    ~Socket();
    Socket(Socket &&other) noexcept
        : m_fd(std::exchange(other.m_fd, -1))
        , m_buffer(std::move(other.m_buffer))
    {
    }
    Socket &operator=(Socket &&other) noexcept;

    bool valid() const { return m_fd >= 0; }
    int fd() const { return m_fd; }
    /// Applies to each later send and receive.
    void setTimeout(int milliseconds) const;
    bool sendAll(std::string_view bytes) const;
    /// std::nullopt on end of stream, error or timeout.
    std::optional<std::string> receive(std::size_t length);
    /// Without the line feed.
    std::optional<std::string> receiveLine();

private:
    bool fill();

    int m_fd;
    std::string m_buffer;
};

/// Listens on the address; throws std::runtime_error. Port 0 lets the system choose.
Socket listenOn(const Address &address);
std::uint16_t localPort(const Socket &socket);
Socket acceptFrom(const Socket &listener);
/// An invalid socket if the address cannot be reached within the timeout, which stays set.
Socket connectTo(const Address &address, int timeoutMs);

} // namespace standin
