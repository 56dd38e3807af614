#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace shallotlever {

/// Framing of a record: magic, length, checksum, payload. The checksum is seeded with the place of
/// the record, so that a copy of a record elsewhere, even inside a payload, is not valid.
std::string frameRecord(std::string_view payload, std::uint64_t file, std::uint64_t offset);

struct RecordView
{
    std::string_view payload;
    /// Offset of the next record.
    std::uint64_t end = 0;
};

/// The record at `offset` of a file's content, or nothing if it is incomplete or damaged.
std::optional<RecordView> recordAt(std::string_view content, std::uint64_t file,
                                   std::uint64_t offset);

/// Whether a valid record starts anywhere at or after `offset`.
bool hasRecordFrom(std::string_view content, std::uint64_t file, std::uint64_t offset);

} // namespace shallotlever
