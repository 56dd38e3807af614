#pragma once

#include <optional>

#include "shallotlever/base/ids.h"
#include "shallotlever/upstream/query.h"

namespace shallotlever {

/// The point from the answer to a status statement that followed a commit on the same connection;
/// it is at or past the commit. nullopt unless the database is still the primary at `term`: terms
/// only grow, so the same term afterwards means that the commit was made at it.
std::optional<HistoryPoint> parseCommitPoint(const QueryResult &result, Term term);

} // namespace shallotlever
