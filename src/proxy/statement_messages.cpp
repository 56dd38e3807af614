#include "statement_messages.h"

#include <algorithm>

#include "generated/statement_messages_generated.h"
#include "shallotlever/wire/flat_table.h"

namespace shallotlever {

namespace {

namespace fbs = proxy::fbs;
using flatbuffers::FlatBufferBuilder;
using flatbuffers::Offset;

constexpr std::size_t kInitialBufferBytes = 512;

fbs::LogPoint packPoint(const HistoryPoint &point)
{
    return { point.term.value(), point.position.value() };
}

std::optional<HistoryPoint> pointOf(const fbs::LogPoint *point)
{
    if (point == nullptr)
        return std::nullopt;
    return HistoryPoint { Term(point->term()), LogPosition(point->position()) };
}

absl::Status malformed(std::string_view name)
{
    return absl::InvalidArgumentError("malformed message: " + std::string(name));
}

Offset<flatbuffers::Vector<Offset<fbs::Variable>>> packVariables(FlatBufferBuilder &b,
                                                                 const SessionVariables &variables)
{
    if (variables.empty())
        return 0;
    std::vector<Offset<fbs::Variable>> packed;
    for (const auto &[name, value] : variables)
        packed.push_back(fbs::CreateVariable(b, b.CreateString(name), b.CreateString(value)));
    return b.CreateVector(packed);
}

Offset<fbs::Prepared> packPrepared(FlatBufferBuilder &b,
                                   const std::optional<PreparedStatement> &prepared)
{
    if (!prepared)
        return 0;
    return fbs::CreatePrepared(b, prepared->writes, b.CreateString(prepared->shape));
}

/// Whether the value is one of an enumeration whose last value is `last`.
template <typename Enum>
bool inRange(std::uint8_t value, Enum last)
{
    return value <= static_cast<std::uint8_t>(last);
}

} // namespace

StatementReply unansweredReply(StatementResult result, RetryReason reason)
{
    StatementReply reply;
    reply.result = result;
    reply.reason = reason;
    return reply;
}

std::string encodeStatementRequest(const StatementRequest &request)
{
    FlatBufferBuilder b(kInitialBufferBytes);
    const auto service = b.CreateString(request.service.value());
    const auto upstream = b.CreateString(request.upstream.value());
    const auto team = b.CreateString(request.team.value());
    const auto variables = packVariables(b, request.variables);
    const auto id = b.CreateString(request.id);
    const auto text = b.CreateString(request.text);
    const auto prepared = packPrepared(b, request.prepared);
    const fbs::LogPoint ownCommit = packPoint(request.ownCommit.value_or(HistoryPoint()));
    b.Finish(fbs::CreateStatement(
        b, service, upstream, team, request.priority, variables, id, text, prepared, request.writes,
        request.commits, request.transaction, request.readOnlyTransaction, request.transactionBegun,
        request.primaryOnly, request.maxStaleness.count(), request.ownCommit ? &ownCommit : nullptr,
        request.timeLeft.count(), !request.hasArguments,
        request.objectiveLeft ? flatbuffers::Optional<std::int64_t>(request.objectiveLeft->count())
                              : flatbuffers::nullopt));
    return finishedBytes(b);
}

absl::StatusOr<StatementRequest> decodeStatementRequest(std::string_view bytes)
{
    const FlatTable<fbs::Statement> table(bytes);
    const fbs::Statement *statement = table.get();
    if (statement == nullptr || statement->max_staleness() < 0)
        return malformed("statement");
    StatementRequest request;
    request.service = ServiceId(statement->service()->str());
    request.upstream = UpstreamId(statement->upstream()->str());
    request.team = TeamId(statement->team()->str());
    request.priority = statement->priority();
    if (statement->variables() != nullptr) {
        for (const fbs::Variable *variable : *statement->variables())
            request.variables[variable->name()->str()] = variable->value()->str();
    }
    request.id = statement->id()->str();
    request.text = statement->text()->str();
    if (const fbs::Prepared *prepared = statement->prepared())
        request.prepared = { prepared->writes(), prepared->shape()->str() };
    request.hasArguments = !statement->no_arguments();
    request.writes = statement->writes();
    request.commits = statement->commits();
    request.transaction = statement->transaction();
    request.readOnlyTransaction = statement->read_only();
    request.transactionBegun = statement->begun();
    request.primaryOnly = statement->primary_only();
    request.maxStaleness = Duration(statement->max_staleness());
    request.ownCommit = pointOf(statement->own_commit());
    request.timeLeft = Duration(statement->time_left());
    if (const auto objectiveLeft = statement->objective_left())
        request.objectiveLeft = Duration(*objectiveLeft);
    return request;
}

std::string encodeStatementReply(const StatementReply &reply)
{
    FlatBufferBuilder b(kInitialBufferBytes);
    const auto lines = reply.lines.empty() ? 0 : b.CreateString(reply.lines);
    Offset<fbs::DatabaseError> error = 0;
    if (reply.error)
        error = fbs::CreateDatabaseError(b, static_cast<std::uint8_t>(reply.error->kind),
                                         b.CreateString(reply.error->message));
    const fbs::LogPoint point = packPoint(reply.point.value_or(HistoryPoint()));
    b.Finish(fbs::CreateStatementReply(b, static_cast<std::uint8_t>(reply.result),
                                       static_cast<std::uint8_t>(reply.reason), lines, error,
                                       reply.point ? &point : nullptr, reply.load.outstanding,
                                       reply.load.serviceTime.count(), reply.retryAfter.count()));
    return finishedBytes(b);
}

absl::StatusOr<StatementReply> decodeStatementReply(std::string_view bytes)
{
    const FlatTable<fbs::StatementReply> table(bytes);
    const fbs::StatementReply *message = table.get();
    if (message == nullptr || !inRange(message->result(), StatementResult::Unknown)
        || message->reason() >= retryReasonTable().size())
        return malformed("statement reply");
    StatementReply reply;
    reply.result = static_cast<StatementResult>(message->result());
    reply.reason = static_cast<RetryReason>(message->reason());
    reply.lines = textOf(message->lines());
    if (const fbs::DatabaseError *error = message->error()) {
        if (!inRange(error->kind(), UpstreamErrorKind::Other))
            return malformed("error of a statement reply");
        reply.error = UpstreamError { static_cast<UpstreamErrorKind>(error->kind()),
                                      error->message()->str() };
    }
    reply.point = pointOf(message->point());
    reply.load = { message->outstanding(), Duration(message->service_time()) };
    reply.retryAfter = std::max(Duration(message->retry_after()), Duration(0));
    return reply;
}

std::string encodeTransactionEnd(std::uint64_t transaction)
{
    FlatBufferBuilder b;
    b.Finish(fbs::CreateTransactionEnd(b, transaction));
    return finishedBytes(b);
}

absl::StatusOr<std::uint64_t> decodeTransactionEnd(std::string_view bytes)
{
    const FlatTable<fbs::TransactionEnd> table(bytes);
    const fbs::TransactionEnd *message = table.get();
    if (message == nullptr)
        return malformed("end of a transaction");
    return message->transaction();
}

std::string encodePositionRequest(const std::vector<ServiceId> &services)
{
    FlatBufferBuilder b;
    std::vector<Offset<flatbuffers::String>> packed;
    for (const ServiceId &service : services)
        packed.push_back(b.CreateString(service.value()));
    b.Finish(fbs::CreatePositionRequest(b, b.CreateVector(packed)));
    return finishedBytes(b);
}

absl::StatusOr<std::vector<ServiceId>> decodePositionRequest(std::string_view bytes)
{
    const FlatTable<fbs::PositionRequest> table(bytes);
    const fbs::PositionRequest *message = table.get();
    if (message == nullptr)
        return malformed("position request");
    std::vector<ServiceId> services;
    if (message->services() != nullptr) {
        for (const flatbuffers::String *service : *message->services())
            services.emplace_back(service->str());
    }
    return services;
}

std::string encodePositionReply(const std::vector<ServicePosition> &positions)
{
    FlatBufferBuilder b;
    std::vector<Offset<fbs::ServicePosition>> packed;
    for (const ServicePosition &position : positions) {
        const fbs::LogPoint point = packPoint(position.point);
        const auto service = b.CreateString(position.service.value());
        const auto primary = b.CreateString(position.primary.value());
        packed.push_back(
            fbs::CreateServicePosition(b, service, primary, &point, position.age.count()));
    }
    b.Finish(fbs::CreatePositionReply(b, b.CreateVector(packed)));
    return finishedBytes(b);
}

absl::StatusOr<std::vector<ServicePosition>> decodePositionReply(std::string_view bytes)
{
    const FlatTable<fbs::PositionReply> table(bytes);
    const fbs::PositionReply *message = table.get();
    if (message == nullptr)
        return malformed("position reply");
    std::vector<ServicePosition> positions;
    if (message->positions() == nullptr)
        return positions;
    for (const fbs::ServicePosition *packed : *message->positions()) {
        if (packed->age() < 0)
            return malformed("age of a position");
        positions.push_back({ ServiceId(packed->service()->str()),
                              UpstreamId(packed->primary()->str()), *pointOf(packed->point()),
                              Duration(packed->age()) });
    }
    return positions;
}

} // namespace shallotlever
