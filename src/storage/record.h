#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace shallotlever {

/// Serialises a record: magic, length, checksum, payload. The checksum is seeded with the file
/// number and offset of the record, so that a copy of a record at another position, even inside a
/// payload, is invalid.
std::string encodeRecord(std::string_view payload, std::uint64_t fileNumber, std::uint64_t offset);

struct RecordView
{
    std::string_view payload;
    /// Offset of the next record.
    std::uint64_t nextOffset = 0;
};

/// Returns the record at `offset`, or nullopt if it is incomplete or corrupt.
std::optional<RecordView> recordAt(std::string_view content, std::uint64_t fileNumber,
                                   std::uint64_t offset);

/// Returns whether a valid record starts at or after `offset`.
bool hasValidRecordFrom(std::string_view content, std::uint64_t fileNumber, std::uint64_t offset);

} // namespace shallotlever
