#pragma once

#include <cstdint>
#include <optional>
#include <set>
#include <span>

#include "shallotlever/base/time.h"
#include "shallotlever/types/fleet.h"

/// Chooses the database for a read, and how many statements a node sends to a database at a time.
/// Answers the load pattern of many small reads over databases at different distances, of which
/// some are busier or slower than others.
namespace shallotlever {

/// Weight of an answer in the moving average of service times.
constexpr double kServiceTimeWeight = 0.1;
/// An average older than this is not trusted; the database is tried again.
constexpr Duration kServiceTimeAge = 2s;
/// Assumed before the first answer.
constexpr Duration kInitialServiceTime = 20ms;
/// Assumed time to open a connection before the first was opened.
constexpr Duration kInitialOpenTime = 30ms;
/// Opening a connection costs a slot of the database as well as time.
constexpr int kOpenCost = 2;
/// A database that had no free slot or lagged gets no reads for this long, if others can serve.
constexpr Duration kAvoidAfterRefusal = 100ms;
/// Reads at the primary count as this much more expensive, since only it can run writes.
constexpr double kPrimaryCost = 1.25;

constexpr double kInitialWindow = 8;
constexpr double kSmallestWindow = 1;
constexpr double kLargestWindow = 64;
/// Growth by as many answers as the window is large.
constexpr double kWindowGrowth = 0.25;
/// Factor by which a refusal shrinks the window, at most once per interval: refusals of statements
/// that were sent together are one event.
constexpr double kWindowShrink = 0.6;
constexpr Duration kWindowShrinkInterval = 50ms;

/// What a node knows about one database.
struct UpstreamLoad
{
    UpstreamId id;
    UpstreamState state = UpstreamState::Live;
    bool primary = false;
    std::uint32_t slots = 1;
    /// Connections that this node may have.
    std::uint32_t connections = 0;
    /// Statements of this node that run or wait there.
    std::uint32_t outstanding = 0;
    /// False after a failure, until it answers again.
    bool reachable = true;
    /// A connection must be opened first, which takes openTime.
    bool needsConnection = false;
    Duration openTime = kInitialOpenTime;
    Duration roundTrip { 0 };
    Duration serviceTime = kInitialServiceTime;
    TimePoint serviceTimeAt;
    TimePoint avoidUntil;
};

/// Statements of this node that may run at one database at a time. Answers the load pattern of
/// many nodes before a database with few slots and a short queue, none of which sees the others'
/// statements: the window shrinks when the database refuses for want of a slot, and grows slowly
/// with its answers.
struct SendWindow
{
    double size = kInitialWindow;
    TimePoint shrunkAt;
};
void noteWindowAnswer(SendWindow &window);
void noteWindowRefusal(SendWindow &window, TimePoint now);
inline bool windowOpen(const SendWindow &window, std::uint32_t running)
{
    return static_cast<double>(running) < window.size;
}

/// Takes an answer into account; `elapsed` includes the round trip.
void noteServiceTime(UpstreamLoad &load, Duration elapsed, TimePoint now);

/// Expected time until the answer to one more read.
Duration expectedAnswer(const UpstreamLoad &load, TimePoint now);

/// Database with the shortest expected answer; nullopt if none can serve. Without `replicas` only
/// the primary can.
std::optional<UpstreamId> placeRead(std::span<const UpstreamLoad> loads, bool replicas,
                                    const std::set<UpstreamId> &excluded, TimePoint now);

} // namespace shallotlever
