#pragma once

#include <string>
#include <vector>

#include "absl/status/statusor.h"
#include "shallotlever/edge/messages.h"
#include "shallotlever/upstream/query.h"

namespace shallotlever {

/// Copies a database's whole answer.
StatementResponse answerFrom(QueryResult result, const UpstreamId &upstream);

/// Columns, rows and affected rows as JSON, the content of an idempotency record.
std::string encodeRecordedAnswer(const StatementResponse &answer);
absl::StatusOr<StatementResponse> decodeRecordedAnswer(const std::string &json);

/// SHA-256 of the statement and its parameters, in hexadecimal.
std::string statementDigest(const std::string &sql, const std::vector<SqlParam> &params);

} // namespace shallotlever
