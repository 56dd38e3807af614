#include "line_socket.h"

#include <utility>

#include "shallotlever/base/due.h"
#include "shallotlever/wire/socket_end.h"

namespace shallotlever {

namespace {

constexpr std::string_view kLineEnd = "\r\n";
/// Time for which a peer that takes no output, or does not close, is waited for.
constexpr Duration kLingerTimeout = 2s;

} // namespace

LineSocket::LineSocket(QTcpSocket *socket, Callbacks callbacks)
    : m_socket(socket)
    , m_callbacks(std::move(callbacks))
{
    m_socket->setSocketOption(QAbstractSocket::LowDelayOption, 1);
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
    if (m_stage == Stage::Sending)
        shutDownWhenSent();
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
    const QByteArray bytes = m_socket->readAll();
    m_buffer.append(bytes.constData(), static_cast<std::size_t>(bytes.size()));
    const std::weak_ptr<bool> alive = m_alive;
    for (std::size_t found = m_buffer.find(kLineEnd, m_consumed);
         found != std::string::npos && m_stage != Stage::Closed;
         found = m_buffer.find(kLineEnd, m_consumed)) {
        const std::string line = m_buffer.substr(m_consumed, found - m_consumed);
        m_consumed = found + kLineEnd.size();
        m_callbacks.line(line);
        if (alive.expired())
            return;
    }
    m_buffer.erase(0, std::exchange(m_consumed, 0));
    if (m_buffer.size() > kMaxLineBytes)
        end();
}

void LineSocket::end()
{
    const Stage before = std::exchange(m_stage, Stage::Closed);
    if (before == Stage::Open)
        m_callbacks.closed();
}

} // namespace shallotlever
