#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace shallotlever {

/// A parameter or field in text form; std::nullopt is SQL NULL.
using SqlValue = std::optional<std::string>;

/// The whole answer to one statement.
struct QueryResult
{
    std::vector<std::string> columns;
    std::vector<std::vector<SqlValue>> rows;
    /// Rows inserted, updated or deleted; 0 for a read.
    std::uint64_t affectedRows = 0;
    /// Command tag of the database. COMMIT of a failed transaction succeeds with tag ROLLBACK, so a
    /// commit has taken effect only if wasCommitted() says so.
    std::string commandTag;
    friend bool operator==(const QueryResult &, const QueryResult &) = default;
};

enum class QueryErrorKind : std::uint8_t {
    /// No byte of the statement was sent; it is known not to have run.
    NotSent,
    /// The database answered with an error and stays in a known state.
    Refused,
    /// The connection failed after the statement may have been sent, or the answer was not
    /// complete. Whether the statement ran is not known.
    LostAfterSend,
    /// The request timed out or was abandoned after it may have been sent. Whether the statement
    /// ran is not known.
    Abandoned,
};

struct QueryError
{
    QueryErrorKind kind = QueryErrorKind::NotSent;
    /// Five characters if the database gave one, else empty.
    std::string sqlState;
    /// Primary message of the database or of libpq. Holds no parameter unless the database put it
    /// there.
    std::string message;
};

/// Whether the answer to a COMMIT reports a commit.
inline bool wasCommitted(const QueryResult &result)
{
    return result.commandTag == "COMMIT";
}

using QueryReply = std::variant<QueryResult, QueryError>;
using QueryCallback = std::function<void(QueryReply)>;

} // namespace shallotlever
