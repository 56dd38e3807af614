#pragma once

#include <cstdint>
#include <span>
#include <vector>

#include "shallotlever/base/random.h"
#include "shallotlever/base/time.h"

namespace shallotlever {

struct HealthOptions
{
    /// Consecutive failures or timeouts that eject an upstream.
    std::uint32_t failuresToEject = 3;
    /// Consecutive successful probes that end the ejection.
    std::uint32_t probesToReturn = 2;
    Duration firstProbeDelay = 200ms;
    Duration maxProbeDelay = 5s;
    /// Time over which a returning upstream's weight grows to 1.
    Duration returnTime = 2s;
    /// Ejections are ignored while a smaller share than this would remain, so that a fault of the
    /// node itself does not eject all upstreams.
    double panicThreshold = 0.34;
};

enum class HealthPhase : std::uint8_t { Healthy, Ejected, Returning };

/// One upstream as this node experiences it.
struct UpstreamHealth
{
    HealthPhase phase = HealthPhase::Healthy;
    std::uint32_t consecutiveFailures = 0;
    std::uint32_t successfulProbes = 0;
    /// Ejections and failed probes since the upstream was last healthy; sets the back-off.
    std::uint32_t backoffExponent = 0;
    TimePoint nextProbe;
    bool probeRunning = false;
    TimePoint returningSince;
};

/// Result of a request or probe. A timeout is a failure; an error of the statement is a success.
void recordSuccess(UpstreamHealth &health, const HealthOptions &options, TimePoint now);
void recordFailure(UpstreamHealth &health, const HealthOptions &options, TimePoint now,
                   Random &random);

/// True if an ejected upstream is due for a probe; schedules the next one.
bool takeProbe(UpstreamHealth &health, const HealthOptions &options, TimePoint now, Random &random);

/// Weight for replica choice: 0 ejected, rising during return, 1 healthy.
double healthWeight(UpstreamHealth &health, const HealthOptions &options, TimePoint now);

/// Weights of a group after the panic threshold: if too few are usable, all get weight 1.
std::vector<double> groupWeights(std::span<UpstreamHealth> group, const HealthOptions &options,
                                 TimePoint now);

} // namespace shallotlever
