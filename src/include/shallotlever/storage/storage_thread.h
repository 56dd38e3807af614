#pragma once

#include <functional>
#include <memory>

#include <absl/status/status.h>

#include "shallotlever/control/types.h"
#include "shallotlever/storage/data_directory.h"

namespace shallotlever {

/// Performs durable writes in order on a dedicated thread. Writes that queue up while the disk is
/// busy are committed as one group. While the disk is full, they wait until it has room again.
class StorageThread
{
public:
    /// Called on the storage thread once all writes up to `sequence` are durable, or with an error,
    /// after which all further writes fail.
    using Completion = std::function<void(std::uint64_t sequence, const absl::Status &status)>;

    /// Called on the storage thread when the disk becomes full, and when it has room again.
    using DiskFullChanged = std::function<void(bool full)>;

    static std::unique_ptr<StorageThread> create(
        std::unique_ptr<DataDirectory> directory, Completion completion,
        DiskFullChanged diskFullChanged = [](bool) {});

    /// Completes the queued writes, unless the disk is full, and joins the thread.
    ~StorageThread();

    /// Thread-safe; does not wait for disk I/O.
    void submit(DurableWrite write);

private:
    class Impl;
    explicit StorageThread(std::unique_ptr<Impl> impl);
    std::unique_ptr<Impl> m_impl;
};

} // namespace shallotlever
