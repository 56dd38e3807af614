#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "shallotlever/base/random.h"
#include "shallotlever/types/fleet.h"

/// Model of a group whose databases confirm commits themselves, and of the platform that promotes
/// them. Oracle of the rule that a promoted database holds every acknowledged commit.
namespace shallotlever::fuzz {

using CommitId = std::uint64_t;

struct LogEntry
{
    CommitId commit = 0;
    /// Term of the primary that accepted the commit.
    Term term;
    friend bool operator==(const LogEntry &, const LogEntry &) = default;
};

struct ConfirmingDatabase
{
    MemberId process;
    bool running = true;
    UpstreamRole role = UpstreamRole::Replica;
    /// Term of the primary that it is or follows.
    Term term;
    /// Newest term of a primary that the database has heard of.
    Term newestTerm;
    Term fencedTerm;
    std::vector<LogEntry> log;

    UpstreamStatus status() const;
};

/// A commit that was not acknowledged yet, and who holds it.
struct PendingCommit
{
    MemberId primary;
    Term term;
    std::set<MemberId> receivers;
};

struct ConfirmingGroup
{
    std::map<UpstreamId, ConfirmingDatabase> databases;
    std::uint32_t confirmingReplicas = 1;
    /// Replicas go on receiving while they are fenced.
    bool ignoresFences = false;
    std::set<UpstreamId> cutReplicas;
    std::map<CommitId, PendingCommit> pending;
    std::set<CommitId> acknowledged;
    CommitId nextCommit = 1;
    /// Acknowledged commits that a promoted database lacked.
    std::vector<std::string> violations;

    ConfirmingDatabase &operator[](const UpstreamId &id) { return databases.at(id); }
    void submit(const UpstreamId &id);
    void fence(const UpstreamId &id, Term term);
    void stepDown(const UpstreamId &id, Term term);
    /// Starts the database as a later process, with its log or with an empty one.
    void restart(const UpstreamId &id, bool keepsLog);
    void promote(const UpstreamId &id);
    void replicate(Random &random);

private:
    /// Replicas follow no primary but the newest one, once they can receive.
    void hearOfNewestPrimary();
    void receive(ConfirmingDatabase &replica, const ConfirmingDatabase &primary, Random &random);
    void acknowledge();
};

} // namespace shallotlever::fuzz
