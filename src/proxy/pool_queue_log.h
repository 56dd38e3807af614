#pragma once

#include <map>

#include "proxy_state.h"

namespace shallotlever {

/// Last observation of a pool, to which the next one is compared.
struct PoolObservation
{
    TimePoint at;
    PoolOccupancy occupancy;
};

/// Pools of this node as of the last call of logPoolQueues().
struct PoolQueueLog
{
    TimePoint nextAt;
    std::map<UpstreamId, PoolObservation> observations;
};

/// Logs, at most once per second, what the statements wait for at each pool where one has waited
/// for long.
void logPoolQueues(PoolQueueLog &log, const ProxyState &state, TimePoint now);

} // namespace shallotlever
