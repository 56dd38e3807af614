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

/// What the primary's log had reached at a known time.
struct PrimaryObservation
{
    /// Time the status request was SENT: the answer contains everything written before it.
    TimePoint at;
    HistoryPoint point;
};

/// Recent positions of the primary in office, oldest first.
struct PrimaryHistory
{
    std::deque<PrimaryObservation> observations;
    /// Fault for tests: judges a replica by its average lag instead of what is known now.
    bool averageStaleness = false;
    double averageLagUs = 0;
};

/// Adds an observation of the primary in office (role primary, term of the group view). Forgets
/// earlier terms, and observations older than ten minutes.
void observePrimary(PrimaryHistory &history, const PrimaryObservation &observation);

/// Upper bound on the age of the data at `point`: time since an observation of the primary that
/// the replica has reached. nullopt if none is known or the term differs.
std::optional<Duration> stalenessBound(const PrimaryHistory &history, const HistoryPoint &point,
                                       TimePoint now);

enum class Distance : std::uint8_t { SameDataCentre, SameRegion, Other };

/// Regions by data centre, from the settings. A data centre that is not listed is its own region.
using RegionMap = std::map<DataCentreId, RegionId>;
Distance distanceBetween(const DataCentreId &a, const DataCentreId &b, const RegionMap &regions);

/// What this node knows of one upstream.
struct UpstreamObservation
{
    UpstreamId id;
    std::optional<HistoryPoint> point;
    /// Time the status request that returned `point` was sent.
    TimePoint pointAt;
    /// Log positions applied per second, recent average; 0 if unknown.
    double applyRate = 0;
    /// Round trip plus service time, recent average.
    Duration latency { 0 };
    /// First and second moment of the time of a statement inside the database, in seconds.
    double serviceMean = 0;
    double serviceSecondMoment = 0;
    std::uint32_t inFlight = 0;
    /// Connections this node may use there (its SlotShare).
    std::uint32_t slots = 1;
    /// From upstream_health; false while ejected.
    bool healthy = true;
    /// Weight during gradual return, 0 to 1.
    double weight = 1;
};

/// Everything a choice depends on.
struct ReadSituation
{
    const GroupView *group = nullptr;
    DataCentreId ownDataCentre;
    const RegionMap *regions = nullptr;
    const PrimaryHistory *primaryHistory = nullptr;
    std::span<const UpstreamObservation> observations;
    /// Reads per second this node sends to the group; used by the probabilistic split.
    double readsPerSecond = 0;
};

struct ReadNeed
{
    /// The session's token; unset for open routes and new sessions.
    std::optional<HistoryPoint> token;
    /// Stated age; unset accepts any age.
    std::optional<Duration> maxStaleness;
    bool openRoute = false;
    /// Upstreams already tried by this request.
    std::vector<UpstreamId> exclude;
    /// Time spent waiting for a replica so far, and PresetPolicy::catchUpWait.
    Duration waited { 0 };
    Duration catchUpWait { 0 };
};

struct ReadChoice
{
    enum class Kind : std::uint8_t {
        UseReplica,
        UsePrimary,
        /// Ask again after `wait`.
        Wait,
        /// Refuse with NoFreshReplica or NoUpstream.
        Refuse,
    };
    Kind kind = Kind::Refuse;
    UpstreamId upstream;
    Duration wait { 0 };
    /// Known bound of the age of the answer, against the primary in office; unset if unknown.
    std::optional<Duration> staleness;
    /// Open route served with data older than its stated age.
    bool degraded = false;
    /// At least one upstream of the group is usable, though not for this request.
    bool anyUsable = false;
};

/// A replica that may serve the request.
struct ReadCandidate
{
    const UpstreamObservation *observation = nullptr;
    Distance distance = Distance::Other;
    std::optional<Duration> staleness;
};

/// Picks one of the candidates (at least one); returns its index.
using ReplicaPicker = std::size_t (*)(std::span<const ReadCandidate> candidates,
                                      double readsPerSecond, Random &random);

/// Per distance, least loaded of two random choices weighted by slots; a farther one only if it is
/// clearly faster than the nearer.
std::size_t pickLeastLoadedOfTwo(std::span<const ReadCandidate>, double, Random &);
/// Nearest; lowest latency among equals.
std::size_t pickNearest(std::span<const ReadCandidate>, double, Random &);
/// Probabilities from splitReads.
std::size_t pickProbabilistic(std::span<const ReadCandidate>, double, Random &);

/// Chosen by the experiment `policy_experiment --scenario replica_choice`.
extern const ReplicaPicker kDefaultReplicaPicker;

ReadChoice chooseUpstream(const ReadSituation &situation, const ReadNeed &need, TimePoint now,
                          Random &random, ReplicaPicker picker = kDefaultReplicaPicker);

} // namespace shallotlever
