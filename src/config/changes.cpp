#include "changes.h"

#include <algorithm>
#include <cmath>
#include <initializer_list>

#include <absl/strings/str_cat.h>

namespace shallotlever {
namespace {

/// Ids appear in headers, logs and metric labels.
constexpr std::size_t kMaxIdBytes = 128;
constexpr std::size_t kMaxSqlBytes = 64U * 1024U;

absl::Status invalid(const std::string &field, const std::string &problem)
{
    return absl::InvalidArgumentError(absl::StrCat(field, ": ", problem));
}

absl::Status checkId(const std::string &field, const std::string &id)
{
    if (id.empty())
        return invalid(field, "must not be empty");
    if (id.size() > kMaxIdBytes)
        return invalid(field, absl::StrCat("must not exceed ", kMaxIdBytes, " bytes"));
    const bool printable =
        std::all_of(id.begin(), id.end(), [](unsigned char c) { return c > 0x20 && c != 0x7f; });
    return printable ? absl::OkStatus() : invalid(field, "must not contain spaces or controls");
}

template <typename Map, typename Key>
absl::Status checkKnown(const std::string &field, const std::string &kind, const Map &map,
                        const Key &key)
{
    if (map.contains(key))
        return absl::OkStatus();
    return invalid(field, absl::StrCat("unknown ", kind, " \"", key.value(), "\""));
}

absl::Status checkNumber(const std::string &field, double value, double min, double max)
{
    if (std::isfinite(value) && value >= min && value <= max)
        return absl::OkStatus();
    return invalid(field, absl::StrCat("must be between ", min, " and ", max));
}

absl::Status checkDuration(const std::string &field, std::chrono::milliseconds value)
{
    constexpr std::chrono::milliseconds kDay = std::chrono::hours(24);
    if (value.count() >= 0 && value <= kDay)
        return absl::OkStatus();
    return invalid(field, "must be between 0 and one day");
}

absl::Status firstError(std::initializer_list<absl::Status> checks)
{
    for (const absl::Status &status : checks) {
        if (!status.ok())
            return status;
    }
    return absl::OkStatus();
}

/// Upper bound of rates in requests per second and of bursts in requests.
constexpr double kMaxRate = 1e9;

absl::Status validate(const ClusterConfig &, const PutService &op)
{
    return checkId("service.id", op.service.id.value());
}

absl::Status validate(const ClusterConfig &config, const RemoveService &op)
{
    if (auto known = checkKnown("id", "service", config.services, op.id); !known.ok())
        return known;
    for (const auto &[id, team] : config.teams) {
        if (team.services.contains(op.id))
            return invalid("id", absl::StrCat("still used by team \"", id.value(), "\""));
    }
    for (const auto &[id, key] : config.keys) {
        if (key.service == op.id)
            return invalid("id", absl::StrCat("still used by key \"", id.value(), "\""));
    }
    for (const auto &[id, route] : config.routes) {
        if (route.service == op.id)
            return invalid("id", absl::StrCat("still used by route \"", id.value(), "\""));
    }
    return absl::OkStatus();
}

absl::Status validate(const ClusterConfig &config, const PutTeam &op)
{
    const TeamConfig &team = op.team;
    for (const ServiceId &service : team.services) {
        if (auto known = checkKnown("team.services", "service", config.services, service);
            !known.ok())
            return known;
    }
    return firstError({ checkId("team.id", team.id.value()),
                        checkNumber("team.rate_per_second", team.ratePerSecond, 0, kMaxRate),
                        checkNumber("team.burst", team.burst, 0, kMaxRate) });
}

absl::Status validate(const ClusterConfig &config, const RemoveTeam &op)
{
    if (auto known = checkKnown("id", "team", config.teams, op.id); !known.ok())
        return known;
    for (const auto &[id, key] : config.keys) {
        if (key.team == op.id)
            return invalid("id", absl::StrCat("still used by key \"", id.value(), "\""));
    }
    return absl::OkStatus();
}

absl::Status validateKeyOwner(const ClusterConfig &config, const KeyConfig &key)
{
    if (key.role == KeyRole::Caller) {
        if (auto known = checkKnown("key.team", "team", config.teams, key.team); !known.ok())
            return known;
    } else if (!key.team.empty()) {
        return invalid("key.team", "is for caller keys only");
    }
    if (key.role == KeyRole::Upstream)
        return checkKnown("key.service", "service", config.services, key.service);
    return key.service.empty() ? absl::OkStatus()
                               : invalid("key.service", "is for upstream keys only");
}

absl::Status validate(const ClusterConfig &config, const AddKey &op)
{
    if (config.keys.contains(op.key.id))
        return invalid("key.id", "already exists");
    if (op.key.hash == KeyHash {})
        return invalid("key.hash", "must not be empty");
    return firstError({ checkId("key.id", op.key.id.value()), validateKeyOwner(config, op.key) });
}

absl::Status validate(const ClusterConfig &config, const WithdrawKey &op)
{
    return checkKnown("id", "key", config.keys, op.id);
}

absl::Status validate(const ClusterConfig &config, const PutRoute &op)
{
    const RouteConfig &route = op.route;
    if (route.sql.empty() || route.sql.size() > kMaxSqlBytes)
        return invalid("route.sql", absl::StrCat("must have 1 to ", kMaxSqlBytes, " bytes"));
    return firstError({ checkId("route.id", route.id.value()),
                        checkKnown("route.service", "service", config.services, route.service),
                        checkDuration("route.max_staleness_ms", route.maxStaleness) });
}

absl::Status validate(const ClusterConfig &config, const RemoveRoute &op)
{
    return checkKnown("id", "route", config.routes, op.id);
}

absl::Status validate(const ClusterConfig &, const PutPreset &op)
{
    const PresetPolicy &policy = op.preset.policy;
    if (policy.maxAttempts == 0)
        return invalid("preset.max_attempts", "must be at least 1");
    if (policy.queueLimitPerTeam == 0)
        return invalid("preset.queue_limit_per_team", "must be at least 1");
    if (policy.defaultDeadline.count() == 0)
        return invalid("preset.default_deadline_ms", "must be at least 1");
    return firstError({ checkId("preset.id", op.preset.id.value()),
                        checkDuration("preset.rate_wait_ms", policy.rateWait),
                        checkDuration("preset.catch_up_wait_ms", policy.catchUpWait),
                        checkDuration("preset.default_deadline_ms", policy.defaultDeadline),
                        checkNumber("preset.retry_budget_ratio", policy.retryBudgetRatio, 0, 1),
                        checkNumber("preset.open_route_reserve", policy.openRouteReserve, 0, 1) });
}

absl::Status validate(const ClusterConfig &config, const SetPreset &op)
{
    return checkKnown("id", "preset", config.presets, op.id);
}

/// Maximum number of data centres about which an order is kept. Orders that were ended count, and
/// are never removed.
constexpr std::size_t kMaxEvacuations = 256;

absl::Status validateDataCentre(const ClusterConfig &config, const DataCentreId &dataCentre)
{
    if (!config.evacuations.contains(dataCentre) && config.evacuations.size() >= kMaxEvacuations)
        return invalid("data_centre", "orders about too many data centres are kept");
    return checkId("data_centre", dataCentre.value());
}

absl::Status validate(const ClusterConfig &config, const PutEvacuation &op)
{
    return validateDataCentre(config, op.dataCentre);
}

absl::Status validate(const ClusterConfig &config, const RemoveEvacuation &op)
{
    return validateDataCentre(config, op.dataCentre);
}

std::string perform(ClusterConfig &config, const PutService &op)
{
    config.services.insert_or_assign(op.service.id, op.service);
    return absl::StrCat("put service \"", op.service.id.value(), "\"");
}

std::string perform(ClusterConfig &config, const RemoveService &op)
{
    config.services.erase(op.id);
    return absl::StrCat("removed service \"", op.id.value(), "\"");
}

std::string perform(ClusterConfig &config, const PutTeam &op)
{
    config.teams.insert_or_assign(op.team.id, op.team);
    return absl::StrCat("put team \"", op.team.id.value(), "\" with ", op.team.ratePerSecond,
                        " requests/s and a burst of ", op.team.burst);
}

std::string perform(ClusterConfig &config, const RemoveTeam &op)
{
    config.teams.erase(op.id);
    return absl::StrCat("removed team \"", op.id.value(), "\"");
}

std::string perform(ClusterConfig &config, const AddKey &op)
{
    config.keys.emplace(op.key.id, op.key);
    return absl::StrCat("added key \"", op.key.id.value(), "\"");
}

std::string perform(ClusterConfig &config, const WithdrawKey &op)
{
    config.keys.erase(op.id);
    return absl::StrCat("withdrew key \"", op.id.value(), "\"");
}

std::string perform(ClusterConfig &config, const PutRoute &op)
{
    config.routes.insert_or_assign(op.route.id, op.route);
    return absl::StrCat("put route \"", op.route.id.value(), "\" on service \"",
                        op.route.service.value(), "\"");
}

std::string perform(ClusterConfig &config, const RemoveRoute &op)
{
    config.routes.erase(op.id);
    return absl::StrCat("removed route \"", op.id.value(), "\"");
}

std::string perform(ClusterConfig &config, const PutPreset &op)
{
    config.presets.insert_or_assign(op.preset.id, op.preset);
    return absl::StrCat("put preset \"", op.preset.id.value(), "\"");
}

std::string perform(ClusterConfig &config, const SetPreset &op)
{
    config.activePreset = op.id;
    return absl::StrCat("set preset \"", op.id.value(), "\"");
}

std::string perform(ClusterConfig &config, const PutEvacuation &op)
{
    config.evacuations[op.dataCentre] = { true, config.version.next() };
    return absl::StrCat("data centre \"", op.dataCentre.value(), "\" is evacuated");
}

std::string perform(ClusterConfig &config, const RemoveEvacuation &op)
{
    config.evacuations[op.dataCentre] = { false, config.version.next() };
    return absl::StrCat("data centre \"", op.dataCentre.value(), "\" is no longer evacuated");
}

/// Whether no order that says the opposite, and that the sender did not know of, is the last one
/// about the data centre.
bool isNotOvertaken(const ClusterConfig &config, const DataCentreId &dataCentre, bool inForce,
                    ConfigVersion basedOn)
{
    const auto last = config.evacuations.find(dataCentre);
    return last == config.evacuations.end() || last->second.inForce == inForce
        || basedOn >= last->second.orderedAt;
}

} // namespace

bool isCurrent(const ClusterConfig &config, const OperatorChange &change)
{
    if (const auto *put = std::get_if<PutEvacuation>(&change.change))
        return isNotOvertaken(config, put->dataCentre, true, change.basedOn);
    if (const auto *remove = std::get_if<RemoveEvacuation>(&change.change))
        return isNotOvertaken(config, remove->dataCentre, false, change.basedOn);
    return change.basedOn == config.version;
}

absl::StatusOr<std::string> applyChange(ClusterConfig &config, const Change &change)
{
    return std::visit(
        [&config](const auto &op) -> absl::StatusOr<std::string> {
            if (const absl::Status status = validate(config, op); !status.ok())
                return status;
            return perform(config, op);
        },
        change);
}

} // namespace shallotlever
