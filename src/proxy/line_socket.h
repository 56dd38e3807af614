#pragma once

#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include <QTcpSocket>

#include "shallotlever/base/time.h"

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
        /// A line was received. Also called after closeGracefully(), when nothing can be sent any
        /// more.
        std::function<void(std::string_view line)> line;
        /// The peer closed the connection, or it failed; no further callback follows. Not called
        /// after closeGracefully().
        std::function<void()> closed;
    };

    /// Takes ownership of a connected or connecting socket.
    LineSocket(QTcpSocket *socket, Callbacks callbacks);
    /// Closes the connection at once, without invoking callbacks.
    ~LineSocket();
    LineSocket(const LineSocket &) = delete;
    LineSocket &operator=(const LineSocket &) = delete;

    void write(const std::string &bytes);
    /// Passes on the lines that the operating system has received and Qt has not read.
    void readWaitingLines();
    /// Sends the buffered bytes and shuts down the sending direction. Input is read until the peer
    /// closes as well; tick() limits how long.
    void closeGracefully(TimePoint now);
    /// Closes the connection if closeGracefully() was called and the peer took too long.
    void tick(TimePoint now);
    /// When tick() has work, or kNever.
    TimePoint nextTick(TimePoint now) const;
    bool isOpen() const { return m_stage == Stage::Open; }
    /// Both directions are closed.
    bool isClosed() const { return m_stage == Stage::Closed; }
    /// Whether bytes of the peer wait to be read.
    bool hasUnreadInput() const;
    /// Whether bytes of the peer have not been passed on as a line yet.
    bool hasUnservedInput() const;
    /// Bytes in the send buffer that the operating system has not accepted yet.
    std::size_t unsentBytes() const;

private:
    enum class Stage { Open, Sending, Lingering, Closed };

    void readLines();
    void onBytesWritten();
    void shutDownWhenSent();
    void end();

    QTcpSocket *m_socket;
    Callbacks m_callbacks;
    std::string m_buffer;
    /// Bytes at the start of m_buffer that were passed on.
    std::size_t m_consumed = 0;
    Stage m_stage = Stage::Open;
    /// End of the time that the peer has to take the output, and then to close; runs anew from the
    /// first tick after progress.
    TimePoint m_lingerUntil;
    bool m_lingerProgress = false;
    /// Expires when a callback destroys this object.
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

} // namespace shallotlever
