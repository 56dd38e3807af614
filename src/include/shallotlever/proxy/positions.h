#pragma once

#include <deque>
#include <optional>

#include "shallotlever/base/ids.h"
#include "shallotlever/base/time.h"

/// What a node knows about the log of a primary.
namespace shallotlever {

/// Observations closer together than this are not kept apart.
constexpr Duration kPositionSpacing = 50ms;
/// Older observations are of no use: no read accepts data that old.
constexpr Duration kPositionAge = 10s;

/// Ends of a primary's log, by the time at which they were asked for. Every commit that was
/// acknowledged before that time is at or before the end.
struct PositionHistory
{
    struct Observation
    {
        TimePoint askedAt;
        HistoryPoint point;
    };
    /// Oldest first.
    std::deque<Observation> observations;
};

/// Only for answers of the database that was primary when it was asked.
void notePosition(PositionHistory &history, const HistoryPoint &point, TimePoint askedAt);

/// A position that a database must hold so that a read started at `now` misses only commits that
/// were acknowledged less than `maxStaleness` before; the lowest one that is known, so that few
/// databases lag behind it. nullopt if no observation is recent enough.
std::optional<HistoryPoint> positionFor(const PositionHistory &history, Duration maxStaleness,
                                        TimePoint now);

} // namespace shallotlever
