#pragma once

#include <array>
#include <atomic>
#include <cstdint>
#include <optional>

#include "shallotlever/base/time.h"
#include "shallotlever/types/shares.h"

namespace shallotlever {

/// Regular interval between reports of a node.
inline constexpr Duration kReportInterval = 500ms;
/// Shortest interval between early reports of a node.
inline constexpr Duration kEarlyReportInterval = 100ms;
/// Time from a report to one that confirms a smaller share, so that others can be granted the
/// difference. Shares change a little with each lease, hence not at once.
inline constexpr Duration kReducedShareReport = 250ms;

/// Whether a refused request was inside the team's cluster-wide rate, as far as the last share
/// tells. Refusals inside the rate are the proxy's own shortcoming.
enum class RateRefusal : std::uint8_t { InsideRate, OverRate };

/// A node's bucket for one team. tryTake, timeUntilToken, refusalClass and the waiting counters
/// are lock-free and may be called from any thread; applyShare and takeDemand are called by the
/// control thread only.
class TokenBucket
{
public:
    /// Takes one token, of the share or one that was granted by itself; false if there is none.
    bool tryTake(TimePoint now);

    /// Adds tokens that were granted by themselves and may be spent until `expires`. Control thread
    /// only.
    void addTokens(std::uint32_t tokens, TimePoint expires, TimePoint now);
    /// The controller has no token for this node before then. Control thread only.
    void noteDenied(TimePoint until);
    /// Set while the controller is known to have no token; requests need not wait then.
    std::optional<Duration> deniedFor(TimePoint now) const;
    /// Whether the controller may have single tokens: not of a team whose whole rate is leased.
    bool mayAskForTokens(TimePoint now) const;

    /// Time until the share may bring a token; other threads may take that token. nullopt if only
    /// the controller can: the caller waits, as the node asks for a token.
    std::optional<Duration> timeUntilToken(TimePoint now) const;

    /// Counts a request that arrived, admitted or not. Once per request, before tryTake.
    void countArrival() { m_arrivals.fetch_add(1, std::memory_order_relaxed); }
    /// Requests counted since the process started.
    std::uint64_t arrivals() const { return m_arrivals.load(std::memory_order_relaxed); }
    void beginWait() { m_waiting.fetch_add(1, std::memory_order_relaxed); }
    std::uint32_t waiting() const { return m_waiting.load(std::memory_order_relaxed); }
    void endWait() { m_waiting.fetch_sub(1, std::memory_order_relaxed); }

    RateRefusal refusalClass(TimePoint now) const;

    /// Takes over a share that ends at `leaseExpiry`. A bucket whose earlier share has expired
    /// restarts empty. Returns true if the share reduces the bucket: the node then reports within
    /// kReducedShareReport, unless the team is over its rate.
    bool applyShare(const RateShare &share, TimePoint leaseExpiry, TimePoint now);

    /// Extends the share in force, as a RateGrant with `renewal` asks; does nothing if it has
    /// expired. Control thread only.
    void renewShare(const RateShare &share, TimePoint leaseExpiry, TimePoint now);

    /// Demand since the last call, for the next report.
    TeamDemand takeDemand(const TeamId &team, TimePoint now);

    /// The node should report before the period ends: the traffic has stopped and others may need
    /// the share. Control thread only; polled every kEarlyReportInterval or more often.
    bool wantsEarlyReport(TimePoint now);

private:
    /// One generation of the share. Written before the generation is published in m_word.
    struct Parameters
    {
        std::atomic<std::int64_t> microTokensPerSecond { 0 };
        std::atomic<std::int64_t> depthMicroTokens { 0 };
        std::atomic<std::int64_t> expires { 0 };
        std::atomic<std::int64_t> refilledAt { 0 };
        std::atomic<bool> teamWithinRate { true };
    };

    bool takeFromShare(TimePoint now);
    bool takeGranted(TimePoint now);
    void noteQuiet(TimePoint now);
    const Parameters &parametersOf(std::uint64_t word) const;
    Parameters &parametersOf(std::uint64_t word);
    void refill(TimePoint now);

    /// Generation of the share in the upper 16 bits, microtokens in the lower 48. A refill
    /// computed for an earlier generation does not match and is dropped.
    std::atomic<std::uint64_t> m_word { 0 };
    std::array<Parameters, 2> m_parameters;
    std::atomic<std::uint64_t> m_arrivals { 0 };
    /// Tokens granted by themselves in the upper 16 bits, microseconds of their expiry below.
    std::atomic<std::uint64_t> m_granted { 0 };
    std::atomic<std::int64_t> m_deniedUntil { 0 };
    std::atomic<std::uint32_t> m_waiting { 0 };
    // Control thread only.
    std::uint64_t m_lastGrant = 0;
    double m_returnedTokens = 0;
    TimePoint m_windowStart;
    std::uint64_t m_windowArrivals = 0;
    double m_lastRate = 0;
    /// No request has arrived since.
    TimePoint m_quietSince;
    std::uint64_t m_quietArrivals = 0;
    bool m_stopped = false;
};

} // namespace shallotlever
