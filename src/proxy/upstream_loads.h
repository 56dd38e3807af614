#pragma once

#include <set>
#include <variant>
#include <vector>

#include "proxy_state.h"
#include "shallotlever/proxy/placement_explanation.h"

namespace shallotlever {

class StatementDispatcher;

/// Load of each database of the service as known at this node, in the order of its routes, for a
/// statement of the team. Owners in `excludedOwners` count as not reachable.
std::vector<UpstreamLoad> upstreamLoads(const ProxyState &state,
                                        const StatementDispatcher &dispatcher,
                                        const ServiceDatabases &service, const TeamId &team,
                                        const std::set<NodeId> &excludedOwners, TimePoint now);

/// Answers with the decision that a session would make now, without a side effect: takes no token,
/// counts nothing and contacts no node or database. The error is UnknownService for a database
/// name, and MalformedRequest for a team, that the configuration does not hold.
std::variant<PlacementExplanation, Error> explainPlacement(const ProxyState &state,
                                                           const StatementDispatcher &dispatcher,
                                                           const PlacementQuestion &question,
                                                           TimePoint now);

} // namespace shallotlever
