#pragma once

#include <string>
#include <string_view>
#include <vector>

#include <absl/status/statusor.h>

#include "shallotlever/types/shares.h"

/// Payloads of MessageType::TokenRequest and MessageType::TokenGrant. The request id of the
/// envelope pairs a grant with its request.
namespace shallotlever {

std::string encodeTokenRequests(const std::vector<TokenRequest> &requests);
absl::StatusOr<std::vector<TokenRequest>> decodeTokenRequests(std::string_view bytes);

std::string encodeTokenGrants(const std::vector<TokenGrant> &grants);
absl::StatusOr<std::vector<TokenGrant>> decodeTokenGrants(std::string_view bytes);

} // namespace shallotlever
