#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "shallotlever/base/random.h"
#include "shallotlever/types/fleet.h"

/// In-memory model of a group of databases with asynchronous replication, as the platform
/// provides it: terms, fences, promotion, logs that survive a crash.
namespace shallotlever::fuzz {

struct Database
{
    UpstreamId id;
    std::vector<std::uint64_t> log;
    Term term { 1 };
    Term fenced;
    UpstreamRole role = UpstreamRole::Replica;
    bool up = true;
    bool leaving = false;
};

UpstreamStatus statusOf(const Database &db);
/// Whether the log holds the write.
bool holdsWrite(const Database &db, std::uint64_t write);

/// Adds a write at a database that believes it is primary; nullopt if it refuses.
std::optional<HistoryPoint> commit(Database &db, std::uint64_t write);
/// `ignoreFence` makes the database forget the fence after its answer (a broken platform).
UpstreamStatus fence(Database &db, Term term, bool ignoreFence);
/// nullopt if refused.
std::optional<UpstreamStatus> promote(Database &db, Term term);
/// The replica connects to the primary and takes at most `entries` entries. It follows the
/// primary's term from its connection on, even if its log ends before the start of that term.
void replicate(Database &replica, const Database &primary, std::size_t entries);

} // namespace shallotlever::fuzz
