#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace shallotlever {

/// A parameter or result field in text format; std::nullopt is SQL NULL.
using SqlValue = std::optional<std::string>;

/// The complete result of one statement.
struct QueryResult
{
    std::vector<std::string> columns;
    std::vector<std::vector<SqlValue>> rows;
    /// Rows inserted, updated or deleted; 0 for a read.
    std::uint64_t affectedRows = 0;
    /// Command tag returned by the database. COMMIT of a failed transaction succeeds with the tag
    /// ROLLBACK, so a commit has taken effect only if wasCommitted() returns true.
    std::string commandTag;
    friend bool operator==(const QueryResult &, const QueryResult &) = default;
};

enum class QueryErrorKind : std::uint8_t {
    /// Nothing was sent, so the statement did not run.
    NotSent,
    /// The database returned an error and the session remains usable.
    Refused,
    /// The connection failed after the statement may have been sent, or the answer was incomplete.
    /// Whether the statement ran is unknown.
    LostAfterSend,
    /// The request timed out or was abandoned after it may have been sent. Whether the statement
    /// ran is unknown.
    Abandoned,
};

struct QueryError
{
    QueryErrorKind kind = QueryErrorKind::NotSent;
    /// Five-character SQLSTATE code, or empty if the database returned none.
    std::string sqlState;
    /// Primary message of the database, or error message of libpq. Contains no statement parameters
    /// unless the database included them.
    std::string message;
};

/// Returns whether the result of a COMMIT statement reports that the transaction was committed.
inline bool wasCommitted(const QueryResult &result)
{
    return result.commandTag == "COMMIT";
}

using QueryReply = std::variant<QueryResult, QueryError>;
using QueryCallback = std::function<void(QueryReply)>;

} // namespace shallotlever
