#include "change_readers.h"

#include <QJsonArray>

#include "shallotlever/edge/codec.h"

namespace shallotlever {

namespace {

// The limits are those of the controller, so that a fault is reported before anything is sent.
constexpr double kMaxRate = 1e9;
constexpr std::uint64_t kDayMs = 24ULL * 3600 * 1000;
constexpr std::size_t kMaxSqlBytes = 64U * 1024U;
constexpr std::uint64_t kMaxQueueLimit = 1'000'000;
constexpr std::uint64_t kMaxAttempts = 100;

std::set<ServiceId> readServices(ArgumentReader &arguments)
{
    std::set<ServiceId> services;
    const auto given = arguments.text("--services");
    if (!given)
        return services;
    std::size_t from = 0;
    for (std::size_t comma = 0; comma != std::string::npos; from = comma + 1) {
        comma = given->find(',', from);
        services.emplace(arguments.checkedId("--services", given->substr(from, comma - from)));
    }
    return services;
}

PresetPolicy currentPolicy(const PresetId &id, const QJsonObject &configuration)
{
    for (const QJsonValue &value : configuration.value(QLatin1String("presets")).toArray()) {
        const Parsed<Change> change =
            parseChange({ { QStringLiteral("op"), QStringLiteral("put_preset") },
                          { QStringLiteral("preset"), value } });
        const auto *parsed = std::get_if<Change>(&change);
        const auto *put = parsed != nullptr ? std::get_if<PutPreset>(parsed) : nullptr;
        if (put != nullptr && put->preset.id == id)
            return put->preset.policy;
    }
    return {};
}

std::chrono::milliseconds readMs(ArgumentReader &arguments, const std::string &name,
                                 std::uint64_t low, std::uint64_t high,
                                 std::chrono::milliseconds preset)
{
    return std::chrono::milliseconds(
        arguments.number(name, low, high, static_cast<std::uint64_t>(preset.count())));
}

} // namespace

Change readServicePut(ArgumentReader &arguments, const QJsonObject & /*configuration*/)
{
    return PutService { { ServiceId(arguments.id("SERVICE")) } };
}

Change readServiceRemove(ArgumentReader &arguments, const QJsonObject & /*configuration*/)
{
    return RemoveService { ServiceId(arguments.id("SERVICE")) };
}

Change readTeamPut(ArgumentReader &arguments, const QJsonObject & /*configuration*/)
{
    TeamConfig team;
    team.id = TeamId(arguments.id("TEAM"));
    team.ratePerSecond = arguments.real("--rate", 0, kMaxRate, 0);
    team.burst = arguments.real("--burst", 0, kMaxRate, 0);
    team.services = readServices(arguments);
    return PutTeam { team };
}

Change readTeamRemove(ArgumentReader &arguments, const QJsonObject & /*configuration*/)
{
    return RemoveTeam { TeamId(arguments.id("TEAM")) };
}

Change readKeyWithdraw(ArgumentReader &arguments, const QJsonObject & /*configuration*/)
{
    return WithdrawKey { KeyId(arguments.id("KEY")) };
}

Change readRoutePut(ArgumentReader &arguments, const QJsonObject & /*configuration*/)
{
    RouteConfig route;
    route.id = RouteId(arguments.id("ROUTE"));
    route.service = ServiceId(arguments.id("--service"));
    route.sql = arguments.text("--sql").value_or("");
    if (route.sql.empty() || route.sql.size() > kMaxSqlBytes)
        arguments.fail("--sql", "must have 1 to 65536 bytes");
    route.maxStaleness = readMs(arguments, "--max-staleness-ms", 0, kDayMs, {});
    return PutRoute { route };
}

Change readRouteRemove(ArgumentReader &arguments, const QJsonObject & /*configuration*/)
{
    return RemoveRoute { RouteId(arguments.id("ROUTE")) };
}

Change readPresetPut(ArgumentReader &arguments, const QJsonObject &configuration)
{
    const PresetId id(arguments.id("PRESET"));
    PresetPolicy policy = currentPolicy(id, configuration);
    policy.queueLimitPerTeam = static_cast<std::uint32_t>(
        arguments.number("--queue-limit-per-team", 1, kMaxQueueLimit, policy.queueLimitPerTeam));
    policy.rateWait = readMs(arguments, "--rate-wait-ms", 0, kDayMs, policy.rateWait);
    policy.catchUpWait = readMs(arguments, "--catch-up-wait-ms", 0, kDayMs, policy.catchUpWait);
    policy.retryBudgetRatio = arguments.real("--retry-budget-ratio", 0, 1, policy.retryBudgetRatio);
    policy.maxAttempts = static_cast<std::uint32_t>(
        arguments.number("--max-attempts", 1, kMaxAttempts, policy.maxAttempts));
    policy.defaultDeadline =
        readMs(arguments, "--default-deadline-ms", 1, kDayMs, policy.defaultDeadline);
    policy.openRouteReserve = arguments.real("--open-route-reserve", 0, 1, policy.openRouteReserve);
    policy.writesAllowed = arguments.yesOrNo("--writes-allowed", policy.writesAllowed);
    return PutPreset { { id, policy } };
}

Change readPresetSet(ArgumentReader &arguments, const QJsonObject & /*configuration*/)
{
    return SetPreset { PresetId(arguments.id("PRESET")) };
}

Change readEvacuation(ArgumentReader &arguments, const QJsonObject & /*configuration*/)
{
    const DataCentreId dataCentre(arguments.id("DATACENTRE"));
    if (arguments.isSet("--end"))
        return RemoveEvacuation { dataCentre };
    return PutEvacuation { dataCentre };
}

KeyConfig readNewKey(ArgumentReader &arguments)
{
    KeyConfig key;
    const std::string role = arguments.text("--role").value_or("");
    if (role == "operator")
        key.role = KeyRole::Operator;
    else if (role == "upstream")
        key.role = KeyRole::Upstream;
    else if (role != "caller")
        arguments.fail("--role", "must be caller, operator or upstream");
    if (key.role == KeyRole::Caller)
        key.team = TeamId(arguments.id("--team"));
    else if (arguments.isSet("--team"))
        arguments.fail("--team", "is for the role caller only");
    if (key.role == KeyRole::Upstream)
        key.service = ServiceId(arguments.id("--service"));
    else if (arguments.isSet("--service"))
        arguments.fail("--service", "is for the role upstream only");
    return key;
}

} // namespace shallotlever
