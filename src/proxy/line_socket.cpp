#include "line_socket.h"

#include <utility>

#include "shallotlever/wire/socket_end.h"

namespace shallotlever {

namespace {

constexpr std::string_view kLineEnd = "\r\n";

} // namespace

LineSocket::LineSocket(QTcpSocket *socket, Callbacks callbacks)
    : m_socket(socket)
    , m_callbacks(std::move(callbacks))
{
    m_socket->setSocketOption(QAbstractSocket::LowDelayOption, 1);
    QObject::connect(m_socket, &QTcpSocket::readyRead, m_socket, [this] { readLines(); });
    QObject::connect(m_socket, &QTcpSocket::disconnected, m_socket, [this] { end(); });
    QObject::connect(m_socket, &QTcpSocket::errorOccurred, m_socket, [this] { end(); });
}

LineSocket::~LineSocket()
{
    QObject::disconnect(m_socket, nullptr, m_socket, nullptr);
    if (m_socket->state() == QAbstractSocket::ClosingState)
        QObject::connect(m_socket, &QTcpSocket::disconnected, m_socket, &QObject::deleteLater);
    else
        m_socket->abort();
    if (m_socket->state() == QAbstractSocket::UnconnectedState)
        m_socket->deleteLater();
}

void LineSocket::write(const std::string &bytes)
{
    if (m_ended)
        return;
    m_socket->write(bytes.data(), static_cast<qint64>(bytes.size()));
    m_socket->flush();
}

void LineSocket::closeGracefully()
{
    m_ended = true;
    m_socket->disconnectFromHost();
}

bool LineSocket::hasUnservedInput() const
{
    return m_buffer.size() > m_consumed || hasUnreadInput(*m_socket);
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
    for (std::size_t found = m_buffer.find(kLineEnd); found != std::string::npos && !m_ended;
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
    if (m_ended)
        return;
    m_ended = true;
    m_callbacks.closed();
}

} // namespace shallotlever
