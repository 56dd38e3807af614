#pragma once

#include <string_view>

/// SQL statements for the table of idempotency records in the service's database.
namespace shallotlever {

constexpr std::string_view kCreateIdempotencyTable =
    "CREATE TABLE IF NOT EXISTS shallotlever_idempotency ("
    "team TEXT NOT NULL, idempotency_key TEXT NOT NULL, digest TEXT NOT NULL, "
    "result TEXT NOT NULL, created_ms TEXT NOT NULL, "
    "PRIMARY KEY (team, idempotency_key))";
/// $1 team, $2 key.
constexpr std::string_view kFindIdempotencyRecord =
    "SELECT digest, result FROM shallotlever_idempotency "
    "WHERE team = $1 AND idempotency_key = $2";
/// $1 team, $2 key, $3 digest, $4 result, $5 milliseconds since the Unix epoch.
constexpr std::string_view kInsertIdempotencyRecord =
    "INSERT INTO shallotlever_idempotency "
    "(team, idempotency_key, digest, result, created_ms) VALUES ($1, $2, $3, $4, $5)";

constexpr std::string_view kUniqueViolation = "23505";

} // namespace shallotlever
