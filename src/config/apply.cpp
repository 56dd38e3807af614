#include <absl/strings/str_cat.h>

#include "changes.h"
#include "shallotlever/config/state.h"

namespace shallotlever {
namespace {

void recordDecision(ReplicatedState &state, std::int64_t wallTimeMs, std::string text)
{
    state.decisions.push_back({ state.cluster.index, wallTimeMs, std::move(text) });
    if (state.decisions.size() > kMaxDecisionRecords)
        state.decisions.pop_front();
}

void evictOldest(ChangeHistory &history)
{
    const auto oldest = history.results.find(history.order.front());
    if (oldest->second.outcome == ChangeOutcome::Accepted)
        history.accepted.erase(oldest->second.version);
    history.results.erase(oldest);
    history.order.pop_front();
}

void recordOutcome(ChangeHistory &history, const ChangeId &id, const ChangeResult &result)
{
    history.results.emplace(id, result);
    history.order.push_back(id);
    if (result.outcome == ChangeOutcome::Accepted)
        history.accepted.emplace(result.version, id);
    if (history.order.size() > kMaxRememberedChanges)
        evictOldest(history);
}

ChangeResult makeConflict(const ReplicatedState &state, const OperatorChange &change)
{
    const ConfigVersion current = state.cluster.config.version;
    ChangeResult result { ChangeOutcome::Conflict, current, ChangeId(), std::string() };
    const auto winner = state.history.accepted.find(change.basedOn.next());
    if (winner != state.history.accepted.end())
        result.winner = winner->second;
    result.message = absl::StrCat("based_on: version ", change.basedOn.value(),
                                  " is not the version in force, ", current.value());
    return result;
}

ChangeResult applyNewChange(ReplicatedState &state, const OperatorChange &change,
                            std::string &decisionText)
{
    ClusterConfig &config = state.cluster.config;
    if (!isCurrent(config, change)) {
        const ChangeResult result = makeConflict(state, change);
        decisionText = absl::StrCat("refused: ", result.message);
        if (!result.winner.empty())
            absl::StrAppend(&decisionText, "; change \"", result.winner.value(),
                            "\" took its place");
        return result;
    }
    const absl::StatusOr<std::string> description = applyChange(config, change.change);
    if (!description.ok()) {
        decisionText = absl::StrCat("refused: ", description.status().message());
        return { ChangeOutcome::Invalid, config.version, ChangeId(),
                 std::string(description.status().message()) };
    }
    config.version = config.version.next();
    decisionText = absl::StrCat("accepted as version ", config.version.value(), ": ", *description);
    return { ChangeOutcome::Accepted, config.version, ChangeId(), std::string() };
}

ChangeResult apply(ReplicatedState &state, const OperatorChange &change, std::int64_t wallTimeMs)
{
    if (change.id.empty()) {
        recordDecision(state, wallTimeMs, "change without an id refused");
        return { ChangeOutcome::Invalid, state.cluster.config.version, ChangeId(),
                 "change_id: must not be empty" };
    }
    const auto previousResult = state.history.results.find(change.id);
    if (previousResult != state.history.results.end())
        return previousResult->second;
    std::string decisionText;
    const ChangeResult result = applyNewChange(state, change, decisionText);
    recordOutcome(state.history, change.id, result);
    recordDecision(state, wallTimeMs,
                   absl::StrCat("change \"", change.id.value(), "\" ", decisionText));
    return result;
}

ChangeResult apply(ReplicatedState &state, const GroupDecision &decision, std::int64_t wallTimeMs)
{
    const absl::StatusOr<std::string> description = applyDecision(state.cluster, decision);
    const ConfigVersion version = state.cluster.config.version;
    if (description.ok()) {
        recordDecision(state, wallTimeMs, *description);
        return { ChangeOutcome::Accepted, version, ChangeId(), std::string() };
    }
    const std::string message(description.status().message());
    recordDecision(state, wallTimeMs, absl::StrCat("controller decision refused: ", message));
    return { ChangeOutcome::Invalid, version, ChangeId(), message };
}

bool isCallerKey(const std::pair<const KeyId, KeyConfig> &item)
{
    return item.second.role == KeyRole::Caller;
}

ChangeResult apply(ReplicatedState &state, const InstallConfig &install, std::int64_t wallTimeMs)
{
    ClusterConfig &config = state.cluster.config;
    const ClusterConfig &content = install.content;
    if (content.installed.number <= config.installed.number) {
        return { ChangeOutcome::Conflict, config.version, ChangeId(),
                 absl::StrCat("configuration ", config.installed.number.value(),
                              " is installed already") };
    }
    config.services = content.services;
    config.teams = content.teams;
    config.databases = content.databases;
    config.installed = content.installed;
    std::erase_if(config.keys, isCallerKey);
    config.keys.insert(content.keys.begin(), content.keys.end());
    config.version = config.version.next();
    recordDecision(state, wallTimeMs,
                   absl::StrCat("configuration ", content.installed.number.value(),
                                " installed as version ", config.version.value()));
    return { ChangeOutcome::Accepted, config.version, ChangeId(), std::string() };
}

template <typename Id, typename Entry>
void applyEntries(std::map<Id, Entry> &entries, const std::map<Id, Entry> &changed,
                  const std::set<Id> &removed)
{
    for (const Id &id : removed)
        entries.erase(id);
    for (const auto &[id, entry] : changed)
        entries.insert_or_assign(id, entry);
}

ChangeResult apply(ReplicatedState &state, const ConfigDifference &difference, std::int64_t)
{
    ClusterConfig &config = state.cluster.config;
    const ClusterConfig &changed = difference.changed;
    if (changed.installed.number <= config.installed.number)
        return { ChangeOutcome::Conflict, config.version, ChangeId(), "installed already" };
    applyEntries(config.services, changed.services, difference.removedServices);
    applyEntries(config.teams, changed.teams, difference.removedTeams);
    applyEntries(config.keys, changed.keys, difference.removedKeys);
    applyEntries(config.databases, changed.databases, difference.removedDatabases);
    config.installed = changed.installed;
    config.version = config.version.next();
    return { ChangeOutcome::Accepted, config.version, ChangeId(), std::string() };
}

ChangeResult apply(ReplicatedState &state, const RecordNode &record, std::int64_t)
{
    if (record.incarnation == Incarnation())
        state.cluster.nodes.erase(record.node);
    else
        state.cluster.nodes[record.node] = record.incarnation;
    return { ChangeOutcome::Accepted, state.cluster.config.version, ChangeId(), std::string() };
}

} // namespace

ChangeResult applyCommand(ReplicatedState &state, const Command &command, LogIndex index,
                          std::int64_t wallTimeMs)
{
    state.cluster.index = index;
    return std::visit([&](const auto &c) { return apply(state, c, wallTimeMs); }, command);
}

} // namespace shallotlever
