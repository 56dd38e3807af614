#pragma once

#include <map>
#include <optional>
#include <vector>

#include "shallotlever/proxy/protocol.h"

namespace shallotlever {

/// Limits of what one connection keeps prepared; beyond them the least recently used statement is
/// dropped. A single larger statement is kept until another one is prepared.
constexpr std::size_t kMaxPreparedStatements = 256;
constexpr std::size_t kMaxPreparedBytes = 128 * 1024;

/// Statements that are prepared on one connection to a database. Sessions share connections, so a
/// statement is named by a number that its connection gives to its definition and never again to
/// another one.
struct PreparedStatements
{
    struct Entry
    {
        PreparedNumber number;
        std::uint64_t lastUse = 0;
    };
    std::map<PreparedStatement, Entry> entries;
    /// Length of all definitions.
    std::size_t bytes = 0;
    PreparedNumber lastNumber;
    std::uint64_t lastUse = 0;
};

/// Number of the statement, if it is prepared. Counts as a use.
std::optional<PreparedNumber> findPrepared(PreparedStatements &prepared,
                                           const PreparedStatement &statement);
/// Drops the least recently used statements until there is room for `statement`, and returns their
/// numbers.
std::vector<PreparedNumber> makeRoomFor(PreparedStatements &prepared,
                                        const PreparedStatement &statement);
/// Adds a statement that is not prepared, under a new number.
PreparedNumber addPrepared(PreparedStatements &prepared, const PreparedStatement &statement);
/// The database has not prepared the statement.
void removePrepared(PreparedStatements &prepared, const PreparedStatement &statement);
/// The database has dropped all prepared statements. Their numbers are not used again.
void clearPrepared(PreparedStatements &prepared);

} // namespace shallotlever
