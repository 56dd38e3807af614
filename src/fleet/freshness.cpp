#include "shallotlever/fleet/freshness.h"

#include <algorithm>

namespace shallotlever {

namespace {

bool isOutdated(const NodeFreshness &node, const NodeLease &lease)
{
    return lease.report < node.lastAnswered || lease.controlTerm < node.controlTerm
        || lease.logIndex < node.logIndex || lease.config.to < node.appliedConfig
        || lease.fleet.to < node.appliedFleet;
}

bool hasWrongBase(const NodeFreshness &node, const NodeLease &lease)
{
    const bool configFits = lease.config.full || lease.config.to == node.appliedConfig
        || lease.config.from <= node.appliedConfig;
    // Versions of one controller are totally ordered, so its changes can be applied again from an
    // earlier version on.
    const bool sameController = lease.fleet.to.controlTerm == node.appliedFleet.controlTerm
        && lease.fleet.from <= node.appliedFleet;
    const bool fleetFits =
        lease.fleet.full || lease.fleet.from == node.appliedFleet || sameController;
    const bool sharesFit = !lease.sharesUnchanged || lease.shareVersion == node.appliedShares;
    return !configFits || !fleetFits || !sharesFit;
}

template <typename Applied>
InForce inForce(const LeaseTable &table, TimePoint now, Applied applied)
{
    InForce result;
    result.waitsForPredecessor = now < table.predecessorLeasesUntil;
    for (const auto &[id, holder] : table.holders) {
        if (now < holder.until && !applied(holder))
            result.outstanding.push_back(id.first);
    }
    result.inForce = !result.waitsForPredecessor && result.outstanding.empty();
    return result;
}

} // namespace

std::uint64_t noteReportSent(NodeFreshness &node, TimePoint now)
{
    const std::uint64_t number = ++node.lastReport;
    node.sentAt[number] = now;
    if (node.sentAt.size() > kMaxTrackedReports)
        node.sentAt.erase(node.sentAt.begin());
    return number;
}

LeaseVerdict acceptLease(NodeFreshness &node, const NodeLease &lease, TimePoint now)
{
    if (lease.incarnation != node.incarnation)
        return LeaseVerdict::OtherIncarnation;
    const auto sent = node.sentAt.find(lease.report);
    if (sent == node.sentAt.end())
        return LeaseVerdict::UnknownReport;
    if (isOutdated(node, lease))
        return LeaseVerdict::Outdated;
    if (hasWrongBase(node, lease))
        return LeaseVerdict::WrongBase;
    const TimePoint until = sent->second + std::min(lease.length, kFreshnessLease);
    if (until <= now)
        return LeaseVerdict::Expired;
    node.leaseUntil = std::max(node.leaseUntil, until);
    node.lastAnswered = lease.report;
    node.controlTerm = lease.controlTerm;
    node.logIndex = lease.logIndex;
    node.appliedConfig = lease.config.to;
    node.appliedFleet = lease.fleet.to;
    node.appliedShares = lease.shareVersion;
    return LeaseVerdict::Applied;
}

LeaseTable makeLeaseTable(TimePoint now)
{
    return { .predecessorLeasesUntil = now + kFreshnessLease + kLeaseMargin, .holders = {} };
}

bool grantLease(LeaseTable &table, const NodeReport &report, TimePoint now)
{
    LeaseHolder &holder = table.holders[{ report.node, report.incarnation }];
    if (report.number <= holder.report)
        return false;
    holder = { .report = report.number,
               .until = now + kFreshnessLease + kLeaseMargin,
               .appliedConfig = std::max(holder.appliedConfig, report.appliedConfig),
               .appliedFleet = std::max(holder.appliedFleet, report.appliedFleet) };
    return true;
}

void expireLeases(LeaseTable &table, TimePoint now)
{
    std::erase_if(table.holders, [now](const auto &item) { return now >= item.second.until; });
}

InForce configInForce(const LeaseTable &table, ConfigVersion version, TimePoint now)
{
    return inForce(table, now, [version](const LeaseHolder &holder) {
        return holder.appliedConfig >= version;
    });
}

InForce fleetInForce(const LeaseTable &table, const FleetVersion &version, TimePoint now)
{
    return inForce(table, now, [&version](const LeaseHolder &holder) {
        return holder.appliedFleet >= version;
    });
}

const char *leaseVerdictName(LeaseVerdict verdict)
{
    switch (verdict) {
    case LeaseVerdict::Applied:
        return "applied";
    case LeaseVerdict::OtherIncarnation:
        return "other_incarnation";
    case LeaseVerdict::UnknownReport:
        return "unknown_report";
    case LeaseVerdict::Outdated:
        return "outdated";
    case LeaseVerdict::WrongBase:
        return "wrong_base";
    case LeaseVerdict::Expired:
        return "expired";
    }
    return "unknown";
}

} // namespace shallotlever
