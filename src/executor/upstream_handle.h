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

/// Connection pool, control connection and observed state of one upstream.
struct UpstreamHandle
{
    UpstreamInfo info;
    std::unique_ptr<ConnectionPool> pool;
    UpstreamControl control;
    UpstreamHealth health;
    std::optional<TimedStatus> status;
    bool statusQueryPending = false;
    /// Whether the upstream answers status queries; unset until one has been answered or enough of
    /// them have failed.
    std::optional<bool> reachable;
    std::uint32_t consecutiveStatusFailures = 0;
    TimePoint nextPoll;
    std::uint32_t inFlight = 0;
    /// Moving averages of the statement latency in microseconds and of its square.
    double meanLatencyUs = 0;
    double meanSquareLatencyUs2 = 0;
};

/// Creates the handle without opening a connection. Fails if the address is not valid.
absl::StatusOr<UpstreamHandle> makeUpstreamHandle(const UpstreamInfo &info, const std::string &user,
                                                  const Random &random);

/// Adds the latency of one statement to the moving averages.
void recordLatency(UpstreamHandle &handle, Duration latency);

/// Input of the replica selection for this upstream.
UpstreamObservation makeObservation(UpstreamHandle &handle, const HealthOptions &options,
                                    TimePoint now);

} // namespace shallotlever
