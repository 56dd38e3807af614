#pragma once

#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include <QTcpSocket>

namespace shallotlever {

/// Maximum size of an incomplete line, in bytes; the connection is closed beyond it.
constexpr std::size_t kMaxLineBytes = 1U << 20U;

/// A TCP connection that transfers text lines terminated by CR LF. Not thread-safe; runs on a
/// thread with a Qt event loop.
class LineSocket
{
public:
    struct Callbacks
    {
        std::function<void(std::string_view line)> line;
        /// The connection was closed or failed; no further callback follows.
        std::function<void()> closed;
    };

    /// Takes ownership of a connected or connecting socket.
    LineSocket(QTcpSocket *socket, Callbacks callbacks);
    /// Closes the connection without invoking callbacks.
    ~LineSocket();
    LineSocket(const LineSocket &) = delete;
    LineSocket &operator=(const LineSocket &) = delete;

    void write(const std::string &bytes);
    /// Sends the buffered bytes, then closes the connection.
    void closeGracefully();
    bool isOpen() const { return !m_ended; }
    /// Whether bytes of the peer have not been passed on as a line yet.
    bool hasUnservedInput() const;
    /// Bytes in the send buffer that the operating system has not accepted yet.
    std::size_t unsentBytes() const;

private:
    void readLines();
    void end();

    QTcpSocket *m_socket;
    Callbacks m_callbacks;
    std::string m_buffer;
    /// Bytes at the start of m_buffer that were passed on.
    std::size_t m_consumed = 0;
    bool m_ended = false;
    /// Expires when a callback destroys this object.
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

} // namespace shallotlever
