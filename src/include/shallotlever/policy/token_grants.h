#pragma once

#include <span>
#include <vector>

#include "shallotlever/policy/rate_allocator.h"
#include "shallotlever/types/shares.h"

/// Single tokens of a team's rate, granted by the controller to nodes whose requests wait. Answers
/// the load pattern of many nodes that each see few requests of a team: a lease would lie unused
/// at most of them. The tokens come from the same pool as those of leases, so that the bound on
/// what is admitted holds for both together.
namespace shallotlever {

/// A request that would wait longer than this for its token is refused at once.
constexpr Duration kTokenQueueWait = 250ms;

/// A grant and the node that it is for.
struct TokenDelivery
{
    TokenAsker to;
    TokenGrant grant;
};

/// Grants what the pool holds, queues what it will hold soon, and refuses the rest.
std::vector<TokenDelivery> requestTokens(RateAllocator &allocator, const TokenAsker &asker,
                                         std::span<const TokenRequest> requests, TimePoint now);

/// Grants what the pools have gained to requests that are queued, in the order of their arrival.
/// Call every 10 ms.
std::vector<TokenDelivery> serveTokenQueues(RateAllocator &allocator, TimePoint now);

} // namespace shallotlever
