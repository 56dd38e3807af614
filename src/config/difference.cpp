#include "shallotlever/config/state.h"

namespace shallotlever {
namespace {

template <typename Id, typename Entry>
void diffEntries(const std::map<Id, Entry> &before, const std::map<Id, Entry> &after,
                 std::map<Id, Entry> &changed, std::set<Id> &removed)
{
    for (const auto &[id, entry] : after) {
        const auto old = before.find(id);
        if (old == before.end() || old->second != entry)
            changed.emplace(id, entry);
    }
    for (const auto &[id, entry] : before) {
        if (!after.contains(id))
            removed.insert(id);
    }
}

} // namespace

ConfigDifference configDifference(const ClusterConfig &before, const ClusterConfig &after)
{
    ConfigDifference difference;
    ClusterConfig &changed = difference.changed;
    diffEntries(before.services, after.services, changed.services, difference.removedServices);
    diffEntries(before.teams, after.teams, changed.teams, difference.removedTeams);
    diffEntries(before.keys, after.keys, changed.keys, difference.removedKeys);
    diffEntries(before.databases, after.databases, changed.databases, difference.removedDatabases);
    changed.installed = after.installed;
    return difference;
}

} // namespace shallotlever
