#pragma once

namespace shallotlever {

/// Name of a variable read by libpq that is set, or nullptr.
const char *findLibpqVariable();

} // namespace shallotlever
