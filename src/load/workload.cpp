#include "workload.h"

#include <algorithm>
#include <numeric>

#include <QJsonArray>
#include <QJsonDocument>
#include <QJsonObject>

#include "absl/strings/str_cat.h"

namespace shallotlever::load {

namespace {

constexpr std::array<std::string_view, kKindCount> kKindNames {
    "board", "stale_read", "own_read", "write", "idempotent", "once", "transaction"
};
constexpr double kMaxRate = 100000;

absl::Status fault(const std::string &field, const std::string &problem)
{
    return absl::InvalidArgumentError(absl::StrCat(field, ": ", problem));
}

absl::StatusOr<QJsonObject> parseObject(const QByteArray &json)
{
    const QJsonDocument document = QJsonDocument::fromJson(json);
    if (!document.isObject())
        return fault("file", "must be a JSON object");
    return document.object();
}

std::vector<std::string> texts(const QJsonValue &value)
{
    std::vector<std::string> result;
    for (const QJsonValue &item : value.toArray())
        result.push_back(item.toString().toStdString());
    return result;
}

absl::Status readMix(const QJsonObject &mix, TeamLoad &team)
{
    for (auto it = mix.begin(); it != mix.end(); ++it) {
        const std::string name = it.key().toStdString();
        const auto *found = std::find(kKindNames.begin(), kKindNames.end(), name);
        const auto index = static_cast<std::size_t>(found - kKindNames.begin());
        if (found == kKindNames.end() || index == static_cast<std::size_t>(Kind::OwnRead))
            return fault("mix", absl::StrCat("unknown kind ", name));
        if (it.value().toDouble(-1) < 0)
            return fault("mix", "weights must not be negative");
        team.mix.at(index) = it.value().toDouble();
    }
    if (std::accumulate(team.mix.begin(), team.mix.end(), 0.0) <= 0)
        return fault("mix", "must hold a positive weight");
    return absl::OkStatus();
}

absl::Status readPhases(const QJsonArray &phases, TeamLoad &team)
{
    for (const QJsonValue &value : phases) {
        const Phase phase { value["from_s"].toDouble(-1), value["multiple"].toDouble(-1) };
        const bool ordered = team.phases.empty()
            ? phase.fromSeconds == 0
            : phase.fromSeconds > team.phases.back().fromSeconds;
        if (!ordered || phase.multiple < 0)
            return fault("send", "must start at 0, ascend, and have multiples of at least 0");
        team.phases.push_back(phase);
    }
    if (team.phases.empty())
        team.phases.push_back({});
    return absl::OkStatus();
}

absl::StatusOr<TeamLoad> readTeam(const QJsonObject &object, const Workload &workload)
{
    TeamLoad team;
    team.id = object["id"].toString().toStdString();
    team.ratePerSecond = object["rate"].toDouble();
    team.burst = object["burst"].toDouble();
    team.sessions = object["sessions"].toInt(1);
    team.readAfterWrite = object["read_after_write"].toDouble();
    team.maxStalenessMs = object["max_staleness_ms"].toInt(team.maxStalenessMs);
    team.services = object.contains("services") ? texts(object["services"]) : workload.services;
    if (team.id.empty())
        return fault("teams.id", "must not be empty");
    if (team.ratePerSecond <= 0 || team.ratePerSecond > kMaxRate || team.burst <= 0)
        return fault("teams.rate", "rate and burst must be positive");
    if (team.sessions < 1 || team.readAfterWrite < 0 || team.readAfterWrite > 1)
        return fault("teams", "sessions must be positive and read_after_write 0 to 1");
    for (const std::string &service : team.services) {
        if (std::count(workload.services.begin(), workload.services.end(), service) == 0)
            return fault("teams.services", absl::StrCat("unknown service ", service));
    }
    if (absl::Status status = readPhases(object["send"].toArray(), team); !status.ok())
        return status;
    if (absl::Status status = readMix(object["mix"].toObject(), team); !status.ok())
        return status;
    const bool boards = team.mix[static_cast<std::size_t>(Kind::Board)] > 0;
    if (team.services.empty() || (boards && workload.routes.empty()))
        return fault("teams", "needs a service, and a route for boards");
    return team;
}

absl::Status readRoutes(const QJsonArray &routes, Workload &workload)
{
    for (const QJsonValue &value : routes) {
        const RouteLoad route { value["id"].toString().toStdString(),
                                value["service"].toString().toStdString(),
                                value["max_staleness_ms"].toInt(2000) };
        const auto &known = workload.services;
        if (route.id.empty() || std::count(known.begin(), known.end(), route.service) == 0)
            return fault("routes", "needs an id and a known service");
        workload.routes.push_back(route);
    }
    return absl::OkStatus();
}

} // namespace

std::string_view kindName(Kind kind)
{
    return kKindNames.at(static_cast<std::size_t>(kind));
}

bool isWrite(Kind kind)
{
    return kind >= Kind::Write;
}

absl::StatusOr<Workload> parseWorkload(const QByteArray &json)
{
    const absl::StatusOr<QJsonObject> object = parseObject(json);
    if (!object.ok())
        return object.status();
    Workload workload;
    workload.name = (*object)["name"].toString().toStdString();
    workload.seed = static_cast<std::uint64_t>((*object)["seed"].toInteger(1));
    workload.deadlineMs = (*object)["deadline_ms"].toInt(workload.deadlineMs);
    workload.lostAnswers = (*object)["lost_answers"].toDouble();
    workload.services = texts((*object)["services"]);
    if (workload.services.empty())
        return fault("services", "must not be empty");
    if (workload.deadlineMs < 1 || workload.lostAnswers < 0 || workload.lostAnswers > 1)
        return fault("deadline_ms", "must be positive, and lost_answers 0 to 1");
    if (absl::Status status = readRoutes((*object)["routes"].toArray(), workload); !status.ok())
        return status;
    for (const QJsonValue &value : (*object)["teams"].toArray()) {
        absl::StatusOr<TeamLoad> team = readTeam(value.toObject(), workload);
        if (!team.ok())
            return team.status();
        workload.teams.push_back(*std::move(team));
    }
    if (workload.teams.empty())
        return fault("teams", "must not be empty");
    return workload;
}

absl::StatusOr<std::map<std::string, std::string>> parseKeys(const QByteArray &json)
{
    const absl::StatusOr<QJsonObject> object = parseObject(json);
    if (!object.ok())
        return object.status();
    std::map<std::string, std::string> keys;
    for (auto it = object->begin(); it != object->end(); ++it)
        keys[it.key().toStdString()] = it.value().toString().toStdString();
    return keys;
}

double multipleAt(const std::vector<Phase> &phases, double seconds)
{
    double multiple = 0;
    for (const Phase &phase : phases) {
        if (phase.fromSeconds <= seconds)
            multiple = phase.multiple;
    }
    return multiple;
}

double requestsPerArrival(const TeamLoad &team)
{
    // A transaction takes tokens for its begin and its two statements; a commit takes none.
    constexpr double kTokensPerTransaction = 3;
    double total = 0;
    double requests = 0;
    for (std::size_t i = 0; i < kKindCount; ++i) {
        const Kind kind = static_cast<Kind>(i);
        double each = kind == Kind::Board ? 0 : 1;
        if (kind == Kind::Transaction)
            each = kTokensPerTransaction;
        if (isWrite(kind))
            each += team.readAfterWrite;
        total += team.mix.at(i);
        requests += team.mix.at(i) * each;
    }
    return requests / total;
}

} // namespace shallotlever::load
