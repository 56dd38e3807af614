#pragma once

#include <deque>
#include <optional>

#include "shallotlever/base/ids.h"
#include "shallotlever/base/time.h"

/// Log positions of a primary as observed by a node. They bound the staleness of replica reads.
namespace shallotlever {

/// Observations closer together than this are merged, to bound the memory used.
constexpr Duration kMinPositionInterval = 50ms;
/// Older observations are discarded: no read accepts data that old.
constexpr Duration kMaxPositionAge = 10s;

/// End positions of a primary's log, ordered by the time of the request that returned them. Every
/// commit that was acknowledged before that time is at or before the position.
struct PositionHistory
{
    struct Observation
    {
        TimePoint requestedAt;
        HistoryPoint point;
    };
    /// Oldest first.
    std::deque<Observation> observations;
};

/// Records a response. The database must have been the primary when the request was sent.
void recordPosition(PositionHistory &history, const HistoryPoint &point, TimePoint requestedAt);

/// Lowest known position that a database must have reached for a read that starts at `now` to miss
/// only commits acknowledged less than `maxStaleness` earlier. The lowest one is returned so that
/// as many replicas as possible satisfy it. nullopt if no observation is recent enough.
std::optional<HistoryPoint> lowestSufficientPosition(const PositionHistory &history,
                                                     Duration maxStaleness, TimePoint now);

} // namespace shallotlever
