#include "shallotlever/policy/token_bucket.h"

#include <algorithm>
#include <cmath>

namespace shallotlever {
namespace {

constexpr std::int64_t kMicro = 1'000'000;
constexpr unsigned kGenerationShift = 48;
constexpr std::uint64_t kTokenMask = (std::uint64_t { 1 } << kGenerationShift) - 1;
/// The reported rate is updated once at least kDemandWindow has passed and kDemandWindowArrivals
/// requests have arrived, or after kMaxDemandWindow.
constexpr Duration kDemandWindow = 250ms;
constexpr double kDemandWindowArrivals = 16;
constexpr Duration kMaxDemandWindow = 2s;
/// Minimum time by which arrivals are divided, so that a few first arrivals do not give a high
/// rate.
constexpr Duration kMinDemandWindow = 50ms;
/// Maximum number of single tokens in the bucket.
constexpr std::uint64_t kMaxGrantedTokens = 0xffff;
/// Traffic counts as stopped when this many requests fewer than expected have arrived. With random
/// arrivals a gap of this size is rare (3 in 10,000), and an unnecessary report does no harm.
constexpr double kMinMissedArrivals = 8;
constexpr Duration kMinIdleTime = 40ms;
/// Bounds the time until a slow team's traffic counts as stopped; longer than a share lasts.
constexpr double kMaxIdleSeconds = 3600;

std::int64_t tokensOf(std::uint64_t word)
{
    return static_cast<std::int64_t>(word & kTokenMask);
}

std::uint64_t generationOf(std::uint64_t word)
{
    return word >> kGenerationShift;
}

std::uint64_t packShareTokens(std::uint64_t generation, std::int64_t tokens)
{
    return (generation << kGenerationShift) | static_cast<std::uint64_t>(tokens);
}

std::int64_t microTokens(double tokens)
{
    const double limit = static_cast<double>(kTokenMask);
    return static_cast<std::int64_t>(std::clamp(tokens * kMicro, 0.0, limit));
}

double tokensFrom(std::int64_t micro)
{
    return static_cast<double>(micro) / kMicro;
}

std::int64_t micros(TimePoint t)
{
    return t.time_since_epoch().count();
}

// Single tokens: their number is in the upper bits and their expiry in microseconds in the lower
// bits of one word, so that both change atomically.

std::uint64_t grantedTokens(std::uint64_t word)
{
    return word >> kGenerationShift;
}

std::int64_t grantedExpiry(std::uint64_t word)
{
    return static_cast<std::int64_t>(word & kTokenMask);
}

std::uint64_t packGrantedTokens(std::uint64_t tokens, std::int64_t until)
{
    return (std::min(tokens, kMaxGrantedTokens) << kGenerationShift)
        | (static_cast<std::uint64_t>(until) & kTokenMask);
}

bool hasGrantedTokens(std::uint64_t word, std::int64_t now)
{
    return grantedTokens(word) > 0 && grantedExpiry(word) > now;
}

} // namespace

const TokenBucket::Parameters &TokenBucket::parametersOf(std::uint64_t word) const
{
    return m_parameters[generationOf(word) & 1U];
}

TokenBucket::Parameters &TokenBucket::parametersOf(std::uint64_t word)
{
    return m_parameters[generationOf(word) & 1U];
}

void TokenBucket::refill(TimePoint now)
{
    std::uint64_t word = m_shareState.load();
    const std::uint64_t generation = generationOf(word);
    Parameters &p = parametersOf(word);
    std::int64_t from = p.refilledAt.load();
    const std::int64_t to = std::min(micros(now), p.expires.load());
    const std::int64_t rate = p.microTokensPerSecond.load();
    const std::int64_t depth = p.depthMicroTokens.load();
    if (to <= from || rate <= 0)
        return;
    const double gain = static_cast<double>(rate) * static_cast<double>(to - from) / kMicro;
    const auto added = static_cast<std::int64_t>(std::min(gain, static_cast<double>(depth)));
    // Only the thread that advances refilledAt adds the tokens of that interval.
    if (added <= 0 || !p.refilledAt.compare_exchange_strong(from, to))
        return;
    while (generationOf(word) == generation) {
        const std::int64_t tokens = std::min(tokensOf(word) + added, depth);
        if (m_shareState.compare_exchange_weak(word, packShareTokens(generation, tokens)))
            return;
    }
}

bool TokenBucket::tryTake(TimePoint now)
{
    return takeGrantedToken(now) || takeFromShare(now);
}

void TokenBucket::addTokens(std::uint32_t tokens, TimePoint expires, TimePoint now)
{
    if (expires <= now || tokens == 0)
        return;
    std::uint64_t word = m_grantedState.load();
    std::uint64_t next = 0;
    do {
        // Tokens already in the bucket and new ones all get the earlier expiry.
        next = hasGrantedTokens(word, micros(now)) ? packGrantedTokens(
                   grantedTokens(word) + tokens, std::min(grantedExpiry(word), micros(expires)))
                                                   : packGrantedTokens(tokens, micros(expires));
    } while (!m_grantedState.compare_exchange_weak(word, next));
}

bool TokenBucket::takeGrantedToken(TimePoint now)
{
    std::uint64_t word = m_grantedState.load();
    while (hasGrantedTokens(word, micros(now))) {
        if (m_grantedState.compare_exchange_weak(
                word, packGrantedTokens(grantedTokens(word) - 1, grantedExpiry(word))))
            return true;
    }
    return false;
}

void TokenBucket::setDeniedUntil(TimePoint until)
{
    m_deniedUntil.store(micros(until));
}

std::optional<Duration> TokenBucket::deniedFor(TimePoint now) const
{
    const std::int64_t remaining = m_deniedUntil.load() - micros(now);
    return remaining > 0 ? std::optional(Duration(remaining)) : std::nullopt;
}

bool TokenBucket::mayRequestTokens(TimePoint now) const
{
    const Parameters &p = parametersOf(m_shareState.load());
    const bool leased = micros(now) < p.expires.load() && p.microTokensPerSecond.load() > 0;
    return !deniedFor(now) && (!leased || p.teamWithinRate.load());
}

bool TokenBucket::takeFromShare(TimePoint now)
{
    refill(now);
    std::uint64_t word = m_shareState.load();
    while (micros(now) < parametersOf(word).expires.load() && tokensOf(word) >= kMicro) {
        if (m_shareState.compare_exchange_weak(word, word - kMicro))
            return true;
    }
    return false;
}

std::optional<Duration> TokenBucket::timeUntilToken(TimePoint now) const
{
    const std::uint64_t word = m_shareState.load();
    const Parameters &p = parametersOf(word);
    const std::int64_t expires = p.expires.load();
    if (micros(now) >= expires)
        return std::nullopt;
    const std::int64_t missing = kMicro - tokensOf(word);
    if (missing <= 0)
        return Duration(0);
    const std::int64_t rate = p.microTokensPerSecond.load();
    if (rate <= 0 || p.depthMicroTokens.load() < kMicro)
        return std::nullopt;
    const double wait =
        std::ceil(static_cast<double>(missing) * kMicro / static_cast<double>(rate));
    const std::int64_t elapsed = std::max<std::int64_t>(0, micros(now) - p.refilledAt.load());
    if (wait - static_cast<double>(elapsed) >= static_cast<double>(expires - micros(now)))
        return std::nullopt;
    return Duration(std::max<std::int64_t>(0, static_cast<std::int64_t>(wait) - elapsed));
}

RateRefusal TokenBucket::refusalClass(TimePoint now) const
{
    const Parameters &p = parametersOf(m_shareState.load());
    const bool leased = micros(now) < p.expires.load() && p.microTokensPerSecond.load() > 0;
    const bool over = leased ? !p.teamWithinRate.load() : deniedFor(now).has_value();
    return over ? RateRefusal::OverRate : RateRefusal::InsideRate;
}

bool TokenBucket::applyShare(const RateShare &share, TimePoint leaseExpiry, TimePoint now)
{
    refill(now);
    std::uint64_t word = m_shareState.load();
    const Parameters &old = parametersOf(word);
    const std::uint64_t generation = (generationOf(word) + 1) & 0xffffU;
    Parameters &next = m_parameters[generation & 1U];
    const std::int64_t depth = microTokens(share.burst);
    const std::int64_t oldDepth = old.depthMicroTokens.load();
    const bool expired = micros(now) >= old.expires.load();
    const bool repeated = share.grant != 0 && share.grant <= m_lastGrant;
    const std::int64_t granted = repeated ? 0 : microTokens(share.tokens);
    m_lastGrant = std::max(m_lastGrant, share.grant);
    next.microTokensPerSecond.store(microTokens(share.ratePerSecond));
    next.depthMicroTokens.store(depth);
    next.expires.store(micros(leaseExpiry));
    next.teamWithinRate.store(share.teamWithinRate);
    std::int64_t tokens = 0;
    do {
        // Must be read after m_shareState: a concurrent refill not covered by this value either
        // changes m_shareState, which repeats the loop, or is dropped.
        next.refilledAt.store(expired ? micros(now) : std::max(micros(now), old.refilledAt.load()));
        tokens = (expired ? 0 : tokensOf(word)) + granted;
    } while (!m_shareState.compare_exchange_weak(
        word, packShareTokens(generation, std::min(tokens, depth))));
    m_returnedTokens += static_cast<double>(std::max<std::int64_t>(0, tokens - depth)) / kMicro;
    return depth < oldDepth || microTokens(share.ratePerSecond) < old.microTokensPerSecond.load();
}

void TokenBucket::renewShare(const RateShare &share, TimePoint leaseExpiry, TimePoint now)
{
    const Parameters &currentShare = parametersOf(m_shareState.load());
    if (micros(now) >= currentShare.expires.load())
        return;
    RateShare renewed = share;
    renewed.ratePerSecond =
        std::min(share.ratePerSecond, tokensFrom(currentShare.microTokensPerSecond.load()));
    renewed.burst = std::min(share.burst, tokensFrom(currentShare.depthMicroTokens.load()));
    renewed.tokens = 0;
    renewed.teamWithinRate = currentShare.teamWithinRate.load();
    applyShare(renewed, leaseExpiry, now);
}

void TokenBucket::updateIdleState(TimePoint now)
{
    const std::uint64_t arrivals = m_arrivals.load(std::memory_order_relaxed);
    if (arrivals != m_arrivalsWhenIdle) {
        m_arrivalsWhenIdle = arrivals;
        m_idleSince = now;
    }
    const Duration idle = now - m_idleSince;
    m_trafficStopped = m_lastRate > 0 && idle >= kMinIdleTime
        && m_lastRate * std::chrono::duration<double>(idle).count() >= kMinMissedArrivals;
}

TeamDemand TokenBucket::takeDemand(const TeamId &team, TimePoint now)
{
    updateIdleState(now);
    refill(now);
    const std::uint64_t word = m_shareState.load();
    const std::uint64_t arrivals = m_arrivals.load(std::memory_order_relaxed);
    const auto count = static_cast<double>(arrivals - m_windowArrivals);
    const bool started = m_windowStart != TimePoint();
    const Duration elapsed =
        started ? std::max(kMinDemandWindow, now - m_windowStart) : kMinDemandWindow;
    const bool complete = !started || m_trafficStopped || elapsed >= kMaxDemandWindow
        || (elapsed >= kDemandWindow && count >= kDemandWindowArrivals);
    double rate = count / std::chrono::duration<double>(elapsed).count();
    if (complete) {
        rate = m_trafficStopped ? 0 : rate;
        m_windowStart = now;
        m_windowArrivals = arrivals;
        m_lastRate = rate;
        m_trafficStopped = false;
    } else {
        // A few arrivals in a short time are not enough to estimate a rate. Until there are more,
        // requests that find no token are served by single tokens.
        rate = m_lastRate;
    }
    const Parameters &currentShare = parametersOf(word);
    const bool live = micros(now) < currentShare.expires.load();
    TeamDemand demand;
    demand.team = team;
    demand.arrivalsPerSecond = rate;
    demand.returnedTokens = m_returnedTokens;
    demand.heldRate = live ? tokensFrom(currentShare.microTokensPerSecond.load()) : 0;
    demand.heldBurst = live ? tokensFrom(currentShare.depthMicroTokens.load()) : 0;
    return demand;
}

TimePoint TokenBucket::earlyReportDue(TimePoint now)
{
    updateIdleState(now);
    const TimePoint expires = TimePoint(Duration(parametersOf(m_shareState.load()).expires.load()));
    if (m_lastRate <= 0 || now >= expires)
        return kNever;
    const auto missed = std::chrono::ceil<Duration>(
        std::chrono::duration<double>(std::min(kMinMissedArrivals / m_lastRate, kMaxIdleSeconds)));
    const TimePoint due = m_idleSince + std::max<Duration>(kMinIdleTime, missed);
    return due < expires ? due : kNever;
}

bool TokenBucket::needsEarlyReport(TimePoint now)
{
    updateIdleState(now);
    return m_trafficStopped && micros(now) < parametersOf(m_shareState.load()).expires.load();
}

} // namespace shallotlever
