#pragma once

#include <cstddef>
#include <span>
#include <vector>

#include "shallotlever/base/ids.h"

/// Selects the nodes that hold the connections to a database.
///
/// Load pattern: many nodes serve many teams, and each database accepts few connections, each of
/// which belongs to one team. If every node kept connections of its own, teams times nodes would be
/// needed, and under load most statements would first wait for a connection to be opened. With one
/// owner per database, a connection per team suffices, and the owner sees every statement that
/// waits for one of the few slots of the database.
namespace shallotlever {

/// Number of owners of a database: the active one and its standby.
constexpr std::size_t kPoolOwners = 2;

/// A node that may hold connections to databases.
struct PoolOwnerCandidate
{
    NodeId node;
    DataCentreId dataCentre;
    /// The node is stopping. It is selected only if there are too few others.
    bool leaving = false;
};

/// Returns up to kPoolOwners nodes, the active owner first. Nodes in the database's data centre are
/// preferred; among them, rendezvous hashing decides, so that few databases change their owner when
/// a node joins or leaves.
std::vector<NodeId> selectPoolOwners(const UpstreamId &upstream, const DataCentreId &dataCentre,
                                     std::span<const PoolOwnerCandidate> candidates);

} // namespace shallotlever
