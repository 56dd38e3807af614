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

/// Typed requests and responses exchanged between the HTTP edge and the node.
namespace shallotlever {

/// Statement parameter in PostgreSQL text format; nullopt is SQL NULL.
using SqlParam = std::optional<std::string>;

enum class AccessMode : std::uint8_t { Read, Write };

/// Request metadata from the headers of a caller's request.
struct CallerContext
{
    /// Key from `Authorization: Bearer`, empty if absent. Must not be logged or sent upstream.
    std::string bearerKey;
    /// Value of `Shallotlever-Session`, empty if absent.
    std::string sessionToken;
    std::optional<std::string> idempotencyKey;
    /// Time budget from `Shallotlever-Deadline-Ms`.
    std::optional<std::chrono::milliseconds> deadline;
    /// Time at which the request had been received completely.
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
    /// Delay the response until the change is in force everywhere, for at most 10 s.
    bool wait = false;
};
/// Installs a complete configuration; answered with ChangeResponse. Sent by a platform only, so it
/// is not part of EdgeRequest.
struct InstallRequest
{
    InstallConfig install;
};
/// Reads the document of the latest installed configuration.
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
/// POST /v1/operator/placement; answered by this node, from what it knows.
struct ExplainPlacementRequest
{
    TeamId team;
    DatabaseName database;
    AccessMode mode = AccessMode::Read;
    /// Last commit of the session.
    std::optional<HistoryPoint> position;
};
/// POST /v1/operator/drain; drains this node if no upstream is given.
struct DrainRequest
{
    std::optional<UpstreamId> upstream;
    /// Cancels the drain of the upstream.
    bool cancel = false;
};

using EdgeRequest = std::variant<StatementRequest, BeginRequest, CommitRequest, RollbackRequest,
                                 OpenRouteRequest, AnnounceRequest, ChangeRequest, StatusRequest,
                                 ExplainRequest, ExplainPlacementRequest, DrainRequest>;

/// Response to StatementRequest and OpenRouteRequest.
struct StatementResponse
{
    std::vector<std::string> columns;
    /// Values in PostgreSQL text format, row by row.
    std::vector<std::vector<SqlParam>> rows;
    std::uint64_t affectedRows = 0;
    bool replica = false;
    UpstreamId upstream;
    std::chrono::milliseconds staleness { 0 };
    /// Open routes only: the data is older than the route's maximum staleness.
    bool degraded = false;
    /// This is the recorded result of an earlier request with the same idempotency key.
    bool repeated = false;
    std::string sessionToken;
};
struct TransactionResponse
{
    TransactionId transaction;
    std::string sessionToken;
};
/// Response to commit, rollback, announcement and drain, which return no data apart from the
/// session token.
struct AckResponse
{
    std::string sessionToken;
};
struct ChangeResponse
{
    ChangeResult result;
    bool inForce = false;
    /// Live nodes that had not applied the change when waiting ended.
    std::vector<NodeId> outstanding;
};
/// Response to StatusRequest, ExplainRequest, ExplainPlacementRequest and ReadInstalledRequest: a
/// complete JSON document.
struct JsonResponse
{
    std::string json;
};

using EdgeResponse = std::variant<Error, StatementResponse, TransactionResponse, AckResponse,
                                  ChangeResponse, JsonResponse>;

/// Sends the response to one request. Must be called exactly once; may be called from any thread.
using EdgeResponder = std::function<void(EdgeResponse)>;

/// Handles one request. Called on an edge thread; must not block.
using EdgeHandler = std::function<void(CallerContext, EdgeRequest, EdgeResponder)>;

} // namespace shallotlever
