#include "confirmed_group.h"

#include <algorithm>
#include <string>

namespace shallotlever::fuzz {

UpstreamStatus ConfirmingDatabase::status() const
{
    UpstreamStatus status;
    status.role = role;
    status.point = { log.empty() ? Term() : log.back().term, LogPosition(log.size()) };
    status.newestTerm = newestTerm;
    status.fencedTerm = fencedTerm;
    return status;
}

void ConfirmingGroup::submit(const UpstreamId &id)
{
    ConfirmingDatabase &primary = databases.at(id);
    if (!primary.running || primary.role != UpstreamRole::Primary)
        return;
    primary.log.push_back({ nextCommit, primary.term });
    pending[nextCommit] = { primary.process, primary.term, {} };
    ++nextCommit;
}

void ConfirmingGroup::fence(const UpstreamId &id, Term term)
{
    ConfirmingDatabase &database = databases.at(id);
    if (database.role == UpstreamRole::Replica && term > database.newestTerm)
        database.fencedTerm = std::max(database.fencedTerm, term);
}

void ConfirmingGroup::stepDown(const UpstreamId &id, Term term)
{
    ConfirmingDatabase &database = databases.at(id);
    if (database.role == UpstreamRole::Primary && database.term < term)
        database.role = UpstreamRole::Replica;
}

void ConfirmingGroup::restart(const UpstreamId &id, bool keepsLog)
{
    ConfirmingDatabase &database = databases.at(id);
    database.process.incarnation = Incarnation(database.process.incarnation.value() + 1);
    database.running = true;
    database.role = UpstreamRole::Replica;
    database.fencedTerm = Term();
    if (keepsLog)
        return;
    database.log.clear();
    database.term = database.newestTerm = Term();
}

void ConfirmingGroup::promote(const UpstreamId &id)
{
    ConfirmingDatabase &database = databases.at(id);
    if (!database.running || database.role == UpstreamRole::Primary)
        return;
    Term newest;
    for (const auto &[other, known] : databases)
        newest = std::max(newest, known.newestTerm);
    database.role = UpstreamRole::Primary;
    database.term = database.newestTerm = newest.next();
    database.fencedTerm = Term();
    std::set<CommitId> held;
    for (const LogEntry &entry : database.log)
        held.insert(entry.commit);
    for (const CommitId commit : acknowledged) {
        if (!held.contains(commit))
            violations.push_back(id.value() + " lacks commit " + std::to_string(commit));
    }
}

void ConfirmingGroup::receive(ConfirmingDatabase &replica, const ConfirmingDatabase &primary,
                              Random &random)
{
    const auto [common, unused] = std::ranges::mismatch(replica.log, primary.log);
    const auto kept = static_cast<std::size_t>(common - replica.log.begin());
    const std::size_t missing = primary.log.size() - kept;
    const std::size_t end = kept + uniformBelow(random, missing + 1);
    replica.log.assign(primary.log.begin(), primary.log.begin() + static_cast<std::ptrdiff_t>(end));
    replica.term = replica.newestTerm = primary.term;
    for (std::size_t i = kept; i < end; ++i) {
        const auto commit = pending.find(replica.log[i].commit);
        if (commit != pending.end())
            commit->second.receivers.insert(replica.process);
    }
}

void ConfirmingGroup::acknowledge()
{
    std::erase_if(pending, [&](const auto &item) {
        const PendingCommit &commit = item.second;
        const ConfirmingDatabase &primary = databases.at(commit.primary.upstream);
        if (primary.process != commit.primary || primary.term != commit.term || !primary.running
            || primary.role != UpstreamRole::Primary)
            return true;
        if (commit.receivers.size() < confirmingReplicas)
            return false;
        acknowledged.insert(item.first);
        return true;
    });
}

void ConfirmingGroup::hearOfNewestPrimary()
{
    Term newest;
    for (const auto &[id, database] : databases)
        newest = std::max(newest, database.newestTerm);
    for (auto &[id, database] : databases) {
        const bool hears = database.running && !cutReplicas.contains(id);
        if (hears && database.role == UpstreamRole::Replica)
            database.newestTerm = newest;
    }
}

void ConfirmingGroup::replicate(Random &random)
{
    hearOfNewestPrimary();
    for (const auto &[source, primary] : databases) {
        if (!primary.running || primary.role != UpstreamRole::Primary)
            continue;
        for (auto &[id, replica] : databases) {
            const bool stopped = replica.fencedTerm != Term() && !ignoresFences;
            // A replica that receives nothing for a moment falls behind the other ones.
            const bool slow = uniformBelow(random, 2) == 0;
            if (slow || id == source || !replica.running || replica.role != UpstreamRole::Replica
                || stopped || cutReplicas.contains(id) || primary.term < replica.newestTerm)
                continue;
            receive(replica, primary, random);
        }
    }
    acknowledge();
}

} // namespace shallotlever::fuzz
