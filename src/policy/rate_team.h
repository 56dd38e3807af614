#pragma once

#include "shallotlever/policy/rate_allocator.h"

/// Token pool and demand of one team at the controller, for leases and single tokens alike.
namespace shallotlever {

/// A team counts as over its rate if its demand, averaged over kDemandAverageSeconds, exceeds the
/// rate by the factor kOverRateMargin. The margin is needed because traffic that moves between
/// nodes is briefly counted at both, and the demand of small teams is noisy.
constexpr double kDemandAverageSeconds = 2;
constexpr double kOverRateMargin = 1.25;

/// Refills the pool up to `now` and expires single tokens. Call it before every change of the
/// team's totals or limits.
void refillPool(RateTeam &team, TimePoint now);

/// Maximum number of tokens in the pool: the burst minus the bucket depth leased to nodes and the
/// outstanding single tokens.
double poolCapacity(const RateTeam &team);

/// Requests per second at all nodes, with a lease or with requests for single tokens.
double totalDemand(const RateTeam &team);

/// Updates the average rate of single tokens requested, an estimate of the requests per second that
/// no lease covers. Averages over kDemandAverageSeconds.
void recordRequestedTokens(RateTeam &team, double tokens, TimePoint now);

bool isOverRate(const RateTeam &team);

} // namespace shallotlever
