#pragma once

#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "shallotlever/edge/messages.h"
#include "shallotlever/session/token.h"

/// Requests that passed admission and are submitted to the executor of their service.
namespace shallotlever {

struct StatementWork
{
    std::string sql;
    std::vector<SqlParam> params;
    AccessMode mode = AccessMode::Read;
    std::optional<Duration> maxStaleness;
};
struct BeginWork
{
    AccessMode mode = AccessMode::Write;
};
struct TransactionStatementWork
{
    TransactionId transaction;
    StatementWork statement;
};
struct CommitWork
{
    TransactionId transaction;
};
struct RollbackWork
{
    TransactionId transaction;
};

using WorkBody =
    std::variant<StatementWork, BeginWork, TransactionStatementWork, CommitWork, RollbackWork>;

struct WorkItem
{
    WorkBody body;
    /// Empty for open routes.
    TeamId team;
    /// Always set for requests with a key. Holds a new session if the caller sent no token.
    SessionToken token;
    std::optional<std::string> idempotencyKey;
    TimePoint deadline;
    bool openRoute = false;
    EdgeResponder respond;
};

} // namespace shallotlever
