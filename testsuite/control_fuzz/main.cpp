#include <cstdio>
#include <map>

#include <docopt/docopt.h>
#include <fmt/format.h>

#include "simulation.h"

namespace {

constexpr const char *kUsage = R"(Fuzzes the control group against an oracle.

Usage:
  control_fuzz [--seed=N] [--runs=N] [--steps=N] [--members=N] [--fault=NAME]
               [--isolation] [--full-disks]

Options:
  --seed=N     First seed [default: 1].
  --runs=N     Runs, each with the next seed [default: 1].
  --steps=N    Steps of 5 ms per run [default: 20000].
  --members=N  Members of the group [default: 3].
  --fault=NAME Broken variant that must be detected in one of the runs:
               ack-before-sync, vote-after-disk-loss, no-pre-vote, lease-without-quorum,
               install-drops-evacuations, snapshot-drops-evacuations.
  --isolation  The only faults are cut links of one follower at a time; the term must not
               change then.
  --full-disks  The only faults are disks that are full for up to 8 s, one at a time; changes
               must be committed all the time.
)";

using shallotlever::fuzz::Simulation;
using shallotlever::fuzz::SimulationOptions;
using shallotlever::fuzz::SimulationReport;
using shallotlever::fuzz::Violation;

bool setFault(SimulationOptions &options, const std::string &name)
{
    const std::map<std::string, bool *> switches {
        { "ack-before-sync", &options.faults.ackBeforeSync },
        { "vote-after-disk-loss", &options.keepIdentity },
        { "no-pre-vote", &options.faults.noPreVote },
        { "lease-without-quorum", &options.faults.leaseWithoutQuorum },
        { "install-drops-evacuations", &options.installDropsEvacuations },
        { "snapshot-drops-evacuations", &options.snapshotDropsEvacuations },
    };
    const auto found = switches.find(name);
    if (found == switches.end())
        return false;
    *found->second = true;
    return true;
}

/// False if a property was broken.
bool runOnce(const SimulationOptions &options)
{
    Simulation simulation(options);
    try {
        const SimulationReport r = simulation.run();
        fmt::print("seed {}: {} entries, {} changes accepted, {} crashes, {} disks lost, "
                   "{} snapshots installed, {} transfers, {} terms\n",
                   options.seed, r.committed.value(), r.changesAccepted, r.crashes, r.disksLost,
                   r.snapshotsInstalled, r.transfers, r.terms);
        return true;
    } catch (const Violation &violation) {
        fmt::print("seed {}: VIOLATION: {}\n", options.seed, violation.what());
        simulation.describe();
        return false;
    }
}

} // namespace

int main(int argc, char **argv)
{
    const auto args = docopt::docopt(kUsage, { argv + 1, argv + argc });
    SimulationOptions options;
    options.seed = static_cast<std::uint64_t>(args.at("--seed").asLong());
    options.steps = static_cast<std::uint64_t>(args.at("--steps").asLong());
    options.members = static_cast<std::size_t>(args.at("--members").asLong());
    options.isolationOnly = args.at("--isolation").asBool();
    options.fullDisksOnly = args.at("--full-disks").asBool();
    const bool expectViolation = args.at("--fault").isString();
    if (expectViolation && !setFault(options, args.at("--fault").asString())) {
        fmt::print(stderr, "unknown fault\n");
        return 2;
    }
    for (long run = args.at("--runs").asLong(); run > 0; --run, ++options.seed) {
        if (!runOnce(options))
            return expectViolation ? 0 : 1;
    }
    return expectViolation ? 1 : 0;
}
