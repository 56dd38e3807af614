#pragma once

#include <string>
#include <string_view>
#include <variant>

#include "absl/status/statusor.h"
#include "shallotlever/edge/messages.h"

/// Encoding of operator requests that a node forwards to the controller, and of the replies.
namespace shallotlever {

using OperatorRequest = std::variant<ChangeRequest, StatusRequest, ExplainRequest, DrainRequest,
                                     InstallRequest, ReadInstalledRequest>;
using OperatorReply = std::variant<Error, ChangeResponse, JsonResponse, AckResponse>;

std::string encodeOperatorRequest(const OperatorRequest &request);
absl::StatusOr<OperatorRequest> decodeOperatorRequest(std::string_view bytes);

std::string encodeOperatorReply(const OperatorReply &reply);
absl::StatusOr<OperatorReply> decodeOperatorReply(std::string_view bytes);

} // namespace shallotlever
