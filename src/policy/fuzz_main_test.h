#pragma once

#include <algorithm>
#include <cstdint>
#include <optional>
#include <string>

#include <gtest/gtest.h>

namespace shallotlever {

/// Description of a violated invariant; nullopt if all oracles held.
using Violation = std::optional<std::string>;

/// Command line options of the fuzz programs: `--seed N` runs that seed only, `--steps N` sets the
/// number of steps.
struct FuzzOptions
{
    std::uint64_t firstSeed = 1;
    std::uint64_t lastSeed = 32;
    std::uint64_t steps = 0;
};
inline FuzzOptions fuzzOptions;

/// Calls `run(seed, steps, faults)` for each seed until one finds a violation. Unless a single seed
/// was requested, continues at least up to `minLastSeed`.
template <typename Run, typename Faults>
Violation fuzzSeeds(Run run, std::uint64_t defaultSteps, const Faults &faults,
                    std::uint64_t minLastSeed = 0)
{
    const std::uint64_t steps = fuzzOptions.steps == 0 ? defaultSteps : fuzzOptions.steps;
    const bool singleSeed = fuzzOptions.firstSeed == fuzzOptions.lastSeed;
    const std::uint64_t last =
        singleSeed ? fuzzOptions.lastSeed : std::max(fuzzOptions.lastSeed, minLastSeed);
    for (std::uint64_t seed = fuzzOptions.firstSeed; seed <= last; ++seed) {
        if (const Violation found = run(seed, steps, faults))
            return "seed " + std::to_string(seed) + ": " + *found;
    }
    return std::nullopt;
}

inline int fuzzMain(int argc, char **argv)
{
    testing::InitGoogleTest(&argc, argv);
    for (int i = 1; i + 1 < argc; i += 2) {
        const std::string name = argv[i];
        if (name == "--seed")
            fuzzOptions.firstSeed = fuzzOptions.lastSeed = std::stoull(argv[i + 1]);
        else if (name == "--steps")
            fuzzOptions.steps = std::stoull(argv[i + 1]);
    }
    return RUN_ALL_TESTS();
}

} // namespace shallotlever
