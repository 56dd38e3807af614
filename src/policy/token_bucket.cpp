#include "shallotlever/policy/token_bucket.h"

#include <algorithm>
#include <cmath>

namespace shallotlever {
namespace {

constexpr std::int64_t kMicro = 1'000'000;
constexpr unsigned kGenerationShift = 48;
constexpr std::uint64_t kTokenMask = (std::uint64_t { 1 } << kGenerationShift) - 1;
/// Arrivals are averaged over at least this time and number before they replace the last average,
/// or over the longer time.
constexpr Duration kDemandWindow = 250ms;
constexpr double kDemandWindowArrivals = 16;
constexpr Duration kMaxDemandWindow = 2s;
/// Shortest time over which a few first arrivals are taken for a rate.
constexpr Duration kMinDemandWindow = 50ms;
/// Largest number of tokens held outside a share.
constexpr std::uint64_t kMostGranted = 0xffff;
/// Traffic has stopped when this many requests fewer than usual came: random gaps of that size
/// are rare (3 in 10,000), and a needless report does no harm.
constexpr double kMissedArrivals = 8;
constexpr Duration kMinQuiet = 40ms;

std::int64_t tokensOf(std::uint64_t word)
{
    return static_cast<std::int64_t>(word & kTokenMask);
}

std::uint64_t generationOf(std::uint64_t word)
{
    return word >> kGenerationShift;
}

std::uint64_t makeWord(std::uint64_t generation, std::int64_t tokens)
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

// Tokens granted by themselves: their number in the upper bits, the microsecond of their expiry in
// the lower ones, in one word so that both change together.

std::uint64_t grantedTokens(std::uint64_t word)
{
    return word >> kGenerationShift;
}

std::int64_t grantedUntil(std::uint64_t word)
{
    return static_cast<std::int64_t>(word & kTokenMask);
}

std::uint64_t makeGranted(std::uint64_t tokens, std::int64_t until)
{
    return (std::min(tokens, kMostGranted) << kGenerationShift)
        | (static_cast<std::uint64_t>(until) & kTokenMask);
}

bool holdsGranted(std::uint64_t word, std::int64_t now)
{
    return grantedTokens(word) > 0 && grantedUntil(word) > now;
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
    std::uint64_t word = m_word.load();
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
    // The thread that moves refilledAt adds the tokens of that interval; nobody else does.
    if (added <= 0 || !p.refilledAt.compare_exchange_strong(from, to))
        return;
    while (generationOf(word) == generation) {
        const std::int64_t tokens = std::min(tokensOf(word) + added, depth);
        if (m_word.compare_exchange_weak(word, makeWord(generation, tokens)))
            return;
    }
}

bool TokenBucket::tryTake(TimePoint now)
{
    return takeGranted(now) || takeFromShare(now);
}

void TokenBucket::addTokens(std::uint32_t tokens, TimePoint expires, TimePoint now)
{
    if (expires <= now || tokens == 0)
        return;
    std::uint64_t word = m_granted.load();
    std::uint64_t next = 0;
    do {
        // With tokens that are left all expire with the first.
        next = holdsGranted(word, micros(now)) ? makeGranted(
                   grantedTokens(word) + tokens, std::min(grantedUntil(word), micros(expires)))
                                               : makeGranted(tokens, micros(expires));
    } while (!m_granted.compare_exchange_weak(word, next));
}

bool TokenBucket::takeGranted(TimePoint now)
{
    std::uint64_t word = m_granted.load();
    while (holdsGranted(word, micros(now))) {
        if (m_granted.compare_exchange_weak(
                word, makeGranted(grantedTokens(word) - 1, grantedUntil(word))))
            return true;
    }
    return false;
}

void TokenBucket::noteDenied(TimePoint until)
{
    m_deniedUntil.store(micros(until));
}

std::optional<Duration> TokenBucket::deniedFor(TimePoint now) const
{
    const std::int64_t left = m_deniedUntil.load() - micros(now);
    return left > 0 ? std::optional(Duration(left)) : std::nullopt;
}

bool TokenBucket::mayAskForTokens(TimePoint now) const
{
    const Parameters &p = parametersOf(m_word.load());
    const bool leased = micros(now) < p.expires.load() && p.microTokensPerSecond.load() > 0;
    return !deniedFor(now) && (!leased || p.teamWithinRate.load());
}

bool TokenBucket::takeFromShare(TimePoint now)
{
    refill(now);
    std::uint64_t word = m_word.load();
    while (micros(now) < parametersOf(word).expires.load() && tokensOf(word) >= kMicro) {
        if (m_word.compare_exchange_weak(word, word - kMicro))
            return true;
    }
    return false;
}

std::optional<Duration> TokenBucket::timeUntilToken(TimePoint now) const
{
    const std::uint64_t word = m_word.load();
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
    const Parameters &p = parametersOf(m_word.load());
    const bool leased = micros(now) < p.expires.load() && p.microTokensPerSecond.load() > 0;
    const bool over = leased ? !p.teamWithinRate.load() : deniedFor(now).has_value();
    return over ? RateRefusal::OverRate : RateRefusal::InsideRate;
}

bool TokenBucket::applyShare(const RateShare &share, TimePoint leaseExpiry, TimePoint now)
{
    refill(now);
    std::uint64_t word = m_word.load();
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
        // Read after m_word: a refill that this value does not cover changes m_word or is dropped.
        next.refilledAt.store(expired ? micros(now) : std::max(micros(now), old.refilledAt.load()));
        tokens = (expired ? 0 : tokensOf(word)) + granted;
    } while (!m_word.compare_exchange_weak(word, makeWord(generation, std::min(tokens, depth))));
    m_returnedTokens += static_cast<double>(std::max<std::int64_t>(0, tokens - depth)) / kMicro;
    return depth < oldDepth || microTokens(share.ratePerSecond) < old.microTokensPerSecond.load();
}

void TokenBucket::renewShare(const RateShare &share, TimePoint leaseExpiry, TimePoint now)
{
    const Parameters &held = parametersOf(m_word.load());
    if (micros(now) >= held.expires.load())
        return;
    RateShare renewed = share;
    renewed.ratePerSecond =
        std::min(share.ratePerSecond, tokensFrom(held.microTokensPerSecond.load()));
    renewed.burst = std::min(share.burst, tokensFrom(held.depthMicroTokens.load()));
    renewed.tokens = 0;
    renewed.teamWithinRate = held.teamWithinRate.load();
    applyShare(renewed, leaseExpiry, now);
}

void TokenBucket::noteQuiet(TimePoint now)
{
    const std::uint64_t arrivals = m_arrivals.load(std::memory_order_relaxed);
    if (arrivals != m_quietArrivals) {
        m_quietArrivals = arrivals;
        m_quietSince = now;
    }
    const Duration quiet = now - m_quietSince;
    m_stopped = m_lastRate > 0 && quiet >= kMinQuiet
        && m_lastRate * std::chrono::duration<double>(quiet).count() >= kMissedArrivals;
}

TeamDemand TokenBucket::takeDemand(const TeamId &team, TimePoint now)
{
    noteQuiet(now);
    refill(now);
    const std::uint64_t word = m_word.load();
    const std::uint64_t arrivals = m_arrivals.load(std::memory_order_relaxed);
    const auto count = static_cast<double>(arrivals - m_windowArrivals);
    const bool started = m_windowStart != TimePoint();
    const Duration elapsed =
        started ? std::max(kMinDemandWindow, now - m_windowStart) : kMinDemandWindow;
    const bool complete = !started || m_stopped || elapsed >= kMaxDemandWindow
        || (elapsed >= kDemandWindow && count >= kDemandWindowArrivals);
    double rate = count / std::chrono::duration<double>(elapsed).count();
    if (complete) {
        rate = m_stopped ? 0 : rate;
        m_windowStart = now;
        m_windowArrivals = arrivals;
        m_lastRate = rate;
        m_stopped = false;
    } else {
        // A few arrivals in a short time do not make a rate yet. Until they do, requests that find
        // no token ask for single ones.
        rate = m_lastRate;
    }
    const Parameters &held = parametersOf(word);
    const bool live = micros(now) < held.expires.load();
    TeamDemand demand;
    demand.team = team;
    demand.arrivalsPerSecond = rate;
    demand.returnedTokens = m_returnedTokens;
    demand.heldRate = live ? tokensFrom(held.microTokensPerSecond.load()) : 0;
    demand.heldBurst = live ? tokensFrom(held.depthMicroTokens.load()) : 0;
    return demand;
}

bool TokenBucket::wantsEarlyReport(TimePoint now)
{
    noteQuiet(now);
    return m_stopped && micros(now) < parametersOf(m_word.load()).expires.load();
}

} // namespace shallotlever
