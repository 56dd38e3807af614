#include "shallotlever/policy/pool_owner.h"

#include <algorithm>
#include <tuple>

#include <xxhash.h>

namespace shallotlever {

namespace {

struct RankedNode
{
    const NodeId *node = nullptr;
    bool leaving = false;
    bool otherDataCentre = false;
    std::uint64_t weight = 0;
};

bool isPreferred(const RankedNode &a, const RankedNode &b)
{
    // The node id breaks ties, so that the result does not depend on the order of the candidates.
    return std::tuple(a.leaving, a.otherDataCentre, b.weight, *a.node)
        < std::tuple(b.leaving, b.otherDataCentre, a.weight, *b.node);
}

} // namespace

std::vector<NodeId> selectPoolOwners(const UpstreamId &upstream, const DataCentreId &dataCentre,
                                     std::span<const PoolOwnerCandidate> candidates)
{
    const std::uint64_t seed = XXH3_64bits(upstream.value().data(), upstream.value().size());
    std::vector<RankedNode> ranked;
    ranked.reserve(candidates.size());
    for (const PoolOwnerCandidate &candidate : candidates) {
        const std::string &id = candidate.node.value();
        ranked.push_back({ &candidate.node, candidate.leaving, candidate.dataCentre != dataCentre,
                           XXH3_64bits_withSeed(id.data(), id.size(), seed) });
    }
    const std::size_t count = std::min(kPoolOwners, ranked.size());
    std::partial_sort(ranked.begin(), ranked.begin() + static_cast<std::ptrdiff_t>(count),
                      ranked.end(), isPreferred);
    std::vector<NodeId> owners;
    for (std::size_t i = 0; i < count; ++i)
        owners.push_back(*ranked[i].node);
    return owners;
}

} // namespace shallotlever
