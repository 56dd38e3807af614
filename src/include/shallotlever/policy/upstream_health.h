#pragma once

#include <cstdint>
#include <span>
#include <vector>

#include "shallotlever/base/random.h"
#include "shallotlever/base/time.h"

namespace shallotlever {

struct HealthOptions
{
    /// Consecutive failures or timeouts after which an upstream is ejected.
    std::uint32_t failuresToEject = 3;
    /// Consecutive successful probes that end an ejection.
    std::uint32_t probesToReadmit = 2;
    Duration initialProbeDelay = 200ms;
    Duration maxProbeDelay = 5s;
    /// Time over which the weight of a readmitted upstream grows to 1.
    Duration slowStartDuration = 2s;
    /// Ejections are ignored if the usable fraction of the group is below this threshold, so that a
    /// fault of the node itself does not eject all upstreams.
    double panicThreshold = 0.34;
};

enum class HealthPhase : std::uint8_t { Healthy, Ejected, SlowStart };

/// Circuit breaker state of one upstream, as seen from this node.
struct UpstreamHealth
{
    HealthPhase phase = HealthPhase::Healthy;
    std::uint32_t consecutiveFailures = 0;
    std::uint32_t successfulProbes = 0;
    /// Failed probes, and ejections during slow start, since the upstream was last healthy.
    /// Exponent of the probe backoff.
    std::uint32_t backoffExponent = 0;
    TimePoint nextProbe;
    bool probeRunning = false;
    TimePoint slowStartedAt;
};

/// Records the result of a request or probe. A timeout is a failure; an error of the statement is a
/// success.
void recordSuccess(UpstreamHealth &health, const HealthOptions &options, TimePoint now);
void recordFailure(UpstreamHealth &health, const HealthOptions &options, TimePoint now,
                   Random &random);

/// Returns true if a probe of an ejected upstream is due, and schedules the next one.
bool tryStartProbe(UpstreamHealth &health, const HealthOptions &options, TimePoint now,
                   Random &random);

/// Weight for the choice of a replica: 0 while ejected, rising during slow start, 1 if healthy.
double healthWeight(UpstreamHealth &health, const HealthOptions &options, TimePoint now);

/// Weights of the upstreams of a group. If the usable fraction is below the panic threshold, all
/// weights are 1.
std::vector<double> groupWeights(std::span<UpstreamHealth> group, const HealthOptions &options,
                                 TimePoint now);

} // namespace shallotlever
