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
    return toText({ { "configuration", configObject(group.state().cluster.config) },
                    { "in_force", inForce.inForce },
                    { "control", controlObject(group.member()) },
                    { "nodes", nodeArray(controller.leases) },
                    { "groups", encodeAll(controller.fleetLog.state.view.groups, groupObject) } });
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
