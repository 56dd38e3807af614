#include <algorithm>
#include <array>
#include <cstdio>
#include <exception>
#include <optional>
#include <string_view>
#include <utility>

#include <QCoreApplication>
#include <QDir>
#include <QHostAddress>
#include <QTcpServer>

#include <docopt/docopt.h>
#include <fmt/format.h>

#include "soak_run.h"

namespace {

using namespace shallotlever::soak;

constexpr const char *kUsage =
    R"(Runs the real programs as processes, injects faults chosen by a seed, and judges from outside.

Usage:
  soak [--seed=N] [--runs=N] [--plan=NAME] [--broken=NAME] [--control=N] [--losses=N] [--fronts=N]
       [--services=N] [--sessions=N] [--rate=N] [--data-centres=N] [--subnet=N] [--program=PATH]
       [--directory=DIR] [--rounds=N] [--details] [--keep]

Options:
  --seed=N          First seed [default: 1].
  --runs=N          Runs, each with the next seed [default: 1].
  --plan=NAME       kill-all, kill-all-lose-two, kill-control, kill-control-then-all, roll,
                    freeze-then-kill-all, deciders or mixed [default: mixed].
  --broken=NAME     Broken variant that must be detected in one of the runs: lost-commits,
                    no-recovery, cut-at-stop, late-promotion, shortest-log, no-promotion,
                    wrong-shape, kept-values or no-transactions.
  --rounds=N        Rounds of the plan deciders [default: 4].
  --control=N       Control members [default: 6].
  --losses=N        Control members that may lose their data at once [default: 2].
  --fronts=N        Nodes that accept callers [default: 8].
  --services=N      Services of three databases each [default: 2].
  --sessions=N      Sessions of callers [default: 60].
  --rate=N          Operations per second [default: 200].
  --data-centres=N  Data centres [default: 6].
  --subnet=N        Everything listens on addresses 127.N.x.y; by default on a free N.
  --program=PATH    Program of the nodes; by default the one of this build.
  --directory=DIR   Logs and data directories [default: soak-logs].
  --details         Prints a line for each second of a run and for each statement that was cut.
  --keep            Keeps the directories of runs without a finding.
)";

template <typename T>
using Names = std::array<std::pair<std::string_view, T>, 8>;

constexpr Names<PlanKind> kPlans { { { "kill-all", PlanKind::KillAll },
                                     { "kill-all-lose-two", PlanKind::KillAllLoseTwo },
                                     { "kill-control", PlanKind::KillControl },
                                     { "kill-control-then-all", PlanKind::KillControlThenAll },
                                     { "roll", PlanKind::Roll },
                                     { "freeze-then-kill-all", PlanKind::FreezeThenKillAll },
                                     { "deciders", PlanKind::Deciders },
                                     { "mixed", PlanKind::Mixed } } };

struct Variant
{
    BrokenVariant variant = BrokenVariant::None;
    /// Check that has to notice it.
    std::string_view check;
};

constexpr std::array<std::pair<std::string_view, Variant>, 9> kVariants {
    { { "lost-commits", { BrokenVariant::LostCommits, "commits" } },
      { "no-recovery", { BrokenVariant::NoRecovery, "recover" } },
      { "cut-at-stop", { BrokenVariant::CutAtStop, "stops" } },
      { "late-promotion", { BrokenVariant::LatePromotion, "one" } },
      { "shortest-log", { BrokenVariant::ShortestLog, "lost_at_promotion" } },
      { "no-promotion", { BrokenVariant::NoPromotion, "primaries" } },
      { "wrong-shape", { BrokenVariant::WrongShape, "statements" } },
      { "kept-values", { BrokenVariant::KeptValues, "statements" } },
      { "no-transactions", { BrokenVariant::NoTransactions, "statements" } } }
};

template <typename T, std::size_t n>
std::optional<T> byName(const std::array<std::pair<std::string_view, T>, n> &names,
                        std::string_view name)
{
    const auto found = std::find_if(names.begin(), names.end(),
                                    [&](const auto &entry) { return entry.first == name; });
    if (found == names.end())
        return std::nullopt;
    return found->second;
}

using Arguments = std::map<std::string, docopt::value>;

std::optional<SoakOptions> readOptions(const Arguments &args)
{
    const auto number = [&](const char *name) { return static_cast<int>(args.at(name).asLong()); };
    SoakOptions options;
    const auto plan = byName(kPlans, args.at("--plan").asString());
    if (!plan)
        return std::nullopt;
    options.plan = *plan;
    if (args.at("--broken").isString()) {
        const auto variant = byName(kVariants, args.at("--broken").asString());
        if (!variant)
            return std::nullopt;
        options.broken = variant->variant;
        options.detectedBy = variant->check;
    }
    options.rounds = number("--rounds");
    options.controlMembers = number("--control");
    options.toleratedLosses = number("--losses");
    options.fronts = number("--fronts");
    options.services = number("--services");
    options.sessions = number("--sessions");
    options.ratePerSecond = number("--rate");
    options.dataCentres = number("--data-centres");
    options.program = args.at("--program").isString() ? args.at("--program").asString()
                                                      : std::string(SHALLOTLEVERD);
    return options;
}

/// Chooses the addresses of this process. The lock listens on one of them as long as it exists, so
/// that another soak chooses others.
std::optional<int> lockSubnet(const Arguments &args, QTcpServer &lock)
{
    constexpr int kFirstSubnet = 64;
    constexpr int kSubnets = 128;
    constexpr std::uint16_t kLockPort = 7450;
    const bool isGiven = args.at("--subnet").isString();
    const int first = isGiven ? static_cast<int>(args.at("--subnet").asLong()) : kFirstSubnet;
    for (int subnet = first; subnet < first + (isGiven ? 1 : kSubnets); ++subnet) {
        if (lock.listen(QHostAddress(QString("127.%1.0.1").arg(subnet)), kLockPort))
            return subnet;
    }
    return std::nullopt;
}

/// Plays one seed and prints a line for each check. True if a check is broken, with a broken
/// variant if the check that has to notice it is. nullopt if the run could not begin.
std::optional<bool> playSeed(const SoakOptions &options, const Arguments &args)
{
    // The nodes must not find the control log of an earlier run, which names other addresses.
    QDir(QString::fromStdString(options.directory)).removeRecursively();
    const SoakReport report = runSoak(options);
    if (!report.notRun.empty()) {
        fmt::print(R"({{"seed":{},"not_run":"{}"}})"
                   "\n",
                   options.seed, report.notRun);
        return std::nullopt;
    }
    if (args.at("--details").asBool()) {
        for (const std::string &line : report.details)
            fmt::print("{}\n", line);
    }
    bool broken = false;
    bool detected = false;
    for (const Finding &finding : report.findings) {
        fmt::print(R"({{"seed":{},"plan":"{}","check":"{}","broken":{},{}}})"
                   "\n",
                   options.seed, args.at("--plan").asString(), finding.check, finding.broken,
                   finding.figures);
        broken = broken || finding.broken;
        detected = detected || (finding.broken && finding.check == options.detectedBy);
    }
    std::fflush(stdout);
    if (!broken && !args.at("--keep").asBool())
        QDir(QString::fromStdString(options.directory)).removeRecursively();
    return options.detectedBy.empty() ? broken : detected;
}

} // namespace

int main(int argc, char **argv)
{
    const Arguments args = docopt::docopt(kUsage, { argv + 1, argv + argc });
    QCoreApplication application(argc, argv);
    std::optional<SoakOptions> options = readOptions(args);
    if (!options) {
        fmt::print(stderr, "unknown plan or variant\n");
        return 2;
    }
    QTcpServer lock;
    const std::optional<int> subnet = lockSubnet(args, lock);
    if (!subnet) {
        fmt::print(stderr, "no free addresses\n");
        return 2;
    }
    options->subnet = *subnet;
    const bool expectBroken = options->broken != BrokenVariant::None;
    const long firstSeed = args.at("--seed").asLong();
    int brokenRuns = 0;
    for (long seed = firstSeed; seed < firstSeed + args.at("--runs").asLong(); ++seed) {
        options->seed = static_cast<std::uint64_t>(seed);
        options->directory = fmt::format("{}/{}", args.at("--directory").asString(), seed);
        const std::optional<bool> broken = playSeed(*options, args);
        if (!broken)
            return 2;
        brokenRuns += *broken ? 1 : 0;
        if (expectBroken && *broken)
            return 0;
    }
    return expectBroken || brokenRuns > 0 ? 1 : 0;
}
