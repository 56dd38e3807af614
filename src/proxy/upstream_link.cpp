#include "upstream_link.h"

#include <utility>

#include <QHostAddress>

#include "shallotlever/base/clock.h"
#include "shallotlever/wire/peer.h"
#include "shallotlever/wire/socket_options.h"

namespace shallotlever {

namespace {

/// Longest response of a database; a longer one would not fit into a message to another node.
constexpr std::size_t kMaxAnswerBytes = kMaxPayloadBytes;

} // namespace

std::string_view linkOpenFailureName(LinkOpenFailure failure)
{
    switch (failure) {
    case LinkOpenFailure::Unreachable:
        return "unreachable";
    case LinkOpenFailure::TimedOut:
        return "timed_out";
    case LinkOpenFailure::Reset:
        return "reset";
    case LinkOpenFailure::Refused:
        return "refused";
    case LinkOpenFailure::Unnameable:
        return "unnameable";
    case LinkOpenFailure::Count:
        break;
    }
    return "unknown";
}

UpstreamLink::UpstreamLink(const SessionProtocol &protocol, const LinkTarget &target,
                           const LinkOptions &options, Callbacks callbacks)
    : m_protocol(protocol)
    , m_target(target)
    , m_callbacks(std::move(callbacks))
    , m_options(options)
    , m_startedAt(monotonicNow())
    , m_account(*m_options.memory)
    , m_socket(new QTcpSocket)
    , m_lines(std::make_unique<LineSocket>(
          m_socket, m_account,
          LineSocket::Callbacks { [this](std::string_view line) { onLine(line); },
                                  [this] { end(); } }))
{
    QObject::connect(m_socket, &QTcpSocket::connected, m_socket, [this] { onConnected(); });
    QObject::connect(&m_openTimer, &QTimer::timeout, &m_openTimer, [this] { onOpenTimeout(); });
    m_openTimer.setSingleShot(true);
    m_openTimer.start(std::chrono::duration_cast<std::chrono::milliseconds>(options.connect));
    m_socket->connectToHost(QHostAddress(QString::fromStdString(target.endpoint.host)),
                            target.endpoint.port);
}

UpstreamLink::~UpstreamLink() = default;

void UpstreamLink::onConnected()
{
    setUserTimeout(*m_socket,
                   std::chrono::duration_cast<std::chrono::milliseconds>(m_options.unacknowledged));
    if (m_options.discardUnsent)
        discardUnsentOnClose(*m_socket);
    m_roundTrip = monotonicNow() - m_startedAt;
    m_state = State::Handshake;
    m_openTimer.start(std::chrono::duration_cast<std::chrono::milliseconds>(m_options.handshake));
    const auto start = m_protocol.start(m_target.service, m_target.user, m_target.upstream);
    if (start.ok())
        m_lines->write(*start);
    else
        failOpening(LinkOpenFailure::Unnameable, std::nullopt);
}

void UpstreamLink::send(std::string_view id, const absl::StatusOr<std::string> &text,
                        ReplyCallback callback)
{
    UpstreamReply reply;
    reply.sentAt = monotonicNow();
    if (m_state != State::Open) {
        reply.lost = true;
        callback(reply);
        return;
    }
    const absl::StatusOr<std::string> message = text.ok() ? m_protocol.request(id, *text) : text;
    if (!message.ok()) {
        reply.notSent = message.status();
        callback(reply);
        return;
    }
    if (m_pending.empty())
        m_account.noteProgress(monotonicNow());
    m_pending.push_back({ std::move(callback), std::move(reply) });
    m_lines->write(*message);
}

void UpstreamLink::onLine(std::string_view line)
{
    const UpstreamMessage message = m_protocol.decodeUpstream(line);
    if (m_state == State::Handshake)
        onHandshakeLine(message);
    else if (m_state == State::Open)
        onReplyLine(message, line);
}

void UpstreamLink::onHandshakeLine(const UpstreamMessage &message)
{
    if (const auto *ready = std::get_if<UpstreamReady>(&message)) {
        m_openTimer.stop();
        m_state = State::Open;
        m_callbacks.opened(ready->point, m_startedAt);
    } else if (const auto *error = std::get_if<UpstreamError>(&message)) {
        failOpening(LinkOpenFailure::Refused, *error);
    } else {
        failOpening(LinkOpenFailure::Refused, std::nullopt);
    }
}

void UpstreamLink::onReplyLine(const UpstreamMessage &message, std::string_view line)
{
    if (m_pending.empty() || std::holds_alternative<MalformedReply>(message)) {
        end();
        return;
    }
    UpstreamReply &reply = m_pending.front().reply;
    if (const auto *ready = std::get_if<UpstreamReady>(&message)) {
        reply.state = ready->state;
        reply.point = ready->point;
        // A response without a completion or an error does not prove whether the request ran.
        if (!reply.completed && !reply.error) {
            end();
            return;
        }
        const Pending answered = std::move(m_pending.front());
        m_pending.pop_front();
        chargeAnswer();
        m_account.noteProgress(monotonicNow());
        answered.callback(answered.reply);
        return;
    }
    if (const auto *error = std::get_if<UpstreamError>(&message))
        reply.error = *error;
    reply.completed = reply.completed || std::holds_alternative<UpstreamComplete>(message);
    const auto *row = std::get_if<UpstreamRow>(&message);
    if (row != nullptr && reply.firstRow.empty())
        reply.firstRow = row->fields;
    const bool tooLarge = reply.lines.size() + line.size() > kMaxAnswerBytes;
    if (tooLarge || m_account.mustClose()) {
        reply.tooLarge = tooLarge;
        reply.lines = {};
        end();
        return;
    }
    reply.lines.append(line).append("\r\n");
    chargeAnswer();
}

void UpstreamLink::chargeAnswer()
{
    const std::size_t bytes = m_pending.empty() ? 0 : m_pending.front().reply.lines.capacity();
    m_account.setCharge(ChargeKind::CollectedAnswers, bytes, monotonicNow());
}

void UpstreamLink::onOpenTimeout()
{
    const bool connected = m_state == State::Handshake;
    failOpening(connected ? LinkOpenFailure::TimedOut : LinkOpenFailure::Unreachable, std::nullopt);
}

void UpstreamLink::failOpening(LinkOpenFailure failure, const std::optional<UpstreamError> &error)
{
    m_openTimer.stop();
    m_state = State::Closed;
    m_callbacks.failed(failure, error);
}

void UpstreamLink::end()
{
    if (m_state == State::Closed)
        return;
    const State before = std::exchange(m_state, State::Closed);
    m_openTimer.stop();
    const std::weak_ptr<bool> alive = m_alive;
    for (Pending &pending : std::exchange(m_pending, {})) {
        pending.reply.lost = true;
        pending.callback(pending.reply);
        if (alive.expired())
            return;
    }
    if (before == State::Open)
        m_callbacks.closed();
    else
        m_callbacks.failed(before == State::Handshake ? LinkOpenFailure::Reset
                                                      : LinkOpenFailure::Unreachable,
                           std::nullopt);
}

} // namespace shallotlever
