#include "status_document.h"

#include <QJsonArray>
#include <QJsonDocument>
#include <QJsonObject>

#include "shallotlever/edge/codec.h"

namespace shallotlever {

namespace {

/// Identities are written as hexadecimal text, because a JSON number does not represent 64 bits
/// exactly.
constexpr int kIdentityBase = 16;

template <typename Tag>
QString text(const Id<Tag> &id)
{
    return QString::fromStdString(id.value());
}

template <typename Tag>
qint64 number(const Number<Tag> &value)
{
    return static_cast<qint64>(value.value());
}

template <typename Map, typename Encode>
QJsonArray encodeAll(const Map &map, Encode encode)
{
    QJsonArray array;
    for (const auto &[id, value] : map)
        array.append(encode(value));
    return array;
}

QJsonObject configObject(const ClusterConfig &config)
{
    QJsonArray evacuated;
    for (const DataCentreId &dataCentre : evacuatedDataCentres(config))
        evacuated.append(text(dataCentre));
    return {
        { "version", number(config.version) },
        { "active_preset", text(config.activePreset) },
        { "services",
          encodeAll(config.services,
                    [](const ServiceConfig &service) { return text(service.id); }) },
        { "teams", encodeAll(config.teams, encodeTeam) },
        { "keys",
          encodeAll(config.keys, [](const KeyConfig &key) { return encodeKey(key, false); }) },
        { "routes", encodeAll(config.routes, encodeRoute) },
        { "presets", encodeAll(config.presets, encodePreset) },
        { "evacuated_data_centres", evacuated },
    };
}

QString stateName(UpstreamState state)
{
    switch (state) {
    case UpstreamState::Live:
        return "live";
    case UpstreamState::Suspected:
        return "suspected";
    case UpstreamState::Leaving:
        return "leaving";
    }
    return "unknown";
}

QJsonObject upstreamObject(const UpstreamInfo &info, const GroupView &group)
{
    return { { "id", text(info.id) },
             { "data_centre", text(info.dataCentre) },
             { "host", QString::fromStdString(info.endpoint.host) },
             { "port", info.endpoint.port },
             { "state", stateName(info.state) },
             { "primary", group.primary == info.id },
             { "voting", group.votingSet.contains(info.id) } };
}

QJsonObject processObject(const MemberId &process)
{
    return { { "id", text(process.upstream) },
             { "incarnation", QString::number(process.incarnation.value()) } };
}

QJsonObject awaitedObject(const MemberId &process, AwaitReason reason)
{
    QJsonObject object = processObject(process);
    object.insert("reason", QString::fromStdString(std::string(awaitReasonName(reason))));
    return object;
}

/// The recorded members of a group, and the processes for which its change of primary waits.
QJsonObject memberObject(const GroupState &state, const ControllerState &controller, TimePoint now)
{
    QJsonArray members;
    for (const auto &[process, record] : state.members)
        members.append(processObject(process));
    QJsonObject object { { "service", text(state.service) }, { "members", members } };
    const auto group = controller.groups.find(state.service);
    if (group == controller.groups.end() || group->second.confirmed.awaited.empty())
        return object;
    const ConfirmedChange &change = group->second.confirmed;
    QJsonArray awaited;
    for (const auto &[process, reason] : change.awaited)
        awaited.append(awaitedObject(process, reason));
    object.insert("awaited", awaited);
    object.insert("awaited_ms",
                  static_cast<qint64>(std::chrono::duration_cast<std::chrono::milliseconds>(
                                          now - change.times.detected)
                                          .count()));
    return object;
}

QJsonObject groupObject(const GroupView &group)
{
    QJsonArray upstreams;
    for (const auto &[id, info] : group.upstreams)
        upstreams.append(upstreamObject(info, group));
    return { { "service", text(group.service) },
             { "term", number(group.term) },
             { "primary", group.primary ? QJsonValue(text(*group.primary)) : QJsonValue() },
             { "upstreams", upstreams } };
}

QJsonArray nodeArray(const LeaseTable &leases)
{
    QJsonArray nodes;
    for (const auto &[id, holder] : leases.holders) {
        nodes.append(QJsonObject { { "id", text(id.first) },
                                   { "applied_version", number(holder.appliedConfig) } });
    }
    return nodes;
}

QJsonObject controlObject(const ControlMember &member)
{
    QJsonArray voters;
    QJsonObject identities;
    for (const Member &voter : member.membership().voters) {
        voters.append(text(voter.node));
        identities.insert(text(voter.node), QString::number(voter.identity.value(), kIdentityBase));
    }
    const std::optional<Member> leader = member.leader();
    return { { "leader", leader ? QJsonValue(text(leader->node)) : QJsonValue() },
             { "term", number(member.term()) },
             { "commit_index", number(member.commitIndex()) },
             { "voters", voters },
             { "identities", identities } };
}

std::string toText(const QJsonObject &object)
{
    return QJsonDocument(object).toJson(QJsonDocument::Compact).toStdString();
}

} // namespace

std::string statusDocument(const ControlGroup &group, const ControllerState &controller,
                           TimePoint now)
{
    const InForce inForce =
        configInForce(controller.leases, group.state().cluster.config.version, now);
    return toText(
        { { "configuration", configObject(group.state().cluster.config) },
          { "in_force", inForce.inForce },
          { "control", controlObject(group.member()) },
          { "nodes", nodeArray(controller.leases) },
          { "groups", encodeAll(controller.fleetLog.state.view.groups, groupObject) },
          { "members", encodeAll(group.state().cluster.groups, [&](const GroupState &state) {
                return memberObject(state, controller, now);
            }) } });
}

std::string explainDocument(const ReplicatedState &state)
{
    QJsonArray decisions;
    for (const DecisionRecord &record : state.decisions) {
        decisions.append(QJsonObject { { "index", number(record.index) },
                                       { "wall_time_ms", static_cast<qint64>(record.wallTimeMs) },
                                       { "text", QString::fromStdString(record.text) } });
    }
    return toText({ { "decisions", decisions } });
}

} // namespace shallotlever
