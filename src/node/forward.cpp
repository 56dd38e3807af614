#include "forward.h"

#include "generated/forward_generated.h"
#include "shallotlever/config/codec.h"

namespace shallotlever {

namespace {

using flatbuffers::FlatBufferBuilder;
using flatbuffers::Offset;

Offset<flatbuffers::Vector<std::uint8_t>> bytesVector(FlatBufferBuilder &builder,
                                                      const std::string &bytes)
{
    return builder.CreateVector(reinterpret_cast<const std::uint8_t *>(bytes.data()), bytes.size());
}

std::string finishedBytes(const FlatBufferBuilder &builder)
{
    return { reinterpret_cast<const char *>(builder.GetBufferPointer()), builder.GetSize() };
}

std::string textOf(const flatbuffers::String *text)
{
    return text == nullptr ? std::string() : text->str();
}

std::string bytesOf(const flatbuffers::Vector<std::uint8_t> *bytes)
{
    return bytes == nullptr ? std::string() : std::string(bytes->begin(), bytes->end());
}

/// Verifies `bytes`, which must be aligned. Returns nullptr if they are not a valid T.
template <typename T>
const T *verifiedRoot(const std::string &bytes)
{
    flatbuffers::Verifier verifier(reinterpret_cast<const std::uint8_t *>(bytes.data()),
                                   bytes.size());
    return verifier.VerifyBuffer<T>(nullptr) ? flatbuffers::GetRoot<T>(bytes.data()) : nullptr;
}

absl::StatusOr<OperatorRequest> decodeChange(const node::ForwardRequest &request)
{
    const auto command = decodeCommand(bytesOf(request.change()));
    if (!command.ok())
        return command.status();
    const auto *change = std::get_if<OperatorChange>(&command->command);
    if (change == nullptr)
        return absl::InvalidArgumentError("the forwarded command is not an operator's change");
    return OperatorRequest(ChangeRequest { *change, request.wait() });
}

absl::StatusOr<OperatorRequest> decodeInstall(const node::ForwardRequest &request)
{
    const auto command = decodeCommand(bytesOf(request.change()));
    if (!command.ok())
        return command.status();
    const auto *install = std::get_if<InstallConfig>(&command->command);
    if (install == nullptr)
        return absl::InvalidArgumentError("the forwarded command is not a configuration");
    return OperatorRequest(InstallRequest { *install });
}

absl::StatusOr<OperatorReply> decodeChangeAnswer(const node::ForwardReply &reply)
{
    const auto result = decodeChangeResult(bytesOf(reply.result()));
    if (!result.ok())
        return result.status();
    ChangeResponse answer;
    answer.result = *result;
    answer.inForce = reply.in_force();
    if (reply.outstanding() != nullptr) {
        for (const flatbuffers::String *id : *reply.outstanding())
            answer.outstanding.emplace_back(id->str());
    }
    return OperatorReply(std::move(answer));
}

Offset<node::ForwardReply> buildChangeAnswer(FlatBufferBuilder &builder,
                                             const ChangeResponse &answer)
{
    std::vector<std::string> outstanding;
    for (const NodeId &id : answer.outstanding)
        outstanding.push_back(id.value());
    const auto result = bytesVector(builder, encodeChangeResult(answer.result));
    const auto ids = builder.CreateVectorOfStrings(outstanding);
    return node::CreateForwardReply(builder, 0, 0, result, answer.inForce, ids);
}

} // namespace

std::string encodeOperatorRequest(const OperatorRequest &request)
{
    FlatBufferBuilder builder;
    if (const auto *change = std::get_if<ChangeRequest>(&request)) {
        const auto bytes = bytesVector(builder, encodeCommand({ change->change, 0 }));
        builder.Finish(
            node::CreateForwardRequest(builder, node::ForwardKind::Change, bytes, change->wait));
    } else if (const auto *drain = std::get_if<DrainRequest>(&request)) {
        const auto upstream = builder.CreateString(drain->upstream.value_or(UpstreamId()).value());
        builder.Finish(node::CreateForwardRequest(builder, node::ForwardKind::Drain, 0, false,
                                                  upstream, drain->cancel));
    } else if (const auto *install = std::get_if<InstallRequest>(&request)) {
        const auto bytes = bytesVector(builder, encodeCommand({ install->install, 0 }));
        builder.Finish(node::CreateForwardRequest(builder, node::ForwardKind::Install, bytes));
    } else {
        const auto kind = std::holds_alternative<StatusRequest>(request) ? node::ForwardKind::Status
            : std::holds_alternative<ExplainRequest>(request) ? node::ForwardKind::Explain
                                                              : node::ForwardKind::ReadInstalled;
        builder.Finish(node::CreateForwardRequest(builder, kind));
    }
    return finishedBytes(builder);
}

absl::StatusOr<OperatorRequest> decodeOperatorRequest(std::string_view bytes)
{
    const std::string aligned(bytes);
    const auto *request = verifiedRoot<node::ForwardRequest>(aligned);
    if (request == nullptr)
        return absl::InvalidArgumentError("malformed forward request");
    switch (request->kind()) {
    case node::ForwardKind::Change:
        return decodeChange(*request);
    case node::ForwardKind::Status:
        return OperatorRequest(StatusRequest {});
    case node::ForwardKind::Explain:
        return OperatorRequest(ExplainRequest {});
    case node::ForwardKind::Install:
        return decodeInstall(*request);
    case node::ForwardKind::ReadInstalled:
        return OperatorRequest(ReadInstalledRequest {});
    case node::ForwardKind::Drain:
        return OperatorRequest(
            DrainRequest { UpstreamId(textOf(request->upstream())), request->cancel() });
    }
    return absl::InvalidArgumentError("unknown kind of forward request");
}

std::string encodeOperatorReply(const OperatorReply &reply)
{
    FlatBufferBuilder builder;
    if (const auto *error = std::get_if<Error>(&reply)) {
        const auto kind = builder.CreateString(std::string(errorRow(error->kind).name));
        const auto message = builder.CreateString(error->message);
        builder.Finish(node::CreateForwardReply(builder, kind, message));
    } else if (const auto *change = std::get_if<ChangeResponse>(&reply)) {
        builder.Finish(buildChangeAnswer(builder, *change));
    } else {
        const auto *document = std::get_if<JsonResponse>(&reply);
        const auto text = document == nullptr ? 0 : builder.CreateString(document->json);
        builder.Finish(node::CreateForwardReply(builder, 0, 0, 0, false, 0, text));
    }
    return finishedBytes(builder);
}

absl::StatusOr<OperatorReply> decodeOperatorReply(std::string_view bytes)
{
    const std::string aligned(bytes);
    const auto *reply = verifiedRoot<node::ForwardReply>(aligned);
    if (reply == nullptr)
        return absl::InvalidArgumentError("malformed forward reply");
    if (reply->error() != nullptr) {
        const auto kind = errorKindFromName(reply->error()->str());
        return OperatorReply(
            Error { kind.value_or(ErrorKind::Internal), textOf(reply->message()), std::nullopt });
    }
    if (reply->result() != nullptr)
        return decodeChangeAnswer(*reply);
    if (reply->document() != nullptr)
        return OperatorReply(JsonResponse { reply->document()->str() });
    return OperatorReply(AckResponse {});
}

} // namespace shallotlever
