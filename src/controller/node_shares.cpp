#include "node_shares.h"

#include <algorithm>

namespace shallotlever {

namespace {

/// Share versions of which the grant numbers are remembered, as many as reports can be answered
/// late.
constexpr std::size_t kVersionsRemembered = kMaxTrackedReports;

NodeShares::Granted appliedGrants(const NodeShares &node, const NodeReport &report)
{
    const auto found = std::find_if(node.recent.begin(), node.recent.end(),
                                    [&](const NodeShares::Granted &granted) {
                                        return granted.version == report.appliedShares;
                                    });
    return found == node.recent.end() ? NodeShares::Granted() : *found;
}

} // namespace

const ShareSet &grantShares(ControllerState &controller, const NodeReport &report, TimePoint now)
{
    NodeShares &node = controller.shares[report.node];
    if (node.incarnation != report.incarnation) {
        node = NodeShares();
        node.incarnation = report.incarnation;
    }
    const NodeShares::Granted applied = appliedGrants(node, report);
    ReportStamp stamp { report.node, report.incarnation, report.number, applied.rate };
    // The controller learns of a report when it arrives, so the age that a relay added only makes
    // the node's own lease end earlier than the controller assumes.
    RateGrant rates = onRateReport(controller.rates, { stamp, report.teams }, now);
    stamp.appliedGrant = applied.slot;
    SlotGrant slots = onSlotReport(controller.slots, { stamp, report.slots }, now);
    // Both allocators took office together, so their grants are renewals at the same time.
    node.shares.renewed = rates.renewal;
    node.shares.version = ++controller.lastShareVersion;
    node.shares.rates = std::move(rates.shares);
    node.shares.slots = std::move(slots.shares);
    // An empty grant has number 0 and leaves the last one in force.
    const auto numberOr = [](GrantNumber number, GrantNumber last) {
        return number == GrantNumber() ? last : number;
    };
    node.recent.push_back({ node.shares.version, numberOr(rates.number, applied.rate),
                            numberOr(slots.number, applied.slot) });
    if (node.recent.size() > kVersionsRemembered)
        node.recent.pop_front();
    return node.shares;
}

} // namespace shallotlever
