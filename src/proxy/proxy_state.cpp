#include "proxy_state.h"

#include <algorithm>

namespace shallotlever {

namespace {

/// Weight of a new sample in the moving average of unevenness().
constexpr double kUnevennessWeight = 0.02;

} // namespace

void endPending(DatabaseRoute &route)
{
    route.pending -= std::min(route.pending, 1U);
    route.sentSinceReport = std::min(route.sentSinceReport, route.pending);
}

void recordOutstanding(DatabaseRoute &route, std::uint32_t outstanding)
{
    route.meanOutstanding += (outstanding - route.meanOutstanding) * kMeanOutstandingWeight;
}

UpstreamLoad remoteLoad(const DatabaseRoute &route, bool primary, bool reachable,
                        Duration roundTrip, TimePoint now)
{
    UpstreamLoad load = route.ownerLoad;
    load.roundTrip = roundTrip;
    load.id = route.info.id;
    load.state = route.info.state;
    load.primary = primary;
    load.slots = route.info.slots;
    load.leasedConnections = std::max(1U, route.info.slots);
    load.reachable = reachable;
    load.pending = route.pending;
    load.sentSinceReport = route.sentSinceReport;
    load.figureAge = kMaxFigureAge;
    // A load that has not been reported for long, as of an owner that started again, is unknown.
    if (now < route.reportedAt + kMaxServiceTimeAge) {
        load.outstanding = route.reportedOutstanding;
        load.meanOutstanding = route.meanOutstanding;
        load.figureAge = now - route.reportedAt;
    }
    return load;
}

void PlacementMetrics::observe(std::span<const PlacementCandidate> candidates,
                               const PlacementCandidate &chosen)
{
    figureAge->observe(chosen.figure.age);
    if (const std::optional<double> sample = unevenness(candidates)) {
        meanUnevenness += (*sample - meanUnevenness) * kUnevennessWeight;
        unevennessPercent->set(static_cast<std::int64_t>(meanUnevenness * 100));
    }
}

DatabaseRoute *ServiceDatabases::route(const UpstreamId &upstream)
{
    const auto found = routes.find(upstream);
    return found == routes.end() ? nullptr : &found->second;
}

std::shared_ptr<UpstreamPool> ServiceDatabases::pool(const UpstreamId &upstream) const
{
    const auto found = routes.find(upstream);
    return found == routes.end() ? nullptr : found->second.pool;
}

void ProxyState::recordHistoryPoint(const ServiceId &service, const UpstreamId &upstream,
                                    const HistoryPoint &point, TimePoint requestedAt)
{
    const auto databases = services.find(service);
    if (databases == services.end())
        return;
    DatabaseRoute *route = databases->second.route(upstream);
    if (route != nullptr && requestedAt >= route->logEndAt) {
        route->logEnd = point;
        route->logEndAt = requestedAt;
    }
    if (databases->second.primary == upstream && fresh(requestedAt))
        recordPosition(databases->second.positions, point, requestedAt);
}

bool ProxyState::mayAcknowledge(const ServiceId &service,
                                const std::optional<PrimaryTenure> &tenure, TimePoint now) const
{
    const auto databases = services.find(service);
    return fresh(now) && tenure && databases != services.end()
        && shallotlever::mayAcknowledge(databases->second.tenures, *tenure, now);
}

void ProxyState::applyEvacuations(TimePoint now)
{
    const std::set<DataCentreId> evacuated = evacuatedDataCentres(config);
    std::erase_if(evacuatedSince,
                  [&](const auto &entry) { return !evacuated.contains(entry.first); });
    for (const DataCentreId &dataCentre : evacuated)
        evacuatedSince.try_emplace(dataCentre, now);
}

TimePoint ProxyState::transactionEnd(const UpstreamInfo &info) const
{
    const auto since = evacuatedSince.find(info.dataCentre);
    return since == evacuatedSince.end() ? kNever : since->second + kEvacuationGrace;
}

bool ProxyState::onlyEvacuated(const ServiceDatabases &databases) const
{
    return !databases.routes.empty()
        && std::all_of(databases.routes.begin(), databases.routes.end(),
                       [this](const auto &route) { return isEvacuated(route.second.info); });
}

TimePoint ProxyState::nextPoolTick(TimePoint now) const
{
    TimePoint due = kNever;
    for (const auto &[id, service] : services) {
        for (const auto &[upstream, route] : service.routes) {
            if (route.pool)
                due = std::min(due, route.pool->nextTick(now));
        }
    }
    return due;
}

void logUnusableNames(const ProxyState &state, const ClusterConfig &config)
{
    const auto log = [&state](const char *kind, const std::string &name) {
        if (!state.protocol->isName(name))
            state.logger->warning("name_unusable", { { "kind", kind }, { "name", name } });
    };
    for (const auto &[id, service] : config.services)
        log("service", id.value());
    for (const auto &[id, team] : config.teams)
        log("team", id.value());
}

} // namespace shallotlever
