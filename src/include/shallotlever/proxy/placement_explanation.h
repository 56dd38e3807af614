#pragma once

#include <optional>
#include <vector>

#include "shallotlever/base/errors.h"
#include "shallotlever/proxy/placement.h"
#include "shallotlever/types/config.h"
#include "shallotlever/types/history.h"

namespace shallotlever {

/// A statement that is not sent.
struct PlacementQuestion
{
    TeamId team;
    DatabaseName database;
    bool writes = false;
    /// Last commit of the session.
    std::optional<HistoryPoint> position;
};

/// Whether a database has the session's last commit, as far as this node knows.
enum class PositionReached : std::uint8_t { NotAsked, Yes, No, Unknown };

/// One database, with what only this node's route to it says.
struct ExplainedDatabase
{
    PlacementCandidate candidate;
    bool primary = false;
    /// Node that would run the statement; unset if none can be reached.
    std::optional<NodeId> owner;
    PositionReached position = PositionReached::NotAsked;
};

/// Where a node would send a statement now.
struct PlacementExplanation
{
    /// Why the statement would be refused before a database is selected; unset if it is admitted,
    /// perhaps after tokenWait.
    std::optional<ErrorKind> refusal;
    Duration tokenWait { 0 };
    bool primaryOnly = false;
    Duration deadline { 0 };
    std::vector<ExplainedDatabase> databases;
    /// Index of the database that the next such statement is sent to; unset if none can serve.
    std::optional<std::size_t> chosen;
};

} // namespace shallotlever
