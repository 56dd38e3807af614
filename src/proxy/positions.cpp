#include "shallotlever/proxy/positions.h"

#include <algorithm>

namespace shallotlever {

void notePosition(PositionHistory &history, const HistoryPoint &point, TimePoint askedAt)
{
    auto &observations = history.observations;
    // An answer that arrives late says less than one that was asked for later.
    if (!observations.empty() && askedAt < observations.back().askedAt)
        return;
    // The last one makes way if the one before it is close to the new one.
    if (observations.size() > 1 && askedAt <= (observations.end() - 2)->askedAt + kPositionSpacing)
        observations.pop_back();
    observations.push_back({ askedAt, point });
    while (observations.front().askedAt + kPositionAge < askedAt)
        observations.pop_front();
}

std::optional<HistoryPoint> positionFor(const PositionHistory &history, Duration maxStaleness,
                                        TimePoint now)
{
    const TimePoint oldest = now - maxStaleness;
    const auto &observations = history.observations;
    const auto found =
        std::find_if(observations.begin(), observations.end(),
                     [oldest](const auto &observation) { return observation.askedAt >= oldest; });
    return found == observations.end() ? std::nullopt : std::optional(found->point);
}

} // namespace shallotlever
