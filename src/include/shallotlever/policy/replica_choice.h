#pragma once

#include <deque>
#include <map>
#include <optional>
#include <span>
#include <vector>

#include "shallotlever/base/ids.h"
#include "shallotlever/base/random.h"
#include "shallotlever/base/time.h"
#include "shallotlever/types/fleet.h"
#include "shallotlever/types/history.h"

namespace shallotlever {

/// Position of the primary's log at a known time.
struct PrimaryObservation
{
    /// Time the status request was sent, not answered: the reported position includes everything
    /// written before it.
    TimePoint sentAt;
    HistoryPoint point;
};

/// Recent log positions of the current primary, oldest first.
struct PrimaryHistory
{
    std::deque<PrimaryObservation> observations;
    /// Fault injection for tests: judges a replica by its average lag instead of the known
    /// positions.
    bool useAverageLag = false;
    double averageLagUs = 0;
};

/// Adds an observation of the current primary (role primary, term of the group view). Drops
/// observations of earlier terms and those older than ten minutes.
void recordPrimaryObservation(PrimaryHistory &history, const PrimaryObservation &observation);

/// Upper bound on the age of the data at `point`: the time since the last observation of the
/// primary that `point` has reached. nullopt if there is none or the term differs.
std::optional<Duration> stalenessBound(const PrimaryHistory &history, const HistoryPoint &point,
                                       TimePoint now);

enum class Distance : std::uint8_t { SameDataCentre, SameRegion, Other };

/// Regions by data centre, from the settings. A data centre that is not listed shares its region
/// with no other.
using RegionMap = std::map<DataCentreId, RegionId>;
Distance distanceBetween(const DataCentreId &a, const DataCentreId &b, const RegionMap &regions);

/// Observed state of one upstream, as seen from this node.
struct UpstreamObservation
{
    UpstreamId id;
    std::optional<HistoryPoint> point;
    /// Time the status request that returned `point` was sent.
    TimePoint pointRequestedAt;
    /// Log positions applied per second, recent average; 0 if unknown.
    double applyRate = 0;
    /// Round trip plus service time, recent average.
    Duration latency { 0 };
    /// First and second moment of the service time of a statement in the database, in seconds and
    /// seconds squared.
    double serviceMean = 0;
    double serviceSecondMoment = 0;
    std::uint32_t inFlight = 0;
    /// Number of connections this node may use (its SlotShare).
    std::uint32_t slots = 1;
    /// False while upstream_health.h ejects the upstream.
    bool healthy = true;
    /// Weight from 0 to 1; below 1 during slow start after an ejection.
    double weight = 1;
};

/// State that the choice of an upstream depends on.
struct ReadContext
{
    const GroupView *group = nullptr;
    DataCentreId ownDataCentre;
    const RegionMap *regions = nullptr;
    const PrimaryHistory *primaryHistory = nullptr;
    std::span<const UpstreamObservation> observations;
    /// Reads per second that this node sends to the group; used by pickProbabilistic().
    double readsPerSecond = 0;
};

struct ReadRequirements
{
    /// Position that the session must see; unset for open routes and new sessions.
    std::optional<HistoryPoint> token;
    /// Maximum staleness of the data; unset if any is acceptable.
    std::optional<Duration> maxStaleness;
    bool openRoute = false;
    /// Upstreams that this request has already tried.
    std::vector<UpstreamId> exclude;
    /// Time the request has already waited for a replica to catch up, and its limit,
    /// PresetPolicy::catchUpWait.
    Duration waited { 0 };
    Duration catchUpWait { 0 };
};

struct ReadChoice
{
    enum class Kind : std::uint8_t {
        UseReplica,
        UsePrimary,
        /// The caller calls chooseUpstream() again after `wait`.
        Wait,
        /// The caller refuses the request with NoFreshReplica or NoUpstream.
        Refuse,
    };
    Kind kind = Kind::Refuse;
    UpstreamId upstream;
    Duration wait { 0 };
    /// Upper bound on the age of the data against the current primary; unset if unknown.
    std::optional<Duration> staleness;
    /// Set if an open route is served with data older than its maximum staleness.
    bool degraded = false;
    /// At least one upstream of the group is usable, though perhaps not for this request.
    bool anyUsable = false;
};

/// A replica that satisfies the requirements of the request.
struct ReadCandidate
{
    const UpstreamObservation *observation = nullptr;
    Distance distance = Distance::Other;
    std::optional<Duration> staleness;
};

/// Returns the index of one of the candidates, of which there is at least one.
using ReplicaPicker = std::size_t (*)(std::span<const ReadCandidate> candidates,
                                      double readsPerSecond, Random &random);

/// Picks the less loaded of two random candidates (power of two choices, weighted by capacity) at
/// each distance, and a farther one only if it is clearly faster than the nearer.
std::size_t pickLeastLoadedOfTwo(std::span<const ReadCandidate>, double, Random &);
/// Picks the nearest candidate, and the one with the lowest latency among equally near ones.
std::size_t pickNearest(std::span<const ReadCandidate>, double, Random &);
/// Draws a candidate with the probabilities of splitReads().
std::size_t pickProbabilistic(std::span<const ReadCandidate>, double, Random &);

/// `policy_experiment --scenario replica_choice` compares the pickers.
extern const ReplicaPicker kDefaultReplicaPicker;

ReadChoice chooseUpstream(const ReadContext &context, const ReadRequirements &requirements,
                          TimePoint now, Random &random,
                          ReplicaPicker picker = kDefaultReplicaPicker);

} // namespace shallotlever
