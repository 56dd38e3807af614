#include "shallotlever/upstream/control.h"

#include <QTimer>
#include <absl/strings/numbers.h>
#include <absl/strings/str_split.h>
#include <list>
#include <memory>
#include <utility>

#include "shallotlever/base/clock.h"
#include "timer.h"

namespace shallotlever {

namespace {

constexpr std::size_t kStatusFields = 4;

struct Call
{
    std::uint64_t id = 0;
    std::string sql;
    std::vector<SqlValue> params;
    TimePoint deadline;
    StatusCallback callback;
};

absl::Status toStatus(const QueryError &error)
{
    switch (error.kind) {
    case QueryErrorKind::Refused:
        return absl::FailedPreconditionError(error.sqlState + ": " + error.message);
    case QueryErrorKind::Abandoned:
        return absl::DeadlineExceededError(error.message);
    case QueryErrorKind::NotSent:
    case QueryErrorKind::LostAfterSend:
        break;
    }
    return absl::UnavailableError(error.message);
}

absl::StatusOr<UpstreamStatus> toUpstreamStatus(const QueryReply &reply)
{
    if (const auto *error = std::get_if<QueryError>(&reply))
        return toStatus(*error);
    const auto &rows = std::get<QueryResult>(reply).rows;
    if (rows.size() != 1 || rows[0].size() != 1 || !rows[0][0])
        return absl::InternalError("expected one row with one field");
    return parseUpstreamStatus(*rows[0][0]);
}

/// Runs calls one at a time, in order, on one connection.
class ControlCore : public std::enable_shared_from_this<ControlCore>
{
public:
    explicit ControlCore(ConnectionParams params)
        : m_params(std::move(params))
    {
    }

    void call(std::string sql, std::vector<SqlValue> params, Duration timeout,
              StatusCallback callback);

private:
    void scheduleStart();
    void start();
    void openConnection();
    void onOpened(const absl::Status &status);
    void send();
    void expire(std::uint64_t id);
    void finishFirst(absl::StatusOr<UpstreamStatus> answer);
    void finish(std::list<Call>::iterator call, absl::StatusOr<UpstreamStatus> answer);

    const ConnectionParams m_params;
    QObject m_context;
    std::uint64_t m_nextId = 0;
    std::list<Call> m_calls;
    /// Whether the first call in the list is in progress: it waits for the connection or for its
    /// answer.
    bool m_running = false;
    std::unique_ptr<UpstreamConnection> m_connection;
};

void ControlCore::call(std::string sql, std::vector<SqlValue> params, Duration timeout,
                       StatusCallback callback)
{
    const std::uint64_t id = ++m_nextId;
    m_calls.push_back(
        { id, std::move(sql), std::move(params), monotonicNow() + timeout, std::move(callback) });
    QTimer::singleShot(timerInterval(timeout), &m_context, [this, id] { expire(id); });
    scheduleStart();
}

void ControlCore::scheduleStart()
{
    QMetaObject::invokeMethod(
        &m_context, [this] { start(); }, Qt::QueuedConnection);
}

void ControlCore::start()
{
    if (m_running || m_calls.empty())
        return;
    m_running = true;
    if (m_connection && m_connection->isReady())
        send();
    else
        openConnection();
}

void ControlCore::openConnection()
{
    ConnectionParams params = m_params;
    params.connectTimeout =
        std::min(params.connectTimeout, m_calls.front().deadline - monotonicNow());
    auto connection =
        UpstreamConnection::open(params, [this](const absl::Status &status) { onOpened(status); });
    if (connection.ok())
        m_connection = *std::move(connection);
    else
        finishFirst(connection.status());
}

void ControlCore::onOpened(const absl::Status &status)
{
    if (status.ok())
        send();
    else
        finishFirst(absl::UnavailableError(status.message()));
}

void ControlCore::send()
{
    const Call &call = m_calls.front();
    m_connection->execute(
        call.sql, call.params, call.deadline - monotonicNow(),
        [this](const QueryReply &reply) { finishFirst(toUpstreamStatus(reply)); });
}

void ControlCore::expire(std::uint64_t id)
{
    const auto call =
        std::find_if(m_calls.begin(), m_calls.end(), [id](const Call &c) { return c.id == id; });
    if (call == m_calls.end())
        return;
    if (m_running && call == m_calls.begin())
        m_connection.reset();
    finish(call, absl::DeadlineExceededError("the call timed out"));
}

void ControlCore::finishFirst(absl::StatusOr<UpstreamStatus> answer)
{
    finish(m_calls.begin(), std::move(answer));
}

void ControlCore::finish(std::list<Call>::iterator call, absl::StatusOr<UpstreamStatus> answer)
{
    // Keeps this object alive if the callback destroys the last UpstreamControl that refers to it.
    const auto self = shared_from_this();
    if (call == m_calls.begin())
        m_running = false;
    const StatusCallback callback = std::move(call->callback);
    m_calls.erase(call);
    scheduleStart();
    callback(std::move(answer));
}

} // namespace

UpstreamControl makeUpstreamControl(ConnectionParams params, ControlStatements statements)
{
    const auto core = std::make_shared<ControlCore>(std::move(params));
    const auto makeTermCall = [core](std::string sql) {
        return [core, sql = std::move(sql)](Term term, Duration timeout, StatusCallback callback) {
            core->call(sql, { std::to_string(term.value()) }, timeout, std::move(callback));
        };
    };
    UpstreamControl control;
    control.status = [core, sql = statements.status](Duration timeout, StatusCallback callback) {
        core->call(sql, {}, timeout, std::move(callback));
    };
    control.fence = makeTermCall(std::move(statements.fence));
    control.promote = makeTermCall(std::move(statements.promote));
    return control;
}

absl::StatusOr<UpstreamStatus> parseUpstreamStatus(std::string_view text)
{
    // In Debian's build of Abseil, absl::string_view is not an alias of std::string_view.
    const std::vector<std::string> fields =
        absl::StrSplit(absl::string_view(text.data(), text.size()), ',');
    std::uint64_t term = 0;
    std::uint64_t position = 0;
    std::uint64_t fenced = 0;
    if (fields.size() != kStatusFields || !absl::SimpleAtoi(fields[0], &term)
        || !absl::SimpleAtoi(fields[1], &position) || !absl::SimpleAtoi(fields[3], &fenced)
        || (fields[2] != "primary" && fields[2] != "replica"))
        return absl::InternalError("malformed status");
    UpstreamStatus status;
    status.point = { Term(term), LogPosition(position) };
    status.role = fields[2] == "primary" ? UpstreamRole::Primary : UpstreamRole::Replica;
    status.fencedTerm = Term(fenced);
    return status;
}

} // namespace shallotlever
