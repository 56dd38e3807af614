#pragma once

#include "shallotlever/base/ids.h"

namespace shallotlever {

/// Whether a database whose log stands at `database` holds everything that a session saw
/// acknowledged up to `token`. Positions are compared only within one history: at the same term, or
/// at a higher term, whose history contains every acknowledged write at its original position.
inline bool holdsHistory(const HistoryPoint &database, const HistoryPoint &token)
{
    return database.term >= token.term && database.position >= token.position;
}

} // namespace shallotlever
