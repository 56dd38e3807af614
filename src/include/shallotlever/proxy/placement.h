#pragma once

#include <cstdint>
#include <optional>
#include <set>
#include <span>
#include <string_view>
#include <vector>

#include "shallotlever/base/time.h"
#include "shallotlever/policy/even_choice.h"
#include "shallotlever/types/fleet.h"

/// Selects the database for a statement and limits how many statements a node runs on a database
/// concurrently. Designed for many small reads over databases that differ in network distance,
/// load and speed.
namespace shallotlever {

/// Weight of a new sample in the exponentially weighted moving average of service times.
constexpr double kServiceTimeWeight = 0.1;
/// An average older than this is replaced by kInitialServiceTime, so that the database is tried
/// again.
constexpr Duration kMaxServiceTimeAge = 2s;
/// Service time assumed until the first measurement.
constexpr Duration kInitialServiceTime = 20ms;
/// Time to open a connection assumed until the first measurement.
constexpr Duration kInitialOpenTime = 30ms;
/// Factor applied to the time to open a connection, because opening one also occupies a slot of the
/// database.
constexpr int kOpenTimeCostFactor = 2;
/// A database that refused a statement, for example because it had no free slot or lagged, is not
/// selected for this long while another one can serve.
constexpr Duration kRefusalCooldown = 100ms;
/// Factor applied to the expected response time of the primary, to keep it free for writes, which
/// only it can run.
constexpr double kPrimaryCostFactor = 1.25;

/// Bounds of the concurrency window, in statements.
constexpr double kInitialWindow = 8;
constexpr double kMinWindow = 1;
constexpr double kMaxWindow = 64;
/// Statements that the owner of a database's connections sends in excess of its slots, so that a
/// slot that becomes free need not wait for a round trip.
constexpr double kOwnerWindowHeadroom = 1;
/// Additive increase after as many successful statements as the window is large.
constexpr double kWindowIncrement = 0.25;
/// Multiplicative decrease after a refusal, applied at most once per interval: refusals of
/// statements that were sent together count as one congestion event.
constexpr double kWindowDecreaseFactor = 0.6;
constexpr Duration kMinWindowDecreaseInterval = 50ms;

/// Load and reachability of one database as observed by this node.
struct UpstreamLoad
{
    UpstreamId id;
    UpstreamState state = UpstreamState::Live;
    bool primary = false;
    std::uint32_t slots = 1;
    /// Maximum number of connections of this node; leased to it by the controller.
    std::uint32_t leasedConnections = 0;
    /// Statements that hold a connection to the database or wait for one: all of them, as of the
    /// last report of its owner, or those at this node if it holds connections itself.
    std::uint32_t outstanding = 0;
    /// Recent mean of `outstanding`.
    double meanOutstanding = 0;
    /// Age of `outstanding`; 0 if this node holds the connections.
    Duration figureAge { 0 };
    /// Statements of this node that were sent to another owner after its report.
    std::uint32_t sentSinceReport = 0;
    /// Statements of this node that another owner has not answered.
    std::uint32_t pending = 0;
    /// False after a failure, until the database responds again.
    bool reachable = true;
    /// No idle connection is available; opening one takes openTime.
    bool needsConnection = false;
    Duration openTime = kInitialOpenTime;
    Duration roundTrip { 0 };
    Duration serviceTime = kInitialServiceTime;
    TimePoint serviceTimeUpdatedAt;
    TimePoint avoidUntil;
};

/// Adaptive limit on the statements that this node runs concurrently on one database. Several nodes
/// may share a database with few slots and a short queue, and none of them sees the load of the
/// others. The limit therefore follows AIMD congestion control: it shrinks when the database
/// refuses a statement because no slot is free, and grows slowly with successful responses.
struct ConcurrencyWindow
{
    double size = kInitialWindow;
    double maxSize = kMaxWindow;
    TimePoint lastDecreaseAt;
};
/// Sets the maximum size, and the size to it. Does nothing if it is unchanged.
void setMaxWindow(ConcurrencyWindow &window, double maxSize);
void recordWindowSuccess(ConcurrencyWindow &window);
void recordWindowRefusal(ConcurrencyWindow &window, TimePoint now);
inline bool windowHasCapacity(const ConcurrencyWindow &window, std::uint32_t running)
{
    return static_cast<double>(running) < window.size;
}

/// Adds a sample to the moving average; `elapsed` is the response time including the network round
/// trip.
void recordServiceTime(UpstreamLoad &load, Duration elapsed, TimePoint now);

/// Expected response time of one more statement, weighted by kOpenTimeCostFactor and
/// kPrimaryCostFactor.
Duration expectedResponseTime(const UpstreamLoad &load, TimePoint now);

/// Another node is given at most this much less time than is left, so that its answer arrives
/// before the deadline.
constexpr Duration kMaxAnswerMargin = 60ms;
/// Time that another node may take for a statement, so that its answer arrives while `timeLeft`
/// lasts. nullopt if that is too short for a statement whose outcome `mustBeKnown`.
std::optional<Duration> forwardedTimeLimit(Duration timeLeft, bool mustBeKnown);

/// Why a database is not considered for a statement.
enum class LeftOut : std::uint8_t {
    No,
    NotLive,
    Unreachable,
    NoConnections,
    NotPrimary,
    AlreadyTried,
    /// It refused a statement a moment ago, and another one can serve.
    RecentRefusal,
    Count,
};
std::string_view leftOutName(LeftOut reason);

/// A database as it is weighed for one statement.
struct PlacementCandidate
{
    UpstreamId id;
    LeftOut leftOut = LeftOut::No;
    LoadFigure figure;
    /// Probability that the statement is sent to it; 0 if it is left out.
    double share = 0;
};

/// Weighs all databases for a statement, with evenShares() over those that can serve. Without
/// `allowReplicas` only the primary is considered. Has no side effect.
std::vector<PlacementCandidate> weighUpstreams(std::span<const UpstreamLoad> loads,
                                               bool allowReplicas,
                                               const std::set<UpstreamId> &excluded, TimePoint now);

/// The candidate whose share contains `chance`, from 0 to below 1; nullptr if none can serve.
const PlacementCandidate *drawCandidate(std::span<const PlacementCandidate> candidates,
                                        double chance);

/// Ratio of the largest number of outstanding statements per slot to the mean, over the candidates
/// that are not left out. nullopt for fewer than two, or if they have less than one statement each
/// on average: the ratio means nothing then.
std::optional<double> unevenness(std::span<const PlacementCandidate> candidates);

} // namespace shallotlever
