#include <algorithm>
#include <map>

#include <QJsonArray>

#include "json_fields.h"
#include "shallotlever/edge/codec.h"

namespace shallotlever {

namespace {

constexpr std::uint32_t kMaxQueueLimit = 1000000;
constexpr std::uint32_t kMaxAttempts = 100;

struct KeyRoleName
{
    KeyRole role;
    const char *name;
};
constexpr KeyRoleName kKeyRoleNames[] = { { KeyRole::Caller, "caller" },
                                          { KeyRole::Operator, "operator" },
                                          { KeyRole::Upstream, "upstream" } };

QString toQString(const std::string &text)
{
    return QString::fromStdString(text);
}

template <typename IdType>
QJsonValue toJsonValue(const IdType &id)
{
    return toQString(id.value());
}

KeyRole readRole(FieldReader &fields)
{
    const std::string name = fields.text("role");
    for (const KeyRoleName &row : kKeyRoleNames) {
        if (name == row.name)
            return row.role;
    }
    fields.fail(QStringLiteral("role"), QStringLiteral("must be caller, operator or upstream"));
    return KeyRole::Caller;
}

KeyHash readHash(FieldReader &fields)
{
    KeyHash hash {};
    const QByteArray hex = QByteArray::fromStdString(fields.text("hash"));
    const QByteArray bytes = QByteArray::fromHex(hex);
    // fromHex skips characters that are not hexadecimal digits, so the text is compared with the
    // result converted back.
    if (bytes.size() != static_cast<qsizetype>(hash.size()) || bytes.toHex() != hex.toLower())
        fields.fail(QStringLiteral("hash"), QStringLiteral("must be 64 hexadecimal digits"));
    else
        std::copy(bytes.begin(), bytes.end(), reinterpret_cast<char *>(hash.data()));
    return hash;
}

ServiceConfig readService(FieldReader &fields)
{
    return ServiceConfig { fields.id<ServiceId>("id") };
}

TeamConfig readTeam(FieldReader &fields)
{
    TeamConfig team;
    team.id = fields.id<TeamId>("id");
    team.ratePerSecond = fields.nonNegativeDouble("rate_per_second");
    team.burst = fields.nonNegativeDouble("burst");
    for (const QJsonValue &value : fields.optionalArray("services")) {
        const std::optional<std::string> id = toValidUtf8(value.toString());
        if (!value.isString() || !id || id->empty() || id->size() > kMaxIdBytes)
            fields.fail(QStringLiteral("services"), QStringLiteral("must hold service ids"));
        else
            team.services.insert(ServiceId(*id));
    }
    return team;
}

KeyConfig readKey(FieldReader &fields)
{
    KeyConfig key;
    key.id = fields.id<KeyId>("id");
    key.role = readRole(fields);
    if (key.role == KeyRole::Caller)
        key.team = fields.id<TeamId>("team");
    if (key.role == KeyRole::Upstream)
        key.service = fields.id<ServiceId>("service");
    key.hash = readHash(fields);
    return key;
}

RouteConfig readRoute(FieldReader &fields)
{
    RouteConfig route;
    route.id = fields.id<RouteId>("id");
    route.service = fields.id<ServiceId>("service");
    route.sql = fields.text("sql");
    route.maxStaleness = fields.milliseconds("max_staleness_ms");
    return route;
}

PresetPolicy readPolicy(FieldReader &fields)
{
    PresetPolicy policy;
    policy.queueLimitPerTeam = static_cast<std::uint32_t>(
        fields.unsignedInteger("queue_limit_per_team", kMaxQueueLimit, policy.queueLimitPerTeam));
    policy.rateWait = fields.milliseconds("rate_wait_ms", policy.rateWait);
    policy.catchUpWait = fields.milliseconds("catch_up_wait_ms", policy.catchUpWait);
    policy.retryBudgetRatio =
        fields.nonNegativeDouble("retry_budget_ratio", policy.retryBudgetRatio);
    policy.maxAttempts = static_cast<std::uint32_t>(
        fields.unsignedInteger("max_attempts", kMaxAttempts, policy.maxAttempts));
    policy.defaultDeadline = fields.milliseconds("default_deadline_ms", policy.defaultDeadline);
    policy.openRouteReserve =
        fields.nonNegativeDouble("open_route_reserve", policy.openRouteReserve);
    if (policy.openRouteReserve > 1)
        fields.fail(QStringLiteral("open_route_reserve"), QStringLiteral("must be 0 to 1"));
    policy.writesAllowed = fields.boolean("writes_allowed", policy.writesAllowed);
    return policy;
}

/// Reads the nested object `key` of `outer` with `read` and propagates its error to `outer`.
template <typename Read>
auto readNested(FieldReader &outer, const char *key, Read read)
{
    FieldReader inner(outer.object(key), outer.qualifiedName(QLatin1String(key)));
    auto value = read(inner);
    if (const std::optional<Error> error = inner.firstError())
        outer.adoptError(*error);
    return value;
}

PresetConfig readPreset(FieldReader &fields)
{
    PresetConfig preset;
    preset.id = fields.id<PresetId>("id");
    if (fields.has("policy"))
        preset.policy = readNested(fields, "policy", readPolicy);
    return preset;
}

using ChangeReader = Change (*)(FieldReader &);

template <typename Put, auto Read>
Change readPut(FieldReader &fields, const char *key)
{
    return Put { readNested(fields, key, Read) };
}

template <typename Remove, typename IdType>
Change readById(FieldReader &fields)
{
    return Remove { fields.id<IdType>("id") };
}

const std::map<std::string, ChangeReader> &changeReaders()
{
    static const std::map<std::string, ChangeReader> readers {
        { "put_service",
          [](FieldReader &f) { return readPut<PutService, readService>(f, "service"); } },
        { "remove_service", readById<RemoveService, ServiceId> },
        { "put_team", [](FieldReader &f) { return readPut<PutTeam, readTeam>(f, "team"); } },
        { "remove_team", readById<RemoveTeam, TeamId> },
        { "add_key", [](FieldReader &f) { return readPut<AddKey, readKey>(f, "key"); } },
        { "withdraw_key", readById<WithdrawKey, KeyId> },
        { "put_route", [](FieldReader &f) { return readPut<PutRoute, readRoute>(f, "route"); } },
        { "remove_route", readById<RemoveRoute, RouteId> },
        { "put_preset",
          [](FieldReader &f) { return readPut<PutPreset, readPreset>(f, "preset"); } },
        { "set_preset", readById<SetPreset, PresetId> },
        { "put_evacuation", readById<PutEvacuation, DataCentreId> },
        { "remove_evacuation", readById<RemoveEvacuation, DataCentreId> },
    };
    return readers;
}

Change readChange(FieldReader &fields)
{
    const auto reader = changeReaders().find(fields.text("op"));
    if (reader != changeReaders().end())
        return reader->second(fields);
    fields.fail(QStringLiteral("op"), QStringLiteral("unknown operation"));
    return {};
}

QJsonObject encodeOperation(const char *op, const char *field, const QJsonValue &value)
{
    return { { QStringLiteral("op"), QLatin1String(op) }, { QLatin1String(field), value } };
}

struct ChangeEncoder
{
    QJsonObject operator()(const PutService &c) const
    {
        return encodeOperation("put_service", "service",
                               QJsonObject { { QStringLiteral("id"), toJsonValue(c.service.id) } });
    }
    QJsonObject operator()(const RemoveService &c) const
    {
        return encodeOperation("remove_service", "id", toJsonValue(c.id));
    }
    QJsonObject operator()(const PutTeam &c) const
    {
        return encodeOperation("put_team", "team", encodeTeam(c.team));
    }
    QJsonObject operator()(const RemoveTeam &c) const
    {
        return encodeOperation("remove_team", "id", toJsonValue(c.id));
    }
    QJsonObject operator()(const AddKey &c) const
    {
        return encodeOperation("add_key", "key", encodeKey(c.key, true));
    }
    QJsonObject operator()(const WithdrawKey &c) const
    {
        return encodeOperation("withdraw_key", "id", toJsonValue(c.id));
    }
    QJsonObject operator()(const PutRoute &c) const
    {
        return encodeOperation("put_route", "route", encodeRoute(c.route));
    }
    QJsonObject operator()(const RemoveRoute &c) const
    {
        return encodeOperation("remove_route", "id", toJsonValue(c.id));
    }
    QJsonObject operator()(const PutPreset &c) const
    {
        return encodeOperation("put_preset", "preset", encodePreset(c.preset));
    }
    QJsonObject operator()(const SetPreset &c) const
    {
        return encodeOperation("set_preset", "id", toJsonValue(c.id));
    }
    QJsonObject operator()(const PutEvacuation &c) const
    {
        return encodeOperation("put_evacuation", "id", toJsonValue(c.dataCentre));
    }
    QJsonObject operator()(const RemoveEvacuation &c) const
    {
        return encodeOperation("remove_evacuation", "id", toJsonValue(c.dataCentre));
    }
};

} // namespace

QJsonObject encodeTeam(const TeamConfig &team)
{
    QJsonArray services;
    for (const ServiceId &id : team.services)
        services.append(toJsonValue(id));
    return { { QStringLiteral("id"), toJsonValue(team.id) },
             { QStringLiteral("rate_per_second"), team.ratePerSecond },
             { QStringLiteral("burst"), team.burst },
             { QStringLiteral("services"), services } };
}

QJsonObject encodeKey(const KeyConfig &key, bool includeHash)
{
    QJsonObject object { { QStringLiteral("id"), toJsonValue(key.id) } };
    for (const KeyRoleName &row : kKeyRoleNames) {
        if (row.role == key.role)
            object.insert(QStringLiteral("role"), QLatin1String(row.name));
    }
    if (key.role == KeyRole::Caller)
        object.insert(QStringLiteral("team"), toJsonValue(key.team));
    if (key.role == KeyRole::Upstream)
        object.insert(QStringLiteral("service"), toJsonValue(key.service));
    if (includeHash) {
        const QByteArray bytes(reinterpret_cast<const char *>(key.hash.data()),
                               static_cast<qsizetype>(key.hash.size()));
        object.insert(QStringLiteral("hash"), QString::fromLatin1(bytes.toHex()));
    }
    return object;
}

QJsonObject encodeRoute(const RouteConfig &route)
{
    return { { QStringLiteral("id"), toJsonValue(route.id) },
             { QStringLiteral("service"), toJsonValue(route.service) },
             { QStringLiteral("sql"), toQString(route.sql) },
             { QStringLiteral("max_staleness_ms"), qint64(route.maxStaleness.count()) } };
}

QJsonObject encodePreset(const PresetConfig &preset)
{
    const PresetPolicy &policy = preset.policy;
    const QJsonObject fields {
        { QStringLiteral("queue_limit_per_team"), qint64(policy.queueLimitPerTeam) },
        { QStringLiteral("rate_wait_ms"), qint64(policy.rateWait.count()) },
        { QStringLiteral("catch_up_wait_ms"), qint64(policy.catchUpWait.count()) },
        { QStringLiteral("retry_budget_ratio"), policy.retryBudgetRatio },
        { QStringLiteral("max_attempts"), qint64(policy.maxAttempts) },
        { QStringLiteral("default_deadline_ms"), qint64(policy.defaultDeadline.count()) },
        { QStringLiteral("open_route_reserve"), policy.openRouteReserve },
        { QStringLiteral("writes_allowed"), policy.writesAllowed },
    };
    return { { QStringLiteral("id"), toJsonValue(preset.id) },
             { QStringLiteral("policy"), fields } };
}

Parsed<Change> parseChange(const QJsonObject &object)
{
    FieldReader fields(object);
    Change change = readChange(fields);
    if (const std::optional<Error> error = fields.firstError())
        return *error;
    return change;
}

QJsonObject encodeChange(const Change &change)
{
    return std::visit(ChangeEncoder {}, change);
}

Parsed<ChangeRequest> parseChangeRequest(const QJsonObject &body)
{
    FieldReader fields(body);
    ChangeRequest request;
    request.change.id = fields.id<ChangeId>("change_id");
    request.change.basedOn = ConfigVersion(fields.unsignedInteger("based_on", UINT64_MAX));
    request.change.change = readNested(fields, "change", readChange);
    request.wait = fields.boolean("wait", false);
    if (const std::optional<Error> error = fields.firstError())
        return *error;
    return request;
}

QJsonObject encodeChangeRequest(const ChangeRequest &request)
{
    return { { QStringLiteral("change_id"), toJsonValue(request.change.id) },
             { QStringLiteral("based_on"), qint64(request.change.basedOn.value()) },
             { QStringLiteral("change"), encodeChange(request.change.change) },
             { QStringLiteral("wait"), request.wait } };
}

} // namespace shallotlever
