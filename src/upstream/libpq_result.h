#pragma once

#include <libpq-fe.h>

#include <memory>
#include <string>

#include "shallotlever/upstream/query.h"

/// Results of libpq as the types of this library.
namespace shallotlever {

struct ResultDeleter
{
    void operator()(PGresult *result) const { PQclear(result); }
};
using ResultPtr = std::unique_ptr<PGresult, ResultDeleter>;

QueryError makeError(QueryErrorKind kind, std::string message, std::string sqlState = {});

/// Anything but a whole answer or a plain error leaves the fate of the statement open.
QueryReply toReply(PGresult *result);

/// In a COPY state libpq gives the same result again and again.
bool isCopy(const PGresult *result);

} // namespace shallotlever
