#pragma once

#include <string>
#include <string_view>

#include <absl/status/statusor.h>
#include <flatbuffers/flatbuffers.h>

#include "generated/config_generated.h"
#include "shallotlever/types/config.h"

/// Conversions between FlatBuffers tables and plain structs, shared by the codecs of commands and
/// of the replicated state. Decoding requires a verified buffer; it checks enumerators and missing
/// tables, which the verifier does not.
namespace shallotlever {

namespace fbs = config_fbs;
using flatbuffers::FlatBufferBuilder;
using flatbuffers::Offset;

inline std::string stringOrEmpty(const flatbuffers::String *s)
{
    return s == nullptr ? std::string() : s->str();
}

inline std::string bufferBytes(const FlatBufferBuilder &fbb)
{
    return { reinterpret_cast<const char *>(fbb.GetBufferPointer()), fbb.GetSize() };
}

/// Root table of the buffer, or nullptr if the buffer is malformed.
template <typename Table>
const Table *verifiedRoot(std::string_view bytes)
{
    const auto *data = reinterpret_cast<const std::uint8_t *>(bytes.data());
    flatbuffers::Verifier verifier(data, bytes.size(), /*max_depth=*/16, /*max_tables=*/8'000'000);
    return verifier.VerifyBuffer<Table>(nullptr) ? flatbuffers::GetRoot<Table>(data) : nullptr;
}

/// Encodes a range of ids as a vector of strings.
template <typename Range>
Offset<flatbuffers::Vector<Offset<flatbuffers::String>>> encodeIds(FlatBufferBuilder &fbb,
                                                                   const Range &ids)
{
    std::vector<Offset<flatbuffers::String>> offsets;
    for (const auto &id : ids)
        offsets.push_back(fbb.CreateString(id.value()));
    return fbb.CreateVector(offsets);
}

Offset<fbs::Team> encode(FlatBufferBuilder &fbb, const TeamConfig &team);
Offset<fbs::Key> encode(FlatBufferBuilder &fbb, const KeyConfig &key);
Offset<fbs::Route> encode(FlatBufferBuilder &fbb, const RouteConfig &route);
Offset<fbs::Preset> encode(FlatBufferBuilder &fbb, const PresetConfig &preset);
Offset<fbs::Config> encode(FlatBufferBuilder &fbb, const ClusterConfig &config);
Offset<fbs::ChangeResult> encode(FlatBufferBuilder &fbb, const ChangeResult &result);

using GroupMembers = flatbuffers::Vector<Offset<fbs::GroupMember>>;
Offset<GroupMembers> encode(FlatBufferBuilder &fbb,
                            const std::map<MemberId, MemberRecord> &members);
/// `members` may be null.
std::map<MemberId, MemberRecord> decode(const GroupMembers *members);

TeamConfig decode(const fbs::Team &team);
absl::StatusOr<KeyConfig> decode(const fbs::Key &key);
RouteConfig decode(const fbs::Route &route);
PresetConfig decode(const fbs::Preset &preset);
absl::StatusOr<ClusterConfig> decode(const fbs::Config &config);
absl::StatusOr<ChangeResult> decode(const fbs::ChangeResult &result);

} // namespace shallotlever
