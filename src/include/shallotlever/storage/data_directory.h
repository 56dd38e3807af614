#pragma once

#include <atomic>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include <absl/status/status.h>
#include <absl/status/statusor.h>

#include "shallotlever/control/types.h"

namespace shallotlever {

/// Space of a fake disk, for fault injection in tests. Thread-safe.
struct FakeDiskSpace
{
    std::atomic<std::uint64_t> freeBytes { 0 };
    /// Files can't be truncated either.
    std::atomic<bool> refusesTruncation { false };
};

struct StorageOptions
{
    /// Size at which the log starts a new segment.
    std::uint64_t segmentBytes = 16U << 20U;
    /// Limits what is written to the log; null except in tests.
    std::shared_ptr<FakeDiskSpace> space;
};

/// Whether the write failed because the disk is full. It may be tried again.
inline bool isDiskFull(const absl::Status &status)
{
    return absl::IsResourceExhausted(status);
}

/// Data directory of a control member: lock file, member identity, log segments and snapshots. Not
/// thread-safe.
class DataDirectory
{
public:
    /// Creates the directory if needed and generates a member identity if it contains none. Returns
    /// Unavailable if another process has the directory open, and DataLoss, naming file and offset,
    /// if anything but the last record of the log is corrupt.
    static absl::StatusOr<std::unique_ptr<DataDirectory>> open(const std::string &path,
                                                               StorageOptions options = {});

    ~DataDirectory();

    /// Moves out the state recovered by open(). May be called only once.
    RecoveredState takeRecovered();
    /// Writes the group in order; without snapshots, the group takes a single sync. If the disk is
    /// full (isDiskFull), nothing that was durable is lost, and a group that consists of entries
    /// only or of one snapshot may be written again. After any other error all further writes fail,
    /// because the state on disk is unknown.
    absl::Status write(const std::vector<DurableWrite> &group);

private:
    class Impl;
    explicit DataDirectory(std::unique_ptr<Impl> impl);
    std::unique_ptr<Impl> m_impl;
};

} // namespace shallotlever
