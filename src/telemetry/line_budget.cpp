#include "shallotlever/telemetry/line_budget.h"

#include <algorithm>

namespace shallotlever {

bool takeLine(LineBudget &budget, LineTopic topic, TimePoint now)
{
    const double elapsed = std::chrono::duration<double>(now - budget.filledAt).count();
    budget.lines = std::min(kLinesAtOnce, budget.lines + elapsed * kLinesPerSecond);
    budget.filledAt = now;
    const double reserved = topic == LineTopic::Failure ? 0 : kLinesAtOnce / 2;
    if (budget.lines < reserved + 1) {
        ++budget.suppressed;
        return false;
    }
    budget.lines -= 1;
    return true;
}

} // namespace shallotlever
