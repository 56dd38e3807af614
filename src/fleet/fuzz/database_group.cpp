#include "database_group.h"

#include <algorithm>

namespace shallotlever::fuzz {

UpstreamStatus statusOf(const Database &db)
{
    return { .point = { .term = db.term, .position = LogPosition(db.log.size()) },
             .role = db.role,
             .fencedTerm = db.fenced };
}

bool holdsWrite(const Database &db, std::uint64_t write)
{
    return std::ranges::find(db.log, write) != db.log.end();
}

std::optional<HistoryPoint> commit(Database &db, std::uint64_t write)
{
    if (!db.up || db.role != UpstreamRole::Primary || db.fenced > db.term)
        return std::nullopt;
    db.log.push_back(write);
    return HistoryPoint { .term = db.term, .position = LogPosition(db.log.size()) };
}

UpstreamStatus fence(Database &db, Term term, bool ignoreFence)
{
    const Term before = db.fenced;
    db.fenced = std::max(db.fenced, term);
    const UpstreamStatus status = statusOf(db);
    if (ignoreFence)
        db.fenced = before;
    return status;
}

std::optional<UpstreamStatus> promote(Database &db, Term term)
{
    if (db.fenced > term || db.term > term)
        return std::nullopt;
    db.term = term;
    db.role = UpstreamRole::Primary;
    return statusOf(db);
}

void replicate(Database &replica, const Database &primary, std::size_t entries)
{
    const bool refused = !replica.up || !primary.up || primary.role != UpstreamRole::Primary
        || replica.fenced > primary.term || primary.fenced > primary.term
        || replica.term > primary.term;
    if (refused || (replica.term == primary.term && replica.role == UpstreamRole::Primary))
        return;
    const auto common = std::ranges::mismatch(replica.log, primary.log);
    replica.log.erase(common.in1, replica.log.end());
    replica.term = primary.term;
    replica.role = UpstreamRole::Replica;
    const std::size_t end = std::min(primary.log.size(), replica.log.size() + entries);
    for (std::size_t i = replica.log.size(); i < end; ++i)
        replica.log.push_back(primary.log[i]);
}

} // namespace shallotlever::fuzz
