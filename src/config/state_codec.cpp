#include "config_codec.h"
#include "shallotlever/config/codec.h"

namespace shallotlever {
namespace {

Offset<fbs::Group> encode(FlatBufferBuilder &fbb, const GroupState &group)
{
    const auto service = fbb.CreateString(group.service.value());
    const auto votingSet = encodeIds(fbb, group.votingSet);
    Offset<flatbuffers::String> primary;
    if (group.primary)
        primary = fbb.CreateString(group.primary->value());
    const auto members = encode(fbb, group.members);
    return fbs::CreateGroup(fbb, service, votingSet, group.reservedTerm.value(), group.term.value(),
                            primary, group.primaryIncarnation.value(), members);
}

Offset<flatbuffers::Vector<Offset<fbs::RememberedChange>>> encode(FlatBufferBuilder &fbb,
                                                                  const ChangeHistory &history)
{
    std::vector<Offset<fbs::RememberedChange>> offsets;
    offsets.reserve(history.order.size());
    for (const ChangeId &id : history.order) {
        const auto result = encode(fbb, history.results.at(id));
        offsets.push_back(fbs::CreateRememberedChange(fbb, fbb.CreateString(id.value()), result));
    }
    return fbb.CreateVector(offsets);
}

Offset<flatbuffers::Vector<Offset<fbs::DecisionRecord>>>
encode(FlatBufferBuilder &fbb, const std::deque<DecisionRecord> &decisions)
{
    std::vector<Offset<fbs::DecisionRecord>> offsets;
    offsets.reserve(decisions.size());
    for (const DecisionRecord &record : decisions) {
        offsets.push_back(fbs::CreateDecisionRecord(fbb, record.index.value(), record.wallTimeMs,
                                                    fbb.CreateString(record.text)));
    }
    return fbb.CreateVector(offsets);
}

GroupState decodeGroup(const fbs::Group &group)
{
    GroupState out;
    out.service = ServiceId(stringOrEmpty(group.service()));
    if (group.voting_set() != nullptr) {
        for (const flatbuffers::String *upstream : *group.voting_set())
            out.votingSet.insert(UpstreamId(upstream->str()));
    }
    out.reservedTerm = Term(group.reserved_term());
    out.term = Term(group.term());
    if (group.primary() != nullptr)
        out.primary = UpstreamId(group.primary()->str());
    out.primaryIncarnation = Incarnation(group.primary_incarnation());
    out.members = decode(group.members());
    return out;
}

absl::Status decodeHistory(const fbs::State &state, ChangeHistory &history)
{
    if (state.changes() == nullptr)
        return absl::OkStatus();
    for (const fbs::RememberedChange *change : *state.changes()) {
        if (change->result() == nullptr)
            return absl::InvalidArgumentError("remembered change without a result");
        absl::StatusOr<ChangeResult> result = decode(*change->result());
        if (!result.ok())
            return result.status();
        const ChangeId id(stringOrEmpty(change->id()));
        if (result->outcome == ChangeOutcome::Accepted)
            history.accepted.emplace(result->version, id);
        if (!history.results.emplace(id, *std::move(result)).second)
            return absl::InvalidArgumentError("change remembered twice");
        history.order.push_back(id);
    }
    return absl::OkStatus();
}

void decodeDecisions(const fbs::State &state, std::deque<DecisionRecord> &decisions)
{
    if (state.decisions() == nullptr)
        return;
    for (const fbs::DecisionRecord *record : *state.decisions()) {
        decisions.push_back(
            { LogIndex(record->index()), record->wall_time_ms(), stringOrEmpty(record->text()) });
    }
}

} // namespace

std::string encodeState(const ReplicatedState &state)
{
    FlatBufferBuilder fbb;
    const auto config = encode(fbb, state.cluster.config);
    std::vector<Offset<fbs::Group>> groups;
    for (const auto &[service, group] : state.cluster.groups)
        groups.push_back(encode(fbb, group));
    const auto groupsOffset = fbb.CreateVector(groups);
    const auto changes = encode(fbb, state.history);
    const auto decisions = encode(fbb, state.decisions);
    std::vector<Offset<fbs::NodeRecord>> nodes;
    for (const auto &[node, incarnation] : state.cluster.nodes)
        nodes.push_back(
            fbs::CreateNodeRecord(fbb, fbb.CreateString(node.value()), incarnation.value()));
    const auto nodesOffset = fbb.CreateVector(nodes);
    fbb.Finish(fbs::CreateState(fbb, state.cluster.index.value(), config, groupsOffset, changes,
                                decisions, nodesOffset));
    return bufferBytes(fbb);
}

absl::StatusOr<ReplicatedState> decodeState(std::string_view bytes)
{
    const auto *root = verifiedRoot<fbs::State>(bytes);
    if (root == nullptr || root->config() == nullptr)
        return absl::InvalidArgumentError("malformed state");
    ReplicatedState state;
    state.cluster.index = LogIndex(root->index());
    absl::StatusOr<ClusterConfig> config = decode(*root->config());
    if (!config.ok())
        return config.status();
    state.cluster.config = *std::move(config);
    if (root->groups() != nullptr) {
        for (const fbs::Group *group : *root->groups()) {
            GroupState decoded = decodeGroup(*group);
            state.cluster.groups.emplace(decoded.service, std::move(decoded));
        }
    }
    if (root->nodes() != nullptr) {
        for (const fbs::NodeRecord *node : *root->nodes())
            state.cluster.nodes.emplace(NodeId(stringOrEmpty(node->node())),
                                        Incarnation(node->incarnation()));
    }
    if (const absl::Status status = decodeHistory(*root, state.history); !status.ok())
        return status;
    decodeDecisions(*root, state.decisions);
    return state;
}

} // namespace shallotlever
