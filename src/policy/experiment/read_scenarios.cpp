#include <array>

#include <QJsonArray>
#include <QJsonObject>

#include "read_world.h"
#include "scenarios.h"

namespace shallotlever::experiment {
namespace {

constexpr double kServiceMean = 0.004;

struct NamedPicker
{
    const char *name;
    ReplicaPicker picker;
};

const std::array<NamedPicker, 3> kPickers { {
    { "least_loaded_of_two", pickLeastLoadedOfTwo },
    { "nearest", pickNearest },
    { "probabilistic", pickProbabilistic },
} };

/// Reads per second that use the given share of the slots of the replicas.
double loadOf(const ReadWorldOptions &options, double utilisation)
{
    double capacity = 0;
    for (std::size_t i = 1; i < options.serviceMeans.size(); ++i)
        capacity += options.deployment.slots / options.serviceMeans[i];
    return capacity * utilisation;
}

QJsonObject latencyFigures(const std::vector<ReadResult> &results)
{
    std::vector<double> latencies;
    double sum = 0;
    double replica = 0;
    for (const ReadResult &result : results) {
        if (!result.answered)
            continue;
        latencies.push_back(toSeconds(result.latency) * 1e3);
        sum += latencies.back();
        replica += result.replica ? 1 : 0;
    }
    std::sort(latencies.begin(), latencies.end());
    const auto count = static_cast<double>(latencies.size());
    const auto quantile = [&](double q) {
        return latencies.empty() ? 0.0 : latencies[static_cast<std::size_t>(q * (count - 1))];
    };
    return { { "mean_ms", sum / std::max(1.0, count) },
             { "p50_ms", quantile(0.5) },
             { "p99_ms", quantile(0.99) },
             { "answered", count / std::max<double>(1, static_cast<double>(results.size())) },
             { "replica_share", replica / std::max(1.0, count) } };
}

QJsonObject comparePickers(const Deployment &deployment, bool oneDataCentre, std::uint64_t seed)
{
    QJsonObject byLoad;
    for (const double utilisation : { 0.3, 0.6, 0.85 }) {
        QJsonObject byPicker;
        for (const NamedPicker &named : kPickers) {
            ReadWorldOptions options;
            options.deployment = deployment;
            options.oneDataCentre = oneDataCentre;
            options.picker = named.picker;
            // One of the three has half the speed.
            options.serviceMeans = { kServiceMean, kServiceMean, 2 * kServiceMean };
            options.seed = seed;
            options.readsPerSecond = loadOf(options, utilisation);
            ReadWorld world(options);
            world.run(60s);
            byPicker[named.name] = latencyFigures(world.results());
        }
        byLoad["utilisation_" + QString::number(utilisation)] = byPicker;
    }
    return byLoad;
}

/// Reads answered per second among those asked in [from, to).
double throughput(const std::vector<ReadResult> &results, TimePoint from, TimePoint to)
{
    double count = 0;
    for (const ReadResult &result : results) {
        const TimePoint answered = result.asked + result.latency;
        count += result.answered && answered >= from && answered < to ? 1 : 0;
    }
    return count / toSeconds(to - from);
}

QJsonObject freeze(ReadWorldOptions options, std::size_t database)
{
    options.readsPerSecond = loadOf(options, 0.4);
    ReadWorld world(options);
    world.run(20s);
    const TimePoint frozenAt = world.loop().now();
    world.database(database).setFrozen(true);
    world.run(12s);
    const auto &results = world.results();
    const double before = throughput(results, frozenAt - 10s, frozenAt);
    QJsonArray perSecond;
    for (int i = 0; i < 6; ++i)
        perSecond.append(throughput(results, frozenAt + i * 1s, frozenAt + (i + 1) * 1s) / before);
    return { { "before_per_second", before },
             { "share_in_each_second_after", perSecond },
             { "share_from_3s_to_10s",
               throughput(results, frozenAt + 3s, frozenAt + 10s) / before } };
}

QJsonObject storm(const Deployment &deployment, bool budget, std::uint64_t seed)
{
    ReadWorldOptions options;
    options.deployment = deployment;
    options.seed = seed;
    options.retryBudget = budget;
    options.readsPerSecond = loadOf(options, 0.5);
    ReadWorld world(options);
    world.run(20s);
    world.setFailing(true);
    const std::uint64_t askedBefore = world.asked();
    const std::uint64_t sentBefore = world.sent();
    world.run(10s);
    const auto asked = static_cast<double>(world.asked() - askedBefore);
    return { { "sent_per_asked", static_cast<double>(world.sent() - sentBefore) / asked } };
}

} // namespace

QJsonValue runReplicaChoice(std::uint64_t seed)
{
    QJsonObject result;
    for (const Deployment &deployment : kDeployments) {
        const QString name = QString::fromStdString(deployment.name);
        result[name + "_three_data_centres"] = comparePickers(deployment, false, seed);
        result[name + "_one_data_centre"] = comparePickers(deployment, true, seed);
    }
    return result;
}

QJsonValue runFrozenDatabase(std::uint64_t seed)
{
    QJsonObject result;
    for (const Deployment &deployment : kDeployments) {
        QJsonObject byPolicy;
        for (const std::size_t database : { 0, 1 }) {
            ReadWorldOptions options;
            options.deployment = deployment;
            options.seed = seed;
            const QString which = database == 0 ? "primary_frozen" : "replica_frozen";
            QJsonObject figures { { "chosen", freeze(options, database) } };
            options.picker = pickNearest;
            options.ejection = false;
            options.retries = false;
            figures["nearest_without_ejection_and_retries"] = freeze(options, database);
            byPolicy[which] = figures;
        }
        result[QString::fromStdString(deployment.name)] = byPolicy;
    }
    return result;
}

QJsonValue runRetryStorm(std::uint64_t seed)
{
    QJsonObject result;
    for (const Deployment &deployment : kDeployments) {
        result[QString::fromStdString(deployment.name)] =
            QJsonObject { { "with_budget", storm(deployment, true, seed) },
                          { "without_budget", storm(deployment, false, seed) } };
    }
    return result;
}

} // namespace shallotlever::experiment
