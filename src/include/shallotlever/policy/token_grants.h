#pragma once

#include <span>
#include <vector>

#include "shallotlever/policy/rate_allocator.h"
#include "shallotlever/types/shares.h"

/// Single tokens: tokens of a team's rate that the controller grants outside of leases, to nodes
/// with waiting requests. They serve teams whose traffic is spread over many nodes with few
/// requests each, where most of a leased share would stay unused. They are taken from the same pool
/// as the tokens of leases, so that the bound of rate_allocator.h holds for both together.
namespace shallotlever {

/// Longest expected time in the queue; a request that would wait longer is refused at once.
constexpr Duration kMaxTokenQueueWait = 250ms;

/// A grant and the request that it answers.
struct TokenDelivery
{
    TokenRequester to;
    TokenGrant grant;
};

/// Grants the tokens available in the pool, queues requests that it can serve within
/// kMaxTokenQueueWait, and refuses the others.
std::vector<TokenDelivery> handleTokenRequests(RateAllocator &allocator,
                                               const TokenRequester &requester,
                                               std::span<const TokenRequest> requests,
                                               TimePoint now);

/// Grants tokens that the pools have gained to queued requests in order of arrival. Call it every
/// 10 ms.
std::vector<TokenDelivery> serveTokenQueues(RateAllocator &allocator, TimePoint now);

} // namespace shallotlever
