#include "shallotlever/policy/read_split.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace shallotlever {
namespace {

constexpr int kBisectionSteps = 60;
/// Loads above this fraction of the total capacity are split by capacity, because the delay
/// diverges.
constexpr double kMaxUtilisation = 0.98;
constexpr double kEpsilon = 1e-6;

double serviceMean(const ServerMoments &server)
{
    return std::max(server.serviceMean, kEpsilon);
}

double secondMoment(const ServerMoments &server)
{
    return std::max(server.serviceSecondMoment, serviceMean(server) * serviceMean(server));
}

/// Probability at which the marginal delay of the server equals `marginal`. With u = 1 - rho the
/// marginal delay is networkDelay + m1 + m2 / (2 m1) * (1 / u^2 - 1), which is solved for u.
double probabilityAt(const ServerMoments &server, double marginal, double arrivalRate)
{
    const double m1 = serviceMean(server);
    const double excess = marginal - server.networkDelay - m1;
    if (excess <= 0)
        return 0;
    const double u = 1 / std::sqrt(1 + 2 * m1 * excess / secondMoment(server));
    return (1 - u) / (arrivalRate * m1);
}

std::vector<double> probabilitiesAt(std::span<const ServerMoments> servers, double marginal,
                                    double arrivalRate)
{
    std::vector<double> result;
    result.reserve(servers.size());
    for (const ServerMoments &server : servers)
        result.push_back(probabilityAt(server, marginal, arrivalRate));
    return result;
}

double sumOf(const std::vector<double> &values)
{
    double sum = 0;
    for (const double value : values)
        sum += value;
    return sum;
}

void normalise(std::vector<double> &values)
{
    const double sum = sumOf(values);
    for (double &value : values)
        value = sum > 0 ? value / sum : 1.0 / static_cast<double>(values.size());
}

} // namespace

double meanDelay(std::span<const ServerMoments> servers, std::span<const double> probabilities,
                 double arrivalRate)
{
    double delay = 0;
    for (std::size_t i = 0; i < servers.size(); ++i) {
        const double rate = arrivalRate * probabilities[i];
        const double rho = rate * serviceMean(servers[i]);
        if (rho >= 1)
            return std::numeric_limits<double>::infinity();
        const double queueing = rate * secondMoment(servers[i]) / (2 * (1 - rho));
        delay += probabilities[i] * (servers[i].networkDelay + serviceMean(servers[i]) + queueing);
    }
    return delay;
}

std::vector<double> splitReads(std::span<const ServerMoments> servers, double arrivalRate)
{
    std::vector<double> byCapacity;
    double maxUnloadedDelay = 0;
    for (const ServerMoments &server : servers) {
        byCapacity.push_back(1 / serviceMean(server));
        maxUnloadedDelay = std::max(maxUnloadedDelay, server.networkDelay + serviceMean(server));
    }
    const double capacity = sumOf(byCapacity);
    const double rate = std::max(arrivalRate, kEpsilon);
    if (rate >= capacity * kMaxUtilisation) {
        normalise(byCapacity);
        return byCapacity;
    }
    double low = 0;
    double high = maxUnloadedDelay + kEpsilon;
    while (sumOf(probabilitiesAt(servers, high, rate)) < 1)
        high *= 2;
    for (int i = 0; i < kBisectionSteps; ++i) {
        const double middle = (low + high) / 2;
        (sumOf(probabilitiesAt(servers, middle, rate)) < 1 ? low : high) = middle;
    }
    std::vector<double> result = probabilitiesAt(servers, high, rate);
    normalise(result);
    return result;
}

} // namespace shallotlever
