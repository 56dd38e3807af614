#pragma once

#include <span>
#include <vector>

namespace shallotlever {

/// Service time distribution of one server in an M/G/1 queueing model, in seconds and seconds
/// squared. A database with c slots is modelled as one server that is c times as fast.
struct ServerMoments
{
    double networkDelay = 0;
    double serviceMean = 0;
    double serviceSecondMoment = 0;
};

/// Mean delay in seconds of a request when `arrivalRate` requests per second are split by
/// `probabilities` (Pollaczek-Khinchine formula per server). Infinite if a server is overloaded.
double meanDelay(std::span<const ServerMoments> servers, std::span<const double> probabilities,
                 double arrivalRate);

/// Probabilities that minimise meanDelay(), found by bisection on the common marginal delay. In
/// overload they are proportional to the capacities of the servers.
std::vector<double> splitReads(std::span<const ServerMoments> servers, double arrivalRate);

} // namespace shallotlever
