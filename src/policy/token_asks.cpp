#include "shallotlever/policy/token_asks.h"

#include <algorithm>

#include "shallotlever/policy/share_lease.h"

namespace shallotlever {

std::uint32_t createTokenRequest(PendingTokenRequests &pendingRequests, const TeamId &team,
                                 const TokenBucket &bucket, std::uint64_t request, TimePoint now)
{
    const std::uint32_t waiting = bucket.waiting();
    const auto entry = pendingRequests.byTeam.find(team);
    if (entry == pendingRequests.byTeam.end() && waiting == 0)
        return 0;
    std::vector<PendingTokenRequest> &teamRequests =
        entry == pendingRequests.byTeam.end() ? pendingRequests.byTeam[team] : entry->second;
    std::erase_if(teamRequests, [now](const PendingTokenRequest &pending) {
        return now >= pending.sentAt + kTokenRequestTimeout;
    });
    std::uint32_t requestedTokens = 0;
    for (const PendingTokenRequest &pending : teamRequests)
        requestedTokens += pending.tokens;
    const std::uint32_t tokens =
        waiting > requestedTokens && bucket.mayRequestTokens(now) ? waiting - requestedTokens : 0;
    if (tokens > 0)
        teamRequests.push_back({ request, now, tokens });
    else if (teamRequests.empty())
        pendingRequests.byTeam.erase(team);
    return tokens;
}

void applyTokenGrant(PendingTokenRequests &pendingRequests, TokenBucket &bucket,
                     std::uint64_t request, const TokenGrant &grant, TimePoint now)
{
    const auto entry = pendingRequests.byTeam.find(grant.team);
    if (entry == pendingRequests.byTeam.end())
        return;
    std::vector<PendingTokenRequest> &teamRequests = entry->second;
    const auto pending =
        std::find_if(teamRequests.begin(), teamRequests.end(),
                     [request](const PendingTokenRequest &a) { return a.request == request; });
    if (pending == teamRequests.end())
        return;
    if (grant.retryAfter) {
        bucket.setDeniedUntil(now + *grant.retryAfter);
        teamRequests.erase(pending);
        return;
    }
    const std::uint32_t tokens = std::min(grant.tokens, pending->tokens);
    bucket.addTokens(tokens, pending->sentAt + grant.queued + kTokenLifetime, now);
    pending->tokens -= tokens;
    if (pending->tokens == 0)
        teamRequests.erase(pending);
}

} // namespace shallotlever
