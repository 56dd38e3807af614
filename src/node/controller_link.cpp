#include "controller_link.h"

#include <algorithm>
#include <utility>

namespace shallotlever {

ControllerLink makeControllerLink(std::vector<NodeId> configured, const std::optional<NodeId> &self,
                                  TimePoint now)
{
    ControllerLink link { std::move(configured), 0, now, now, false };
    if (self && std::find(link.members.begin(), link.members.end(), *self) == link.members.end())
        link.members.push_back(*self);
    return link;
}

const NodeId &currentController(const ControllerLink &link)
{
    return link.members[link.current];
}

void noteControllerAnswer(ControllerLink &link, const NodeId &from, TimePoint now)
{
    link.searching = false;
    link.lastAnswerAt = now;
    link.lastHeardAt = now;
    selectController(link, from, now);
}

std::vector<NodeId> setControlMembers(ControllerLink &link, const std::vector<NodeId> &members,
                                      const std::vector<NodeId> &configured)
{
    std::vector<NodeId> present = members;
    const auto keep = [&present](const NodeId &member) {
        if (std::find(present.begin(), present.end(), member) == present.end())
            present.push_back(member);
    };
    for (const NodeId &member : configured)
        keep(member);
    keep(currentController(link));
    const NodeId current = currentController(link);
    std::vector<NodeId> removed;
    for (const NodeId &member : link.members) {
        if (std::find(present.begin(), present.end(), member) == present.end())
            removed.push_back(member);
    }
    link.members = std::move(present);
    const auto selected = std::find(link.members.begin(), link.members.end(), current);
    link.current = static_cast<std::size_t>(selected - link.members.begin());
    return removed;
}

void noteControllerProgress(ControllerLink &link, TimePoint receivedAt)
{
    link.lastAnswerAt = std::max(link.lastAnswerAt, receivedAt);
}

void applyControllerHint(ControllerLink &link, const NodeId &from, const NodeId &leader,
                         TimePoint now)
{
    // Ignores a late hint from a member that is no longer the current one.
    if (from != currentController(link))
        return;
    link.lastHeardAt = now;
    if (leader == from)
        return;
    selectController(link, leader, now);
}

bool isControllerSilent(const ControllerLink &link, TimePoint now)
{
    return now >= link.lastHeardAt + kControllerTimeout;
}

void selectController(ControllerLink &link, const NodeId &controller, TimePoint now)
{
    const auto named = std::find(link.members.begin(), link.members.end(), controller);
    if (named == link.members.end())
        return;
    if (controller != currentController(link))
        link.lastHeardAt = now;
    link.current = static_cast<std::size_t>(named - link.members.begin());
    link.lastAnswerAt = now;
}

void onReportRequest(ControllerLink &link, const NodeId &from, TimePoint now)
{
    if (from != currentController(link))
        selectController(link, from, now);
}

TimePoint controllerDeadline(const ControllerLink &link)
{
    return link.lastAnswerAt + kControllerTimeout;
}

bool advanceControllerLink(ControllerLink &link, TimePoint now)
{
    if (now < controllerDeadline(link))
        return false;
    link.current = (link.current + 1) % link.members.size();
    link.searching = true;
    link.lastAnswerAt = now;
    link.lastHeardAt = now;
    return true;
}

} // namespace shallotlever
