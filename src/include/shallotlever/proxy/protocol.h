#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>

#include "shallotlever/base/errors.h"
#include "shallotlever/base/ids.h"
#include "shallotlever/types/fleet.h"

/// Messages of sessions that are TCP connections with text lines, and the table of functions that
/// encodes and decodes them. The words of a protocol are known to its table only.
namespace shallotlever {

enum class TransactionState : std::uint8_t { None, Open, Failed };

// From callers.

/// Opens a session; the first message of a connection.
struct SessionStart
{
    DatabaseName database;
    /// Secret of the caller; empty if none was sent. Never logged, never sent upstream.
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
    /// Sets a value of the session.
    Set,
    Prepare,
    /// Runs a prepared statement.
    Execute,
    /// Forgets a prepared statement.
    Deallocate,
};

/// A prepared statement of a session.
struct PreparedStatement
{
    bool writes = false;
    std::string shape;
    friend bool operator==(const PreparedStatement &, const PreparedStatement &) = default;
};

struct Statement
{
    /// Chosen by the caller; passed on to the database.
    std::string id;
    StatementKind kind = StatementKind::Read;
    /// As sent.
    std::string text;
    /// Set, Prepare, Execute, Deallocate: the name of the value or prepared statement.
    std::string name;
    /// Set: the value. Execute: the arguments.
    std::string arguments;
    /// Prepare only.
    PreparedStatement prepared;
};

struct UnreadableMessage
{
    /// Empty if it could not be read.
    std::string id;
    std::string reason;
};

using CallerMessage = std::variant<SessionStart, Statement, SessionEnd, UnreadableMessage>;

// From databases.

/// Ends the answer to a request.
struct UpstreamReady
{
    TransactionState state = TransactionState::None;
    /// End of the database's log, if it told.
    std::optional<HistoryPoint> point;
};
struct UpstreamRow
{
    std::string_view fields;
};
struct UpstreamComplete
{
};

/// What an error of a database says about the request.
enum class UpstreamErrorKind : std::uint8_t {
    /// Not run: no slot was free.
    Busy,
    /// Not run: the log lacks the position that was asked for.
    Lagging,
    /// Not run: the database does not lead.
    NotPrimary,
    /// Not run: another service or database answers at the address.
    WrongUpstream,
    /// Not run: too many connections.
    ConnectionLimit,
    /// Not run: the prepared statement is unknown.
    UnknownPrepared,
    /// Ran and failed.
    Failed,
    /// May have run.
    Other,
};

struct UpstreamError
{
    UpstreamErrorKind kind = UpstreamErrorKind::Other;
    std::string message;
};

struct UnreadableReply
{
};

using UpstreamMessage =
    std::variant<UpstreamReady, UpstreamRow, UpstreamComplete, UpstreamError, UnreadableReply>;

/// Statements that the system issues itself.
enum class SystemStatement : std::uint8_t {
    Begin,
    BeginReadOnly,
    Rollback,
    /// Drops values and prepared statements.
    Discard,
    Status,
    /// Ends a fence.
    Resume,
};

/// Encodes and decodes the messages of one protocol. The functions have no state.
struct SessionProtocol
{
    CallerMessage (*decodeCaller)(std::string_view line);
    UpstreamMessage (*decodeUpstream)(std::string_view line);

    // To callers; each returns a whole line.
    std::string (*ready)(TransactionState state);
    std::string (*complete)();
    std::string (*error)(const Error &error);

    // To databases; each returns a whole line. An empty id marks a statement of the system.
    std::string (*start)(const ServiceId &service, std::string_view user, const UpstreamId &id);
    std::string (*request)(std::string_view id, std::string_view text);

    // Statement texts.
    std::string (*systemText)(SystemStatement statement);
    std::string (*setText)(std::string_view name, std::string_view value);
    std::string (*prepareText)(std::string_view name, const PreparedStatement &prepared);
    std::string (*executeText)(std::string_view name, std::string_view arguments);
    /// The text, to be refused by a database whose log does not reach the point.
    std::string (*afterText)(const HistoryPoint &point, std::string_view text);
    std::string (*fenceText)(Term term);
    std::string (*stepDownText)(Term term);
    /// Status from the row that answers Status, Resume, a fence or a step-down.
    std::optional<UpstreamStatus> (*decodeStatus)(std::string_view fields);
};

} // namespace shallotlever
