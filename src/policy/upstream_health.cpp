#include "shallotlever/policy/upstream_health.h"

#include <algorithm>

namespace shallotlever {
namespace {

/// Weight at the start of slow start.
constexpr double kInitialWeight = 0.1;
constexpr std::uint32_t kMaxExponent = 16;

/// Delay before the next probe: exponential backoff with jitter between half and all of the nominal
/// value, so that nodes do not probe in step.
Duration probeDelay(const UpstreamHealth &health, const HealthOptions &options, Random &random)
{
    const std::int64_t factor = std::int64_t { 1 }
        << std::min(health.backoffExponent, kMaxExponent);
    const Duration nominal = std::min(options.initialProbeDelay * factor, options.maxProbeDelay);
    return uniformDuration(random, nominal / 2, nominal + Duration(1));
}

void eject(UpstreamHealth &health, const HealthOptions &options, TimePoint now, Random &random)
{
    health.phase = HealthPhase::Ejected;
    health.successfulProbes = 0;
    health.nextProbe = now + probeDelay(health, options, random);
}

} // namespace

void recordSuccess(UpstreamHealth &health, const HealthOptions &options, TimePoint now)
{
    health.consecutiveFailures = 0;
    if (health.phase != HealthPhase::Ejected)
        return;
    if (++health.successfulProbes < options.probesToReadmit) {
        health.nextProbe = now;
        return;
    }
    health.phase = HealthPhase::SlowStart;
    health.slowStartedAt = now;
}

void recordFailure(UpstreamHealth &health, const HealthOptions &options, TimePoint now,
                   Random &random)
{
    ++health.consecutiveFailures;
    const bool relapse = health.phase == HealthPhase::SlowStart;
    // Only failed probes and failures during slow start lengthen the backoff, not late failures of
    // requests that were sent before the ejection.
    const bool failedProbe = health.phase == HealthPhase::Ejected && health.probeRunning;
    if (relapse || failedProbe)
        ++health.backoffExponent;
    health.probeRunning = false;
    if (relapse || failedProbe
        || (health.phase == HealthPhase::Healthy
            && health.consecutiveFailures >= options.failuresToEject))
        eject(health, options, now, random);
}

bool tryStartProbe(UpstreamHealth &health, const HealthOptions &options, TimePoint now,
                   Random &random)
{
    if (health.phase != HealthPhase::Ejected || now < health.nextProbe)
        return false;
    health.probeRunning = true;
    // Schedules another probe in case the answer to this one is lost.
    health.nextProbe = now + probeDelay(health, options, random);
    return true;
}

double healthWeight(UpstreamHealth &health, const HealthOptions &options, TimePoint now)
{
    if (health.phase == HealthPhase::Healthy)
        return 1;
    if (health.phase == HealthPhase::Ejected)
        return 0;
    if (now - health.slowStartedAt >= options.slowStartDuration) {
        health.phase = HealthPhase::Healthy;
        health.backoffExponent = 0;
        return 1;
    }
    const double progress = std::chrono::duration<double>(now - health.slowStartedAt)
        / std::chrono::duration<double>(options.slowStartDuration);
    return kInitialWeight + (1 - kInitialWeight) * progress;
}

std::vector<double> groupWeights(std::span<UpstreamHealth> group, const HealthOptions &options,
                                 TimePoint now)
{
    std::vector<double> weights;
    weights.reserve(group.size());
    std::size_t usable = 0;
    for (UpstreamHealth &health : group) {
        weights.push_back(healthWeight(health, options, now));
        usable += weights.back() > 0 ? 1 : 0;
    }
    if (static_cast<double>(usable) < options.panicThreshold * static_cast<double>(group.size()))
        std::fill(weights.begin(), weights.end(), 1.0);
    return weights;
}

} // namespace shallotlever
