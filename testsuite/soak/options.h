#pragma once

#include <chrono>
#include <cstdint>
#include <string>

namespace shallotlever::soak {

/// Time since the start of the run.
using RunTime = std::chrono::milliseconds;

enum class PlanKind : std::uint8_t {
    /// All processes are killed at once and start again.
    KillAll,
    /// As KillAll, and two control members lose their data directories.
    KillAllLoseTwo,
    /// The control members are killed at once and start again.
    KillControl,
    /// As KillControl, and KillAllLoseTwo half a minute later.
    KillControlThenAll,
    /// Processes are stopped two at a time and start again, while configurations change.
    Roll,
    /// Processes are suspended in turns, then all are killed.
    FreezeThenKillAll,
    /// A sequence of the above, chosen by the seed.
    Mixed,
    /// Primaries go dark or leave, the controller is suspended or killed, and the platform is slow,
    /// down or cut off, all at about the same time.
    Deciders,
};

enum class BrokenVariant : std::uint8_t {
    None,
    /// The databases lose commits that they have acknowledged.
    LostCommits,
    /// The control members don't start again after the last fault.
    NoRecovery,
    /// Stopped processes are killed after a tenth of a second.
    CutAtStop,
    /// A promotion with an old fence arrives at the platform once more.
    LatePromotion,
    /// The platform promotes the database with the shortest log.
    ShortestLog,
    /// The platform accepts calls for promotions and promotes nothing.
    NoPromotion,
    /// The databases run a prepared statement as another one.
    WrongShape,
    /// The databases keep the session variables of a connection's former session.
    KeptValues,
    /// The databases run the statements of transactions outside of any.
    NoTransactions,
};

struct SoakOptions
{
    std::uint64_t seed = 1;
    PlanKind plan = PlanKind::Mixed;
    BrokenVariant broken = BrokenVariant::None;
    /// Check that has to notice the broken variant; empty without one.
    std::string detectedBy;
    /// Of the plan Deciders.
    int rounds = 4;
    int controlMembers = 6;
    int toleratedLosses = 2;
    int fronts = 8;
    int services = 2;
    int sessions = 60;
    int ratePerSecond = 200;
    int dataCentres = 6;
    /// Second number of all addresses: 127.N.x.y.
    int subnet = 77;
    std::string program;
    /// Logs and data directories.
    std::string directory;
};

} // namespace shallotlever::soak
