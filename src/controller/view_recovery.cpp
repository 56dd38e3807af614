#include "view_recovery.h"

#include <algorithm>
#include <utility>

#include "shallotlever/fleet/endpoint_claim.h"

namespace shallotlever {

namespace {

/// Whether a later process, which the controller has heard of since its election, shows that the
/// process in the view has ended.
bool hasEnded(const Registry &registry, const Announcement &announcement)
{
    const auto ended = registry.endedLifetimes.find(announcement.upstream);
    return ended != registry.endedLifetimes.end() && announcement.lifetime <= ended->second;
}

bool isReplaced(const Registry &registry, const Announcement &announcement)
{
    return std::any_of(registry.entries.begin(), registry.entries.end(), [&](const auto &item) {
        const auto &[id, entry] = item;
        return id != announcement.upstream && !entry.seeded
            && entry.announcement.endpoint == announcement.endpoint
            && entry.announcement.lifetime > announcement.lifetime;
    });
}

/// Adds the upstreams of the view. What upstreams have announced since the election stays.
void addUpstreams(Registry &registry, const FleetState &state, TimePoint now)
{
    Registry seeds = seedRegistry(state, registry.evacuated, now);
    for (auto &[id, entry] : seeds.entries) {
        const auto known = registry.entries.find(id);
        if (known != registry.entries.end() && !known->second.seeded)
            continue;
        if (hasEnded(registry, entry.announcement))
            continue;
        const bool replaced = isReplaced(registry, entry.announcement);
        const auto added = registry.entries.insert_or_assign(id, std::move(entry)).first;
        if (replaced)
            markClaimed(registry, added->second, now);
    }
    registry.drained.merge(seeds.drained);
    ++registry.revision;
}

} // namespace

bool hasNewerView(const ControllerState &controller, const NodeReport &report)
{
    return report.appliedFleet > controller.inheritedFleetVersion
        && controller.fleetLog.version == controller.inheritedFleetVersion
        && report.appliedFleet.controlTerm < controller.controlTerm;
}

bool adoptReportedView(ControllerState &controller, const NodeReport &report, TimePoint now)
{
    const bool complete =
        report.fleet && report.fleet->full && report.fleet->to == report.appliedFleet;
    if (!complete || !hasNewerView(controller, report))
        return false;
    FleetLog log;
    applyFleetUpdate(log, *report.fleet);
    addUpstreams(controller.registry, log.state, now);
    controller.inheritedFleetVersion = log.version;
    controller.fleetLog = std::move(log);
    applyUpstreamLimits(controller.slots, controller.fleetLog.state.view);
    return true;
}

bool shouldRequestView(ControllerState &controller, const NodeReport &report, TimePoint now)
{
    if (!hasNewerView(controller, report))
        return false;
    // The limits that the controller knows, if any, may lack upstreams that nodes are connected to.
    controller.slots.awaitsLimits = true;
    ViewRequest &last = controller.viewRequest;
    if (last.version >= report.appliedFleet && now < last.sentAt + kFleetViewRequestTimeout)
        return false;
    last = { report.appliedFleet, now };
    return true;
}

} // namespace shallotlever
