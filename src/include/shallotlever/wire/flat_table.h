#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include <flatbuffers/flatbuffers.h>

namespace shallotlever {

/// Finished content of a builder.
inline std::string finishedBytes(const flatbuffers::FlatBufferBuilder &builder)
{
    return { reinterpret_cast<const char *>(builder.GetBufferPointer()), builder.GetSize() };
}

/// Text of an optional string field; empty if it is absent.
inline std::string textOf(const flatbuffers::String *text)
{
    return text == nullptr ? std::string() : text->str();
}

/// A received FlatBuffers table. Owns an aligned copy of the message, because the offset of a
/// payload within its frame is arbitrary.
template <typename Table>
class FlatTable
{
public:
    explicit FlatTable(std::string_view bytes)
        : m_buffer(bytes.size() / sizeof(std::uint64_t) + 1)
        , m_size(bytes.size())
    {
        bytes.copy(reinterpret_cast<char *>(m_buffer.data()), bytes.size());
    }

    /// The table, or nullptr if the message is not a valid one. Valid while this object exists.
    const Table *get() const
    {
        const auto *data = reinterpret_cast<const std::uint8_t *>(m_buffer.data());
        flatbuffers::Verifier verifier(data, m_size);
        return m_size >= sizeof(flatbuffers::uoffset_t) && verifier.VerifyBuffer<Table>(nullptr)
            ? flatbuffers::GetRoot<Table>(data)
            : nullptr;
    }

private:
    std::vector<std::uint64_t> m_buffer;
    std::size_t m_size;
};

} // namespace shallotlever
