#include "experiment/even_load_world.h"
#include "fuzz_main_test.h"

namespace shallotlever {
namespace {

using experiment::EvenLoadOptions;
using experiment::EvenLoadWorld;

/// A database may idle beside another's line for this long: the time over which load should be
/// even, and statements that are in a database stay there.
constexpr Duration kEvenPeriod = 100ms;
constexpr int kStatementsInDatabase = 5;

struct EvenFaults
{
    /// The rule of version 0.1: the least time by the last report, however old.
    bool useMinimum = false;
};

std::size_t leastReportedTime(std::span<const LoadFigure> figures)
{
    std::size_t best = 0;
    Duration bestTime = Duration::max();
    for (std::size_t i = 0; i < figures.size(); ++i) {
        LoadFigure figure = figures[i];
        figure.age = Duration(0);
        figure.sentSince = 0;
        const Duration time = estimatedAnswerTime(figure);
        if (time < bestTime)
            best = i;
        bestTime = std::min(bestTime, time);
    }
    return best;
}

/// Nodes, databases and their speeds are drawn, as is the age of the figures up to the limit.
Violation playEvenLoad(std::uint64_t seed, std::uint64_t steps, const EvenFaults &faults)
{
    Random random(seed);
    EvenLoadOptions options;
    options.seed = seed;
    options.nodes = 3 + uniformBelow(random, 200);
    options.figureAge = Duration(1ms) * static_cast<int>(uniformBelow(random, kMaxFigureAge / 1ms));
    options.slots = 1 + static_cast<std::uint32_t>(uniformBelow(random, 6));
    options.utilisation = 0.3 + 0.5 * uniformUnit(random);
    options.serviceMeans.resize(2 + uniformBelow(random, 4));
    for (double &mean : options.serviceMeans)
        mean = 0.003 + 0.012 * uniformUnit(random);
    options.runTime = 3s + Duration(1ms) * static_cast<int>(steps);
    options.rule = [faults](std::span<const LoadFigure> figures, LowDiscrepancySequence &chance,
                            Random &) {
        return faults.useMinimum ? leastReportedTime(figures)
                                 : drawShare(evenShares(figures), chance.next());
    };
    const double slowest =
        *std::max_element(options.serviceMeans.begin(), options.serviceMeans.end());
    const Duration bound = kEvenPeriod + kStatementsInDatabase * experiment::fromSeconds(slowest);
    const Duration idle = EvenLoadWorld(options).run().longestIdleBesideLine;
    if (idle <= bound)
        return std::nullopt;
    return "a database idled for " + std::to_string(idle / 1ms) + " ms beside another's line, "
        + std::to_string(bound / 1ms) + " allowed; figures "
        + std::to_string(options.figureAge / 1ms) + " ms old, " + std::to_string(options.nodes)
        + " nodes";
}

// Guards against databases that are overrun in turns while others idle, because many nodes select
// the same one by the same old figures.
TEST(EvenLoadFuzz, NoDatabaseIdlesBesideALine)
{
    EXPECT_EQ(fuzzSeeds(playEvenLoad, 3000, EvenFaults {}), std::nullopt);
}

TEST(EvenLoadFuzz, DetectsTheMinimumOfOldFigures)
{
    EXPECT_NE(fuzzSeeds(playEvenLoad, 3000, EvenFaults { true }), std::nullopt);
}

struct EvenShareCase
{
    const char *name;
    std::vector<LoadFigure> figures;
    /// Bounds of the share of the first database.
    double atLeast;
    double atMost;
};

LoadFigure figure(double outstanding, Duration age, Duration serviceTime = 10ms,
                  Duration reachTime = 1ms)
{
    LoadFigure f;
    f.outstanding = outstanding;
    f.meanOutstanding = 2;
    f.age = age;
    f.parallel = 4;
    f.serviceTime = serviceTime;
    f.reachTime = reachTime;
    return f;
}

LoadFigure sent(LoadFigure f, double statements)
{
    f.sentSince = statements;
    return f;
}

LoadFigure costly(LoadFigure f)
{
    f.cost = 1.25;
    return f;
}

class EvenShares : public testing::TestWithParam<EvenShareCase>
{
};

TEST_P(EvenShares, FitTheAgeOfTheFigures)
{
    const std::vector<double> shares = evenShares(GetParam().figures);
    double sum = 0;
    for (const double share : shares)
        sum += share;
    EXPECT_NEAR(sum, 1, 1e-9);
    EXPECT_GE(shares.front(), GetParam().atLeast);
    EXPECT_LE(shares.front(), GetParam().atMost);
}

INSTANTIATE_TEST_SUITE_P(
    Cases, EvenShares,
    testing::Values(
        EvenShareCase { "OneDatabase", { figure(90, 500ms) }, 1, 1 },
        EvenShareCase { "ExactFiguresOfALine", { figure(8, 0ms), figure(1, 0ms) }, 0, 0 },
        EvenShareCase { "OldFiguresOfALine", { figure(8, 150ms), figure(1, 150ms) }, 0.2, 0.5 },
        EvenShareCase { "OldFiguresOfUnequalSpeed",
                        { figure(2, 500ms, 5ms), figure(2, 500ms, 15ms) },
                        0.6,
                        0.95 },
        EvenShareCase { "AgeOverTheLimit", { figure(2, 1h), figure(2, 500ms) }, 0.45, 0.55 },
        EvenShareCase {
            "OwnStatementsSinceTheReport", { sent(figure(1, 20ms), 12), figure(1, 20ms) }, 0, 0 },
        EvenShareCase {
            "FarDatabaseInLightLoad", { figure(1, 150ms, 10ms, 40ms), figure(1, 150ms) }, 0, 0 },
        EvenShareCase {
            "FarDatabaseBesideALongLine", { figure(1, 0ms, 10ms, 40ms), figure(40, 0ms) }, 1, 1 },
        EvenShareCase {
            "CostlyDatabaseInLightLoad", { costly(figure(0, 0ms)), figure(1, 0ms) }, 0, 0 },
        EvenShareCase { "CostlyDatabaseThatIsNearer",
                        { costly(figure(0, 0ms, 20ms, 200us)), figure(0, 0ms, 20ms, 1500us) },
                        0,
                        0 }),
    [](const auto &info) { return info.param.name; });

} // namespace
} // namespace shallotlever

int main(int argc, char **argv)
{
    return shallotlever::fuzzMain(argc, argv);
}
