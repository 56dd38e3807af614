#pragma once

#include <memory>
#include <optional>

#include "shallotlever/base/random.h"
#include "shallotlever/fleet/acknowledgement.h"
#include "shallotlever/policy/replica_choice.h"
#include "shallotlever/policy/upstream_health.h"
#include "shallotlever/types/fleet.h"
#include "shallotlever/upstream/control.h"
#include "shallotlever/upstream/pool.h"

namespace shallotlever {

/// One upstream as the executor uses it: its pool, its control connection and what is known of it.
struct UpstreamHandle
{
    UpstreamInfo info;
    std::unique_ptr<ConnectionPool> pool;
    UpstreamControl control;
    UpstreamHealth health;
    std::optional<TimedStatus> status;
    bool statusQueryPending = false;
    /// Result of the latest status query.
    std::optional<bool> reachable;
    std::uint32_t consecutiveStatusFailures = 0;
    TimePoint nextPoll;
    std::uint32_t inFlight = 0;
    /// Moving averages of the time of a statement, in microseconds.
    double meanLatencyUs = 0;
    double meanSquareLatencyUs2 = 0;
};

/// Opens no connection yet. Fails if the address is not valid.
absl::StatusOr<UpstreamHandle> makeUpstreamHandle(const UpstreamInfo &info, const std::string &user,
                                                  const Random &random);

/// Adds the time of one statement to the moving averages.
void recordLatency(UpstreamHandle &handle, Duration latency);

/// The handle as replica choice sees it.
UpstreamObservation makeObservation(UpstreamHandle &handle, const HealthOptions &options,
                                    TimePoint now);

} // namespace shallotlever
