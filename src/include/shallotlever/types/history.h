#pragma once

#include "shallotlever/base/ids.h"

namespace shallotlever {

/// Returns whether a database whose log ends at `database` holds every write that was acknowledged
/// to a session up to `token`. Positions are comparable only within one history: at the same term,
/// or at a higher term, whose history contains every acknowledged write at its original position.
inline bool holdsHistory(const HistoryPoint &database, const HistoryPoint &token)
{
    return database.term >= token.term && database.position >= token.position;
}

} // namespace shallotlever
