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

/// Complete response of a database to one request.
struct UpstreamReply
{
    /// The connection was closed or a malformed line was received before the response was complete.
    bool lost = false;
    /// `lost` because the response was longer than an answer may be.
    bool tooLarge = false;
    /// Not OK if the request was not sent, because no message can represent it.
    absl::Status notSent;
    /// Lines to forward to the caller: rows, then the completion or the error.
    std::string lines;
    bool completed = false;
    std::optional<UpstreamError> error;
    /// Fields of the first row.
    std::string firstRow;
    TransactionState state = TransactionState::None;
    std::optional<HistoryPoint> point;
    TimePoint sentAt;

    bool succeeded() const { return !lost && notSent.ok() && completed && !error; }
};

/// Why a connection could not be opened.
enum class LinkOpenFailure : std::uint8_t {
    /// The TCP connection failed or timed out.
    Unreachable,
    /// The database accepted the TCP connection but did not respond in time.
    TimedOut,
    /// The database closed the connection without a response, for example because it had reached
    /// its connection limit.
    Reset,
    /// The database responded with an error or an unexpected message.
    Refused,
    /// No message can represent the name of the service, the user or the database. Nothing was
    /// sent.
    Unnameable,
    Count
};

/// Name used in logs and metrics.
std::string_view linkOpenFailureName(LinkOpenFailure failure);

struct LinkTarget
{
    ServiceId service;
    UpstreamId upstream;
    Endpoint endpoint;
    /// User name sent to the database: a team or a node.
    std::string user;
};

struct LinkOptions
{
    /// TCP connect.
    Duration connect {};
    /// First response of the database.
    Duration handshake {};
    /// A connection whose peer acknowledges no data for this long is closed.
    Duration unacknowledged = 3s;
    /// Closing the connection, also by the end of this process, discards requests that have not
    /// reached the database.
    bool discardUnsent = false;
    /// Charged for what the database has sent.
    std::shared_ptr<MemoryBudget> memory = std::make_shared<MemoryBudget>();
};

/// One connection to a database. Requests are pipelined and answered in order.
class UpstreamLink
{
public:
    using ReplyCallback = std::function<void(const UpstreamReply &)>;
    struct Callbacks
    {
        /// The database accepted the session. `point` is the end of its log.
        std::function<void(std::optional<HistoryPoint> point, TimePoint requestedAt)> opened;
        /// The connection could not be opened.
        std::function<void(LinkOpenFailure, const std::optional<UpstreamError> &)> failed;
        /// An open connection was closed; the callbacks of all pending requests have run before.
        std::function<void()> closed;
    };

    UpstreamLink(const SessionProtocol &protocol, const LinkTarget &target,
                 const LinkOptions &options, Callbacks callbacks);
    ~UpstreamLink();
    UpstreamLink(const UpstreamLink &) = delete;
    UpstreamLink &operator=(const UpstreamLink &) = delete;

    /// Calls back at once if the request can't be sent.
    void send(std::string_view id, const absl::StatusOr<std::string> &text, ReplyCallback callback);
    bool isOpen() const { return m_state == State::Open; }
    std::size_t pending() const { return m_pending.size(); }
    /// Network round trip, measured as the duration of the TCP connect.
    Duration roundTrip() const { return m_roundTrip; }

private:
    enum class State : std::uint8_t { Connecting, Handshake, Open, Closed };
    struct Pending
    {
        ReplyCallback callback;
        UpstreamReply reply;
    };

    void onConnected();
    void onOpenTimeout();
    void onLine(std::string_view line);
    void onHandshakeLine(const UpstreamMessage &message);
    void onReplyLine(const UpstreamMessage &message, std::string_view line);
    void failOpening(LinkOpenFailure failure, const std::optional<UpstreamError> &error);
    void end();
    void chargeAnswer();

    const SessionProtocol &m_protocol;
    LinkTarget m_target;
    Callbacks m_callbacks;
    State m_state = State::Connecting;
    LinkOptions m_options;
    TimePoint m_startedAt;
    Duration m_roundTrip { 0 };
    std::optional<UpstreamError> m_handshakeError;
    std::deque<Pending> m_pending;
    QTimer m_openTimer;
    MemoryAccount m_account;
    QTcpSocket *m_socket;
    std::unique_ptr<LineSocket> m_lines;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

} // namespace shallotlever
