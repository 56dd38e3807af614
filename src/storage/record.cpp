#include "record.h"

#include <cstring>

#include <xxhash.h>

namespace shallotlever {
namespace {

constexpr std::string_view kMagic = "SLR1";
constexpr std::size_t kLengthOffset = kMagic.size();
constexpr std::size_t kChecksumOffset = kLengthOffset + sizeof(std::uint32_t);
constexpr std::size_t kHeaderBytes = kChecksumOffset + sizeof(std::uint64_t);
/// The seed holds the offset in its low bits and the file number above them.
constexpr unsigned kOffsetBits = 40;

std::uint64_t checksum(std::string_view payload, std::uint64_t fileNumber, std::uint64_t offset)
{
    const std::uint64_t seed = (fileNumber << kOffsetBits) + offset;
    return XXH3_64bits_withSeed(payload.data(), payload.size(), seed);
}

template <typename T>
T load(std::string_view content, std::uint64_t offset)
{
    T value;
    std::memcpy(&value, content.data() + offset, sizeof value);
    return value;
}

} // namespace

std::string encodeRecord(std::string_view payload, std::uint64_t fileNumber, std::uint64_t offset)
{
    std::string record(kHeaderBytes, '\0');
    const auto length = static_cast<std::uint32_t>(payload.size());
    const std::uint64_t sum = checksum(payload, fileNumber, offset);
    std::memcpy(record.data(), kMagic.data(), kMagic.size());
    std::memcpy(record.data() + kLengthOffset, &length, sizeof length);
    std::memcpy(record.data() + kChecksumOffset, &sum, sizeof sum);
    record.append(payload);
    return record;
}

std::optional<RecordView> recordAt(std::string_view content, std::uint64_t fileNumber,
                                   std::uint64_t offset)
{
    if (offset + kHeaderBytes > content.size() || content.substr(offset, kMagic.size()) != kMagic)
        return std::nullopt;
    const auto length = load<std::uint32_t>(content, offset + kLengthOffset);
    const std::uint64_t begin = offset + kHeaderBytes;
    if (length > content.size() - begin)
        return std::nullopt;
    const std::string_view payload = content.substr(begin, length);
    if (load<std::uint64_t>(content, offset + kChecksumOffset)
        != checksum(payload, fileNumber, offset))
        return std::nullopt;
    return RecordView { payload, begin + length };
}

bool hasValidRecordFrom(std::string_view content, std::uint64_t fileNumber, std::uint64_t offset)
{
    for (std::size_t candidate = content.find(kMagic, offset); candidate != std::string_view::npos;
         candidate = content.find(kMagic, candidate + 1)) {
        if (recordAt(content, fileNumber, candidate))
            return true;
    }
    return false;
}

} // namespace shallotlever
