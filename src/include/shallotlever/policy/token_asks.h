#pragma once

#include <cstdint>
#include <map>
#include <vector>

#include "shallotlever/policy/token_bucket.h"
#include "shallotlever/types/shares.h"

/// The node's side of single tokens: what it asks the controller for, and what it has asked.
namespace shallotlever {

/// Time after which a question counts as lost: the controller's queue and a long way there and
/// back.
constexpr Duration kAskPatience = 700ms;

/// A question that is not answered in full.
struct TokenAsk
{
    std::uint64_t request = 0;
    TimePoint sentAt;
    std::uint32_t tokens = 0;
};

/// Control thread only.
struct TokenAsks
{
    std::uint64_t lastRequest = 0;
    std::map<TeamId, std::vector<TokenAsk>> open;
};

/// Tokens to ask for with `request`, for requests that wait and have not been asked for. They
/// count as asked for; 0 if there is nothing to ask.
std::uint32_t askForTokens(TokenAsks &asks, const TeamId &team, const TokenBucket &bucket,
                           std::uint64_t request, TimePoint now);

/// Adds granted tokens to the bucket, or notes that none will come. Does nothing if the question
/// is not known: it was asked of another controller, or counts as lost.
void applyTokenGrant(TokenAsks &asks, TokenBucket &bucket, std::uint64_t request,
                     const TokenGrant &grant, TimePoint now);

} // namespace shallotlever
