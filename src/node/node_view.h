#pragma once

#include <map>
#include <string>
#include <vector>

#include "shallotlever/config/state.h"
#include "shallotlever/fleet/distribution.h"
#include "shallotlever/fleet/freshness.h"
#include "shallotlever/policy/share_lease.h"

/// What a node knows of the cluster, received from the controller in leases. Sans-I/O.
namespace shallotlever {

struct NodeView
{
    NodeId node;
    NodeFreshness freshness;
    /// Only the configuration is used; changes are applied by the same code as on the controller.
    ReplicatedState replicated;
    ConfigLog configLog;
    FleetLog fleet;
    /// The shares only extend those in force.
    bool sharesRenewed = false;
    std::vector<RateShare> rates;
    std::vector<SlotShare> slots;
    bool allObservationsWanted = true;
    /// Observations as of the last report, to send differences only.
    std::map<UpstreamId, bool> reportedObservations;
};

NodeView makeNodeView(const NodeId &node, Incarnation incarnation);

/// What a node puts into its next report.
struct ReportInput
{
    std::vector<HeardAnnouncement> announcements;
    std::map<UpstreamId, bool> reachable;
    std::vector<TeamDemand> teams;
    std::vector<SlotDemand> slots;
    bool controlOnly = false;
};

NodeReport makeNodeReport(NodeView &view, ReportInput input, TimePoint now);

struct LeaseResult
{
    LeaseVerdict verdict = LeaseVerdict::Expired;
    bool configChanged = false;
    bool fleetChanged = false;
    /// End of the shares that came with the lease.
    TimePoint sharesUntil;
};

/// Applies a lease; a configuration that cannot be applied is asked for in full by the next report.
LeaseResult applyNodeLease(NodeView &view, const NodeLease &lease, TimePoint now);

} // namespace shallotlever
