#pragma once

#include <memory>
#include <span>
#include <string>
#include <string_view>

#include <absl/status/status.h>
#include <absl/status/statusor.h>

#include "shallotlever/base/time.h"
#include "shallotlever/types/fleet.h"
#include "shallotlever/upstream/query.h"

namespace shallotlever {

/// Everything that is sent to an upstream to open a connection. There is no field for a secret, so
/// a caller's key cannot reach an upstream this way.
struct ConnectionParams
{
    Endpoint endpoint;
    std::string user;
    /// Database name of the service.
    std::string database;
    Duration connectTimeout = 1s;
    /// libpq sslmode and gssencmode.
    std::string sslMode = "disable";
    std::string gssEncMode = "disable";
};

/// Removes the environment variables that libpq reads (PGHOST, PGPASSWORD, PGSERVICE, ...). Call it
/// in main before other threads start: UpstreamConnection::open refuses to work while one is set,
/// because some of them cannot be overridden by connection parameters.
void clearLibpqEnvironment();

enum class TransactionStatus : std::uint8_t { Idle, InTransaction, Failed, Unknown };

/// One libpq connection on the Qt event loop of the thread that opened it. It is used and destroyed
/// in that thread only. One statement runs at a time.
///
/// A connection whose statement timed out, was abandoned or lost its answer closes itself and
/// refuses further statements as NotSent, so a late answer can never meet another request.
class UpstreamConnection
{
public:
    using OpenCallback = std::function<void(absl::Status)>;

    /// Starts connecting. `onOpen` is called once from the event loop, with DEADLINE_EXCEEDED,
    /// UNAVAILABLE or RESOURCE_EXHAUSTED (the database's connection limit) on failure.
    static absl::StatusOr<std::unique_ptr<UpstreamConnection>> open(const ConnectionParams &params,
                                                                    OpenCallback onOpen);

    /// Closes the connection. A pending callback is dropped without being called.
    ~UpstreamConnection();
    UpstreamConnection(const UpstreamConnection &) = delete;
    UpstreamConnection &operator=(const UpstreamConnection &) = delete;

    /// Sends one statement. `callback` is called exactly once, from the event loop and never from
    /// inside execute(); it may destroy the connection. A statement without a whole answer after
    /// `timeout` is reported as Abandoned and the connection is closed.
    void execute(std::string_view sql, std::span<const SqlValue> params, Duration timeout,
                 QueryCallback callback);

    /// Runs one statement in a read-only transaction that is rolled back afterwards, in one round
    /// trip: the three commands are sent as a libpq pipeline. Reports like execute(). After an
    /// error of the statement the transaction is still open, as transactionStatus() says.
    void executeReadOnly(std::string_view sql, std::span<const SqlValue> params, Duration timeout,
                         QueryCallback callback);

    /// Closes the connection; a pending statement is reported as Abandoned from the event loop.
    void abandon();

    /// Open and able to take a statement.
    bool isReady() const;
    /// Closed for good.
    bool isClosed() const;
    /// Unknown while a statement runs and after close.
    TransactionStatus transactionStatus() const;
    /// Called once from the event loop if an idle connection is closed by the other side.
    void setIdleCloseCallback(std::function<void()> callback);

private:
    class State;
    explicit UpstreamConnection(std::shared_ptr<State> state);

    std::shared_ptr<State> m_state;
};

} // namespace shallotlever
