#include "http_client.h"

#include <QHostAddress>
#include <QTimer>

namespace shallotlever::load {

struct HttpClient::Slot
{
    QTcpSocket socket;
    QTimer timer;
    HttpRequest request;
    HttpCallback callback;
    QByteArray input;
    bool busy = false;
    bool sent = false;
};

namespace {

QByteArray requestBytes(const HttpRequest &request)
{
    QByteArray text = request.method + " " + request.path + " HTTP/1.1\r\nHost: 127.0.0.1\r\n";
    for (const auto &[name, value] : request.headers)
        text += name + ": " + value + "\r\n";
    text += "Content-Length: " + QByteArray::number(request.body.size()) + "\r\n\r\n";
    return text + request.body;
}

/// Value of a header in the head of an answer; empty if absent.
QByteArray headerValue(const QByteArray &head, const QByteArray &name)
{
    for (const QByteArray &line : head.split('\n')) {
        const qsizetype colon = line.indexOf(':');
        if (colon > 0 && line.left(colon).compare(name, Qt::CaseInsensitive) == 0)
            return line.mid(colon + 1).trimmed();
    }
    return {};
}

} // namespace

HttpClient::HttpClient(quint16 port, int maxConnections)
    : m_port(port)
    , m_maxConnections(maxConnections)
{
}

HttpClient::~HttpClient()
{
    for (const auto &slot : m_slots)
        QObject::disconnect(&slot->socket, nullptr, this, nullptr);
}

void HttpClient::send(HttpRequest request, HttpCallback callback)
{
    m_queue.emplace_back(std::move(request), std::move(callback));
    startNext();
}

HttpClient::Slot *HttpClient::freeSlot()
{
    Slot *unconnected = nullptr;
    for (const auto &slot : m_slots) {
        if (slot->busy)
            continue;
        if (slot->socket.state() == QAbstractSocket::ConnectedState)
            return slot.get();
        if (slot->socket.state() == QAbstractSocket::UnconnectedState)
            unconnected = slot.get();
    }
    if (unconnected != nullptr || static_cast<int>(m_slots.size()) >= m_maxConnections)
        return unconnected;
    Slot &slot = *m_slots.emplace_back(std::make_unique<Slot>());
    slot.timer.setSingleShot(true);
    connect(&slot.socket, &QTcpSocket::connected, this, [this, &slot] { onConnected(slot); });
    connect(&slot.socket, &QTcpSocket::readyRead, this, [this, &slot] { onReadable(slot); });
    connect(&slot.socket, &QTcpSocket::disconnected, this, [this, &slot] { onClosed(slot); });
    connect(&slot.socket, &QTcpSocket::errorOccurred, this, [this, &slot] { onClosed(slot); });
    connect(&slot.timer, &QTimer::timeout, this, [this, &slot] { onClosed(slot); });
    return &slot;
}

void HttpClient::startNext()
{
    while (!m_queue.empty()) {
        Slot *slot = freeSlot();
        if (slot == nullptr)
            return;
        slot->request = std::move(m_queue.front().first);
        slot->callback = std::move(m_queue.front().second);
        m_queue.pop_front();
        assign(*slot);
    }
}

void HttpClient::assign(Slot &slot)
{
    slot.busy = true;
    slot.sent = false;
    slot.input.clear();
    slot.timer.start(slot.request.timeout);
    if (slot.socket.state() == QAbstractSocket::ConnectedState)
        writeRequest(slot);
    else
        slot.socket.connectToHost(QHostAddress(QHostAddress::LocalHost), m_port);
}

void HttpClient::onConnected(Slot &slot)
{
    slot.socket.setSocketOption(QAbstractSocket::LowDelayOption, 1);
    if (slot.busy)
        writeRequest(slot);
}

void HttpClient::writeRequest(Slot &slot)
{
    slot.sent = true;
    slot.socket.write(requestBytes(slot.request));
    if (!slot.request.dropAnswer)
        return;
    slot.socket.flush();
    finish(slot, { Transport::Lost, 0, {} }, false);
}

void HttpClient::onReadable(Slot &slot)
{
    slot.input += slot.socket.readAll();
    const qsizetype end = slot.input.indexOf("\r\n\r\n");
    if (!slot.busy || end < 0)
        return;
    const QByteArray head = slot.input.left(end);
    const qsizetype length = headerValue(head, "Content-Length").toLongLong();
    if (slot.input.size() < end + 4 + length)
        return;
    const bool keep = headerValue(head, "Connection").toLower() != "close";
    const int status = head.mid(head.indexOf(' ') + 1, 3).toInt();
    finish(slot, { Transport::Answered, status, slot.input.mid(end + 4, length) }, keep);
}

void HttpClient::onClosed(Slot &slot)
{
    if (slot.busy)
        finish(slot, { slot.sent ? Transport::Lost : Transport::NotSent, 0, {} }, false);
}

void HttpClient::finish(Slot &slot, HttpReply reply, bool keep)
{
    slot.timer.stop();
    slot.busy = false;
    slot.input.clear();
    if (!keep)
        slot.socket.abort();
    const HttpCallback callback = std::exchange(slot.callback, nullptr);
    // Deferred, because the callback may send on the socket whose signal is being handled.
    QMetaObject::invokeMethod(
        this,
        [this, callback, reply = std::move(reply)] {
            callback(reply);
            startNext();
        },
        Qt::QueuedConnection);
}

} // namespace shallotlever::load
