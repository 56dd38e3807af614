#pragma once

#include <map>
#include <vector>

#include "controller_link.h"
#include "shallotlever/fleet/messages.h"

/// The controller's search for nodes that don't report to it. A node keeps nothing on a disk: after
/// a restart it knows the control members of its settings, all of which may have been replaced.
/// The control log records the nodes, so the controller can connect to them. Sans-I/O.
namespace shallotlever {

/// A recorded node that has not reported for this long is connected to. Nodes that know a present
/// control member find the controller sooner.
constexpr Duration kNodeSearchDelay = 2 * kControllerTimeout;
/// The search ends this long after the last report of the node, or after the election.
constexpr Duration kNodeSearchPeriod = 60s;
/// A link to a node that was found is kept for this long: its first lease may be on its way.
constexpr Duration kFoundNodeRetention = 5s;

struct NodeSearch
{
    /// Recorded nodes, and when each last reported, or when the controller learned of the record.
    std::map<NodeId, TimePoint> heardAt;
    /// Nodes that are connected to, and when each was last missing.
    std::map<NodeId, TimePoint> searched;
};

struct NodeSearchStep
{
    std::vector<NodeId> connect;
    std::vector<NodeId> disconnect;
};

void noteRecordedNode(NodeSearch &search, const NodeId &node, TimePoint now);
/// Records that the report, and the reports nested in it, have arrived.
void noteReport(NodeSearch &search, const NodeReport &report, TimePoint now);
/// Returns the nodes to connect to from now on, and those whose connection is not needed any more.
NodeSearchStep advanceNodeSearch(NodeSearch &search, TimePoint now);
/// Ends the search, as this node is not the controller any more.
NodeSearchStep endNodeSearch(NodeSearch &search);

} // namespace shallotlever
