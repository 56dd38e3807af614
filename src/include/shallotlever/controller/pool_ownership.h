#pragma once

#include <cstdint>
#include <map>

#include "shallotlever/fleet/messages.h"
#include "shallotlever/types/config.h"

/// The controller's knowledge of the nodes that may own connection pools (pool_owner.h).
namespace shallotlever {

/// A node that has not reported for this long is replaced as an owner. Three report intervals, so
/// that a single late report moves no connections.
constexpr Duration kPoolOwnerTimeout = 1500ms;
/// A new controller keeps the owners that it inherited until every node that it knows of has
/// reported, and at most for this long.
constexpr Duration kPoolOwnerSettleTime = 2s;

/// What a node last reported about itself.
struct PoolOwnerNode
{
    DataCentreId dataCentre;
    bool leaving = false;
    TimePoint reportedAt;
};

struct PoolOwnership
{
    std::map<NodeId, PoolOwnerNode> nodes;
    /// Increases with each change that may change an owner.
    std::uint64_t revision = 0;
};

/// Records a report. Nodes that serve no callers own no pools.
void notePoolOwnerReport(PoolOwnership &ownership, const NodeReport &report, TimePoint now);

/// Removes nodes that have not reported for kPoolOwnerTimeout.
void expirePoolOwners(PoolOwnership &ownership, TimePoint now);

/// Sets the owners of the databases that confirm commits themselves; the connections to other
/// databases are held by every node.
void assignPoolOwners(const PoolOwnership &ownership, const ClusterConfig &config, FleetView &view);

/// Copies the owners of the databases that are in both views.
void keepPoolOwners(const FleetView &from, FleetView &to);

} // namespace shallotlever
