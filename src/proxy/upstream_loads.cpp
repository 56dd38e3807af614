#include "upstream_loads.h"

#include <algorithm>

#include "shallotlever/types/history.h"
#include "statement_dispatcher.h"
#include "token_wait.h"

namespace shallotlever {

namespace {

/// Round trip assumed for a node to which none has been measured; that of another region, so that
/// near databases are preferred.
constexpr Duration kUnknownRoundTrip = 40ms;

PositionReached positionReached(const DatabaseRoute &route,
                                const std::optional<HistoryPoint> &position)
{
    if (!position)
        return PositionReached::NotAsked;
    if (route.logEnd && holdsHistory(*route.logEnd, *position))
        return PositionReached::Yes;
    return route.logEnd ? PositionReached::No : PositionReached::Unknown;
}

/// Sets the refusal, or how long the statement waits for a token.
void explainAdmission(PlacementExplanation &explanation, const ProxyState &state,
                      const TeamId &team, TimePoint now)
{
    if (state.draining)
        explanation.refusal = ErrorKind::Draining;
    else if (!state.fresh(now))
        explanation.refusal = ErrorKind::ConfigStale;
    const auto admission = state.teams.find(team);
    if (explanation.refusal || admission == state.teams.end())
        return;
    const TokenBucket &bucket = *admission->second.bucket;
    const auto next = bucket.timeUntilToken(now);
    const auto denied = bucket.deniedFor(now);
    explanation.tokenWait = next.value_or(denied.value_or(Duration(0)));
    const Duration limit = std::min(tokenWaitLimit(bucket, now), explanation.deadline);
    if (tokenComesTooLate(bucket, now, now + limit))
        explanation.refusal = ErrorKind::RateLimited;
}

} // namespace

std::vector<UpstreamLoad> upstreamLoads(const ProxyState &state,
                                        const StatementDispatcher &dispatcher,
                                        const ServiceDatabases &service, const TeamId &team,
                                        const std::set<NodeId> &excludedOwners, TimePoint now)
{
    std::vector<UpstreamLoad> loads;
    for (const auto &[id, route] : service.routes) {
        const auto owner = dispatcher.owner(route.info, excludedOwners);
        const bool isPrimary = service.primary == id;
        if (owner == state.self && route.pool) {
            loads.push_back(route.pool->loadFor(team));
            loads.back().meanOutstanding = route.meanOutstanding;
        } else if (!owner || owner == state.self) {
            loads.push_back(remoteLoad(route, isPrimary, false, Duration(0), now));
        } else {
            loads.push_back(remoteLoad(route, isPrimary, true,
                                       dispatcher.roundTrip(*owner).value_or(kUnknownRoundTrip),
                                       now));
        }
        // A new configuration may arrive before the view that follows from it.
        if (state.isEvacuated(route.info))
            loads.back().state = UpstreamState::Leaving;
        loads.back().avoidUntil = std::max(loads.back().avoidUntil, route.avoidLaggingUntil);
    }
    return loads;
}

std::variant<PlacementExplanation, Error> explainPlacement(const ProxyState &state,
                                                           const StatementDispatcher &dispatcher,
                                                           const PlacementQuestion &question,
                                                           TimePoint now)
{
    const auto database = state.config.databases.find(question.database);
    if (database == state.config.databases.end())
        return Error { ErrorKind::UnknownService,
                       "database: no database is named " + question.database.value(),
                       std::nullopt };
    const bool known = state.config.teams.contains(question.team)
        || state.teams.contains(question.team)
        || (database->second.open && question.team == anonymousTeam());
    if (!known)
        return Error { ErrorKind::MalformedRequest,
                       "team: no team is named " + question.team.value(), std::nullopt };
    PlacementExplanation explanation;
    explanation.primaryOnly =
        question.writes || database->second.consistency == Consistency::Primary;
    explanation.deadline = database->second.statementTimeout;
    explainAdmission(explanation, state, question.team, now);
    const auto service = state.services.find(database->second.service);
    if (service == state.services.end())
        return explanation;
    const std::vector<UpstreamLoad> loads =
        upstreamLoads(state, dispatcher, service->second, question.team, {}, now);
    const auto candidates = weighUpstreams(loads, !explanation.primaryOnly, {}, now);
    // A copy: the next statement gets this chance as well.
    LowDiscrepancySequence chance = service->second.chance;
    if (const PlacementCandidate *chosen = drawCandidate(candidates, chance.next()))
        explanation.chosen = static_cast<std::size_t>(chosen - candidates.data());
    for (std::size_t i = 0; i < candidates.size(); ++i) {
        const DatabaseRoute &route = service->second.routes.at(candidates[i].id);
        explanation.databases.push_back({ candidates[i], loads[i].primary,
                                          dispatcher.owner(route.info, {}),
                                          positionReached(route, question.position) });
    }
    return explanation;
}

} // namespace shallotlever
