#pragma once

#include <cstdint>
#include <random>

#include "shallotlever/base/time.h"

namespace shallotlever {

/// Seeded random source passed to decision functions; the same seed reproduces the same run.
using Random = std::mt19937_64;

/// Uniform in [0, bound). `bound` must be at least 1. The standard library's distributions are not
/// used, because their results differ between implementations.
inline std::uint64_t uniformBelow(Random &random, std::uint64_t bound)
{
    return random() % bound;
}

/// Uniform in [0, 1).
inline double uniformUnit(Random &random)
{
    return static_cast<double>(random() >> 11U) * 0x1.0p-53;
}

/// Uniform in [low, high). `high` must be greater than `low`.
inline Duration uniformDuration(Random &random, Duration low, Duration high)
{
    return low + Duration(uniformBelow(random, static_cast<std::uint64_t>((high - low).count())));
}

} // namespace shallotlever
