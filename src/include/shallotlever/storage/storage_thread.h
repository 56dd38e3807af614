#pragma once

#include <functional>
#include <memory>

#include <absl/status/status.h>

#include "shallotlever/control/types.h"
#include "shallotlever/storage/data_directory.h"

namespace shallotlever {

/// Performs writes in order on a thread of its own; writes that queue up share one sync.
class StorageThread
{
public:
    /// Called on the storage thread once all writes up to `sequence` are durable, or with the
    /// error after which no write is accepted any more.
    using Completion = std::function<void(std::uint64_t sequence, const absl::Status &status)>;

    static std::unique_ptr<StorageThread> create(std::unique_ptr<DataDirectory> directory,
                                                 Completion completion);

    /// Finishes the writes that are queued.
    ~StorageThread();

    /// Any thread; does not block on the disk.
    void submit(DurableWrite write);

private:
    class Impl;
    explicit StorageThread(std::unique_ptr<Impl> impl);
    std::unique_ptr<Impl> m_impl;
};

} // namespace shallotlever
