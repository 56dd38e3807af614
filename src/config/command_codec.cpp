#include "config_codec.h"
#include "shallotlever/config/codec.h"

namespace shallotlever {
namespace {

/// Fields of an OperatorChange table. FlatBuffers requires nested tables to be built first.
struct ChangeFields
{
    fbs::Operation operation = fbs::Operation::PutService;
    std::string id;
    Offset<fbs::Team> team;
    Offset<fbs::Key> key;
    Offset<fbs::Route> route;
    Offset<fbs::Preset> preset;
};

ChangeFields changeFields(FlatBufferBuilder &fbb, const Change &change)
{
    ChangeFields out;
    // fbs::Operation lists the operations in the order of the alternatives of Change.
    out.operation = static_cast<fbs::Operation>(change.index());
    if (const auto *putService = std::get_if<PutService>(&change))
        out.id = putService->service.id.value();
    else if (const auto *putTeam = std::get_if<PutTeam>(&change))
        out.team = encode(fbb, putTeam->team);
    else if (const auto *addKey = std::get_if<AddKey>(&change))
        out.key = encode(fbb, addKey->key);
    else if (const auto *putRoute = std::get_if<PutRoute>(&change))
        out.route = encode(fbb, putRoute->route);
    else if (const auto *putPreset = std::get_if<PutPreset>(&change))
        out.preset = encode(fbb, putPreset->preset);
    else if (const auto *removeService = std::get_if<RemoveService>(&change))
        out.id = removeService->id.value();
    else if (const auto *removeTeam = std::get_if<RemoveTeam>(&change))
        out.id = removeTeam->id.value();
    else if (const auto *withdrawKey = std::get_if<WithdrawKey>(&change))
        out.id = withdrawKey->id.value();
    else if (const auto *removeRoute = std::get_if<RemoveRoute>(&change))
        out.id = removeRoute->id.value();
    else if (const auto *setPreset = std::get_if<SetPreset>(&change))
        out.id = setPreset->id.value();
    else if (const auto *putEvacuation = std::get_if<PutEvacuation>(&change))
        out.id = putEvacuation->dataCentre.value();
    else if (const auto *removeEvacuation = std::get_if<RemoveEvacuation>(&change))
        out.id = removeEvacuation->dataCentre.value();
    return out;
}

Offset<fbs::OperatorChange> encode(FlatBufferBuilder &fbb, const OperatorChange &change)
{
    const ChangeFields f = changeFields(fbb, change.change);
    const auto changeId = fbb.CreateString(change.id.value());
    const auto id = fbb.CreateString(f.id);
    return fbs::CreateOperatorChange(fbb, changeId, change.basedOn.value(), f.operation, id, f.team,
                                     f.key, f.route, f.preset);
}

Offset<fbs::GroupDecision> encode(FlatBufferBuilder &fbb, const GroupDecision &decision)
{
    std::string upstream;
    std::string reason;
    Term term;
    Incarnation incarnation;
    std::map<MemberId, MemberRecord> joining;
    std::map<MemberId, MemberRecord> leaving;
    if (const auto *join = std::get_if<JoinVotingSet>(&decision))
        upstream = join->upstream.value();
    else if (const auto *leave = std::get_if<LeaveVotingSet>(&decision))
        upstream = leave->upstream.value();
    else if (const auto *reserve = std::get_if<ReserveTerm>(&decision))
        term = reserve->term, reason = reserve->reason;
    else if (const auto *primary = std::get_if<SetPrimary>(&decision))
        term = primary->term, upstream = primary->upstream.value(),
        incarnation = primary->incarnation;
    else if (const auto *members = std::get_if<ChangeMembers>(&decision)) {
        joining = members->joining;
        for (const MemberId &member : members->leaving)
            leaving[member] = {};
    }
    const std::string &service = std::visit(
        [](const auto &d) -> const std::string & { return d.service.value(); }, decision);
    const auto serviceOffset = fbb.CreateString(service);
    const auto upstreamOffset = fbb.CreateString(upstream);
    const auto reasonOffset = fbb.CreateString(reason);
    const auto joiningOffset = shallotlever::encode(fbb, joining);
    const auto leavingOffset = shallotlever::encode(fbb, leaving);
    return fbs::CreateGroupDecision(fbb, static_cast<fbs::Decision>(decision.index()),
                                    serviceOffset, upstreamOffset, term.value(), reasonOffset,
                                    incarnation.value(), joiningOffset, leavingOffset);
}

absl::Status missingTableError(std::string_view table)
{
    return absl::InvalidArgumentError("command without its " + std::string(table));
}

absl::StatusOr<Change> decodeTableChange(const fbs::OperatorChange &change)
{
    switch (change.operation()) {
    case fbs::Operation::PutTeam:
        if (change.team() == nullptr)
            return missingTableError("team");
        return Change(PutTeam { decode(*change.team()) });
    case fbs::Operation::AddKey: {
        if (change.key() == nullptr)
            return missingTableError("key");
        absl::StatusOr<KeyConfig> key = decode(*change.key());
        if (!key.ok())
            return key.status();
        return Change(AddKey { *std::move(key) });
    }
    case fbs::Operation::PutRoute:
        if (change.route() == nullptr)
            return missingTableError("route");
        return Change(PutRoute { decode(*change.route()) });
    case fbs::Operation::PutPreset:
        if (change.preset() == nullptr)
            return missingTableError("preset");
        return Change(PutPreset { decode(*change.preset()) });
    default:
        return absl::InvalidArgumentError("operation out of range");
    }
}

absl::StatusOr<Change> decodeChange(const fbs::OperatorChange &change)
{
    const std::string id = stringOrEmpty(change.id());
    switch (change.operation()) {
    case fbs::Operation::PutService:
        return Change(PutService { ServiceConfig { ServiceId(id), 0, 0, false } });
    case fbs::Operation::RemoveService:
        return Change(RemoveService { ServiceId(id) });
    case fbs::Operation::RemoveTeam:
        return Change(RemoveTeam { TeamId(id) });
    case fbs::Operation::WithdrawKey:
        return Change(WithdrawKey { KeyId(id) });
    case fbs::Operation::RemoveRoute:
        return Change(RemoveRoute { RouteId(id) });
    case fbs::Operation::SetPreset:
        return Change(SetPreset { PresetId(id) });
    case fbs::Operation::PutEvacuation:
        return Change(PutEvacuation { DataCentreId(id) });
    case fbs::Operation::RemoveEvacuation:
        return Change(RemoveEvacuation { DataCentreId(id) });
    default:
        return decodeTableChange(change);
    }
}

ChangeMembers decodeMembers(const ServiceId &service, const fbs::GroupDecision &decision)
{
    ChangeMembers out { service, shallotlever::decode(decision.joining()), {} };
    for (const auto &[member, record] : shallotlever::decode(decision.leaving()))
        out.leaving.insert(member);
    return out;
}

absl::StatusOr<Command> decode(const fbs::GroupDecision &decision)
{
    const ServiceId service(stringOrEmpty(decision.service()));
    const UpstreamId upstream(stringOrEmpty(decision.upstream()));
    const Term term(decision.term());
    switch (decision.decision()) {
    case fbs::Decision::JoinVotingSet:
        return Command(GroupDecision(JoinVotingSet { service, upstream }));
    case fbs::Decision::LeaveVotingSet:
        return Command(GroupDecision(LeaveVotingSet { service, upstream }));
    case fbs::Decision::ReserveTerm:
        return Command(
            GroupDecision(ReserveTerm { service, term, stringOrEmpty(decision.reason()) }));
    case fbs::Decision::SetPrimary:
        return Command(GroupDecision(
            SetPrimary { service, term, upstream, Incarnation(decision.incarnation()) }));
    case fbs::Decision::ChangeMembers:
        return Command(GroupDecision(decodeMembers(service, decision)));
    }
    return absl::InvalidArgumentError("group decision out of range");
}

absl::StatusOr<Command> decode(const fbs::OperatorChange &change)
{
    absl::StatusOr<Change> decoded = decodeChange(change);
    if (!decoded.ok())
        return decoded.status();
    return Command(OperatorChange { ChangeId(stringOrEmpty(change.change_id())),
                                    ConfigVersion(change.based_on()), *std::move(decoded) });
}

} // namespace

namespace {

Offset<fbs::ConfigDifference> encode(FlatBufferBuilder &fbb, const ConfigDifference &difference)
{
    const auto changed = shallotlever::encode(fbb, difference.changed);
    const auto services = encodeIds(fbb, difference.removedServices);
    const auto teams = encodeIds(fbb, difference.removedTeams);
    const auto keys = encodeIds(fbb, difference.removedKeys);
    const auto databases = encodeIds(fbb, difference.removedDatabases);
    return fbs::CreateConfigDifference(fbb, changed, services, teams, keys, databases);
}

template <typename IdType>
std::set<IdType> decodeIds(const flatbuffers::Vector<Offset<flatbuffers::String>> *ids)
{
    std::set<IdType> out;
    if (ids == nullptr)
        return out;
    for (const flatbuffers::String *id : *ids)
        out.insert(IdType(stringOrEmpty(id)));
    return out;
}

absl::StatusOr<Command> decodeDifference(const fbs::ConfigDifference &difference)
{
    if (difference.changed() == nullptr)
        return absl::InvalidArgumentError("difference without content");
    absl::StatusOr<ClusterConfig> changed = shallotlever::decode(*difference.changed());
    if (!changed.ok())
        return changed.status();
    return Command(ConfigDifference {
        *std::move(changed), decodeIds<ServiceId>(difference.removed_services()),
        decodeIds<TeamId>(difference.removed_teams()), decodeIds<KeyId>(difference.removed_keys()),
        decodeIds<DatabaseName>(difference.removed_databases()) });
}

} // namespace

std::string encodeCommand(const LoggedCommand &command)
{
    FlatBufferBuilder fbb;
    Offset<fbs::OperatorChange> change;
    Offset<fbs::GroupDecision> decision;
    Offset<fbs::Config> install;
    Offset<fbs::NodeRecord> node;
    Offset<fbs::ConfigDifference> difference;
    if (const auto *c = std::get_if<OperatorChange>(&command.command))
        change = encode(fbb, *c);
    else if (const auto *d = std::get_if<GroupDecision>(&command.command))
        decision = encode(fbb, *d);
    else if (const auto *i = std::get_if<InstallConfig>(&command.command))
        install = encode(fbb, i->content);
    else if (const auto *n = std::get_if<RecordNode>(&command.command))
        node =
            fbs::CreateNodeRecord(fbb, fbb.CreateString(n->node.value()), n->incarnation.value());
    else if (const auto *x = std::get_if<ConfigDifference>(&command.command))
        difference = encode(fbb, *x);
    fbb.Finish(
        fbs::CreateCommand(fbb, command.wallTimeMs, change, decision, install, node, difference));
    return bufferBytes(fbb);
}

namespace {

absl::StatusOr<Command> decodeInstall(const fbs::Config &config)
{
    absl::StatusOr<ClusterConfig> content = shallotlever::decode(config);
    if (!content.ok())
        return content.status();
    return Command(InstallConfig { *std::move(content) });
}

int countPresentParts(const fbs::Command &command)
{
    return (command.change() != nullptr) + (command.group_decision() != nullptr)
        + (command.install() != nullptr) + (command.node() != nullptr)
        + (command.difference() != nullptr);
}

absl::StatusOr<Command> decodePresentPart(const fbs::Command &command)
{
    if (command.change() != nullptr)
        return decode(*command.change());
    if (command.group_decision() != nullptr)
        return decode(*command.group_decision());
    if (command.node() != nullptr)
        return Command(RecordNode { NodeId(stringOrEmpty(command.node()->node())),
                                    Incarnation(command.node()->incarnation()) });
    if (command.difference() != nullptr)
        return decodeDifference(*command.difference());
    return decodeInstall(*command.install());
}

} // namespace

absl::StatusOr<LoggedCommand> decodeCommand(std::string_view bytes)
{
    const auto *root = verifiedRoot<fbs::Command>(bytes);
    if (root == nullptr || countPresentParts(*root) != 1)
        return absl::InvalidArgumentError("malformed command");
    absl::StatusOr<Command> command = decodePresentPart(*root);
    if (!command.ok())
        return command.status();
    return LoggedCommand { *std::move(command), root->wall_time_ms() };
}

} // namespace shallotlever
