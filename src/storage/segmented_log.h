#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include <absl/status/status.h>
#include <absl/status/statusor.h>

#include "file.h"
#include "shallotlever/control/types.h"

namespace shallotlever {

/// The log segments of a data directory. Each record holds one group of writes, so that at most
/// the last record can be incomplete after a crash.
class SegmentedLog
{
public:
    struct Replayed
    {
        HardState hardState;
        std::vector<LogEntry> entries;
    };

    static absl::StatusOr<SegmentedLog> open(const std::string &directory,
                                             std::uint64_t segmentBytes, Replayed &replayed);

    /// Writes one record and syncs it.
    absl::Status append(std::vector<DurableWrite> group);
    /// Starts a new segment and removes those whose entries are all at or before `index`.
    absl::Status compact(LogIndex index);
    /// Starts a new segment with `write` in it and removes all others.
    absl::Status reset(DurableWrite write);

private:
    absl::Status replay(std::uint64_t number, bool last, Replayed &replayed);
    absl::Status replayRecord(const std::string &where, std::string_view payload,
                              Replayed &replayed);
    absl::Status startSegment();
    absl::Status removeSegments(LogIndex index);

    std::string m_directory;
    std::uint64_t m_segmentBytes = 0;
    /// Highest entry index by segment number; the last one is written to.
    std::map<std::uint64_t, LogIndex> m_segments;
    File m_current;
    std::uint64_t m_currentBytes = 0;
    /// Repeated at the start of each segment, so that earlier ones can be removed.
    HardState m_hardState;
};

} // namespace shallotlever
