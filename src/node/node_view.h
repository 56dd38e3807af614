#pragma once

#include <map>
#include <string>
#include <vector>

#include "shallotlever/config/state.h"
#include "shallotlever/fleet/distribution.h"
#include "shallotlever/fleet/freshness.h"
#include "shallotlever/policy/share_lease.h"

/// A node's view of the cluster, received from the controller in leases. Sans-I/O.
namespace shallotlever {

struct NodeView
{
    NodeId node;
    NodeFreshness freshness;
    /// Only the configuration is used; changes are applied by the same code as on the controller.
    ReplicatedState replicated;
    ConfigLog configLog;
    FleetLog fleet;
    /// The last lease only renewed the shares in force.
    bool sharesRenewed = false;
    std::vector<RateShare> rates;
    std::vector<SlotShare> slots;
    bool allObservationsRequested = true;
    /// The controller asked for the fleet view in the last lease.
    bool fleetViewRequested = false;
    /// Observations as of the last report; the next report contains the differences only.
    std::map<UpstreamId, bool> reportedObservations;
};

NodeView makeNodeView(const NodeId &node, Incarnation incarnation);

/// Contents of a node's next report.
struct ReportInput
{
    std::vector<HeardAnnouncement> announcements;
    std::map<UpstreamId, bool> reachable;
    std::vector<TeamDemand> teams;
    std::vector<SlotDemand> slots;
    bool controlOnly = false;
    /// Set if the node may hold connections to databases for other nodes.
    DataCentreId dataCentre;
    bool leaving = false;
    Duration processAge { 0 };
};

NodeReport makeNodeReport(NodeView &view, ReportInput input, TimePoint now);

struct LeaseResult
{
    LeaseVerdict verdict = LeaseVerdict::Expired;
    bool configChanged = false;
    bool fleetChanged = false;
    /// The next report carries the fleet view, and the controller waits for it.
    bool fleetViewRequested = false;
    /// Expiry of the shares that came with the lease.
    TimePoint sharesUntil;
};

/// Applies a lease. If its configuration cannot be applied, the next report requests it in full.
LeaseResult applyNodeLease(NodeView &view, const NodeLease &lease, TimePoint now);

} // namespace shallotlever
