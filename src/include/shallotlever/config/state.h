#pragma once

#include <cstdint>
#include <deque>
#include <map>

#include "shallotlever/types/config.h"

/// The replicated state machine of the configuration.
namespace shallotlever {

/// Change ids whose first outcome is remembered. At 1,800 changes a day this covers nine days of
/// resends.
constexpr std::size_t kMaxRememberedChanges = 16'384;
constexpr std::size_t kMaxDecisionRecords = 4'096;

/// First outcomes of change ids, oldest evicted first.
struct ChangeHistory
{
    std::map<ChangeId, ChangeResult> results;
    /// Ids in the order in which they were decided.
    std::deque<ChangeId> order;
    /// Accepted changes by the version that they made.
    std::map<ConfigVersion, ChangeId> accepted;
    friend bool operator==(const ChangeHistory &, const ChangeHistory &) = default;
};

/// Everything that the control log replicates. Equal logs give equal states.
struct ReplicatedState
{
    /// A removed service keeps its group, because its terms must not be reused if a service of
    /// the same name is put again. Iterate over config.services, not over groups.
    ClusterState cluster;
    ChangeHistory history;
    /// In log order, for `explain`.
    std::deque<DecisionRecord> decisions;
};

bool operator==(const ReplicatedState &a, const ReplicatedState &b);

/// Version 0, presets ordinary, peak and maintenance, ordinary in force.
ReplicatedState initialState();

/// Applies the log entry at `index`. Deterministic: depends on the arguments only. Group decisions
/// are answered with Accepted or Invalid and leave the configuration version unchanged.
ChangeResult applyCommand(ReplicatedState &state, const Command &command, LogIndex index,
                          std::int64_t wallTimeMs);

/// What leads from `before` to the configuration `after` that was installed next. Routes and
/// presets are not compared, since installing does not change them.
ConfigDifference configDifference(const ClusterConfig &before, const ClusterConfig &after);

} // namespace shallotlever
