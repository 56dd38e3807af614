#include "shallotlever/control/codec.h"

#include <flatbuffers/flatbuffers.h>

#include "generated/control_generated.h"

namespace shallotlever {
namespace {

namespace fbs = control_fbs;
using flatbuffers::FlatBufferBuilder;
using flatbuffers::Offset;
using Bytes = flatbuffers::Vector<std::uint8_t>;

Offset<Bytes> encodeBytes(FlatBufferBuilder &fbb, const std::string &data)
{
    return fbb.CreateVector(reinterpret_cast<const std::uint8_t *>(data.data()), data.size());
}

std::string decodeBytes(const Bytes *bytes)
{
    if (bytes == nullptr)
        return {};
    return { reinterpret_cast<const char *>(bytes->data()), bytes->size() };
}

std::string finished(const FlatBufferBuilder &fbb)
{
    return { reinterpret_cast<const char *>(fbb.GetBufferPointer()), fbb.GetSize() };
}

template <typename Table>
const Table *verifiedRoot(std::string_view bytes)
{
    const auto *data = reinterpret_cast<const std::uint8_t *>(bytes.data());
    flatbuffers::Verifier verifier(data, bytes.size());
    return verifier.VerifyBuffer<Table>(nullptr) ? flatbuffers::GetRoot<Table>(data) : nullptr;
}

Offset<fbs::Member> encode(FlatBufferBuilder &fbb, const Member &member)
{
    return fbs::CreateMember(fbb, fbb.CreateString(member.node.value()), member.identity.value());
}

Member decode(const fbs::Member *member)
{
    if (member == nullptr)
        return {};
    return { NodeId(member->node() == nullptr ? std::string() : member->node()->str()),
             MemberIdentity(member->identity()) };
}

Offset<fbs::Membership> encode(FlatBufferBuilder &fbb, const Membership &membership)
{
    std::vector<Offset<fbs::Member>> voters;
    for (const Member &voter : membership.voters)
        voters.push_back(encode(fbb, voter));
    Offset<fbs::Member> learner;
    if (membership.learner)
        learner = encode(fbb, *membership.learner);
    return fbs::CreateMembership(fbb, fbb.CreateVector(voters), learner);
}

Membership decode(const fbs::Membership *membership)
{
    Membership out;
    if (membership == nullptr)
        return out;
    if (membership->voters() != nullptr) {
        for (const fbs::Member *voter : *membership->voters())
            out.voters.push_back(decode(voter));
    }
    if (membership->learner() != nullptr)
        out.learner = decode(membership->learner());
    return out;
}

Offset<flatbuffers::Vector<Offset<fbs::Entry>>> encode(FlatBufferBuilder &fbb,
                                                       const std::vector<LogEntry> &entries)
{
    std::vector<Offset<fbs::Entry>> offsets;
    offsets.reserve(entries.size());
    for (const LogEntry &entry : entries) {
        const auto data = encodeBytes(fbb, entry.data);
        offsets.push_back(fbs::CreateEntry(fbb, entry.index.value(), entry.term.value(),
                                           static_cast<fbs::EntryKind>(entry.kind), data));
    }
    return fbb.CreateVector(offsets);
}

/// False if an entry has an unknown kind or the indexes are not consecutive.
bool decode(const flatbuffers::Vector<Offset<fbs::Entry>> *entries, std::vector<LogEntry> &out)
{
    if (entries == nullptr)
        return true;
    out.reserve(entries->size());
    for (const fbs::Entry *entry : *entries) {
        if (entry->kind() > fbs::EntryKind::MAX
            || (!out.empty() && entry->index() != out.back().index.value() + 1))
            return false;
        out.push_back({ LogIndex(entry->index()), ControlTerm(entry->term()),
                        static_cast<EntryKind>(entry->kind()), decodeBytes(entry->data()) });
    }
    return true;
}

TimePoint fromMicroseconds(std::int64_t microseconds)
{
    return TimePoint(Duration(microseconds));
}

std::int64_t toMicroseconds(TimePoint time)
{
    return time.time_since_epoch().count();
}

Offset<void> encode(FlatBufferBuilder &fbb, const HelloMessage &m)
{
    return fbs::CreateHello(fbb, m.fresh).Union();
}

Offset<void> encode(FlatBufferBuilder &fbb, const VoteRequest &m)
{
    return fbs::CreateVoteRequest(fbb, m.preVote, m.transfer, m.lastIndex.value(),
                                  m.lastTerm.value(), m.round)
        .Union();
}

Offset<void> encode(FlatBufferBuilder &fbb, const VoteReply &m)
{
    return fbs::CreateVoteReply(fbb, m.preVote, m.granted, m.round).Union();
}

Offset<void> encode(FlatBufferBuilder &fbb, const AppendRequest &m)
{
    const auto entries = encode(fbb, m.entries);
    return fbs::CreateAppendRequest(fbb, m.previousIndex.value(), m.previousTerm.value(),
                                    m.commit.value(), toMicroseconds(m.sentAt), entries)
        .Union();
}

Offset<void> encode(FlatBufferBuilder &fbb, const AppendReply &m)
{
    return fbs::CreateAppendReply(fbb, m.accepted, m.match.value(), m.previousIndex.value(),
                                  toMicroseconds(m.sentAt))
        .Union();
}

Offset<void> encode(FlatBufferBuilder &fbb, const SnapshotChunk &m)
{
    const auto membership = encode(fbb, m.membership);
    const auto data = encodeBytes(fbb, m.data);
    return fbs::CreateSnapshotChunk(fbb, m.index.value(), m.snapshotTerm.value(), membership,
                                    m.offset, m.totalBytes, toMicroseconds(m.sentAt), data)
        .Union();
}

Offset<void> encode(FlatBufferBuilder &fbb, const SnapshotReply &m)
{
    return fbs::CreateSnapshotReply(fbb, m.index.value(), m.offset, toMicroseconds(m.sentAt))
        .Union();
}

Offset<void> encode(FlatBufferBuilder &fbb, const TransferRequest &)
{
    return fbs::CreateTransferRequest(fbb).Union();
}

absl::StatusOr<ControlBody> decodeAppend(const fbs::AppendRequest &m)
{
    AppendRequest out { LogIndex(m.previous_index()),
                        ControlTerm(m.previous_term()),
                        LogIndex(m.commit()),
                        fromMicroseconds(m.sent_at_us()),
                        {} };
    const bool ok = decode(m.entries(), out.entries);
    if (!ok || (!out.entries.empty() && out.entries[0].index != out.previousIndex.next()))
        return absl::InvalidArgumentError("append request with invalid entries");
    return ControlBody(std::move(out));
}

absl::StatusOr<ControlBody> decodeBody(const fbs::Message &message)
{
    switch (message.body_type()) {
    case fbs::Body::Hello:
        return ControlBody(HelloMessage { message.body_as_Hello()->fresh() });
    case fbs::Body::VoteRequest: {
        const auto &m = *message.body_as_VoteRequest();
        return ControlBody(VoteRequest { m.pre_vote(), m.transfer(), LogIndex(m.last_index()),
                                         ControlTerm(m.last_term()), m.round() });
    }
    case fbs::Body::VoteReply: {
        const auto &m = *message.body_as_VoteReply();
        return ControlBody(VoteReply { m.pre_vote(), m.granted(), m.round() });
    }
    case fbs::Body::AppendRequest:
        return decodeAppend(*message.body_as_AppendRequest());
    case fbs::Body::AppendReply: {
        const auto &m = *message.body_as_AppendReply();
        return ControlBody(AppendReply { m.accepted(), LogIndex(m.match()),
                                         LogIndex(m.previous_index()),
                                         fromMicroseconds(m.sent_at_us()) });
    }
    case fbs::Body::SnapshotChunk: {
        const auto &m = *message.body_as_SnapshotChunk();
        return ControlBody(SnapshotChunk {
            LogIndex(m.index()), ControlTerm(m.snapshot_term()), decode(m.membership()), m.offset(),
            m.total_bytes(), fromMicroseconds(m.sent_at_us()), decodeBytes(m.data()) });
    }
    case fbs::Body::SnapshotReply: {
        const auto &m = *message.body_as_SnapshotReply();
        return ControlBody(
            SnapshotReply { LogIndex(m.index()), m.offset(), fromMicroseconds(m.sent_at_us()) });
    }
    case fbs::Body::TransferRequest:
        return ControlBody(TransferRequest {});
    case fbs::Body::NONE:
        break;
    }
    return absl::InvalidArgumentError("control message of unknown type");
}

} // namespace

std::string encodeControlMessage(const ControlMessage &message)
{
    FlatBufferBuilder fbb;
    const auto from = encode(fbb, message.from);
    const auto to = encode(fbb, message.to);
    const auto body = std::visit([&fbb](const auto &m) { return encode(fbb, m); }, message.body);
    // The union has the alternatives of the variant in the same order, after NONE.
    const auto type = static_cast<fbs::Body>(message.body.index() + 1);
    fbb.Finish(fbs::CreateMessage(fbb, from, to, message.term.value(), type, body));
    return finished(fbb);
}

absl::StatusOr<ControlMessage> decodeControlMessage(std::string_view bytes)
{
    const auto *root = verifiedRoot<fbs::Message>(bytes);
    if (root == nullptr || root->body() == nullptr)
        return absl::InvalidArgumentError("malformed control message");
    absl::StatusOr<ControlBody> body = decodeBody(*root);
    if (!body.ok())
        return body.status();
    return ControlMessage { decode(root->from()), decode(root->to()), ControlTerm(root->term()),
                            *std::move(body) };
}

std::string encodeMembership(const Membership &membership)
{
    FlatBufferBuilder fbb;
    fbb.Finish(encode(fbb, membership));
    return finished(fbb);
}

absl::StatusOr<Membership> decodeMembership(std::string_view bytes)
{
    const auto *root = verifiedRoot<fbs::Membership>(bytes);
    if (root == nullptr)
        return absl::InvalidArgumentError("malformed membership");
    return decode(root);
}

std::string encodeDurableWrites(const std::vector<DurableWrite> &writes)
{
    FlatBufferBuilder fbb;
    std::vector<Offset<fbs::Write>> offsets;
    for (const DurableWrite &write : writes) {
        Offset<fbs::HardState> hardState;
        if (write.hardState) {
            Offset<fbs::Member> votedFor;
            if (write.hardState->votedFor)
                votedFor = encode(fbb, *write.hardState->votedFor);
            hardState = fbs::CreateHardState(fbb, write.hardState->term.value(), votedFor);
        }
        const auto entries = encode(fbb, write.entries);
        offsets.push_back(
            fbs::CreateWrite(fbb, write.sequence, hardState, write.resetLog, entries));
    }
    fbb.Finish(fbs::CreateWriteGroup(fbb, fbb.CreateVector(offsets)));
    return finished(fbb);
}

absl::StatusOr<std::vector<DurableWrite>> decodeDurableWrites(std::string_view bytes)
{
    const auto *root = verifiedRoot<fbs::WriteGroup>(bytes);
    if (root == nullptr || root->writes() == nullptr)
        return absl::InvalidArgumentError("malformed log record");
    std::vector<DurableWrite> out;
    for (const fbs::Write *write : *root->writes()) {
        DurableWrite decoded;
        decoded.sequence = write->sequence();
        decoded.resetLog = write->reset_log();
        if (const fbs::HardState *hardState = write->hard_state()) {
            decoded.hardState = HardState { ControlTerm(hardState->term()), std::nullopt };
            if (hardState->voted_for() != nullptr)
                decoded.hardState->votedFor = decode(hardState->voted_for());
        }
        if (!decode(write->entries(), decoded.entries))
            return absl::InvalidArgumentError("log record with invalid entries");
        out.push_back(std::move(decoded));
    }
    return out;
}

std::string encodeSnapshot(const ControlSnapshot &snapshot)
{
    FlatBufferBuilder fbb;
    const auto membership = encode(fbb, snapshot.membership);
    const auto data = encodeBytes(fbb, snapshot.data);
    fbb.Finish(
        fbs::CreateSnapshot(fbb, snapshot.index.value(), snapshot.term.value(), membership, data));
    return finished(fbb);
}

absl::StatusOr<ControlSnapshot> decodeSnapshot(std::string_view bytes)
{
    const auto *root = verifiedRoot<fbs::Snapshot>(bytes);
    if (root == nullptr)
        return absl::InvalidArgumentError("malformed snapshot");
    return ControlSnapshot { LogIndex(root->index()), ControlTerm(root->term()),
                             decode(root->membership()), decodeBytes(root->data()) };
}

} // namespace shallotlever
