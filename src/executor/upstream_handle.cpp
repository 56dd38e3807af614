#include "upstream_handle.h"

namespace shallotlever {

namespace {

/// Weight of one statement in the exponentially weighted moving averages.
constexpr double kLatencySmoothingFactor = 0.05;

double movingAverage(double average, double value)
{
    return average == 0 ? value : average + kLatencySmoothingFactor * (value - average);
}

} // namespace

absl::StatusOr<UpstreamHandle> makeUpstreamHandle(const UpstreamInfo &info, const std::string &user,
                                                  const Random &random)
{
    ConnectionParams params;
    params.endpoint = info.endpoint;
    params.user = user;
    params.database = info.service.value();
    PoolOptions options;
    options.limits = { 1, 0 };
    absl::StatusOr<std::unique_ptr<ConnectionPool>> pool =
        ConnectionPool::create(params, options, random);
    if (!pool.ok())
        return pool.status();
    params.user = std::string(kControlUser);
    UpstreamHandle handle;
    handle.info = info;
    handle.pool = std::move(*pool);
    handle.control = makeUpstreamControl(params);
    return handle;
}

void recordLatency(UpstreamHandle &handle, Duration latency)
{
    const auto us = static_cast<double>(latency.count());
    handle.meanLatencyUs = movingAverage(handle.meanLatencyUs, us);
    handle.meanSquareLatencyUs2 = movingAverage(handle.meanSquareLatencyUs2, us * us);
}

UpstreamObservation makeObservation(UpstreamHandle &handle, const HealthOptions &options,
                                    TimePoint now)
{
    UpstreamObservation observation;
    observation.id = handle.info.id;
    if (handle.status) {
        observation.point = handle.status->status.point;
        observation.pointRequestedAt = handle.status->askedAt;
    }
    observation.latency = Duration(static_cast<std::int64_t>(handle.meanLatencyUs));
    observation.serviceMean = handle.meanLatencyUs / 1e6;
    observation.serviceSecondMoment = handle.meanSquareLatencyUs2 / 1e12;
    observation.inFlight = handle.inFlight;
    observation.slots = std::max<std::uint32_t>(handle.info.slots, 1);
    observation.healthy = handle.health.phase != HealthPhase::Ejected;
    observation.weight = healthWeight(handle.health, options, now);
    return observation;
}

} // namespace shallotlever
