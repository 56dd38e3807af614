#pragma once

#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include <QTcpSocket>

namespace shallotlever {

/// Largest line, in bytes.
constexpr std::size_t kMaxLineBytes = 1U << 20U;

/// A TCP connection of text lines that end with CR LF. One thread with a Qt event loop.
class LineSocket
{
public:
    struct Callbacks
    {
        std::function<void(std::string_view line)> line;
        /// The connection has ended or failed; no further call follows.
        std::function<void()> closed;
    };

    /// Takes over a connected or connecting socket.
    LineSocket(QTcpSocket *socket, Callbacks callbacks);
    /// Closes without calling back.
    ~LineSocket();
    LineSocket(const LineSocket &) = delete;
    LineSocket &operator=(const LineSocket &) = delete;

    void write(const std::string &bytes);
    /// Sends what is written, then closes.
    void closeGracefully();
    bool isOpen() const { return !m_ended; }
    /// Bytes that the peer has not taken yet.
    std::size_t unsentBytes() const;

private:
    void readLines();
    void end();

    QTcpSocket *m_socket;
    Callbacks m_callbacks;
    std::string m_buffer;
    bool m_ended = false;
    /// Tells a callback that destroyed this object.
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

} // namespace shallotlever
