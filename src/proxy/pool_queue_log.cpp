#include "pool_queue_log.h"

#include <utility>

namespace shallotlever {

namespace {

constexpr Duration kObservationInterval = 1s;
/// Pools at which no statement has waited for longer are not logged.
constexpr Duration kMinLoggedWait = 250ms;

std::int64_t milliseconds(Duration duration)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
}

void logQueue(const ProxyState &state, const UpstreamPool &pool, const PoolObservation &former,
              const PoolObservation &current)
{
    const UpstreamLoad &load = pool.load();
    const PoolOccupancy &occupancy = current.occupancy;
    state.logger->info("pool_queue",
                       { { "upstream", load.id },
                         { "waiting", occupancy.waiting },
                         { "longest_wait_ms", milliseconds(occupancy.longestWait) },
                         { "connections", occupancy.open },
                         { "opening", occupancy.opening },
                         { "leased", load.leasedConnections },
                         { "running", occupancy.running },
                         { "window", occupancy.window },
                         { "held", occupancy.held },
                         { "service_ms", milliseconds(load.serviceTime) },
                         { "open_ms", milliseconds(load.openTime) },
                         { "interval_ms", milliseconds(current.at - former.at) },
                         { "requested", occupancy.requested - former.occupancy.requested },
                         { "acquired", occupancy.acquired - former.occupancy.acquired },
                         { "opened", occupancy.opened - former.occupancy.opened } });
}

} // namespace

void logPoolQueues(PoolQueueLog &log, const ProxyState &state, TimePoint now)
{
    if (now < log.nextAt)
        return;
    log.nextAt = now + kObservationInterval;
    const auto former = std::exchange(log.observations, {});
    for (const auto &[id, service] : state.services) {
        for (const auto &[upstream, route] : service.routes) {
            if (!route.pool)
                continue;
            const PoolObservation current { now, route.pool->occupancy(now) };
            log.observations[upstream] = current;
            const auto previous = former.find(upstream);
            // The counts of a new pool of the same database start anew.
            const bool comparable = previous != former.end()
                && previous->second.occupancy.requested <= current.occupancy.requested;
            if (current.occupancy.longestWait >= kMinLoggedWait)
                logQueue(state, *route.pool,
                         comparable ? previous->second : PoolObservation { now, {} }, current);
        }
    }
}

} // namespace shallotlever
