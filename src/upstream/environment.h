#pragma once

namespace shallotlever {

/// Returns the name of a libpq environment variable that is set, or nullptr if none is.
const char *findLibpqVariable();

} // namespace shallotlever
