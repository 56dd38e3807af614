#include "libpq_result.h"

#include <string_view>
#include <utility>

#include <absl/strings/match.h>
#include <absl/strings/numbers.h>

namespace shallotlever {

namespace {

/// Severity of an error that leaves the session usable; FATAL and PANIC end the session.
constexpr std::string_view kStatementErrorSeverity = "ERROR";

std::string errorField(const PGresult *result, int field)
{
    const char *text = PQresultErrorField(result, field);
    return text == nullptr ? std::string() : std::string(text);
}

SqlValue fieldValue(const PGresult *result, int row, int column)
{
    if (PQgetisnull(result, row, column) != 0)
        return std::nullopt;
    return std::string(PQgetvalue(result, row, column),
                       static_cast<std::size_t>(PQgetlength(result, row, column)));
}

QueryResult toQueryResult(PGresult *result)
{
    QueryResult answer;
    const int columns = PQnfields(result);
    for (int column = 0; column < columns; ++column)
        answer.columns.emplace_back(PQfname(result, column));
    answer.rows.resize(static_cast<std::size_t>(PQntuples(result)));
    for (std::size_t row = 0; row < answer.rows.size(); ++row) {
        for (int column = 0; column < columns; ++column)
            answer.rows[row].push_back(fieldValue(result, static_cast<int>(row), column));
    }
    answer.commandTag = PQcmdStatus(result);
    // The command tag of a SELECT holds the number of rows returned, not of rows affected.
    if (!absl::StartsWith(answer.commandTag, "SELECT")
        && !absl::SimpleAtoi(PQcmdTuples(result), &answer.affectedRows))
        answer.affectedRows = 0;
    return answer;
}

} // namespace

QueryError makeError(QueryErrorKind kind, std::string message, std::string sqlState)
{
    return { kind, std::move(sqlState), std::move(message) };
}

QueryReply toReply(PGresult *result)
{
    switch (PQresultStatus(result)) {
    case PGRES_COMMAND_OK:
    case PGRES_TUPLES_OK:
    case PGRES_EMPTY_QUERY:
        return toQueryResult(result);
    default:
        break;
    }
    const std::string state = errorField(result, PG_DIAG_SQLSTATE);
    const bool isStatementError =
        errorField(result, PG_DIAG_SEVERITY_NONLOCALIZED) == kStatementErrorSeverity;
    const auto kind = isStatementError ? QueryErrorKind::Refused : QueryErrorKind::LostAfterSend;
    std::string message = errorField(result, PG_DIAG_MESSAGE_PRIMARY);
    if (message.empty())
        message = PQresultErrorMessage(result);
    return makeError(kind, std::move(message), state);
}

bool isCopy(const PGresult *result)
{
    const ExecStatusType status = PQresultStatus(result);
    return status == PGRES_COPY_IN || status == PGRES_COPY_OUT || status == PGRES_COPY_BOTH;
}

} // namespace shallotlever
