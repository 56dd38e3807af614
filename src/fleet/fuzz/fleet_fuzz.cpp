#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <string>

#include "simulation.h"

/// Runs the simulation for a number of seeds. Exit status 0 if the verdict is the expected one:
/// no violation for variant `none`, a violation forevery other variant.
///
///     fleet_fuzz [--seed N] [--runs N] [--steps N] [--variant NAME]
namespace {

using namespace shallotlever::fuzz;

struct Options
{
    std::uint64_t seed = 1;
    std::uint64_t runs = 20;
    std::uint64_t steps = 4000;
    std::string variant = "none";
};

bool parse(int argc, char **argv, Options &options)
{
    for (int i = 1; i + 1 < argc; i += 2) {
        const std::string name = argv[i];
        if (name == "--seed")
            options.seed = std::strtoull(argv[i + 1], nullptr, 10);
        else if (name == "--runs")
            options.runs = std::strtoull(argv[i + 1], nullptr, 10);
        else if (name == "--steps")
            options.steps = std::strtoull(argv[i + 1], nullptr, 10);
        else if (name == "--variant")
            options.variant = argv[i + 1];
        else
            return false;
    }
    return argc % 2 == 1;
}

/// Returns whether the run found a violation.
bool run(const Options &options, Variant variant, std::uint64_t seed)
{
    Simulation simulation(seed, variant);
    constexpr std::uint64_t kStepsBetweenRepairs = 1000;
    for (std::uint64_t i = 1; i <= options.steps && simulation.violations().empty(); ++i) {
        simulation.stepWithFailures();
        if (i % kStepsBetweenRepairs == 0 || i == options.steps)
            simulation.healAndRecover();
    }
    std::printf("seed %llu: %zu writes acknowledged, %zu changes of primary, %zu voting set "
                "changes, %zu reads\n",
                static_cast<unsigned long long>(seed), simulation.acknowledged(),
                simulation.changes(), simulation.votingSetChanges(), simulation.reads());
    for (const std::string &violation : simulation.violations())
        std::printf("  violation %s\n", violation.c_str());
    return !simulation.violations().empty();
}

} // namespace

int main(int argc, char **argv)
{
    Options options;
    const bool parsed = parse(argc, argv, options);
    const auto variant = variantFromName(options.variant);
    if (!parsed || !variant) {
        std::fputs("usage: fleet_fuzz [--seed N] [--runs N] [--steps N] [--variant NAME]\n",
                   stderr);
        return 2;
    }
    bool violated = false;
    for (std::uint64_t i = 0; i < options.runs && !violated; ++i)
        violated = run(options, *variant, options.seed + i);
    const bool expected = *variant != Variant::None;
    std::puts(violated ? "verdict: violated" : "verdict: holds");
    return violated == expected ? 0 : 1;
}
