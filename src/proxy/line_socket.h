#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include <QTcpSocket>

#include "shallotlever/base/memory_budget.h"
#include "shallotlever/base/time.h"

namespace shallotlever {

/// Maximum size of an incomplete line, in bytes; the connection is closed beyond it.
constexpr std::size_t kMaxLineBytes = 1U << 20U;
/// Maximum number of bytes that Qt reads ahead of the lines.
constexpr qint64 kReadAheadBytes = 16LL * 1024;

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
        /// Whether the owner takes more input now. If not, reading pauses until resume(); the peer
        /// is slowed down by TCP. Not asked after closeGracefully().
        /// `bytes` is the memory that reading needs.
        std::function<bool(std::size_t bytes)> takesInput = [](std::size_t) { return true; };
        /// The operating system has accepted output.
        std::function<void()> sent = [] {};
    };

    /// Takes ownership of a connected or connecting socket. `account` is charged for the buffers;
    /// it must outlive this object.
    LineSocket(QTcpSocket *socket, MemoryAccount &account, Callbacks callbacks);
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
    /// Closes the connection at once and invokes Callbacks::closed.
    void abort();
    /// Goes on with reading after a pause, if the owner takes input.
    void resume();
    /// Input waits because the owner did not take it.
    bool isPaused() const { return m_paused; }
    /// Since when the last line has been incomplete and no further kReadAheadBytes of it have come,
    /// while reading is not paused.
    std::optional<TimePoint> unfinishedSince() const;
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
    bool passLine();
    bool readChunk();
    bool takesInput();
    void discardConsumed();
    void updateCharges();
    void onBytesWritten();
    void shutDownWhenSent();
    void end();

    QTcpSocket *m_socket;
    MemoryAccount &m_account;
    Callbacks m_callbacks;
    std::string m_buffer;
    /// Bytes at the start of m_buffer that were passed on.
    std::size_t m_consumed = 0;
    /// Bytes at the start of m_buffer in which no further line ends.
    std::size_t m_searched = 0;
    bool m_reading = false;
    bool m_paused = false;
    std::optional<TimePoint> m_unfinishedSince;
    Stage m_stage = Stage::Open;
    /// End of the time that the peer has to take the output, and then to close; runs anew from the
    /// first tick after progress.
    TimePoint m_lingerUntil;
    bool m_lingerProgress = false;
    /// Expires when a callback destroys this object.
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

} // namespace shallotlever
