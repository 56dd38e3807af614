#pragma once

#include <vector>

#include "shallotlever/base/random.h"
#include "workload.h"

namespace shallotlever::load {

/// Open-loop Poisson arrivals whose rate changes in phases. The times depend on the seed only,
/// never on the answers, so a slow system cannot slow the demand down.
class ArrivalProcess
{
public:
    /// `ratePerSecond` must be positive.
    ArrivalProcess(double ratePerSecond, std::vector<Phase> phases, std::uint64_t seed);

    /// Seconds since the start, ascending; infinity once the last phase sends nothing.
    double next();

private:
    double m_rate;
    std::vector<Phase> m_phases;
    Random m_random;
    double m_now = 0;
};

/// The tool's own account of a team's sends against its rate and burst.
class RateAccount
{
public:
    RateAccount(double ratePerSecond, double burst);

    /// True if a send at this time is within the rate; only such sends are counted against it.
    bool takeAt(double seconds);

private:
    double m_rate;
    double m_burst;
    double m_tokens;
    double m_last = 0;
};

} // namespace shallotlever::load
