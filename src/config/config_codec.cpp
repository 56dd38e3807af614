#include "config_codec.h"

#include <algorithm>

#include <xxhash.h>

#include "shallotlever/config/codec.h"

namespace shallotlever {

Offset<fbs::Team> encode(FlatBufferBuilder &fbb, const TeamConfig &team)
{
    const auto id = fbb.CreateString(team.id.value());
    const auto services = encodeIds(fbb, team.services);
    return fbs::CreateTeam(fbb, id, team.ratePerSecond, team.burst, services);
}

Offset<fbs::Key> encode(FlatBufferBuilder &fbb, const KeyConfig &key)
{
    const auto id = fbb.CreateString(key.id.value());
    const auto team = fbb.CreateString(key.team.value());
    const auto service = fbb.CreateString(key.service.value());
    const auto hash = fbb.CreateVector(key.hash.data(), key.hash.size());
    return fbs::CreateKey(fbb, id, static_cast<fbs::KeyRole>(key.role), team, service, hash);
}

Offset<fbs::Route> encode(FlatBufferBuilder &fbb, const RouteConfig &route)
{
    const auto id = fbb.CreateString(route.id.value());
    const auto service = fbb.CreateString(route.service.value());
    const auto sql = fbb.CreateString(route.sql);
    return fbs::CreateRoute(fbb, id, service, sql, route.maxStaleness.count());
}

Offset<fbs::Service> encode(FlatBufferBuilder &fbb, const ServiceConfig &service)
{
    const auto id = fbb.CreateString(service.id.value());
    return fbs::CreateService(fbb, id, service.connectionLimit, service.confirmingReplicas,
                              service.confirmsCommits);
}

Offset<fbs::Database> encode(FlatBufferBuilder &fbb, const DatabaseConfig &database)
{
    const auto name = fbb.CreateString(database.name.value());
    const auto service = fbb.CreateString(database.service.value());
    return fbs::CreateDatabase(fbb, name, service,
                               static_cast<fbs::Consistency>(database.consistency),
                               database.statementTimeout.count(), database.latencyObjective.count(),
                               database.maxStaleness.count(), database.priority, database.open);
}

Offset<fbs::Installed> encode(FlatBufferBuilder &fbb, const InstalledConfig &installed)
{
    const auto document = fbb.CreateString(installed.document);
    return fbs::CreateInstalled(fbb, installed.number.value(), document,
                                installed.transactionIdleLimit.count());
}

Offset<fbs::Preset> encode(FlatBufferBuilder &fbb, const PresetConfig &preset)
{
    const PresetPolicy &policy = preset.policy;
    const auto id = fbb.CreateString(preset.id.value());
    return fbs::CreatePreset(fbb, id, policy.queueLimitPerTeam, policy.rateWait.count(),
                             policy.catchUpWait.count(), policy.retryBudgetRatio,
                             policy.maxAttempts, policy.defaultDeadline.count(),
                             policy.openRouteReserve, policy.writesAllowed);
}

namespace {

template <typename Table, typename Map>
Offset<flatbuffers::Vector<Offset<Table>>> encodeValues(FlatBufferBuilder &fbb, const Map &map)
{
    std::vector<Offset<Table>> offsets;
    for (const auto &[id, value] : map)
        offsets.push_back(encode(fbb, value));
    return fbb.CreateVector(offsets);
}

template <typename Map, typename Value>
void insertById(Map &map, Value value)
{
    auto id = value.id;
    map.insert_or_assign(std::move(id), std::move(value));
}

absl::Status decodeKeys(const fbs::Config &config, std::map<KeyId, KeyConfig> &out)
{
    if (config.keys() == nullptr)
        return absl::OkStatus();
    for (const fbs::Key *key : *config.keys()) {
        absl::StatusOr<KeyConfig> decoded = decode(*key);
        if (!decoded.ok())
            return decoded.status();
        insertById(out, *std::move(decoded));
    }
    return absl::OkStatus();
}

} // namespace

namespace {

using Evacuations = flatbuffers::Vector<Offset<fbs::Evacuation>>;

/// Absent if there are none, so that such a configuration has the encoding of earlier versions.
Offset<Evacuations> encodeEvacuations(FlatBufferBuilder &fbb, const ClusterConfig &config)
{
    if (config.evacuations.empty())
        return {};
    std::vector<Offset<fbs::Evacuation>> offsets;
    for (const auto &[dataCentre, order] : config.evacuations)
        offsets.push_back(fbs::CreateEvacuation(fbb, fbb.CreateString(dataCentre.value()),
                                                order.inForce, order.orderedAt.value()));
    return fbb.CreateVector(offsets);
}

std::map<DataCentreId, EvacuationOrder> decodeEvacuations(const Evacuations *evacuations)
{
    std::map<DataCentreId, EvacuationOrder> out;
    if (evacuations == nullptr)
        return out;
    for (const fbs::Evacuation *order : *evacuations)
        out[DataCentreId(stringOrEmpty(order->data_centre()))] = {
            order->in_force(), ConfigVersion(order->ordered_at())
        };
    return out;
}

} // namespace

Offset<fbs::Config> encode(FlatBufferBuilder &fbb, const ClusterConfig &config)
{
    const auto services = encodeValues<fbs::Service>(fbb, config.services);
    const auto teams = encodeValues<fbs::Team>(fbb, config.teams);
    const auto keys = encodeValues<fbs::Key>(fbb, config.keys);
    const auto routes = encodeValues<fbs::Route>(fbb, config.routes);
    const auto presets = encodeValues<fbs::Preset>(fbb, config.presets);
    const auto active = fbb.CreateString(config.activePreset.value());
    const auto databases = encodeValues<fbs::Database>(fbb, config.databases);
    const auto installed = encode(fbb, config.installed);
    const auto evacuations = encodeEvacuations(fbb, config);
    return fbs::CreateConfig(fbb, config.version.value(), services, teams, keys, routes, presets,
                             active, databases, installed, evacuations);
}

Offset<fbs::ChangeResult> encode(FlatBufferBuilder &fbb, const ChangeResult &result)
{
    const auto winner = fbb.CreateString(result.winner.value());
    const auto message = fbb.CreateString(result.message);
    return fbs::CreateChangeResult(fbb, static_cast<fbs::ChangeOutcome>(result.outcome),
                                   result.version.value(), winner, message);
}

Offset<GroupMembers> encode(FlatBufferBuilder &fbb, const std::map<MemberId, MemberRecord> &members)
{
    std::vector<Offset<fbs::GroupMember>> offsets;
    for (const auto &[id, record] : members) {
        const auto upstream = fbb.CreateString(id.upstream.value());
        const auto host = fbb.CreateString(record.endpoint.host);
        const auto dataCentre = fbb.CreateString(record.dataCentre.value());
        offsets.push_back(fbs::CreateGroupMember(fbb, upstream, id.incarnation.value(), host,
                                                 record.endpoint.port, dataCentre, record.slots,
                                                 record.connectionLimit));
    }
    return fbb.CreateVector(offsets);
}

std::map<MemberId, MemberRecord> decode(const GroupMembers *members)
{
    std::map<MemberId, MemberRecord> out;
    if (members == nullptr)
        return out;
    for (const fbs::GroupMember *member : *members) {
        const MemberId id { UpstreamId(stringOrEmpty(member->upstream())),
                            Incarnation(member->incarnation()) };
        out[id] = { { stringOrEmpty(member->host()), member->port() },
                    DataCentreId(stringOrEmpty(member->data_centre())),
                    member->slots(),
                    member->connection_limit() };
    }
    return out;
}

TeamConfig decode(const fbs::Team &team)
{
    TeamConfig out { TeamId(stringOrEmpty(team.id())), team.rate(), team.burst(), {} };
    if (team.services() != nullptr) {
        for (const flatbuffers::String *service : *team.services())
            out.services.insert(ServiceId(service->str()));
    }
    return out;
}

absl::StatusOr<KeyConfig> decode(const fbs::Key &key)
{
    KeyConfig out;
    if (key.role() > fbs::KeyRole::MAX)
        return absl::InvalidArgumentError("key role out of range");
    if (key.hash() == nullptr || key.hash()->size() != out.hash.size())
        return absl::InvalidArgumentError("key hash of wrong size");
    out.id = KeyId(stringOrEmpty(key.id()));
    out.role = static_cast<KeyRole>(key.role());
    out.team = TeamId(stringOrEmpty(key.team()));
    out.service = ServiceId(stringOrEmpty(key.service()));
    std::copy(key.hash()->begin(), key.hash()->end(), out.hash.begin());
    return out;
}

RouteConfig decode(const fbs::Route &route)
{
    return { RouteId(stringOrEmpty(route.id())), ServiceId(stringOrEmpty(route.service())),
             stringOrEmpty(route.sql()), std::chrono::milliseconds(route.max_staleness_ms()) };
}

PresetConfig decode(const fbs::Preset &preset)
{
    PresetPolicy policy;
    policy.queueLimitPerTeam = preset.queue_limit_per_team();
    policy.rateWait = std::chrono::milliseconds(preset.rate_wait_ms());
    policy.catchUpWait = std::chrono::milliseconds(preset.catch_up_wait_ms());
    policy.retryBudgetRatio = preset.retry_budget_ratio();
    policy.maxAttempts = preset.max_attempts();
    policy.defaultDeadline = std::chrono::milliseconds(preset.default_deadline_ms());
    policy.openRouteReserve = preset.open_route_reserve();
    policy.writesAllowed = preset.writes_allowed();
    return { PresetId(stringOrEmpty(preset.id())), policy };
}

ServiceConfig decode(const fbs::Service &service)
{
    return { ServiceId(stringOrEmpty(service.id())), service.connection_limit(),
             service.confirming_replicas(), service.confirms_commits() };
}

absl::StatusOr<DatabaseConfig> decode(const fbs::Database &database)
{
    if (database.consistency() > fbs::Consistency::MAX)
        return absl::InvalidArgumentError("consistency out of range");
    DatabaseConfig out;
    out.name = DatabaseName(stringOrEmpty(database.name()));
    out.service = ServiceId(stringOrEmpty(database.service()));
    out.consistency = static_cast<Consistency>(database.consistency());
    out.statementTimeout = std::chrono::milliseconds(database.statement_timeout_ms());
    out.latencyObjective = std::chrono::milliseconds(database.latency_objective_ms());
    out.maxStaleness = std::chrono::milliseconds(database.max_staleness_ms());
    out.priority = database.priority();
    out.open = database.open();
    return out;
}

InstalledConfig decode(const fbs::Installed &installed)
{
    return { InstallNumber(installed.number()), stringOrEmpty(installed.document()),
             std::chrono::milliseconds(installed.transaction_idle_limit_ms()) };
}

namespace {

absl::Status decodeDatabases(const fbs::Config &config, std::map<DatabaseName, DatabaseConfig> &out)
{
    if (config.databases() == nullptr)
        return absl::OkStatus();
    for (const fbs::Database *database : *config.databases()) {
        absl::StatusOr<DatabaseConfig> decoded = decode(*database);
        if (!decoded.ok())
            return decoded.status();
        out.insert_or_assign(decoded->name, *decoded);
    }
    return absl::OkStatus();
}

} // namespace

absl::StatusOr<ClusterConfig> decode(const fbs::Config &config)
{
    ClusterConfig out;
    out.version = ConfigVersion(config.version());
    out.activePreset = PresetId(stringOrEmpty(config.active_preset()));
    if (config.services() != nullptr) {
        for (const fbs::Service *service : *config.services())
            insertById(out.services, decode(*service));
    }
    if (config.teams() != nullptr) {
        for (const fbs::Team *team : *config.teams())
            insertById(out.teams, decode(*team));
    }
    if (config.routes() != nullptr) {
        for (const fbs::Route *route : *config.routes())
            insertById(out.routes, decode(*route));
    }
    if (config.presets() != nullptr) {
        for (const fbs::Preset *preset : *config.presets())
            insertById(out.presets, decode(*preset));
    }
    if (const absl::Status status = decodeKeys(config, out.keys); !status.ok())
        return status;
    if (config.installed() != nullptr)
        out.installed = decode(*config.installed());
    if (const absl::Status status = decodeDatabases(config, out.databases); !status.ok())
        return status;
    out.evacuations = decodeEvacuations(config.evacuations());
    return out;
}

absl::StatusOr<ChangeResult> decode(const fbs::ChangeResult &result)
{
    if (result.outcome() > fbs::ChangeOutcome::MAX)
        return absl::InvalidArgumentError("change outcome out of range");
    return ChangeResult { static_cast<ChangeOutcome>(result.outcome()),
                          ConfigVersion(result.version()), ChangeId(stringOrEmpty(result.winner())),
                          stringOrEmpty(result.message()) };
}

std::string encodeConfig(const ClusterConfig &config)
{
    FlatBufferBuilder fbb;
    fbb.Finish(encode(fbb, config));
    return bufferBytes(fbb);
}

absl::StatusOr<ClusterConfig> decodeConfig(std::string_view bytes)
{
    const auto *root = verifiedRoot<fbs::Config>(bytes);
    if (root == nullptr)
        return absl::InvalidArgumentError("malformed configuration");
    return decode(*root);
}

std::uint64_t configDigest(const ClusterConfig &config)
{
    // The maps are ordered, so equal configurations have equal encodings.
    const std::string bytes = encodeConfig(config);
    return XXH3_64bits(bytes.data(), bytes.size());
}

std::string encodeChangeResult(const ChangeResult &result)
{
    FlatBufferBuilder fbb;
    fbb.Finish(encode(fbb, result));
    return bufferBytes(fbb);
}

absl::StatusOr<ChangeResult> decodeChangeResult(std::string_view bytes)
{
    const auto *root = verifiedRoot<fbs::ChangeResult>(bytes);
    if (root == nullptr)
        return absl::InvalidArgumentError("malformed change result");
    return decode(*root);
}

} // namespace shallotlever
