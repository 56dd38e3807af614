#include "shallotlever/policy/connection_eviction.h"

#include <algorithm>

namespace shallotlever {

namespace {

/// A connection may be evicted after it was idle for this long, or at once for a starved team.
constexpr Duration kMinIdleBeforeEviction = 250ms;
/// Minimum interval between two evictions, also as a multiple of the time to open a connection, so
/// that a busy database spends its slots on statements rather than on new connections.
constexpr Duration kMinEvictionInterval = 60ms;
constexpr int kEvictionOpenTimeFactor = 2;

} // namespace

bool mayEvictConnection(const EvictionCase &eviction)
{
    const Duration interval =
        std::max(kMinEvictionInterval, eviction.openTime * kEvictionOpenTimeFactor);
    return (eviction.starved || eviction.idleTime >= kMinIdleBeforeEviction)
        && eviction.sinceLastEviction >= interval;
}

} // namespace shallotlever
