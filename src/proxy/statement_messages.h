#pragma once

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "absl/status/statusor.h"
#include "shallotlever/base/retry_reason.h"
#include "shallotlever/base/time.h"
#include "shallotlever/proxy/protocol.h"

/// Messages between the proxies of nodes. A node that does not hold connections to a database
/// forwards its callers' statements to one that does.
namespace shallotlever {

using SessionVariables = std::map<std::string, std::string>;

/// A statement of a caller for one database.
struct StatementRequest
{
    ServiceId service;
    UpstreamId upstream;
    TeamId team;
    /// Statements with a lower value are served first.
    std::uint32_t priority = 0;
    /// Session variables that must be set when the statement runs.
    SessionVariables variables;
    /// Assigned by the caller.
    std::string id;
    /// Text to run; the arguments if `prepared` is set.
    std::string text;
    /// The prepared statement to execute.
    std::optional<PreparedStatement> prepared;
    /// Execute: there is a field for arguments, though it may be empty.
    bool hasArguments = true;
    bool writes = false;
    bool commits = false;
    /// Number of the session's transaction, unique within the sending process; 0 for a single
    /// statement.
    std::uint64_t transaction = 0;
    bool readOnlyTransaction = false;
    /// An earlier statement has begun the transaction. If the receiver does not know it, the
    /// transaction is lost.
    bool transactionBegun = false;
    /// Only the primary may run the statement.
    bool primaryOnly = true;
    /// Unless primaryOnly: commits acknowledged longer than this before the statement must be seen.
    Duration maxStaleness { 0 };
    /// Last commit of the session that the statement must see, if any.
    std::optional<HistoryPoint> ownCommit;
    /// Time after which the sender gives up.
    Duration timeLeft { 0 };
    /// Time until the latency objective is missed, negative if it has been; nullopt: there is none.
    std::optional<Duration> objectiveLeft;

    friend bool operator==(const StatementRequest &, const StatementRequest &) = default;
};

enum class StatementResult : std::uint8_t {
    /// The database answered, with success or with an error.
    Answered,
    /// The statement was not sent to the database.
    NotRun,
    /// The statement was sent and not answered.
    Unknown,
};

/// Load of a database as seen by the node that holds the connections to it.
struct OwnerLoad
{
    /// Statements that run or wait.
    std::uint32_t outstanding = 0;
    Duration serviceTime { 0 };
    friend bool operator==(const OwnerLoad &, const OwnerLoad &) = default;
};

struct StatementReply
{
    StatementResult result = StatementResult::NotRun;
    /// Unless Answered.
    RetryReason reason = RetryReason::OwnerUnavailable;
    /// Answered: the lines to forward to the caller.
    std::string lines;
    /// Answered: the error of the database, if it is one.
    std::optional<UpstreamError> error;
    /// End of the database's log after the statement, if known.
    std::optional<HistoryPoint> point;
    OwnerLoad load;
    /// When the caller should repeat a statement that was not run; 0: as recommended in general.
    Duration retryAfter { 0 };

    bool succeeded() const { return result == StatementResult::Answered && !error; }
};

/// A reply without an answer of the database.
StatementReply unansweredReply(StatementResult result, RetryReason reason);

std::string encodeStatementRequest(const StatementRequest &request);
absl::StatusOr<StatementRequest> decodeStatementRequest(std::string_view bytes);
std::string encodeStatementReply(const StatementReply &reply);
absl::StatusOr<StatementReply> decodeStatementReply(std::string_view bytes);

/// Ends a transaction without a commit. The argument is StatementRequest::transaction.
std::string encodeTransactionEnd(std::uint64_t transaction);
absl::StatusOr<std::uint64_t> decodeTransactionEnd(std::string_view bytes);

/// Asks for the log positions of services. Without services, it asks for a sign of life.
std::string encodePositionRequest(const std::vector<ServiceId> &services);
absl::StatusOr<std::vector<ServiceId>> decodePositionRequest(std::string_view bytes);

/// End of a primary's log. Every commit that was acknowledged longer than `age` before the reply
/// was sent is at or before `point`.
struct ServicePosition
{
    ServiceId service;
    UpstreamId primary;
    HistoryPoint point;
    Duration age { 0 };
    friend bool operator==(const ServicePosition &, const ServicePosition &) = default;
};
std::string encodePositionReply(const std::vector<ServicePosition> &positions);
absl::StatusOr<std::vector<ServicePosition>> decodePositionReply(std::string_view bytes);

} // namespace shallotlever
