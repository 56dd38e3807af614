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

/// Parameters for opening a connection to an upstream. There is deliberately no field for a secret,
/// so that a caller's key cannot reach an upstream through them.
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

/// Removes the environment variables that libpq reads (PGHOST, PGPASSWORD, PGSERVICE, ...). Must be
/// called in main before other threads start. UpstreamConnection::open fails while one of them is
/// set, because some of them cannot be overridden by connection parameters.
void clearLibpqEnvironment();

enum class TransactionStatus : std::uint8_t { Idle, InTransaction, Failed, Unknown };

/// A libpq connection driven by the Qt event loop of the thread that opened it. Must be used and
/// destroyed in that thread only. Runs one statement at a time.
///
/// If a statement times out, is abandoned or its answer is lost, the connection closes itself and
/// fails further statements with NotSent, so that a late answer can never be mistaken for the
/// answer to another request.
class UpstreamConnection
{
public:
    using OpenCallback = std::function<void(absl::Status)>;

    /// Starts connecting. `onOpen` is called once from the event loop, with DEADLINE_EXCEEDED,
    /// UNAVAILABLE or RESOURCE_EXHAUSTED (the database's connection limit) on failure.
    static absl::StatusOr<std::unique_ptr<UpstreamConnection>> open(const ConnectionParams &params,
                                                                    OpenCallback onOpen);

    /// Closes the connection. Pending callbacks are not called.
    ~UpstreamConnection();
    UpstreamConnection(const UpstreamConnection &) = delete;
    UpstreamConnection &operator=(const UpstreamConnection &) = delete;

    /// Sends one statement. `callback` is called exactly once, from the event loop and never from
    /// inside execute(); it may destroy the connection. If the complete answer has not arrived
    /// after `timeout`, the statement is reported as Abandoned and the connection is closed.
    void execute(std::string_view sql, std::span<const SqlValue> params, Duration timeout,
                 QueryCallback callback);

    /// Runs one statement in a read-only transaction that is rolled back afterwards. The three
    /// commands are sent as a libpq pipeline, in one round trip. `callback` is called as in
    /// execute(). After an error of the statement the transaction is still open (see
    /// transactionStatus()).
    void executeReadOnly(std::string_view sql, std::span<const SqlValue> params, Duration timeout,
                         QueryCallback callback);

    /// Closes the connection. A running statement is reported as Abandoned, and a pending open as
    /// CANCELLED, from the event loop.
    void abandon();

    /// Whether the connection is open and no statement is running.
    bool isReady() const;
    /// Whether the connection is closed; it is never reopened.
    bool isClosed() const;
    /// Returns Unknown while a statement runs and after the connection is closed.
    TransactionStatus transactionStatus() const;
    /// Sets a callback that is called once, from the event loop, if the database closes the
    /// connection while it is idle.
    void setIdleCloseCallback(std::function<void()> callback);

private:
    class State;
    explicit UpstreamConnection(std::shared_ptr<State> state);

    std::shared_ptr<State> m_state;
};

} // namespace shallotlever
