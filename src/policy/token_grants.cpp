#include "shallotlever/policy/token_grants.h"

#include <algorithm>
#include <cmath>

#include "rate_team.h"

namespace shallotlever {
namespace {

/// Every team may queue at least this many tokens, whatever its rate, so that two simultaneous
/// requests of a team with a rate of a few requests per second need not be repeated.
constexpr double kMinQueueCapacityTokens = 2;
/// Age at which a queued request is dropped, because its node has stopped waiting for the answer.
constexpr Duration kQueuedRequestTimeout = 1500ms;
/// Maximum `retryAfter` of a refusal. The queue may become shorter earlier, when a limit changes or
/// a share is given back.
constexpr Duration kMaxRetryAfter = 1s;

double unleasedRate(const RateTeam &team)
{
    return std::max(0.0, team.ratePerSecond - team.leasedRate);
}

/// Time until the pool has gained `tokens`, at most kMaxRetryAfter.
Duration timeToRefill(const RateTeam &team, double tokens)
{
    const double refillRate = unleasedRate(team);
    const double maxSeconds = std::chrono::duration<double>(kMaxRetryAfter).count();
    const double wait =
        refillRate <= 0 ? maxSeconds : std::clamp(tokens / refillRate, 0.0, maxSeconds);
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(wait));
}

bool canQueue(const RateTeam &team, double tokens)
{
    const double maxQueuedTokens =
        std::max(kMinQueueCapacityTokens,
                 unleasedRate(team) * std::chrono::duration<double>(kMaxTokenQueueWait).count());
    return team.queuedTokens + tokens <= maxQueuedTokens + team.pool;
}

/// Takes the tokens out of the pool and records their expiry. The node counts their lifetime from
/// the time it sent the request, so they expire there first.
void recordTokenGrant(RateTeam &team, std::uint32_t tokens, TimePoint now)
{
    team.pool -= tokens;
    team.outstandingTokens += tokens;
    team.outstandingTokenGrants.push_back({ now + kTokenLifetime, static_cast<double>(tokens) });
}

/// Serves queued requests in order, as far as the tokens in the pool suffice.
void serveQueue(RateAllocator &allocator, const TeamId &id, RateTeam &team,
                std::vector<TokenDelivery> &deliveries, TimePoint now)
{
    refillPool(team, now);
    while (!team.queue.empty()) {
        QueuedTokenRequest &first = team.queue.front();
        const bool timedOut = now >= first.queuedAt + kQueuedRequestTimeout;
        const auto available = static_cast<std::uint32_t>(std::floor(team.pool));
        const std::uint32_t tokens = timedOut ? 0 : std::min(first.tokens, available);
        if (tokens > 0) {
            if (!allocator.faults.keepGrantedTokensInPool)
                recordTokenGrant(team, tokens, now);
            deliveries.push_back({ first.requester, { id, tokens, now - first.queuedAt, {} } });
        }
        const std::uint32_t removed = timedOut ? first.tokens : tokens;
        team.queuedTokens = std::max(0.0, team.queuedTokens - removed);
        first.tokens -= removed;
        if (first.tokens > 0)
            return;
        team.queue.pop_front();
    }
}

bool hasLeasedRate(const RateAllocator &allocator, const TokenRequester &requester,
                   const TeamId &team)
{
    const auto node = allocator.nodes.find({ requester.node, requester.incarnation });
    if (node == allocator.nodes.end())
        return false;
    const auto lease = node->second.leases.find(team);
    return lease != node->second.leases.end() && lease->second.leasedRate > 0;
}

} // namespace

std::vector<TokenDelivery> handleTokenRequests(RateAllocator &allocator,
                                               const TokenRequester &requester,
                                               std::span<const TokenRequest> requests,
                                               TimePoint now)
{
    std::vector<TokenDelivery> deliveries;
    for (const TokenRequest &request : requests) {
        const auto found = allocator.teams.find(request.team);
        if (found == allocator.teams.end() || request.tokens == 0)
            continue;
        RateTeam &team = found->second;
        refillPool(team, now);
        if (!hasLeasedRate(allocator, requester, request.team))
            recordRequestedTokens(team, request.tokens, now);
        if (!canQueue(team, request.tokens)) {
            const Duration retryAfter =
                timeToRefill(team, team.queuedTokens + request.tokens - team.pool);
            deliveries.push_back({ requester, { request.team, 0, Duration(0), retryAfter } });
            continue;
        }
        team.queue.push_back({ requester, request.tokens, now });
        team.queuedTokens += request.tokens;
        if (now >= allocator.grantsAllowedFrom)
            serveQueue(allocator, request.team, team, deliveries, now);
    }
    return deliveries;
}

std::vector<TokenDelivery> serveTokenQueues(RateAllocator &allocator, TimePoint now)
{
    std::vector<TokenDelivery> deliveries;
    if (now < allocator.grantsAllowedFrom)
        return deliveries;
    for (auto &[id, team] : allocator.teams) {
        if (!team.queue.empty())
            serveQueue(allocator, id, team, deliveries, now);
    }
    return deliveries;
}

} // namespace shallotlever
