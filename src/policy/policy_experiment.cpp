#include <cstdio>
#include <map>
#include <string>

#include <QJsonDocument>
#include <QJsonObject>
#include <docopt/docopt.h>

#include "experiment/scenarios.h"

namespace {

using Scenario = QJsonValue (*)(std::uint64_t);

const char kUsage[] = R"(Runs the policy library against simulated databases; prints JSON.

Usage:
  policy_experiment [--scenario=NAME] [--seed=N]
  policy_experiment --help

Options:
  --scenario=NAME  replica_choice, noisy_team, moving_traffic, frozen_database, retry_storm,
                   statement_queue, slopes, even_load or all [default: all].
  --seed=N         Seed of the random source [default: 1].
)";

const std::map<std::string, Scenario> kScenarios {
    { "replica_choice", shallotlever::experiment::runReplicaChoice },
    { "noisy_team", shallotlever::experiment::runNoisyTeam },
    { "moving_traffic", shallotlever::experiment::runMovingTraffic },
    { "frozen_database", shallotlever::experiment::runFrozenDatabase },
    { "retry_storm", shallotlever::experiment::runRetryStorm },
    { "even_load", shallotlever::experiment::runEvenLoad },
    { "statement_queue", shallotlever::experiment::runStatementQueue },
    { "slopes", shallotlever::experiment::runSlopes },
};

} // namespace

int main(int argc, char **argv)
{
    auto options = docopt::docopt(kUsage, { argv + 1, argv + argc });
    const std::string requestedScenario = options["--scenario"].asString();
    const auto seed = static_cast<std::uint64_t>(options["--seed"].asLong());
    QJsonObject result;
    for (const auto &[name, run] : kScenarios) {
        if (requestedScenario == "all" || requestedScenario == name)
            result[QString::fromStdString(name)] = run(seed);
    }
    if (result.isEmpty()) {
        std::fprintf(stderr, "unknown scenario: %s\n", requestedScenario.c_str());
        return 2;
    }
    const QByteArray text = QJsonDocument(result).toJson(QJsonDocument::Indented);
    std::fwrite(text.constData(), 1, static_cast<std::size_t>(text.size()), stdout);
    return 0;
}
