#include "shallotlever/policy/token_asks.h"

#include <algorithm>

#include "shallotlever/policy/share_lease.h"

namespace shallotlever {

std::uint32_t askForTokens(TokenAsks &asks, const TeamId &team, const TokenBucket &bucket,
                           std::uint64_t request, TimePoint now)
{
    const std::uint32_t waiting = bucket.waiting();
    const auto known = asks.open.find(team);
    if (known == asks.open.end() && waiting == 0)
        return 0;
    std::vector<TokenAsk> &open = known == asks.open.end() ? asks.open[team] : known->second;
    std::erase_if(open, [now](const TokenAsk &ask) { return now >= ask.sentAt + kAskPatience; });
    std::uint32_t asked = 0;
    for (const TokenAsk &ask : open)
        asked += ask.tokens;
    const std::uint32_t tokens =
        waiting > asked && bucket.mayAskForTokens(now) ? waiting - asked : 0;
    if (tokens > 0)
        open.push_back({ request, now, tokens });
    else if (open.empty())
        asks.open.erase(team);
    return tokens;
}

void applyTokenGrant(TokenAsks &asks, TokenBucket &bucket, std::uint64_t request,
                     const TokenGrant &grant, TimePoint now)
{
    const auto known = asks.open.find(grant.team);
    if (known == asks.open.end())
        return;
    std::vector<TokenAsk> &open = known->second;
    const auto ask = std::find_if(open.begin(), open.end(),
                                  [request](const TokenAsk &a) { return a.request == request; });
    if (ask == open.end())
        return;
    if (grant.retryAfter) {
        bucket.noteDenied(now + *grant.retryAfter);
        open.erase(ask);
        return;
    }
    const std::uint32_t tokens = std::min(grant.tokens, ask->tokens);
    bucket.addTokens(tokens, ask->sentAt + grant.queued + kTokenLife, now);
    ask->tokens -= tokens;
    if (ask->tokens == 0)
        open.erase(ask);
}

} // namespace shallotlever
