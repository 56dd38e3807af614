#pragma once

#include <chrono>
#include <deque>
#include <functional>
#include <memory>
#include <vector>

#include <QByteArray>
#include <QList>
#include <QObject>
#include <QPair>
#include <QTcpSocket>

namespace shallotlever::load {

struct HttpRequest
{
    QByteArray method = "POST";
    QByteArray path;
    QList<QPair<QByteArray, QByteArray>> headers;
    QByteArray body;
    /// Closes the connection once the request is sent, as a caller does whose link breaks.
    bool dropAnswer = false;
    std::chrono::milliseconds timeout { 5000 };
};

enum class Transport {
    Answered,
    /// No connection was made, so nothing was sent.
    NotSent,
    /// The request may have been sent; no complete answer arrived.
    Lost,
};

struct HttpReply
{
    Transport transport = Transport::Lost;
    int status = 0;
    QByteArray body;
};

using HttpCallback = std::function<void(HttpReply)>;

/// Keep-alive HTTP/1.1 client of one node, with a bounded number of connections; requests beyond
/// them queue. Never repeats a request. One thread.
class HttpClient : public QObject
{
public:
    HttpClient(quint16 port, int maxConnections);
    ~HttpClient() override;

    quint16 port() const { return m_port; }
    void send(HttpRequest request, HttpCallback callback);

private:
    struct Slot;

    void startNext();
    void assign(Slot &slot);
    void onConnected(Slot &slot);
    void writeRequest(Slot &slot);
    void onReadable(Slot &slot);
    void onClosed(Slot &slot);
    void finish(Slot &slot, HttpReply reply, bool keep);
    Slot *freeSlot();

    quint16 m_port;
    int m_maxConnections;
    std::vector<std::unique_ptr<Slot>> m_slots;
    std::deque<std::pair<HttpRequest, HttpCallback>> m_queue;
};

} // namespace shallotlever::load
