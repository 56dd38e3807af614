#include "shallotlever/upstream/connection.h"

#include <QSocketNotifier>
#include <QTimer>
#include <absl/strings/match.h>
#include <absl/strings/numbers.h>
#include <algorithm>
#include <array>
#include <utility>

#include "environment.h"
#include "libpq_result.h"
#include "timer.h"

namespace shallotlever {

namespace {

/// Placeholder, not a secret. Without a password libpq would read the user's password file. A
/// database that requires a password rejects the placeholder.
constexpr const char *kPlaceholderPassword = "none";
/// SQLSTATE too_many_connections, as libpq prefixes it to the text of a verbose error message.
constexpr const char *kTooManyConnectionsPrefix = "53300:";

struct ConnectionDeleter
{
    void operator()(PGconn *connection) const { PQfinish(connection); }
};
struct DeferredDeleter
{
    // A notifier may be released by a slot connected to its own signal, so that it cannot be
    // deleted at once.
    void operator()(QSocketNotifier *notifier) const
    {
        notifier->setEnabled(false);
        notifier->deleteLater();
    }
};
using NotifierPtr = std::unique_ptr<QSocketNotifier, DeferredDeleter>;

} // namespace

class UpstreamConnection::State : public std::enable_shared_from_this<State>
{
public:
    enum class Phase { Connecting, Idle, Running, Closed };

    static absl::StatusOr<std::shared_ptr<State>> start(const ConnectionParams &params,
                                                        OpenCallback onOpen);
    enum class Mode { Single, ReadOnlyPipeline };

    void execute(Mode mode, std::string_view sql, std::span<const SqlValue> params,
                 Duration timeout, QueryCallback callback);
    void abandon();
    /// Closes the connection without calling any callback.
    void dispose();

    Phase phase() const { return m_phase; }
    TransactionStatus transactionStatus() const;
    void setIdleCloseCallback(std::function<void()> callback)
    {
        m_onIdleClose = std::move(callback);
    }

private:
    void watchSocket();
    void onReadable();
    void onWritable();
    void onTimeout();
    void pollConnect();
    void finishOpen(absl::Status status);
    absl::Status connectFailure() const;
    /// Reads the input that has arrived. Returns false if the database closed the connection.
    bool consumePendingInput();
    bool sendStatement(const std::string &sql, std::span<const SqlValue> params);
    bool sendReadOnly(const std::string &sql, std::span<const SqlValue> params);
    void readPipeline();
    void addPipelineResult(PGresult *result);
    void flushOutput();
    void readIdle();
    void readAnswer();
    void addResult(ResultPtr result);
    void finishQuery(QueryReply reply);
    void failQuery(QueryErrorKind kind, std::string message);
    void close();
    /// Runs `action` from the event loop, unless this object is destroyed first.
    void invokeLater(std::function<void()> action);

    std::unique_ptr<PGconn, ConnectionDeleter> m_connection;
    NotifierPtr m_readNotifier;
    NotifierPtr m_writeNotifier;
    QTimer m_timer;
    /// Context object of deferred calls and signal connections, which are cancelled when it is
    /// destroyed.
    QObject m_context;
    Phase m_phase = Phase::Connecting;
    OpenCallback m_onOpen;
    QueryCallback m_onReply;
    std::function<void()> m_onIdleClose;
    std::optional<QueryReply> m_reply;
    Mode m_mode = Mode::Single;
    /// Number of pipeline results read so far.
    int m_pipelineResults = 0;
};

absl::StatusOr<std::shared_ptr<UpstreamConnection::State>>
UpstreamConnection::State::start(const ConnectionParams &params, OpenCallback onOpen)
{
    if (const char *variable = findLibpqVariable()) {
        return absl::FailedPreconditionError(std::string(variable)
                                             + " is set; call clearLibpqEnvironment first");
    }
    if (params.endpoint.host.empty() || params.user.empty() || params.database.empty())
        return absl::InvalidArgumentError("host, user and database are required");
    const std::string port = std::to_string(params.endpoint.port);
    const std::array keys { "hostaddr",
                            "port",
                            "user",
                            "dbname",
                            "password",
                            "sslmode",
                            "gssencmode",
                            "client_encoding",
                            static_cast<const char *>(nullptr) };
    const std::array values { params.endpoint.host.c_str(),
                              port.c_str(),
                              params.user.c_str(),
                              params.database.c_str(),
                              kPlaceholderPassword,
                              params.sslMode.c_str(),
                              params.gssEncMode.c_str(),
                              "UTF8",
                              static_cast<const char *>(nullptr) };
    auto state = std::make_shared<State>();
    state->m_connection.reset(PQconnectStartParams(keys.data(), values.data(), 0));
    PGconn *connection = state->m_connection.get();
    if (connection == nullptr)
        return absl::ResourceExhaustedError("libpq could not allocate a connection");
    state->m_onOpen = std::move(onOpen);
    // An immediate failure is also reported from the event loop, not from inside this call.
    if (PQstatus(connection) == CONNECTION_BAD || PQsocket(connection) < 0) {
        state->invokeLater([raw = state.get()] { raw->finishOpen(raw->connectFailure()); });
        return state;
    }
    PQsetnonblocking(connection, 1);
    PQsetErrorVerbosity(connection, PQERRORS_VERBOSE);
    PQsetNoticeProcessor(
        connection, [](void *, const char *) {}, nullptr);
    state->m_timer.setSingleShot(true);
    QObject::connect(&state->m_timer, &QTimer::timeout, [raw = state.get()] { raw->onTimeout(); });
    state->m_timer.start(timerInterval(params.connectTimeout));
    state->watchSocket();
    state->m_readNotifier->setEnabled(false);
    state->m_writeNotifier->setEnabled(true);
    return state;
}

void UpstreamConnection::State::invokeLater(std::function<void()> action)
{
    QMetaObject::invokeMethod(
        &m_context,
        [self = weak_from_this(), run = std::move(action)] {
            if (const auto alive = self.lock())
                run();
        },
        Qt::QueuedConnection);
}

void UpstreamConnection::State::watchSocket()
{
    const int socket = PQsocket(m_connection.get());
    if (m_readNotifier && m_readNotifier->socket() == socket)
        return;
    m_readNotifier.reset(new QSocketNotifier(socket, QSocketNotifier::Read));
    m_writeNotifier.reset(new QSocketNotifier(socket, QSocketNotifier::Write));
    m_writeNotifier->setEnabled(false);
    QObject::connect(m_readNotifier.get(), &QSocketNotifier::activated, &m_context,
                     [this] { onReadable(); });
    QObject::connect(m_writeNotifier.get(), &QSocketNotifier::activated, &m_context,
                     [this] { onWritable(); });
}

void UpstreamConnection::State::onReadable()
{
    // Keeps this object alive if a callback destroys the connection.
    const auto self = shared_from_this();
    switch (m_phase) {
    case Phase::Connecting:
        return pollConnect();
    case Phase::Idle:
        return readIdle();
    case Phase::Running:
        return readAnswer();
    case Phase::Closed:
        return;
    }
}

void UpstreamConnection::State::onWritable()
{
    const auto self = shared_from_this();
    if (m_phase == Phase::Connecting)
        pollConnect();
    else if (m_phase == Phase::Running)
        flushOutput();
}

void UpstreamConnection::State::onTimeout()
{
    const auto self = shared_from_this();
    if (m_phase == Phase::Connecting)
        finishOpen(absl::DeadlineExceededError("connect timeout"));
    else if (m_phase == Phase::Running)
        failQuery(QueryErrorKind::Abandoned, "the statement timed out");
}

void UpstreamConnection::State::pollConnect()
{
    const PostgresPollingStatusType status = PQconnectPoll(m_connection.get());
    if (status == PGRES_POLLING_FAILED)
        return finishOpen(connectFailure());
    if (status == PGRES_POLLING_OK) {
        watchSocket();
        m_writeNotifier->setEnabled(false);
        m_readNotifier->setEnabled(true);
        return finishOpen(absl::OkStatus());
    }
    watchSocket();
    m_readNotifier->setEnabled(status == PGRES_POLLING_READING);
    m_writeNotifier->setEnabled(status == PGRES_POLLING_WRITING);
}

absl::Status UpstreamConnection::State::connectFailure() const
{
    const std::string message = PQerrorMessage(m_connection.get());
    // For a failed connect libpq reports the SQLSTATE only in the verbose message text.
    if (absl::StrContains(message, kTooManyConnectionsPrefix))
        return absl::ResourceExhaustedError(message);
    return absl::UnavailableError(message);
}

void UpstreamConnection::State::finishOpen(absl::Status status)
{
    m_timer.stop();
    if (status.ok())
        m_phase = Phase::Idle;
    else
        close();
    if (const auto callback = std::exchange(m_onOpen, nullptr))
        callback(std::move(status));
}

bool UpstreamConnection::State::consumePendingInput()
{
    return PQconsumeInput(m_connection.get()) == 1 && PQstatus(m_connection.get()) == CONNECTION_OK;
}

bool UpstreamConnection::State::sendStatement(const std::string &sql,
                                              std::span<const SqlValue> params)
{
    std::vector<const char *> values;
    values.reserve(params.size());
    for (const SqlValue &param : params)
        values.push_back(param ? param->c_str() : nullptr);
    return PQsendQueryParams(m_connection.get(), sql.c_str(), static_cast<int>(values.size()),
                             nullptr, values.data(), nullptr, nullptr, 0)
        == 1;
}

bool UpstreamConnection::State::sendReadOnly(const std::string &sql,
                                             std::span<const SqlValue> params)
{
    PGconn *connection = m_connection.get();
    return PQenterPipelineMode(connection) == 1 && sendStatement("BEGIN READ ONLY", {})
        && sendStatement(sql, params) && sendStatement("ROLLBACK", {})
        && PQpipelineSync(connection) == 1;
}

void UpstreamConnection::State::execute(Mode mode, std::string_view sql,
                                        std::span<const SqlValue> params, Duration timeout,
                                        QueryCallback callback)
{
    const auto refuse = [&](const char *reason) {
        invokeLater([callback = std::move(callback), reason] {
            callback(makeError(QueryErrorKind::NotSent, reason));
        });
    };
    if (m_phase != Phase::Idle)
        return refuse("the connection is closed or busy");
    const auto containsNul = [](const SqlValue &v) { return v && v->find('\0') != v->npos; };
    if (sql.find('\0') != sql.npos || std::any_of(params.begin(), params.end(), containsNul))
        return refuse("the statement holds a zero byte");
    // Detects a connection that the database closed while it was idle, before anything is sent.
    if (!consumePendingInput()) {
        close();
        return refuse("the connection was closed by the database");
    }
    const std::string text(sql);
    const bool sent =
        mode == Mode::Single ? sendStatement(text, params) : sendReadOnly(text, params);
    if (!sent) {
        close();
        return refuse("libpq refused the statement");
    }
    m_phase = Phase::Running;
    m_mode = mode;
    m_pipelineResults = 0;
    m_onReply = std::move(callback);
    m_timer.start(timerInterval(timeout));
    m_writeNotifier->setEnabled(PQflush(m_connection.get()) != 0);
}

void UpstreamConnection::State::flushOutput()
{
    // A write error is not handled here: the next read reports it, with the final error message of
    // the server if there is one.
    m_writeNotifier->setEnabled(PQflush(m_connection.get()) == 1);
}

void UpstreamConnection::State::readIdle()
{
    if (consumePendingInput())
        return;
    close();
    if (const auto callback = std::exchange(m_onIdleClose, nullptr))
        callback();
}

void UpstreamConnection::State::readAnswer()
{
    PGconn *connection = m_connection.get();
    if (PQconsumeInput(connection) == 0)
        return failQuery(QueryErrorKind::LostAfterSend, PQerrorMessage(connection));
    if (m_mode == Mode::ReadOnlyPipeline)
        return readPipeline();
    while (PQisBusy(connection) == 0) {
        ResultPtr result(PQgetResult(connection));
        if (!result)
            break;
        if (isCopy(result.get()))
            return failQuery(QueryErrorKind::LostAfterSend, "COPY is not supported");
        addResult(std::move(result));
    }
    if (PQstatus(connection) != CONNECTION_OK)
        return failQuery(QueryErrorKind::LostAfterSend, PQerrorMessage(connection));
    // The reply is complete only after the ReadyForQuery message.
    if (PQisBusy(connection) == 0 && PQtransactionStatus(connection) != PQTRANS_ACTIVE)
        finishQuery(m_reply ? std::move(*m_reply)
                            : makeError(QueryErrorKind::LostAfterSend, "no answer"));
}

void UpstreamConnection::State::readPipeline()
{
    PGconn *connection = m_connection.get();
    // A null result ends each command; two in a row mean that no further result has arrived.
    for (int nullResults = 0; nullResults < 2 && PQisBusy(connection) == 0;) {
        const ResultPtr result(PQgetResult(connection));
        nullResults = result ? 0 : nullResults + 1;
        if (!result)
            continue;
        if (PQresultStatus(result.get()) != PGRES_PIPELINE_SYNC) {
            addPipelineResult(result.get());
            continue;
        }
        if (!m_reply || PQexitPipelineMode(connection) == 0)
            return failQuery(QueryErrorKind::LostAfterSend, "the pipeline gave no answer");
        return finishQuery(std::move(*m_reply));
    }
    if (PQstatus(connection) != CONNECTION_OK)
        failQuery(QueryErrorKind::LostAfterSend, PQerrorMessage(connection));
}

void UpstreamConnection::State::addPipelineResult(PGresult *result)
{
    // The results are those of BEGIN, the statement and ROLLBACK. The reply is the result of the
    // statement, or the first error.
    constexpr int kStatementResult = 1;
    const int index = m_pipelineResults++;
    if (m_reply || PQresultStatus(result) == PGRES_PIPELINE_ABORTED)
        return;
    QueryReply reply = toReply(result);
    if (index == kStatementResult || std::holds_alternative<QueryError>(reply))
        m_reply = std::move(reply);
}

void UpstreamConnection::State::addResult(ResultPtr result)
{
    QueryReply reply = toReply(result.get());
    const bool failed = std::holds_alternative<QueryError>(reply);
    if (!m_reply || (failed && std::holds_alternative<QueryResult>(*m_reply)))
        m_reply = std::move(reply);
}

void UpstreamConnection::State::finishQuery(QueryReply reply)
{
    const auto *error = std::get_if<QueryError>(&reply);
    if (error != nullptr && error->kind != QueryErrorKind::Refused)
        close();
    else
        m_phase = Phase::Idle;
    m_timer.stop();
    m_reply.reset();
    if (const auto callback = std::exchange(m_onReply, nullptr))
        callback(std::move(reply));
}

void UpstreamConnection::State::failQuery(QueryErrorKind kind, std::string message)
{
    QueryError error = makeError(kind, std::move(message));
    if (m_reply) {
        if (const auto *known = std::get_if<QueryError>(&*m_reply))
            error.sqlState = known->sqlState;
    }
    finishQuery(std::move(error));
}

void UpstreamConnection::State::abandon()
{
    const bool running = m_phase == Phase::Running;
    const bool connecting = m_phase == Phase::Connecting;
    close();
    if (running) {
        invokeLater(
            [this] { failQuery(QueryErrorKind::Abandoned, "the statement was abandoned"); });
    } else if (connecting) {
        invokeLater([this] { finishOpen(absl::CancelledError("the connection was abandoned")); });
    }
}

void UpstreamConnection::State::close()
{
    m_phase = Phase::Closed;
    m_timer.stop();
    // The notifiers are released before the socket is closed, because its file descriptor may be
    // reused immediately.
    m_readNotifier.reset();
    m_writeNotifier.reset();
    m_connection.reset();
}

void UpstreamConnection::State::dispose()
{
    m_onOpen = nullptr;
    m_onReply = nullptr;
    m_onIdleClose = nullptr;
    close();
}

TransactionStatus UpstreamConnection::State::transactionStatus() const
{
    if (m_phase != Phase::Idle)
        return TransactionStatus::Unknown;
    switch (PQtransactionStatus(m_connection.get())) {
    case PQTRANS_IDLE:
        return TransactionStatus::Idle;
    case PQTRANS_INTRANS:
        return TransactionStatus::InTransaction;
    case PQTRANS_INERROR:
        return TransactionStatus::Failed;
    default:
        return TransactionStatus::Unknown;
    }
}

absl::StatusOr<std::unique_ptr<UpstreamConnection>>
UpstreamConnection::open(const ConnectionParams &params, OpenCallback onOpen)
{
    auto state = State::start(params, std::move(onOpen));
    if (!state.ok())
        return state.status();
    return std::unique_ptr<UpstreamConnection>(new UpstreamConnection(*std::move(state)));
}

UpstreamConnection::UpstreamConnection(std::shared_ptr<State> state)
    : m_state(std::move(state))
{
}

UpstreamConnection::~UpstreamConnection()
{
    m_state->dispose();
}

void UpstreamConnection::execute(std::string_view sql, std::span<const SqlValue> params,
                                 Duration timeout, QueryCallback callback)
{
    m_state->execute(State::Mode::Single, sql, params, timeout, std::move(callback));
}

void UpstreamConnection::executeReadOnly(std::string_view sql, std::span<const SqlValue> params,
                                         Duration timeout, QueryCallback callback)
{
    m_state->execute(State::Mode::ReadOnlyPipeline, sql, params, timeout, std::move(callback));
}

void UpstreamConnection::abandon()
{
    m_state->abandon();
}

bool UpstreamConnection::isReady() const
{
    return m_state->phase() == State::Phase::Idle;
}

bool UpstreamConnection::isClosed() const
{
    return m_state->phase() == State::Phase::Closed;
}

TransactionStatus UpstreamConnection::transactionStatus() const
{
    return m_state->transactionStatus();
}

void UpstreamConnection::setIdleCloseCallback(std::function<void()> callback)
{
    m_state->setIdleCloseCallback(std::move(callback));
}

} // namespace shallotlever
