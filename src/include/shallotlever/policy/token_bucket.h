#pragma once

#include <array>
#include <atomic>
#include <cstdint>
#include <optional>

#include "shallotlever/base/due.h"
#include "shallotlever/types/shares.h"

namespace shallotlever {

/// Interval between regular reports of a node.
inline constexpr Duration kReportInterval = 500ms;
/// Minimum interval between early reports of a node.
inline constexpr Duration kEarlyReportInterval = 100ms;
/// Delay from a report to the one that confirms a reduced share, after which the controller can
/// grant the difference to other nodes. It is not sent at once because shares change slightly with
/// each lease.
inline constexpr Duration kReducedShareReportDelay = 250ms;

/// Whether a refused request was within the team's cluster-wide rate, judged by the last share.
/// Refusals within the rate are caused by the proxy, not by the team.
enum class RateRefusal : std::uint8_t { InsideRate, OverRate };

/// Token bucket of one team at one node. tryTake, timeUntilToken, refusalClass and the waiting
/// counters are lock-free and may be called from any thread; applyShare and takeDemand are called
/// by the control thread only.
class TokenBucket
{
public:
    /// Takes a single token or one of the share; returns false if there is none.
    bool tryTake(TimePoint now);

    /// Adds single tokens (token_grants.h) that may be spent until `expires`. Control thread only.
    void addTokens(std::uint32_t tokens, TimePoint expires, TimePoint now);
    /// Records that the controller has no token for this node until then. Control thread only.
    void setDeniedUntil(TimePoint until);
    /// Time for which the controller is known to have no token, if any; requests need not wait
    /// then.
    std::optional<Duration> deniedFor(TimePoint now) const;
    /// Whether to request single tokens. The controller has none while it denies them, or while the
    /// node's share belongs to a team over its rate, whose whole rate is leased.
    bool mayRequestTokens(TimePoint now) const;

    /// Time until the share may yield a token, which another thread may take first. nullopt if only
    /// the controller can grant one: the caller then waits while the node requests a single token.
    std::optional<Duration> timeUntilToken(TimePoint now) const;

    /// Counts a request, admitted or not. Call it once per request, before tryTake.
    void countArrival() { m_arrivals.fetch_add(1, std::memory_order_relaxed); }
    /// Number of requests counted since the process started.
    std::uint64_t arrivals() const { return m_arrivals.load(std::memory_order_relaxed); }
    void beginWait() { m_waiting.fetch_add(1, std::memory_order_relaxed); }
    std::uint32_t waiting() const { return m_waiting.load(std::memory_order_relaxed); }
    void endWait() { m_waiting.fetch_sub(1, std::memory_order_relaxed); }

    RateRefusal refusalClass(TimePoint now) const;

    /// Applies a share that is valid until `leaseExpiry`. A bucket whose previous share has expired
    /// restarts empty. Returns true if the share is smaller than the previous one: the node then
    /// reports within kReducedShareReportDelay, unless the team is over its rate.
    bool applyShare(const RateShare &share, TimePoint leaseExpiry, TimePoint now);

    /// Extends the share in force, for a RateGrant with `renewal`; does nothing if it has expired.
    /// Control thread only.
    void renewShare(const RateShare &share, TimePoint leaseExpiry, TimePoint now);

    /// Returns the demand since the last call, for the next report.
    TeamDemand takeDemand(const TeamId &team, TimePoint now);

    /// Whether the node should report before the regular interval ends, because the traffic has
    /// stopped and other nodes may need the share. Control thread only; polled every
    /// kEarlyReportInterval or more often while requests arrive, and when earlyReportDue() says.
    bool needsEarlyReport(TimePoint now);
    /// When needsEarlyReport() returns true if no request arrives; kNever if it does not. Control
    /// thread only.
    TimePoint earlyReportDue(TimePoint now);

private:
    /// Parameters of one generation of the share. Written before the generation is published in
    /// m_shareState.
    struct Parameters
    {
        std::atomic<std::int64_t> microTokensPerSecond { 0 };
        std::atomic<std::int64_t> depthMicroTokens { 0 };
        std::atomic<std::int64_t> expires { 0 };
        std::atomic<std::int64_t> refilledAt { 0 };
        std::atomic<bool> teamWithinRate { true };
    };

    bool takeFromShare(TimePoint now);
    bool takeGrantedToken(TimePoint now);
    void updateIdleState(TimePoint now);
    const Parameters &parametersOf(std::uint64_t word) const;
    Parameters &parametersOf(std::uint64_t word);
    void refill(TimePoint now);

    /// Generation of the share in the upper 16 bits, microtokens in the lower 48. A refill computed
    /// for an earlier generation fails its compare-and-swap and is dropped.
    std::atomic<std::uint64_t> m_shareState { 0 };
    std::array<Parameters, 2> m_parameters;
    std::atomic<std::uint64_t> m_arrivals { 0 };
    /// Number of single tokens in the upper 16 bits, their expiry in microseconds in the lower 48.
    std::atomic<std::uint64_t> m_grantedState { 0 };
    std::atomic<std::int64_t> m_deniedUntil { 0 };
    std::atomic<std::uint32_t> m_waiting { 0 };
    // Control thread only.
    std::uint64_t m_lastGrant = 0;
    double m_returnedTokens = 0;
    TimePoint m_windowStart;
    std::uint64_t m_windowArrivals = 0;
    double m_lastRate = 0;
    /// No request has arrived since this time.
    TimePoint m_idleSince;
    std::uint64_t m_arrivalsWhenIdle = 0;
    bool m_trafficStopped = false;
};

} // namespace shallotlever
