#pragma once

#include <string>
#include <vector>

#include "absl/status/statusor.h"
#include "shallotlever/edge/messages.h"
#include "shallotlever/upstream/query.h"

namespace shallotlever {

/// Converts a query result to the answer for the caller, without a session token.
StatementResponse makeStatementAnswer(QueryResult result, const UpstreamId &upstream);

/// Encodes columns, rows and affected rows as JSON, the content of an idempotency record.
std::string encodeRecordedAnswer(const StatementResponse &answer);
absl::StatusOr<StatementResponse> decodeRecordedAnswer(const std::string &json);

/// SHA-256 of the statement and its parameters, in hexadecimal.
std::string statementDigest(const std::string &sql, const std::vector<SqlParam> &params);

} // namespace shallotlever
