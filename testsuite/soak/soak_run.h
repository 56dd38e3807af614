#pragma once

#include <vector>

#include "checks.h"

namespace shallotlever::soak {

/// Outcome of one seed.
struct SoakReport
{
    /// Empty, or why the run could not begin.
    std::string notRun;
    std::vector<Finding> findings;
    /// Seconds and cuts, for tracing.
    std::vector<std::string> details;
};

/// Plays one seed. Blocks, and runs the event loop meanwhile.
SoakReport runSoak(const SoakOptions &options);

} // namespace shallotlever::soak
