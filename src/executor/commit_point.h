#pragma once

#include <optional>

#include "shallotlever/base/ids.h"
#include "shallotlever/upstream/query.h"

namespace shallotlever {

/// Log position from the result of a status statement that was run after a commit on the same
/// connection, so it is at or past the commit. nullopt unless the database is still the primary of
/// `term`. Terms only increase, so an unchanged term proves that the commit was made in it.
std::optional<HistoryPoint> parseCommitPoint(const QueryResult &result, Term term);

} // namespace shallotlever
