#include "shallotlever/proxy/positions.h"

#include <algorithm>

namespace shallotlever {

void recordPosition(PositionHistory &history, const HistoryPoint &point, TimePoint requestedAt)
{
    auto &observations = history.observations;
    // A late response to an earlier request is superseded by the response to a later one.
    if (!observations.empty() && requestedAt < observations.back().requestedAt)
        return;
    // The last observation is replaced if the one before it is close enough to the new one.
    if (observations.size() > 1
        && requestedAt <= (observations.end() - 2)->requestedAt + kMinPositionInterval)
        observations.pop_back();
    observations.push_back({ requestedAt, point });
    while (observations.front().requestedAt + kMaxPositionAge < requestedAt)
        observations.pop_front();
}

std::optional<HistoryPoint> lowestSufficientPosition(const PositionHistory &history,
                                                     Duration maxStaleness, TimePoint now)
{
    const TimePoint oldest = now - maxStaleness;
    const auto &observations = history.observations;
    const auto found =
        std::find_if(observations.begin(), observations.end(), [oldest](const auto &observation) {
            return observation.requestedAt >= oldest;
        });
    return found == observations.end() ? std::nullopt : std::optional(found->point);
}

} // namespace shallotlever
