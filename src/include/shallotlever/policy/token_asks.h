#pragma once

#include <cstdint>
#include <map>
#include <vector>

#include "shallotlever/policy/token_bucket.h"
#include "shallotlever/types/shares.h"

/// Node side of single tokens (token_grants.h): keeps track of the token requests that the
/// controller has not fully answered.
namespace shallotlever {

/// Time after which a request counts as lost. Allows for the controller's queue and a slow round
/// trip.
constexpr Duration kTokenRequestTimeout = 700ms;

/// A token request that has not been answered in full.
struct PendingTokenRequest
{
    std::uint64_t request = 0;
    TimePoint sentAt;
    std::uint32_t tokens = 0;
};

/// Accessed by the control thread only.
struct PendingTokenRequests
{
    std::uint64_t lastRequest = 0;
    std::map<TeamId, std::vector<PendingTokenRequest>> byTeam;
};

/// Returns the number of tokens to ask the controller for in message `request`: one for each
/// waiting request of the team that no pending token request covers, or 0. Records them as pending.
std::uint32_t createTokenRequest(PendingTokenRequests &pendingRequests, const TeamId &team,
                                 const TokenBucket &bucket, std::uint64_t request, TimePoint now);

/// Adds granted tokens to the bucket, or records that the controller has none. Ignores the grant if
/// the request is not pending: it was sent to another controller or has timed out.
void applyTokenGrant(PendingTokenRequests &pendingRequests, TokenBucket &bucket,
                     std::uint64_t request, const TokenGrant &grant, TimePoint now);

} // namespace shallotlever
