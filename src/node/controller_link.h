#pragma once

#include <optional>
#include <vector>

#include "shallotlever/base/ids.h"
#include "shallotlever/base/time.h"

/// Tracks which control member a node regards as the controller. Sans-I/O.
namespace shallotlever {

/// A node switches to the next control member if the current one has not answered for this long.
constexpr Duration kControllerTimeout = 600ms;

struct ControllerLink
{
    std::vector<NodeId> members;
    std::size_t current = 0;
    /// Time of the last answer, or when the current member was selected if that is later.
    TimePoint lastAnswerAt;
    /// When the current member last sent a lease or a hint, also one that names no leader.
    TimePoint lastHeardAt;
    /// The current member timed out and no other one has answered yet: reports go to all members.
    bool searching = false;
};

/// Starts with the configured members. `self` is this node if it is a control member: it may be
/// elected without being configured, and must then be able to select itself.
ControllerLink makeControllerLink(std::vector<NodeId> configured, const std::optional<NodeId> &self,
                                  TimePoint now);

const NodeId &currentController(const ControllerLink &link);

/// Records that a member answered with a lease, and selects it.
void noteControllerAnswer(ControllerLink &link, const NodeId &from, TimePoint now);

/// Replaces the members that were learned earlier by the present ones. `configured` members stay,
/// as the last to be tried. The selected member stays selected if it is still one, or until
/// another one answers. Returns the members that were removed.
std::vector<NodeId> setControlMembers(ControllerLink &link, const std::vector<NodeId> &members,
                                      const std::vector<NodeId> &configured);

/// Selects the leader that `from` named; empty if it knows none. Ignored unless `from` is the
/// current member.
void applyControllerHint(ControllerLink &link, const NodeId &from, const NodeId &leader,
                         TimePoint now);

/// Whether the current member has sent nothing for kControllerTimeout, so that the links to it may
/// be dead. One that only doesn't know a leader, as during an election, isn't silent.
bool isControllerSilent(const ControllerLink &link, TimePoint now);

/// Selects the controller that a relay named. Ignored if it is not a known member.
void selectController(ControllerLink &link, const NodeId &controller, TimePoint now);

/// Selects a member that requested a report as the active controller. Ignored if it is not a known
/// member. A request of the current member does not count as an answer.
void onReportRequest(ControllerLink &link, const NodeId &from, TimePoint now);

/// Records that a part of a message of the current member arrived at `receivedAt`. A first lease
/// carries the whole configuration, which takes long over a slow link.
void noteControllerProgress(ControllerLink &link, TimePoint receivedAt);

/// When the current member times out unless it answers or a part of its message arrives.
TimePoint controllerDeadline(const ControllerLink &link);

/// Switches to the next member if the current one has timed out. Returns true if it did.
bool advanceControllerLink(ControllerLink &link, TimePoint now);

} // namespace shallotlever
