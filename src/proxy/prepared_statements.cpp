#include "prepared_statements.h"

#include <algorithm>

namespace shallotlever {

std::optional<PreparedNumber> findPrepared(PreparedStatements &prepared,
                                           const PreparedStatement &statement)
{
    const auto found = prepared.entries.find(statement);
    if (found == prepared.entries.end())
        return std::nullopt;
    found->second.lastUse = ++prepared.lastUse;
    return found->second.number;
}

std::vector<PreparedNumber> makeRoomFor(PreparedStatements &prepared,
                                        const PreparedStatement &statement)
{
    std::vector<PreparedNumber> dropped;
    while (!prepared.entries.empty()
           && (prepared.entries.size() >= kMaxPreparedStatements
               || prepared.bytes + statement.shape.size() > kMaxPreparedBytes)) {
        const auto oldest = std::min_element(
            prepared.entries.begin(), prepared.entries.end(),
            [](const auto &a, const auto &b) { return a.second.lastUse < b.second.lastUse; });
        dropped.push_back(oldest->second.number);
        prepared.bytes -= oldest->first.shape.size();
        prepared.entries.erase(oldest);
    }
    return dropped;
}

PreparedNumber addPrepared(PreparedStatements &prepared, const PreparedStatement &statement)
{
    prepared.lastNumber = PreparedNumber(prepared.lastNumber.value() + 1);
    prepared.entries[statement] = { prepared.lastNumber, ++prepared.lastUse };
    prepared.bytes += statement.shape.size();
    return prepared.lastNumber;
}

void removePrepared(PreparedStatements &prepared, const PreparedStatement &statement)
{
    prepared.bytes -= prepared.entries.erase(statement) * statement.shape.size();
}

void clearPrepared(PreparedStatements &prepared)
{
    prepared.entries.clear();
    prepared.bytes = 0;
}

} // namespace shallotlever
