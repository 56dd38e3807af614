#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "shallotlever/base/errors.h"
#include "shallotlever/base/ids.h"
#include "shallotlever/base/time.h"
#include "shallotlever/types/config.h"
#include "shallotlever/types/fleet.h"

/// Typed requests and answers between the HTTP edge and the node.
namespace shallotlever {

/// Statement parameter in PostgreSQL text format; nullopt is SQL NULL.
using SqlParam = std::optional<std::string>;

enum class AccessMode : std::uint8_t { Read, Write };

/// What came in the headers of a caller's request.
struct CallerContext
{
    /// Content of `Authorization: Bearer`, empty if absent. Never logged, never sent upstream.
    std::string bearerKey;
    /// Content of `Shallotlever-Session`, empty if absent.
    std::string sessionToken;
    std::optional<std::string> idempotencyKey;
    /// Time budget from `Shallotlever-Deadline-Ms`.
    std::optional<std::chrono::milliseconds> deadline;
    /// When the request had been read completely.
    TimePoint receivedAt;
};

struct StatementRequest
{
    ServiceId service;
    std::string sql;
    std::vector<SqlParam> params;
    AccessMode mode = AccessMode::Read;
    std::optional<std::chrono::milliseconds> maxStaleness;
    std::optional<TransactionId> transaction;
};
struct BeginRequest
{
    ServiceId service;
    AccessMode mode = AccessMode::Write;
};
struct CommitRequest
{
    ServiceId service;
    TransactionId transaction;
};
struct RollbackRequest
{
    ServiceId service;
    TransactionId transaction;
};
/// GET /v1/open/{route}
struct OpenRouteRequest
{
    RouteId route;
};
/// POST /v1/announcements
struct AnnounceRequest
{
    Announcement announcement;
};
/// POST /v1/operator/changes
struct ChangeRequest
{
    OperatorChange change;
    /// Answer only when the change is in force everywhere, or after 10 s.
    bool wait = false;
};
/// Installs a whole configuration; answered with ChangeResponse. Comes from a platform only.
struct InstallRequest
{
    InstallConfig install;
};
/// Reads the document of the newest installed configuration.
struct ReadInstalledRequest
{
};
/// GET /v1/operator/status
struct StatusRequest
{
};
/// GET /v1/operator/explain
struct ExplainRequest
{
};
/// POST /v1/operator/drain; without an upstream this node drains.
struct DrainRequest
{
    std::optional<UpstreamId> upstream;
    /// Takes back the drain of the upstream.
    bool cancel = false;
};

using EdgeRequest =
    std::variant<StatementRequest, BeginRequest, CommitRequest, RollbackRequest, OpenRouteRequest,
                 AnnounceRequest, ChangeRequest, StatusRequest, ExplainRequest, DrainRequest>;

/// Answer to StatementRequest and OpenRouteRequest.
struct StatementResponse
{
    std::vector<std::string> columns;
    /// Values in PostgreSQL text format, row by row.
    std::vector<std::vector<SqlParam>> rows;
    std::uint64_t affectedRows = 0;
    bool replica = false;
    UpstreamId upstream;
    std::chrono::milliseconds staleness { 0 };
    /// Open routes only: older than the route's stated age.
    bool degraded = false;
    /// The result of an earlier request with the same idempotency key.
    bool repeated = false;
    std::string sessionToken;
};
struct TransactionResponse
{
    TransactionId transaction;
    std::string sessionToken;
};
/// Commit, rollback, announcement and drain.
struct AckResponse
{
    std::string sessionToken;
};
struct ChangeResponse
{
    ChangeResult result;
    bool inForce = false;
    /// Live nodes that had not applied the change when the wait ended.
    std::vector<NodeId> outstanding;
};
/// Status and explain: a complete JSON document.
struct JsonResponse
{
    std::string json;
};

using EdgeResponse = std::variant<Error, StatementResponse, TransactionResponse, AckResponse,
                                  ChangeResponse, JsonResponse>;

/// Sends the answer to one request. Called exactly once, from any thread.
using EdgeResponder = std::function<void(EdgeResponse)>;

/// Handles one request. Called on an edge thread and must not block.
using EdgeHandler = std::function<void(CallerContext, EdgeRequest, EdgeResponder)>;

} // namespace shallotlever
