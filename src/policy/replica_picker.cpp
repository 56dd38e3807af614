#include <algorithm>
#include <array>
#include <optional>

#include "shallotlever/policy/read_split.h"
#include "shallotlever/policy/replica_choice.h"

namespace shallotlever {
namespace {

constexpr double kMinWeight = 1e-3;
constexpr double kMinServiceSeconds = 1e-4;
constexpr std::array<Distance, 3> kDistances { Distance::SameDataCentre, Distance::SameRegion,
                                               Distance::Other };
/// A farther database is used if its expected time is less than this fraction of the nearer one's.
constexpr double kMaxFartherLoadRatio = 0.8;

double slotsOf(const UpstreamObservation &o)
{
    return std::max<double>(1, o.slots);
}

double latencySeconds(const UpstreamObservation &o)
{
    return std::max(1e-6, std::chrono::duration<double>(o.latency).count());
}

/// Expected time in seconds of one more request: recent latency plus the wait for one of this
/// node's connections, divided by the weight.
double loadOf(const ReadCandidate &candidate)
{
    const UpstreamObservation &o = *candidate.observation;
    const double excess = std::max(0.0, o.inFlight + 1 - slotsOf(o)) / slotsOf(o);
    return (latencySeconds(o) + excess * o.serviceMean) / std::max(kMinWeight, o.weight);
}

std::size_t drawWeighted(std::span<const double> weights, Random &random)
{
    double sum = 0;
    for (const double weight : weights)
        sum += weight;
    double drawn = uniformUnit(random) * sum;
    for (std::size_t i = 0; i < weights.size(); ++i) {
        drawn -= weights[i];
        if (drawn < 0)
            return i;
    }
    return weights.size() - 1;
}

} // namespace

namespace {

std::vector<std::size_t> indicesAtDistance(std::span<const ReadCandidate> candidates,
                                           Distance distance)
{
    std::vector<std::size_t> result;
    for (std::size_t i = 0; i < candidates.size(); ++i) {
        if (candidates[i].distance == distance)
            result.push_back(i);
    }
    return result;
}

std::size_t leastLoadedOfTwo(std::span<const ReadCandidate> candidates,
                             const std::vector<std::size_t> &usable, Random &random)
{
    if (usable.size() == 1)
        return usable.front();
    std::vector<double> weights;
    weights.reserve(usable.size());
    for (const std::size_t i : usable) {
        const UpstreamObservation &o = *candidates[i].observation;
        const double capacity = slotsOf(o) / std::max(kMinServiceSeconds, o.serviceMean);
        weights.push_back(capacity * std::max(kMinWeight, o.weight));
    }
    // Drawn with replacement: of two databases the one that appears slower still gets some reads,
    // so that the nodes do not all switch to the other at once.
    const std::size_t first = drawWeighted(weights, random);
    const std::size_t second = drawWeighted(weights, random);
    const bool firstIsBetter =
        loadOf(candidates[usable[first]]) <= loadOf(candidates[usable[second]]);
    return usable[firstIsBetter ? first : second];
}

} // namespace

std::size_t pickLeastLoadedOfTwo(std::span<const ReadCandidate> candidates, double, Random &random)
{
    std::optional<std::size_t> best;
    for (const Distance distance : kDistances) {
        const std::vector<std::size_t> usable = indicesAtDistance(candidates, distance);
        if (usable.empty())
            continue;
        const std::size_t picked = leastLoadedOfTwo(candidates, usable, random);
        if (!best || loadOf(candidates[picked]) < kMaxFartherLoadRatio * loadOf(candidates[*best]))
            best = picked;
    }
    return *best;
}

std::size_t pickNearest(std::span<const ReadCandidate> candidates, double, Random &)
{
    const auto nearer = [](const ReadCandidate &a, const ReadCandidate &b) {
        return a.distance != b.distance ? a.distance < b.distance
                                        : a.observation->latency < b.observation->latency;
    };
    return static_cast<std::size_t>(std::min_element(candidates.begin(), candidates.end(), nearer)
                                    - candidates.begin());
}

std::size_t pickProbabilistic(std::span<const ReadCandidate> candidates, double readsPerSecond,
                              Random &random)
{
    std::vector<ServerMoments> servers;
    servers.reserve(candidates.size());
    for (const ReadCandidate &candidate : candidates) {
        const UpstreamObservation &o = *candidate.observation;
        const double slots = slotsOf(o);
        const double network = std::max(0.0, latencySeconds(o) - o.serviceMean);
        servers.push_back(
            { network, o.serviceMean / slots, o.serviceSecondMoment / (slots * slots) });
    }
    std::vector<double> weights = splitReads(servers, readsPerSecond);
    for (std::size_t i = 0; i < weights.size(); ++i)
        weights[i] *= std::max(kMinWeight, candidates[i].observation->weight);
    return drawWeighted(weights, random);
}

const ReplicaPicker kDefaultReplicaPicker = pickLeastLoadedOfTwo;

} // namespace shallotlever
