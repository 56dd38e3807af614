#include "rate_team.h"

#include <algorithm>
#include <cmath>

namespace shallotlever {
namespace {

double seconds(Duration d)
{
    return std::chrono::duration<double>(d).count();
}

/// Removes expired single tokens. Unspent ones are lost: they do not return to the pool.
void expireTokenGrants(RateTeam &team, TimePoint now)
{
    while (!team.outstandingTokenGrants.empty()
           && team.outstandingTokenGrants.front().expires <= now) {
        team.outstandingTokens =
            std::max(0.0, team.outstandingTokens - team.outstandingTokenGrants.front().tokens);
        team.outstandingTokenGrants.pop_front();
    }
    if (team.outstandingTokenGrants.empty())
        team.outstandingTokens = 0;
}

} // namespace

double poolCapacity(const RateTeam &team)
{
    return std::max(0.0, team.burst - team.leasedBurst - team.outstandingTokens);
}

void refillPool(RateTeam &team, TimePoint now)
{
    if (now <= team.poolUpdatedAt)
        return;
    const double refillRate = std::max(0.0, team.ratePerSecond - team.leasedRate);
    expireTokenGrants(team, now);
    team.pool =
        std::min(team.pool + refillRate * seconds(now - team.poolUpdatedAt), poolCapacity(team));
    team.poolUpdatedAt = now;
}

double totalDemand(const RateTeam &team)
{
    return team.demand + team.requestedPerSecond;
}

void recordRequestedTokens(RateTeam &team, double tokens, TimePoint now)
{
    const double elapsed = seconds(std::max(Duration(0), now - team.requestedUpdatedAt));
    team.requestedPerSecond *= std::exp(-elapsed / kDemandAverageSeconds);
    team.requestedPerSecond += tokens / kDemandAverageSeconds;
    team.requestedUpdatedAt = std::max(team.requestedUpdatedAt, now);
}

bool isOverRate(const RateTeam &team)
{
    return team.averageDemand > team.ratePerSecond * kOverRateMargin;
}

} // namespace shallotlever
