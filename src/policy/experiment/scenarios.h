#pragma once

#include <cstdint>

#include <QJsonValue>

/// Each scenario runs its baselines and the chosen policy and returns their figures.
namespace shallotlever::experiment {

QJsonValue runReplicaChoice(std::uint64_t seed);
QJsonValue runNoisyTeam(std::uint64_t seed);
QJsonValue runMovingTraffic(std::uint64_t seed);
QJsonValue runFrozenDatabase(std::uint64_t seed);
QJsonValue runRetryStorm(std::uint64_t seed);
QJsonValue runEvenLoad(std::uint64_t seed);
QJsonValue runStatementQueue(std::uint64_t seed);
QJsonValue runSlopes(std::uint64_t seed);

} // namespace shallotlever::experiment
