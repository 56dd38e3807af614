#include <cstdio>
#include <map>

#include <docopt/docopt.h>
#include <fmt/format.h>

#include "simulation.h"

namespace {

constexpr const char *kUsage =
    R"(Fuzzes the control plane: control group, controller, nodes and databases.

Usage:
  cluster_fuzz [--seed=N] [--runs=N] [--steps=N] [--fault=NAME]

Options:
  --seed=N     First seed [default: 1].
  --runs=N     Runs, each with the next seed [default: 1].
  --steps=N    Steps of 5 ms per run [default: 12000].
  --fault=NAME Broken variant that must be detected in one of the runs:
               in-force-at-commit, forget-predecessor, grant-at-once, lease-without-quorum,
               view-only, forget-evacuations.
)";

using shallotlever::fuzz::Simulation;
using shallotlever::fuzz::SimulationOptions;
using shallotlever::fuzz::SimulationReport;
using shallotlever::fuzz::Violation;

bool setFault(SimulationOptions &options, const std::string &name)
{
    const std::map<std::string, bool *> switches {
        { "in-force-at-commit", &options.inForceAtCommit },
        { "forget-predecessor", &options.forgetPredecessor },
        { "grant-at-once", &options.grantAtOnce },
        { "lease-without-quorum", &options.control.leaseWithoutQuorum },
        { "view-only", &options.viewOnly },
        { "forget-evacuations", &options.forgetEvacuations },
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
        fmt::print("seed {}: {} changes, {} terms in office, {} crashes, {} disks lost, {} leases, "
                   "{} admitted, {} primaries set, {} writes acknowledged; after the last fault "
                   "controller {} ms, all leases {} ms, in force {} ms\n",
                   options.seed, r.changes, r.offices, r.crashes, r.disksLost, r.leases, r.admitted,
                   r.primaries, r.acknowledged, r.controllerMs, r.leasesMs, r.inForceMs);
        return true;
    } catch (const Violation &violation) {
        fmt::print("seed {}: VIOLATION at {} ms: {}\n", options.seed, simulation.elapsedMs(),
                   violation.what());
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
