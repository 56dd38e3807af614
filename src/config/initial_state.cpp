#include "shallotlever/config/state.h"

namespace shallotlever {
namespace {

PresetConfig ordinaryPreset()
{
    return { .id = PresetId("ordinary"), .policy = {} };
}

PresetConfig peakPreset()
{
    PresetConfig preset { .id = PresetId("peak"), .policy = {} };
    preset.policy.queueLimitPerTeam = 1'024;
    preset.policy.rateWait = std::chrono::milliseconds(1000);
    // Retries add load when spare capacity is lowest.
    preset.policy.retryBudgetRatio = 0.05;
    preset.policy.openRouteReserve = 0.3;
    return preset;
}

PresetConfig maintenancePreset()
{
    PresetConfig preset { .id = PresetId("maintenance"), .policy = {} };
    preset.policy.writesAllowed = false;
    return preset;
}

} // namespace

bool operator==(const ReplicatedState &a, const ReplicatedState &b)
{
    return a.cluster.index == b.cluster.index && a.cluster.config == b.cluster.config
        && a.cluster.groups == b.cluster.groups && a.cluster.nodes == b.cluster.nodes
        && a.history == b.history && a.decisions == b.decisions;
}

ReplicatedState initialState()
{
    ReplicatedState state;
    ClusterConfig &config = state.cluster.config;
    for (const PresetConfig &preset : { ordinaryPreset(), peakPreset(), maintenancePreset() })
        config.presets.emplace(preset.id, preset);
    config.activePreset = PresetId("ordinary");
    return state;
}

} // namespace shallotlever
