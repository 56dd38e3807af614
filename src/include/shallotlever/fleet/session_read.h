#pragma once

#include "shallotlever/types/fleet.h"

namespace shallotlever {

/// Whether a database with this status holds every write of a session whose token carries
/// `token`. Positions are compared only within one history: at the same term, or at a higher
/// term, whose history contains every acknowledged write at its original position.
bool holdsHistory(const HistoryPoint &token, const UpstreamStatus &status);

} // namespace shallotlever
