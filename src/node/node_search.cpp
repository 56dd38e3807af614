#include "node_search.h"

#include "shallotlever/fleet/distribution.h"

namespace shallotlever {

void noteRecordedNode(NodeSearch &search, const NodeId &node, TimePoint now)
{
    search.heardAt.try_emplace(node, now);
}

void noteReport(NodeSearch &search, const NodeReport &report, TimePoint now)
{
    for (const NodeReport *received : flattenReport(report)) {
        const auto known = search.heardAt.find(received->node);
        if (known != search.heardAt.end())
            known->second = now;
    }
}

NodeSearchStep advanceNodeSearch(NodeSearch &search, TimePoint now)
{
    NodeSearchStep step;
    std::erase_if(search.heardAt,
                  [now](const auto &item) { return now >= item.second + kNodeSearchPeriod; });
    for (const auto &[node, heardAt] : search.heardAt) {
        if (now < heardAt + kNodeSearchDelay)
            continue;
        if (search.searched.insert_or_assign(node, now).second)
            step.connect.push_back(node);
    }
    for (auto item = search.searched.begin(); item != search.searched.end();) {
        if (now < item->second + kFoundNodeRetention) {
            ++item;
            continue;
        }
        step.disconnect.push_back(item->first);
        item = search.searched.erase(item);
    }
    return step;
}

NodeSearchStep endNodeSearch(NodeSearch &search)
{
    NodeSearchStep step;
    for (const auto &[node, missingAt] : search.searched)
        step.disconnect.push_back(node);
    search = NodeSearch();
    return step;
}

} // namespace shallotlever
