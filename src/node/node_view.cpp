#include "node_view.h"

#include <algorithm>
#include <utility>

#include "shallotlever/config/codec.h"

namespace shallotlever {

namespace {

std::vector<Observation> observationDifferences(const std::map<UpstreamId, bool> &before,
                                                const std::map<UpstreamId, bool> &after)
{
    std::vector<Observation> differences;
    for (const auto &[upstream, reachable] : after) {
        const auto old = before.find(upstream);
        if (old == before.end() || old->second != reachable)
            differences.push_back({ upstream, reachable, false });
    }
    for (const auto &[upstream, reachable] : before) {
        if (!after.contains(upstream))
            differences.push_back({ upstream, reachable, true });
    }
    return differences;
}

/// Applies one encoded change. Returns false if it does not lead to the next version.
bool applyConfigChange(NodeView &view, const std::string &bytes)
{
    const absl::StatusOr<LoggedCommand> command = decodeCommand(bytes);
    if (!command.ok())
        return false;
    const ConfigVersion expected = view.replicated.cluster.config.version.next();
    const ChangeResult result =
        applyCommand(view.replicated, command->command, view.replicated.cluster.index.next(),
                     command->wallTimeMs);
    return result.outcome == ChangeOutcome::Accepted && result.version == expected;
}

bool applyFullConfig(NodeView &view, const std::string &bytes)
{
    absl::StatusOr<ClusterConfig> config = decodeConfig(bytes);
    if (!config.ok())
        return false;
    // Resets the history of change ids as well: it belongs to the old state.
    view.replicated = initialState();
    view.replicated.cluster.config = std::move(*config);
    return true;
}

bool applyConfigUpdate(NodeView &view, const ConfigUpdate &update)
{
    if (update.full) {
        if (!applyFullConfig(view, *update.full))
            return false;
        resetConfigLog(view.configLog, update.to, *update.full);
    }
    ConfigVersion version = update.full ? update.to : update.from;
    for (const std::string &change : update.changes) {
        version = version.next();
        // The node may have applied the first changes since it sent the report.
        if (version <= view.replicated.cluster.config.version)
            continue;
        if (!applyConfigChange(view, change))
            return false;
        appendConfigChange(view.configLog, change, encodeConfig(view.replicated.cluster.config));
    }
    return view.replicated.cluster.config.version == update.to;
}

/// Returns the renewed shares, limited to those held: a renewal never raises a share.
std::vector<SlotShare> renewedSlots(const std::vector<SlotShare> &held,
                                    std::vector<SlotShare> renewed)
{
    for (SlotShare &share : renewed) {
        const auto old = std::find_if(held.begin(), held.end(), [&](const SlotShare &other) {
            return other.upstream == share.upstream;
        });
        share.connections = old == held.end() ? 0 : std::min(share.connections, old->connections);
    }
    return renewed;
}

} // namespace

NodeView makeNodeView(const NodeId &node, Incarnation incarnation)
{
    NodeView view;
    view.node = node;
    view.freshness.incarnation = incarnation;
    view.replicated = initialState();
    return view;
}

NodeReport makeNodeReport(NodeView &view, ReportInput input, TimePoint now)
{
    NodeReport report;
    report.node = view.node;
    report.incarnation = view.freshness.incarnation;
    report.number = noteReportSent(view.freshness, now);
    report.appliedConfig = view.freshness.appliedConfig;
    report.appliedFleet = view.freshness.appliedFleet;
    report.appliedShares = view.freshness.appliedShares;
    report.announcements = std::move(input.announcements);
    report.teams = std::move(input.teams);
    report.slots = std::move(input.slots);
    report.controlOnly = input.controlOnly;
    report.dataCentre = std::move(input.dataCentre);
    report.leaving = input.leaving;
    report.processAge = input.processAge;
    if (view.allObservationsRequested)
        view.reportedObservations.clear();
    else
        report.observationsBase = report.number - 1;
    report.observations = observationDifferences(view.reportedObservations, input.reachable);
    view.reportedObservations = std::move(input.reachable);
    view.allObservationsRequested = false;
    if (std::exchange(view.fleetViewRequested, false))
        report.fleet = { {}, view.fleet.version, true, diffFleet({}, view.fleet.state) };
    return report;
}

LeaseResult applyNodeLease(NodeView &view, const NodeLease &lease, TimePoint now)
{
    LeaseResult result;
    const ConfigVersion configBefore = view.freshness.appliedConfig;
    const FleetVersion fleetBefore = view.freshness.appliedFleet;
    result.verdict = acceptLease(view.freshness, lease, now);
    if (result.verdict != LeaseVerdict::Applied)
        return result;
    view.allObservationsRequested = lease.wantsAllObservations;
    view.fleetViewRequested = lease.wantsFleetView;
    result.fleetViewRequested = lease.wantsFleetView;
    result.configChanged = lease.config.full || view.freshness.appliedConfig != configBefore;
    if (result.configChanged && !applyConfigUpdate(view, lease.config)) {
        // Reporting version 0 requests the full configuration. The lease ends, because the
        // configuration that it confirms is not in force on this node.
        view.freshness.appliedConfig = ConfigVersion();
        view.freshness.leaseUntil = now;
        result.configChanged = false;
    }
    result.fleetChanged = lease.fleet.full || view.freshness.appliedFleet != fleetBefore;
    applyFleetUpdate(view.fleet, lease.fleet);
    if (!lease.sharesUnchanged) {
        view.rates = lease.rates;
        const bool renewed = lease.sharesRenewed || lease.connectionsRenewed;
        view.slots = renewed ? renewedSlots(view.slots, lease.slots) : lease.slots;
    }
    view.sharesRenewed = lease.sharesRenewed;
    result.sharesUntil = view.freshness.sentAt.at(lease.report) + kShareLeaseDuration;
    return result;
}

} // namespace shallotlever
