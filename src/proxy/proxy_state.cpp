#include "proxy_state.h"

#include <algorithm>

namespace shallotlever {

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

} // namespace shallotlever
