#include <QJsonObject>

#include "even_load_world.h"
#include "scenarios.h"
#include "shallotlever/policy/read_split.h"

namespace shallotlever::experiment {
namespace {

using Figures = std::span<const LoadFigure>;

/// Reports older than this were not counted by the earlier rule.
constexpr Duration kMaxCountedAge = 150ms;

/// Line by the last report, as the earlier rule counted it.
LoadFigure asReported(const LoadFigure &figure)
{
    LoadFigure result = figure;
    result.age = Duration(0);
    result.sentSince = 0;
    if (figure.age >= kMaxCountedAge)
        result.outstanding = 0;
    return result;
}

double capacity(const LoadFigure &figure)
{
    return figure.parallel / toSeconds(figure.serviceTime);
}

std::size_t draw(std::vector<double> weights, double chance)
{
    double sum = 0;
    for (const double weight : weights)
        sum += weight;
    for (double &weight : weights)
        weight /= sum;
    return drawShare(weights, chance);
}

/// The rule of version 0.1: the least expected time by the last report.
std::size_t minimum(Figures figures, LowDiscrepancySequence &, Random &)
{
    const auto sooner = [](const LoadFigure &a, const LoadFigure &b) {
        return estimatedAnswerTime(asReported(a)) < estimatedAnswerTime(asReported(b));
    };
    return static_cast<std::size_t>(std::min_element(figures.begin(), figures.end(), sooner)
                                    - figures.begin());
}

std::size_t randomDatabase(Figures figures, LowDiscrepancySequence &, Random &random)
{
    return uniformBelow(random, figures.size());
}

std::size_t twoChoices(Figures figures, LowDiscrepancySequence &, Random &random)
{
    std::vector<double> weights;
    for (const LoadFigure &figure : figures)
        weights.push_back(capacity(figure));
    const std::size_t first = draw(weights, uniformUnit(random));
    const std::size_t second = draw(weights, uniformUnit(random));
    return estimatedAnswerTime(asReported(figures[first]))
            <= estimatedAnswerTime(asReported(figures[second]))
        ? first
        : second;
}

/// A long line weighs less the younger its report.
std::size_t weightsByAge(Figures figures, LowDiscrepancySequence &, Random &random)
{
    std::vector<double> weights;
    for (const LoadFigure &figure : figures) {
        const double ahead = std::max(0.0, figure.outstanding + 1 - figure.parallel);
        const double wait = ahead / capacity(figure);
        weights.push_back(capacity(figure)
                          * std::exp(-wait / toSeconds(figure.serviceTime + figure.age)));
    }
    return draw(weights, uniformUnit(random));
}

std::size_t probabilisticSplit(Figures figures, LowDiscrepancySequence &, Random &random)
{
    std::vector<ServerMoments> servers;
    double rate = 0;
    for (const LoadFigure &figure : figures) {
        const double mean = 1 / capacity(figure);
        servers.push_back({ toSeconds(figure.reachTime), mean, 2 * mean * mean });
        rate += std::min(1.0, figure.meanOutstanding / figure.parallel) / mean;
    }
    return draw(splitReads(servers, rate), uniformUnit(random));
}

std::size_t evenRandom(Figures figures, LowDiscrepancySequence &, Random &random)
{
    return drawShare(evenShares(figures), uniformUnit(random));
}

std::size_t even(Figures figures, LowDiscrepancySequence &chance, Random &)
{
    return drawShare(evenShares(figures), chance.next());
}

QJsonObject play(EvenLoadOptions options)
{
    const EvenLoadFigures figures = EvenLoadWorld(std::move(options)).run();
    return { { "peak_to_mean", figures.peakToMean },
             { "peak_to_mean_p99", figures.peakToMeanP99 },
             { "idle_beside_line", figures.idleBesideLine },
             { "longest_idle_beside_line_ms", toSeconds(figures.longestIdleBesideLine) * 1e3 },
             { "wait_p50_ms", figures.waitP50 },
             { "wait_p99_ms", figures.waitP99 },
             { "answer_mean_ms", figures.answerMean },
             { "answer_p99_ms", figures.answerP99 } };
}

QJsonObject compareRules(EvenLoadOptions options)
{
    const std::vector<std::pair<const char *, EvenRule>> rules {
        { "minimum", minimum },
        { "random", randomDatabase },
        { "two_choices", twoChoices },
        { "weights_by_age", weightsByAge },
        { "probabilistic_split", probabilisticSplit },
        { "even_with_random_chance", evenRandom },
        { "even", even },
    };
    QJsonObject result;
    for (const auto &[name, rule] : rules) {
        options.rule = rule;
        result[name] = play(options);
    }
    options.passOnDelay = 1ms;
    result["even_and_passing_on"] = play(options);
    return result;
}

} // namespace

QJsonValue runEvenLoad(std::uint64_t seed)
{
    QJsonObject result;
    for (const double utilisation : { 0.5, 0.8 }) {
        EvenLoadOptions options;
        options.seed = seed;
        options.utilisation = utilisation;
        QJsonObject byNodes;
        for (const std::size_t nodes : { 6, 60, 600 }) {
            options.nodes = nodes;
            QJsonObject byAge;
            for (const Duration age : { 0ms, 50ms, 150ms, 500ms }) {
                options.figureAge = age;
                byAge[QString::number(age / 1ms) + "_ms"] = compareRules(options);
            }
            byNodes[QString::number(nodes) + "_nodes"] = byAge;
        }
        options.singleLine = true;
        byNodes["single_line"] = play(options);
        result["utilisation_" + QString::number(utilisation)] = byNodes;
    }
    return result;
}

} // namespace shallotlever::experiment
