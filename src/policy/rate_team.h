#pragma once

#include "shallotlever/policy/rate_allocator.h"

/// The tokens and the demand of one team at the controller, for leases and single tokens alike.
namespace shallotlever {

/// A team is over its rate by its demand averaged over this time, and by this margin: traffic that
/// moves is counted at its old and new node for a moment, and small teams' demand is noisy.
constexpr double kDemandAverageSeconds = 2;
constexpr double kOverRateMargin = 1.25;

/// Brings the pool up to date. Must precede every change of the team's sums or limits.
void accrue(RateTeam &team, TimePoint now);

/// Tokens that the pool may hold: the burst without what nodes hold in buckets or single tokens.
double poolRoom(const RateTeam &team);

/// Requests per second at nodes with a lease, and at those that ask for single tokens.
double totalDemand(const RateTeam &team);

/// Requests per second that no lease covers, averaged over kDemandAverageSeconds.
void noteRequestedTokens(RateTeam &team, double tokens, TimePoint now);

bool isOverRate(const RateTeam &team);

} // namespace shallotlever
