#include <algorithm>
#include <array>
#include <optional>

#include "shallotlever/policy/read_split.h"
#include "shallotlever/policy/replica_choice.h"

namespace shallotlever {
namespace {

constexpr double kLeastWeight = 1e-3;
constexpr double kLeastService = 1e-4;
constexpr std::array<Distance, 3> kDistances { Distance::SameDataCentre, Distance::SameRegion,
                                               Distance::Other };
/// A farther database is used if it is expected to take at most this part of the nearer one's time.
constexpr double kFarAdvantage = 0.8;

double slotsOf(const UpstreamObservation &o)
{
    return std::max<double>(1, o.slots);
}

double latencySeconds(const UpstreamObservation &o)
{
    return std::max(1e-6, std::chrono::duration<double>(o.latency).count());
}

/// Expected time of one more request: recent latency, and the wait for a connection of this node.
double loadOf(const ReadCandidate &candidate)
{
    const UpstreamObservation &o = *candidate.observation;
    const double excess = std::max(0.0, o.inFlight + 1 - slotsOf(o)) / slotsOf(o);
    return (latencySeconds(o) + excess * o.serviceMean) / std::max(kLeastWeight, o.weight);
}

std::size_t weightedDraw(std::span<const double> weights, Random &random)
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

std::vector<std::size_t> atDistance(std::span<const ReadCandidate> candidates, Distance distance)
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
        const double capacity = slotsOf(o) / std::max(kLeastService, o.serviceMean);
        weights.push_back(capacity * std::max(kLeastWeight, o.weight));
    }
    // Drawn with replacement: of two databases, the slower-looking one still gets some reads, so
    // that nodes do not all move to the same one at once.
    const std::size_t first = weightedDraw(weights, random);
    const std::size_t second = weightedDraw(weights, random);
    const bool firstIsBetter =
        loadOf(candidates[usable[first]]) <= loadOf(candidates[usable[second]]);
    return usable[firstIsBetter ? first : second];
}

} // namespace

std::size_t pickLeastLoadedOfTwo(std::span<const ReadCandidate> candidates, double, Random &random)
{
    std::optional<std::size_t> best;
    for (const Distance distance : kDistances) {
        const std::vector<std::size_t> usable = atDistance(candidates, distance);
        if (usable.empty())
            continue;
        const std::size_t picked = leastLoadedOfTwo(candidates, usable, random);
        if (!best || loadOf(candidates[picked]) < kFarAdvantage * loadOf(candidates[*best]))
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
        weights[i] *= std::max(kLeastWeight, candidates[i].observation->weight);
    return weightedDraw(weights, random);
}

const ReplicaPicker kDefaultReplicaPicker = pickLeastLoadedOfTwo;

} // namespace shallotlever
