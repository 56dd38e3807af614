#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include <absl/status/status.h>
#include <absl/status/statusor.h>

#include "shallotlever/control/types.h"

namespace shallotlever {

struct StorageOptions
{
    /// A new segment is started beyond this size.
    std::uint64_t segmentBytes = 16U << 20U;
};

/// The files of a control member: lock, identity, log segments and snapshots. One thread at a
/// time.
class DataDirectory
{
public:
    /// Creates the directory if needed and makes a new identity if it holds none. Errors:
    /// Unavailable if another process has it open; DataLoss, naming file and offset, if anything
    /// but the last record of the log is damaged.
    static absl::StatusOr<std::unique_ptr<DataDirectory>> open(const std::string &path,
                                                               StorageOptions options = {});

    ~DataDirectory();

    /// What the directory held when it was opened. Can be taken once.
    RecoveredState takeRecovered();
    /// Writes the group in order with one sync. After an error the directory refuses all further
    /// writes, because it is unknown what the disk holds.
    absl::Status write(const std::vector<DurableWrite> &group);

private:
    class Impl;
    explicit DataDirectory(std::unique_ptr<Impl> impl);
    std::unique_ptr<Impl> m_impl;
};

} // namespace shallotlever
