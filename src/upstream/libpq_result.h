#pragma once

#include <libpq-fe.h>

#include <memory>
#include <string>

#include "shallotlever/upstream/query.h"

/// Conversion of libpq results to QueryResult and QueryError.
namespace shallotlever {

struct ResultDeleter
{
    void operator()(PGresult *result) const { PQclear(result); }
};
using ResultPtr = std::unique_ptr<PGresult, ResultDeleter>;

QueryError makeError(QueryErrorKind kind, std::string message, std::string sqlState = {});

/// Converts a result. An error that ends the session, or any status other than success or an error,
/// becomes LostAfterSend, because it is then unknown whether the statement ran.
QueryReply toReply(PGresult *result);

/// Returns whether the result starts a COPY. PQgetResult then returns the same result on every
/// call, so that a loop over the results would not end.
bool isCopy(const PGresult *result);

} // namespace shallotlever
