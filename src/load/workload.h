#pragma once

#include <array>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include <QByteArray>

#include "absl/status/statusor.h"

namespace shallotlever::load {

enum class Kind : std::uint8_t {
    /// Open route, without a key.
    Board,
    /// Read with a stated permitted age.
    StaleRead,
    /// Read of the session's own write, sent as soon as that write is acknowledged.
    OwnRead,
    /// Write without idempotency key; resent only after a refusal as not_run.
    Write,
    /// Write with idempotency key; repeated through another node after a lost answer.
    Idempotent,
    /// Write that is sent exactly once, whatever the answer.
    Once,
    /// Two writes in one transaction.
    Transaction,
};
inline constexpr std::size_t kKindCount = 7;

std::string_view kindName(Kind kind);
bool isWrite(Kind kind);

struct Phase
{
    double fromSeconds = 0;
    /// Of the team's rate.
    double multiple = 1;
};

struct TeamLoad
{
    std::string id;
    double ratePerSecond = 0;
    double burst = 0;
    int sessions = 1;
    std::vector<std::string> services;
    /// Sorted by time; the first phase starts at 0.
    std::vector<Phase> phases;
    /// Weights of the kinds; OwnRead is not drawn but follows a write.
    std::array<double, kKindCount> mix {};
    double readAfterWrite = 0;
    int maxStalenessMs = 5000;
};

struct RouteLoad
{
    std::string id;
    std::string service;
    int maxStalenessMs = 2000;
};

struct Workload
{
    std::string name;
    std::uint64_t seed = 1;
    int deadlineMs = 4000;
    /// Share of idempotent writes whose connection the tool closes before the answer arrives.
    double lostAnswers = 0;
    std::vector<std::string> services;
    std::vector<RouteLoad> routes;
    std::vector<TeamLoad> teams;
};

/// Reads a workload file. The error names the field.
absl::StatusOr<Workload> parseWorkload(const QByteArray &json);

/// Reads the keys file: an object from team id to key.
absl::StatusOr<std::map<std::string, std::string>> parseKeys(const QByteArray &json);

/// Multiple of the rate in force at this time.
double multipleAt(const std::vector<Phase> &phases, double seconds);

/// Requests that one drawn arrival causes on average and that take a rate token.
double requestsPerArrival(const TeamLoad &team);

} // namespace shallotlever::load
