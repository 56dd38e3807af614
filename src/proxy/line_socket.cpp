#include "line_socket.h"

#include <algorithm>
#include <utility>

#include "shallotlever/base/clock.h"
#include "shallotlever/base/due.h"
#include "shallotlever/wire/socket_end.h"

namespace shallotlever {

namespace {

constexpr std::string_view kLineEnd = "\r\n";
/// Time for which a peer that takes no output, or does not close, is waited for.
constexpr Duration kLingerTimeout = 2s;
/// Memory of a buffer that is kept when the buffer is empty, and of an incomplete line of a
/// connection that is being closed.
constexpr std::size_t kKeptBytes = 32U << 10U;

} // namespace

LineSocket::LineSocket(QTcpSocket *socket, MemoryAccount &account, Callbacks callbacks)
    : m_socket(socket)
    , m_account(account)
    , m_callbacks(std::move(callbacks))
{
    m_socket->setSocketOption(QAbstractSocket::LowDelayOption, 1);
    m_socket->setReadBufferSize(kReadAheadBytes);
    QObject::connect(m_socket, &QTcpSocket::readyRead, m_socket, [this] { readLines(); });
    QObject::connect(m_socket, &QTcpSocket::bytesWritten, m_socket, [this] { onBytesWritten(); });
    QObject::connect(m_socket, &QTcpSocket::disconnected, m_socket, [this] { end(); });
    QObject::connect(m_socket, &QTcpSocket::errorOccurred, m_socket, [this] { end(); });
}

LineSocket::~LineSocket()
{
    QObject::disconnect(m_socket, nullptr, m_socket, nullptr);
    m_socket->abort();
    m_socket->deleteLater();
}

void LineSocket::write(const std::string &bytes)
{
    if (m_stage != Stage::Open)
        return;
    m_socket->write(bytes.data(), static_cast<qint64>(bytes.size()));
    m_socket->flush();
    updateCharges();
}

void LineSocket::readWaitingLines()
{
    // Without input the call would report a timeout as an error of the socket.
    if (m_stage == Stage::Open && hasUnreadInput())
        m_socket->waitForReadyRead(0);
}

void LineSocket::closeGracefully(TimePoint now)
{
    if (m_stage != Stage::Open)
        return;
    m_stage = Stage::Sending;
    m_lingerUntil = now + kLingerTimeout;
    shutDownWhenSent();
}

void LineSocket::shutDownWhenSent()
{
    if (m_socket->bytesToWrite() > 0)
        return;
    m_stage = Stage::Lingering;
    shutDownSending(*m_socket);
}

void LineSocket::onBytesWritten()
{
    m_lingerProgress = true;
    updateCharges();
    if (m_stage == Stage::Sending)
        shutDownWhenSent();
    else if (m_stage == Stage::Open)
        m_callbacks.sent();
}

void LineSocket::abort()
{
    if (m_stage == Stage::Closed)
        return;
    // The signal of the socket must not report the end a second time.
    const std::weak_ptr<bool> alive = m_alive;
    end();
    if (!alive.expired())
        m_socket->abort();
}

void LineSocket::resume()
{
    if (m_paused)
        readLines();
}

std::optional<TimePoint> LineSocket::unfinishedSince() const
{
    return m_paused || m_stage != Stage::Open ? std::nullopt : m_unfinishedSince;
}

void LineSocket::tick(TimePoint now)
{
    if (m_stage == Stage::Open || m_stage == Stage::Closed)
        return;
    if (std::exchange(m_lingerProgress, false))
        m_lingerUntil = now + kLingerTimeout;
    if (now < m_lingerUntil)
        return;
    m_stage = Stage::Closed;
    m_socket->abort();
}

TimePoint LineSocket::nextTick(TimePoint now) const
{
    if (m_stage == Stage::Open || m_stage == Stage::Closed)
        return kNever;
    return m_lingerProgress ? now : m_lingerUntil;
}

bool LineSocket::hasUnreadInput() const
{
    return shallotlever::hasUnreadInput(*m_socket);
}

bool LineSocket::hasUnservedInput() const
{
    return m_buffer.size() > m_consumed || hasUnreadInput();
}

std::size_t LineSocket::unsentBytes() const
{
    return static_cast<std::size_t>(m_socket->bytesToWrite());
}

void LineSocket::readLines()
{
    if (std::exchange(m_reading, true))
        return;
    const std::weak_ptr<bool> alive = m_alive;
    m_paused = false;
    while (m_stage != Stage::Closed) {
        if (m_buffer.size() == m_consumed && m_socket->bytesAvailable() == 0)
            break;
        m_paused = !takesInput();
        if (m_paused)
            break;
        const bool passed = passLine();
        if (alive.expired())
            return;
        const bool more = passed || readChunk();
        if (alive.expired())
            return;
        if (!more)
            break;
    }
    m_reading = false;
    discardConsumed();
    if (m_paused)
        m_unfinishedSince.reset();
    else if (m_buffer.size() > m_consumed && !m_unfinishedSince)
        m_unfinishedSince = monotonicNow();
    updateCharges();
}

/// Passes on the next line. Returns false if none is complete.
bool LineSocket::passLine()
{
    const std::size_t end = m_buffer.find(kLineEnd, std::max(m_consumed, m_searched));
    if (end == std::string::npos) {
        // The first byte of a line end may be there already.
        m_searched =
            std::max(m_consumed, m_buffer.size() - std::min<std::size_t>(m_buffer.size(), 1));
        return false;
    }
    const std::string line = m_buffer.substr(m_consumed, end - m_consumed);
    m_consumed = end + kLineEnd.size();
    m_unfinishedSince.reset();
    discardConsumed();
    m_callbacks.line(line);
    return true;
}

/// Appends what has been read ahead. Returns false if there is nothing, or if the line is too long.
bool LineSocket::readChunk()
{
    const qint64 available = std::min(m_socket->bytesAvailable(), kReadAheadBytes);
    if (available <= 0)
        return false;
    discardConsumed();
    if (m_stage != Stage::Open && m_buffer.size() > kKeptBytes)
        m_buffer.clear();
    const std::size_t before = m_buffer.size();
    m_searched = std::min(m_searched, before);
    m_buffer.resize(before + static_cast<std::size_t>(available));
    m_socket->read(m_buffer.data() + before, available);
    constexpr auto kStep = static_cast<std::size_t>(kReadAheadBytes);
    // A long line over a slow link makes progress.
    if (before / kStep != m_buffer.size() / kStep)
        m_unfinishedSince.reset();
    if (m_buffer.size() - m_consumed <= kMaxLineBytes + kLineEnd.size() + kStep)
        return true;
    abort();
    return false;
}

bool LineSocket::takesInput()
{
    if (m_stage != Stage::Open)
        return true;
    const qint64 next = std::min(m_socket->bytesAvailable(), kReadAheadBytes);
    const std::size_t grown = m_buffer.size() + static_cast<std::size_t>(next);
    return m_callbacks.takesInput(grown > m_buffer.capacity() ? grown : 0);
}

/// Frees what was passed on, unless more than that is in the buffer.
void LineSocket::discardConsumed()
{
    if (m_consumed == 0 || m_consumed < m_buffer.size() - m_consumed)
        return;
    m_buffer.erase(0, m_consumed);
    m_searched -= std::min(m_searched, m_consumed);
    m_consumed = 0;
    if (m_buffer.empty())
        m_unfinishedSince.reset();
    if (m_buffer.capacity() > kKeptBytes && m_buffer.size() <= kKeptBytes)
        m_buffer = std::string(m_buffer);
}

void LineSocket::updateCharges()
{
    const bool closed = m_stage == Stage::Closed;
    const auto readAhead = static_cast<std::size_t>(m_socket->bytesAvailable());
    const std::size_t input = closed ? 0 : m_buffer.capacity() + readAhead;
    const std::size_t output = closed ? 0 : unsentBytes();
    if (input == m_account.charged(ChargeKind::SessionInput)
        && output == m_account.charged(ChargeKind::SessionOutput))
        return;
    const TimePoint now = monotonicNow();
    m_account.setCharge(ChargeKind::SessionInput, input, now);
    m_account.setCharge(ChargeKind::SessionOutput, output, now);
}

void LineSocket::end()
{
    const Stage before = std::exchange(m_stage, Stage::Closed);
    updateCharges();
    if (before == Stage::Open)
        m_callbacks.closed();
}

} // namespace shallotlever
