#pragma once

#include "shallotlever/types/fleet.h"

namespace shallotlever {

/// Read-your-writes check: returns whether a database with this status holds every write of the
/// session whose token carries `token`. Positions are comparable only within one history: at the
/// same term, or at a higher term, whose history contains every acknowledged write at its original
/// position.
bool holdsHistory(const HistoryPoint &token, const UpstreamStatus &status);

} // namespace shallotlever
