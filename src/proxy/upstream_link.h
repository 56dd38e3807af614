#pragma once

#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include <QTcpSocket>
#include <QTimer>

#include "line_socket.h"
#include "shallotlever/proxy/protocol.h"

namespace shallotlever {

/// Whole answer of a database to one request.
struct UpstreamReply
{
    /// The connection ended, or the answer could not be read, before the request was answered.
    bool lost = false;
    /// Lines for the caller: rows, then the completion or the error.
    std::string lines;
    bool completed = false;
    std::optional<UpstreamError> error;
    /// Fields of the first row.
    std::string firstRow;
    TransactionState state = TransactionState::None;
    std::optional<HistoryPoint> point;
    TimePoint sentAt;

    bool succeeded() const { return !lost && completed && !error; }
};

/// Why a connection could not be opened.
enum class LinkFailure : std::uint8_t {
    /// No connection to the address, or none in time.
    Unreachable,
    /// The database accepted the connection and did not answer in time.
    TimedOut,
    /// The database ended the connection without an answer, as when it has too many of them.
    Reset,
    /// The database answered with an error.
    Refused,
    Count
};

/// For logs and metrics.
std::string_view linkFailureName(LinkFailure failure);

struct LinkTarget
{
    ServiceId service;
    UpstreamId upstream;
    Endpoint endpoint;
    /// Name under which statements run: a team, or a node.
    std::string user;
};

/// One connection to a database. Requests are answered in order.
class UpstreamLink
{
public:
    using ReplyCallback = std::function<void(const UpstreamReply &)>;
    struct Callbacks
    {
        /// The database has accepted the connection. `point` is the end of its log.
        std::function<void(std::optional<HistoryPoint> point, TimePoint askedAt)> opened;
        /// The connection could not be opened.
        std::function<void(LinkFailure, const std::optional<UpstreamError> &)> failed;
        /// An open connection ended; the callbacks of unanswered requests have been called.
        std::function<void()> closed;
    };

    /// `connectTimeout` is for the connection to the address, `startTimeout` for the answer of the
    /// database after that.
    UpstreamLink(const SessionProtocol &protocol, const LinkTarget &target, Duration connectTimeout,
                 Duration startTimeout, Callbacks callbacks);
    ~UpstreamLink();
    UpstreamLink(const UpstreamLink &) = delete;
    UpstreamLink &operator=(const UpstreamLink &) = delete;

    void send(std::string_view id, std::string_view text, ReplyCallback callback);
    bool isOpen() const { return m_state == State::Open; }
    std::size_t pending() const { return m_pending.size(); }
    /// Time from the first packet to the accepted TCP connection.
    Duration roundTrip() const { return m_roundTrip; }

private:
    enum class State : std::uint8_t { Connecting, Starting, Open, Closed };
    struct Pending
    {
        ReplyCallback callback;
        UpstreamReply reply;
    };

    void onConnected();
    void onOpenTimeout();
    void onLine(std::string_view line);
    void onStartLine(const UpstreamMessage &message);
    void onReplyLine(const UpstreamMessage &message, std::string_view line);
    void failOpening(LinkFailure failure, const std::optional<UpstreamError> &error);
    void end();

    const SessionProtocol &m_protocol;
    LinkTarget m_target;
    Callbacks m_callbacks;
    State m_state = State::Connecting;
    Duration m_startTimeout;
    TimePoint m_startedAt;
    Duration m_roundTrip { 0 };
    std::optional<UpstreamError> m_startError;
    std::deque<Pending> m_pending;
    QTimer m_openTimer;
    QTcpSocket *m_socket;
    std::unique_ptr<LineSocket> m_lines;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

} // namespace shallotlever
