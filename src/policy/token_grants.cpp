#include "shallotlever/policy/token_grants.h"

#include <algorithm>
#include <cmath>

#include "rate_team.h"

namespace shallotlever {
namespace {

/// Requests of a team that may be queued whatever its rate, so that two that come together to a
/// team of a few requests a second need not be repeated.
constexpr double kLeastQueued = 2;
/// A queued request whose node has given up by now.
constexpr Duration kQueuedLife = 1500ms;
/// Longest advice to ask again later: a changed limit or a share given back shortens the queue.
constexpr Duration kLongestPause = 1s;

double freeRate(const RateTeam &team)
{
    return std::max(0.0, team.ratePerSecond - team.rateHeld);
}

/// Time until the pool has gained that many tokens, at most kLongestPause.
Duration timeToGain(const RateTeam &team, double tokens)
{
    const double free = freeRate(team);
    const double longest = std::chrono::duration<double>(kLongestPause).count();
    const double wait = free <= 0 ? longest : std::clamp(tokens / free, 0.0, longest);
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(wait));
}

bool mayQueue(const RateTeam &team, double tokens)
{
    const double most = std::max(
        kLeastQueued, freeRate(team) * std::chrono::duration<double>(kTokenQueueWait).count());
    return team.queuedTokens + tokens <= most + team.pool;
}

/// The node may spend them until then, which it counts from when it asked.
void lend(RateTeam &team, std::uint32_t tokens, TimePoint now)
{
    team.pool -= tokens;
    team.lent += tokens;
    team.loans.push_back({ now + kTokenLife, static_cast<double>(tokens) });
}

/// Serves the queue from its front as far as the pool reaches.
void serveQueue(RateAllocator &allocator, const TeamId &id, RateTeam &team,
                std::vector<TokenDelivery> &deliveries, TimePoint now)
{
    accrue(team, now);
    while (!team.queue.empty()) {
        QueuedTokens &first = team.queue.front();
        const bool givenUp = now >= first.since + kQueuedLife;
        const auto available = static_cast<std::uint32_t>(std::floor(team.pool));
        const std::uint32_t tokens = givenUp ? 0 : std::min(first.tokens, available);
        if (tokens > 0) {
            if (!allocator.faults.lendTwice)
                lend(team, tokens, now);
            deliveries.push_back({ first.asker, { id, tokens, now - first.since, {} } });
        }
        const std::uint32_t done = givenUp ? first.tokens : tokens;
        team.queuedTokens = std::max(0.0, team.queuedTokens - done);
        first.tokens -= done;
        if (first.tokens > 0)
            return;
        team.queue.pop_front();
    }
}

bool coveredByLease(const RateAllocator &allocator, const TokenAsker &asker, const TeamId &team)
{
    const auto node = allocator.nodes.find({ asker.node, asker.incarnation });
    if (node == allocator.nodes.end())
        return false;
    const auto holding = node->second.holdings.find(team);
    return holding != node->second.holdings.end() && holding->second.rateHeld > 0;
}

} // namespace

std::vector<TokenDelivery> requestTokens(RateAllocator &allocator, const TokenAsker &asker,
                                         std::span<const TokenRequest> requests, TimePoint now)
{
    std::vector<TokenDelivery> deliveries;
    for (const TokenRequest &request : requests) {
        const auto found = allocator.teams.find(request.team);
        if (found == allocator.teams.end() || request.tokens == 0)
            continue;
        RateTeam &team = found->second;
        accrue(team, now);
        if (!coveredByLease(allocator, asker, request.team))
            noteRequestedTokens(team, request.tokens, now);
        if (!mayQueue(team, request.tokens)) {
            const Duration pause = timeToGain(team, team.queuedTokens + request.tokens - team.pool);
            deliveries.push_back({ asker, { request.team, 0, Duration(0), pause } });
            continue;
        }
        team.queue.push_back({ asker, request.tokens, now });
        team.queuedTokens += request.tokens;
        if (now >= allocator.grantsFrom)
            serveQueue(allocator, request.team, team, deliveries, now);
    }
    return deliveries;
}

std::vector<TokenDelivery> serveTokenQueues(RateAllocator &allocator, TimePoint now)
{
    std::vector<TokenDelivery> deliveries;
    if (now < allocator.grantsFrom)
        return deliveries;
    for (auto &[id, team] : allocator.teams) {
        if (!team.queue.empty())
            serveQueue(allocator, id, team, deliveries, now);
    }
    return deliveries;
}

} // namespace shallotlever
