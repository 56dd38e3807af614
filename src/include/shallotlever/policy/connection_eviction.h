#pragma once

#include "shallotlever/base/time.h"

/// Decides when an idle connection is closed to open one for another team.
///
/// Load pattern: more teams send statements to a database than it accepts connections. Opening one
/// occupies a slot, so connections that are needed again soon are kept; but a team without any must
/// not wait for that while a slot is free.
namespace shallotlever {

/// The least recently used idle connection, and the team that waits for one.
struct EvictionCase
{
    /// The waiting team has no connection and the database has a free slot.
    bool starved = false;
    Duration idleTime { 0 };
    Duration sinceLastEviction { 0 };
    /// Time that it takes to open a connection.
    Duration openTime { 0 };
};

bool mayEvictConnection(const EvictionCase &eviction);

} // namespace shallotlever
