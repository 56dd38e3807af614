#include "rate_team.h"

#include <algorithm>
#include <cmath>

namespace shallotlever {
namespace {

double seconds(Duration d)
{
    return std::chrono::duration<double>(d).count();
}

/// Tokens that a node has not spent by now are gone.
void endLoans(RateTeam &team, TimePoint now)
{
    while (!team.loans.empty() && team.loans.front().expires <= now) {
        team.lent = std::max(0.0, team.lent - team.loans.front().tokens);
        team.loans.pop_front();
    }
    if (team.loans.empty())
        team.lent = 0;
}

} // namespace

double poolRoom(const RateTeam &team)
{
    return std::max(0.0, team.burst - team.burstHeld - team.lent);
}

void accrue(RateTeam &team, TimePoint now)
{
    if (now <= team.poolAt)
        return;
    const double free = std::max(0.0, team.ratePerSecond - team.rateHeld);
    endLoans(team, now);
    team.pool = std::min(team.pool + free * seconds(now - team.poolAt), poolRoom(team));
    team.poolAt = now;
}

double totalDemand(const RateTeam &team)
{
    return team.demand + team.requestedPerSecond;
}

void noteRequestedTokens(RateTeam &team, double tokens, TimePoint now)
{
    const double elapsed = seconds(std::max(Duration(0), now - team.requestedAt));
    team.requestedPerSecond *= std::exp(-elapsed / kDemandAverageSeconds);
    team.requestedPerSecond += tokens / kDemandAverageSeconds;
    team.requestedAt = std::max(team.requestedAt, now);
}

bool isOverRate(const RateTeam &team)
{
    return team.averageDemand > team.ratePerSecond * kOverRateMargin;
}

} // namespace shallotlever
