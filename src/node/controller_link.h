#pragma once

#include <optional>
#include <vector>

#include "shallotlever/base/ids.h"
#include "shallotlever/base/time.h"

/// Which control member a node takes for the controller. Sans-I/O.
namespace shallotlever {

/// A controller that has answered nothing for this long is given up for the next member.
constexpr Duration kControllerSilence = 600ms;

struct ControllerLink
{
    std::vector<NodeId> members;
    std::size_t current = 0;
    /// Last answer, or when the current member was chosen.
    TimePoint heardAt;
};

/// Starts with the configured members. `self` is this node if it is a control member: it may come
/// to lead without being configured, and has to find itself then.
ControllerLink makeControllerLink(std::vector<NodeId> configured, const std::optional<NodeId> &self,
                                  TimePoint now);

const NodeId &currentController(const ControllerLink &link);

/// The current member answered with a lease.
void noteControllerAnswer(ControllerLink &link, TimePoint now);

/// The current member named the leader; empty if it knows none.
void applyControllerHint(ControllerLink &link, const NodeId &from, const NodeId &leader,
                         TimePoint now);

/// A relay named the controller that answers it.
void adoptController(ControllerLink &link, const NodeId &controller, TimePoint now);

/// A member that is in office asked for a report. Members that are not known are ignored.
void onReportRequest(ControllerLink &link, const NodeId &from, TimePoint now);

/// Moves on to the next member if the current one is silent. Returns true if it changed.
bool advanceControllerLink(ControllerLink &link, TimePoint now);

} // namespace shallotlever
