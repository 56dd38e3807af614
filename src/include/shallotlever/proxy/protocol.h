#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>

#include "absl/status/statusor.h"
#include "shallotlever/base/errors.h"
#include "shallotlever/base/ids.h"
#include "shallotlever/types/fleet.h"

/// Messages of line-based TCP sessions, and the function table that encodes and decodes them. Only
/// this table knows the wire syntax of a protocol.
namespace shallotlever {

enum class TransactionState : std::uint8_t { None, Open, Failed };

// Messages from callers.

/// Opens a session; the first message of a connection.
struct SessionStart
{
    DatabaseName database;
    /// Secret key of the caller; empty if none was sent. Never logged or sent upstream.
    std::string key;
};
struct SessionEnd
{
};

enum class StatementKind : std::uint8_t {
    Begin,
    BeginReadOnly,
    Commit,
    Rollback,
    Read,
    Write,
    /// Sets a session variable.
    Set,
    Prepare,
    /// Runs a prepared statement.
    Execute,
    /// Drops a prepared statement.
    Deallocate,
};

/// A prepared statement of a session.
struct PreparedStatement
{
    bool writes = false;
    /// Definition of the statement, forwarded to the database unchanged.
    std::string shape;
    friend auto operator<=>(const PreparedStatement &, const PreparedStatement &) = default;
};

/// Names a prepared statement on one connection to a database.
using PreparedNumber = Number<struct PreparedNumberTag>;

struct Statement
{
    /// Assigned by the caller and forwarded to the database.
    std::string id;
    StatementKind kind = StatementKind::Read;
    /// Text as sent by the caller.
    std::string text;
    /// Set, Prepare, Execute, Deallocate: name of the session variable or prepared statement.
    std::string name;
    /// Set: value of the variable. Execute: arguments; nullopt if there is no field for them, which
    /// differs from an empty one.
    std::optional<std::string> arguments;
    /// Prepare only.
    PreparedStatement prepared;
};

struct MalformedMessage
{
    /// Statement id; empty if it could not be decoded.
    std::string id;
    std::string reason;
};

using CallerMessage = std::variant<SessionStart, Statement, SessionEnd, MalformedMessage>;

// Messages from databases.

/// Marks the end of the response to a request.
struct UpstreamReady
{
    TransactionState state = TransactionState::None;
    /// End of the database's log, if the message contains it.
    std::optional<HistoryPoint> point;
};
struct UpstreamRow
{
    std::string_view fields;
};
struct UpstreamComplete
{
};

/// What an error response tells about the request.
enum class UpstreamErrorKind : std::uint8_t {
    /// Not run: no slot was free on the database.
    Busy,
    /// Not run: the database has not replicated the required log position.
    Lagging,
    /// Not run: the database is not the primary.
    NotPrimary,
    /// Not run: the address belongs to another service or database.
    WrongUpstream,
    /// Not run: the database has reached its connection limit.
    ConnectionLimit,
    /// Not run: the prepared statement does not exist on the connection.
    UnknownPrepared,
    /// The statement was executed and failed.
    Failed,
    /// The statement may have been executed.
    Other,
};

struct UpstreamError
{
    UpstreamErrorKind kind = UpstreamErrorKind::Other;
    std::string message;
};

struct MalformedReply
{
};

using UpstreamMessage =
    std::variant<UpstreamReady, UpstreamRow, UpstreamComplete, UpstreamError, MalformedReply>;

/// Statements issued by the proxy or the controller rather than by a caller.
enum class SystemStatement : std::uint8_t {
    Begin,
    BeginReadOnly,
    Rollback,
    /// Drops the session variables and prepared statements of the connection.
    Discard,
    Status,
    /// Lifts the fence.
    Resume,
};

/// Encodes and decodes the messages of one protocol. The functions are stateless.
struct SessionProtocol
{
    CallerMessage (*decodeCaller)(std::string_view line);
    UpstreamMessage (*decodeUpstream)(std::string_view line);

    // Messages to callers; each function returns a complete line.
    std::string (*ready)(TransactionState state);
    std::string (*complete)();
    std::string (*error)(const Error &error);

    // Messages to databases; each function returns a complete line, or an error if the line can't
    // represent a field or would be too long. An empty id marks a statement that was not sent by a
    // caller.
    absl::StatusOr<std::string> (*start)(const ServiceId &service, std::string_view user,
                                         const UpstreamId &id);
    absl::StatusOr<std::string> (*request)(std::string_view id, std::string_view text);
    /// Whether a service or a user with this name can be named to a database.
    bool (*isName)(std::string_view name);

    // Statement texts, or an error if the text can't represent a field.
    std::string (*systemText)(SystemStatement statement);
    absl::StatusOr<std::string> (*setText)(std::string_view name, std::string_view value);
    absl::StatusOr<std::string> (*prepareText)(PreparedNumber number,
                                               const PreparedStatement &prepared);
    absl::StatusOr<std::string> (*executeText)(PreparedNumber number,
                                               const std::optional<std::string> &arguments);
    std::string (*deallocateText)(PreparedNumber number);
    /// Statement text with the condition that the log of the database has reached `point`; a
    /// database that lags behind it refuses the statement.
    std::string (*requirePositionText)(const HistoryPoint &point, std::string_view text);
    std::string (*fenceText)(Term term);
    std::string (*stepDownText)(Term term);
    /// Decodes the row returned by Status, Resume, a fence or a step-down.
    std::optional<UpstreamStatus> (*decodeStatus)(std::string_view fields);
};

} // namespace shallotlever
