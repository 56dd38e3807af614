#pragma once

#include <span>
#include <vector>

namespace shallotlever {

/// One server of the M/G/1 model. Times in seconds; a database of c slots is modelled as one
/// server c times as fast.
struct ServerMoments
{
    double networkDelay = 0;
    double serviceMean = 0;
    double serviceSecondMoment = 0;
};

/// Mean delay of a request when `arrivalRate` requests a second are split by `probabilities`
/// (Pollaczek-Khinchine per server). Infinite if a server is overloaded.
double meanDelay(std::span<const ServerMoments> servers, std::span<const double> probabilities,
                 double arrivalRate);

/// Probabilities that minimise meanDelay, by bisection on the common marginal delay. In overload,
/// proportional to the servers' capacities.
std::vector<double> splitReads(std::span<const ServerMoments> servers, double arrivalRate);

} // namespace shallotlever
