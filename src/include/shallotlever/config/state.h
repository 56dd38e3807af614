#pragma once

#include <cstdint>
#include <deque>
#include <map>

#include "shallotlever/types/config.h"

/// The replicated state machine that holds the configuration.
namespace shallotlever {

/// Change ids whose first outcome is kept to answer resends. At 1,800 changes a day this covers
/// nine days.
constexpr std::size_t kMaxRememberedChanges = 16'384;
constexpr std::size_t kMaxDecisionRecords = 4'096;

/// First outcomes of change ids, oldest evicted first.
struct ChangeHistory
{
    std::map<ChangeId, ChangeResult> results;
    /// Ids in the order in which their outcomes were decided.
    std::deque<ChangeId> order;
    /// Accepted changes by the configuration version that they created.
    std::map<ConfigVersion, ChangeId> accepted;
    friend bool operator==(const ChangeHistory &, const ChangeHistory &) = default;
};

/// All state replicated through the control log. Equal logs produce equal states.
struct ReplicatedState
{
    /// The group of a removed service is kept, because its terms must not be reused if a service of
    /// the same name is added again. Iterate over config.services, not over groups.
    ClusterState cluster;
    ChangeHistory history;
    /// In log order, for the `explain` command.
    std::deque<DecisionRecord> decisions;
};

bool operator==(const ReplicatedState &a, const ReplicatedState &b);

/// Version 0 with the presets ordinary, peak and maintenance; ordinary is active.
ReplicatedState initialState();

/// Applies the log entry at `index`. Deterministic: the result depends on the arguments only. Group
/// decisions return Accepted or Invalid and do not change the configuration version.
ChangeResult applyCommand(ReplicatedState &state, const Command &command, LogIndex index,
                          std::int64_t wallTimeMs);

/// Difference between two configurations installed in succession. Routes and presets are not
/// compared, because installing a configuration does not change them.
ConfigDifference configDifference(const ClusterConfig &before, const ClusterConfig &after);

} // namespace shallotlever
