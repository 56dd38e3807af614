#include "node_shares.h"

#include <algorithm>

namespace shallotlever {

namespace {

/// Number of share versions whose grant numbers are kept. Equal to the number of recent reports
/// that a delayed lease can still answer.
constexpr std::size_t kMaxRememberedVersions = kMaxTrackedReports;

NodeShares::GrantNumbers appliedGrants(const NodeShares &node, const NodeReport &report)
{
    const auto found = std::find_if(node.recentGrants.begin(), node.recentGrants.end(),
                                    [&](const NodeShares::GrantNumbers &granted) {
                                        return granted.version == report.appliedShares;
                                    });
    return found == node.recentGrants.end() ? NodeShares::GrantNumbers() : *found;
}

} // namespace

const ShareSet &grantShares(ControllerState &controller, const NodeReport &report, TimePoint now)
{
    NodeShares &node = controller.shares[report.node];
    if (node.incarnation != report.incarnation) {
        node = NodeShares();
        node.incarnation = report.incarnation;
    }
    const NodeShares::GrantNumbers applied = appliedGrants(node, report);
    ReportStamp stamp { report.node, report.incarnation, report.number, applied.rate };
    // The controller counts a lease from the arrival of the report. Time that a report spends at a
    // relay only makes the lease end earlier at the node than the controller assumes.
    RateGrant rates = onRateReport(controller.rates, { stamp, report.teams }, now);
    stamp.appliedGrant = applied.slot;
    SlotGrant slots = onSlotReport(controller.slots, { stamp, report.slots }, now);
    // Connection shares are renewed for longer if their limits are not known yet.
    node.shares.renewed = rates.renewal;
    node.shares.connectionsRenewed = slots.renewal;
    node.shares.version = ++controller.lastShareVersion;
    node.shares.rates = std::move(rates.shares);
    node.shares.slots = std::move(slots.shares);
    // An empty grant has number 0 and leaves the previous grant in effect.
    const auto numberOrPrevious = [](GrantNumber number, GrantNumber previous) {
        return number == GrantNumber() ? previous : number;
    };
    node.recentGrants.push_back({ node.shares.version, numberOrPrevious(rates.number, applied.rate),
                                  numberOrPrevious(slots.number, applied.slot) });
    if (node.recentGrants.size() > kMaxRememberedVersions)
        node.recentGrants.pop_front();
    return node.shares;
}

} // namespace shallotlever
