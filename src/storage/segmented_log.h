#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include <absl/status/status.h>
#include <absl/status/statusor.h>

#include "file.h"
#include "shallotlever/control/types.h"
#include "shallotlever/storage/data_directory.h"

namespace shallotlever {

/// The log segments of a data directory. Each record holds one group of writes and is synced before
/// the next one is written, so that only the last record can be incomplete after a crash.
class SegmentedLog
{
public:
    struct RecoveredLog
    {
        HardState hardState;
        std::vector<LogEntry> entries;
    };

    static absl::StatusOr<SegmentedLog>
    open(const std::string &directory, const StorageOptions &options, RecoveredLog &recovered);

    /// Writes the group as one record and syncs it. If the disk is full, the log is as before.
    absl::Status append(std::vector<DurableWrite> group);
    /// Starts a new segment and removes the oldest segments whose entries are all at or before
    /// `index`.
    absl::Status compact(LogIndex index);
    /// Stores `write` in a new segment and removes all others.
    absl::Status reset(DurableWrite write);

private:
    absl::Status replay(std::uint64_t number, bool isLastSegment, RecoveredLog &recovered);
    absl::Status replayRecord(const std::string &location, std::string_view payload,
                              RecoveredLog &recovered);
    absl::Status startSegment();
    absl::Status writeRecord(const std::string &record);
    absl::Status removePartialRecord();
    absl::Status removeSegments(LogIndex index);

    std::string m_directory;
    StorageOptions m_options;
    /// Highest entry index by segment number. The last one is the active segment.
    std::map<std::uint64_t, LogIndex> m_segments;
    File m_activeSegment;
    std::uint64_t m_activeSegmentBytes = 0;
    /// The active segment may end with a part of a record, beyond m_activeSegmentBytes.
    bool m_hasPartialRecord = false;
    /// Written at the start of each segment, so that earlier segments can be removed.
    HardState m_hardState;
};

} // namespace shallotlever
