#include <cstdio>
#include <cstdlib>
#include <string>

#include "confirmed_simulation.h"

/// Runs the simulation for a number of seeds. Exit status 0 if the verdict is the expected one:
/// no violation for variant `none`, a violation for every other variant.
///
///     confirmed_fuzz [--seed N] [--runs N] [--steps N] [--variant NAME]
namespace {

using namespace shallotlever::fuzz;

struct Options
{
    std::uint64_t seed = 1;
    std::uint64_t runs = 200;
    std::uint64_t steps = 4000;
    std::string variant = "none";
};

struct Totals
{
    std::size_t recovered = 0;
    std::size_t recoveries = 0;
    std::size_t changes = 0;
    std::size_t refusals = 0;
    std::size_t unusablePromoted = 0;
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
bool run(const Options &options, ConfirmedVariant variant, std::uint64_t seed, Totals &totals)
{
    ConfirmedSimulation simulation(seed, variant);
    constexpr std::uint64_t kStepsBetweenRepairs = 1000;
    for (std::uint64_t i = 1; i <= options.steps && simulation.violations().empty(); ++i) {
        simulation.stepWithFailures();
        if (i % kStepsBetweenRepairs != 0)
            continue;
        ++totals.recoveries;
        // Commits that are lost with every process that held them are waited for.
        if (!simulation.healAndRecover())
            break;
        ++totals.recovered;
    }
    totals.changes += simulation.changes();
    totals.refusals += simulation.refusals();
    totals.unusablePromoted += simulation.unusablePromoted();
    if (simulation.violations().empty())
        return false;
    std::printf("seed %llu: %s\n", static_cast<unsigned long long>(seed),
                simulation.violations().front().c_str());
    return true;
}

} // namespace

int main(int argc, char **argv)
{
    Options options;
    const bool parsed = parse(argc, argv, options);
    const auto variant = confirmedVariantFromName(options.variant);
    if (!parsed || !variant) {
        std::fputs("usage: confirmed_fuzz [--seed N] [--runs N] [--steps N] [--variant NAME]\n",
                   stderr);
        return 2;
    }
    bool violated = false;
    Totals totals;
    for (std::uint64_t i = 0; i < options.runs && !violated; ++i)
        violated = run(options, *variant, options.seed + i, totals);
    std::printf("%zu changes of primary, %zu refusals, %zu orders to a suspected or leaving "
                "database, %zu of %zu recoveries within a minute\n",
                totals.changes, totals.refusals, totals.unusablePromoted, totals.recovered,
                totals.recoveries);
    const bool expected = *variant != ConfirmedVariant::None;
    std::puts(violated ? "verdict: violated" : "verdict: holds");
    return violated == expected ? 0 : 1;
}
