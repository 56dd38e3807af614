#include "shallotlever/controller/pool_ownership.h"

#include "shallotlever/policy/pool_owner.h"

namespace shallotlever {

void notePoolOwnerReport(PoolOwnership &ownership, const NodeReport &report, TimePoint now)
{
    if (report.controlOnly || report.dataCentre.empty())
        return;
    const auto [entry, isNew] = ownership.nodes.try_emplace(report.node);
    PoolOwnerNode &node = entry->second;
    if (isNew || node.dataCentre != report.dataCentre || node.leaving != report.leaving)
        ++ownership.revision;
    node = { report.dataCentre, report.leaving, now };
}

void expirePoolOwners(PoolOwnership &ownership, TimePoint now)
{
    const std::size_t removed = std::erase_if(ownership.nodes, [now](const auto &entry) {
        return now >= entry.second.reportedAt + kPoolOwnerTimeout;
    });
    ownership.revision += removed > 0 ? 1 : 0;
}

void assignPoolOwners(const PoolOwnership &ownership, const ClusterConfig &config, FleetView &view)
{
    std::vector<PoolOwnerCandidate> candidates;
    for (const auto &[id, node] : ownership.nodes)
        candidates.push_back({ id, node.dataCentre, node.leaving });
    for (auto &[service, group] : view.groups) {
        const auto found = config.services.find(service);
        const bool owned = found != config.services.end() && found->second.confirmsCommits;
        for (auto &[id, info] : group.upstreams)
            info.poolOwners =
                owned ? selectPoolOwners(id, info.dataCentre, candidates) : std::vector<NodeId>();
    }
}

void keepPoolOwners(const FleetView &from, FleetView &to)
{
    for (auto &[service, group] : to.groups) {
        const auto before = from.groups.find(service);
        if (before == from.groups.end())
            continue;
        for (auto &[id, info] : group.upstreams) {
            const auto known = before->second.upstreams.find(id);
            if (known != before->second.upstreams.end())
                info.poolOwners = known->second.poolOwners;
        }
    }
}

} // namespace shallotlever
