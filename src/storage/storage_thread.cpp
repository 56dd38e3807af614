#include "shallotlever/storage/storage_thread.h"

#include <chrono>
#include <condition_variable>
#include <mutex>
#include <thread>
#include <utility>
#include <vector>

namespace shallotlever {

namespace {

/// Interval at which a write is tried again while the disk is full.
constexpr std::chrono::milliseconds kDiskFullRetryInterval { 100 };

} // namespace

class StorageThread::Impl
{
public:
    Impl(std::unique_ptr<DataDirectory> directory, Completion completion,
         DiskFullChanged diskFullChanged)
        : m_directory(std::move(directory))
        , m_completion(std::move(completion))
        , m_diskFullChanged(std::move(diskFullChanged))
        , m_thread([this] { run(); })
    {
    }

    ~Impl()
    {
        {
            const std::lock_guard lock(m_mutex);
            m_stopping = true;
        }
        m_queueChanged.notify_one();
        m_thread.join();
    }

    void submit(DurableWrite write)
    {
        {
            const std::lock_guard lock(m_mutex);
            m_queue.push_back(std::move(write));
        }
        m_queueChanged.notify_one();
    }

private:
    void run()
    {
        for (;;) {
            std::vector<DurableWrite> group;
            {
                std::unique_lock lock(m_mutex);
                m_queueChanged.wait(lock, [this] { return m_stopping || !m_queue.empty(); });
                if (m_queue.empty())
                    return;
                group = std::exchange(m_queue, {});
            }
            const std::uint64_t lastSequence = group.back().sequence;
            absl::Status status;
            for (const std::vector<DurableWrite> &part : splitAtSnapshots(std::move(group)))
                status.Update(status.ok() ? writeOnceThereIsRoom(part) : absl::OkStatus());
            m_completion(lastSequence, status);
        }
    }

    /// Returns groups that may be written again, in order.
    static std::vector<std::vector<DurableWrite>> splitAtSnapshots(std::vector<DurableWrite> group)
    {
        std::vector<std::vector<DurableWrite>> parts;
        bool startsPart = true;
        for (DurableWrite &write : group) {
            const bool isSnapshot = write.snapshot != nullptr;
            if (startsPart || isSnapshot)
                parts.emplace_back();
            startsPart = isSnapshot;
            parts.back().push_back(std::move(write));
        }
        return parts;
    }

    absl::Status writeOnceThereIsRoom(const std::vector<DurableWrite> &part)
    {
        absl::Status status = m_directory->write(part);
        if (!isDiskFull(status))
            return status;
        m_diskFullChanged(true);
        while (isDiskFull(status) && waitForRetry())
            status = m_directory->write(part);
        if (status.ok())
            m_diskFullChanged(false);
        return status;
    }

    /// Returns false if the thread is to stop.
    bool waitForRetry()
    {
        std::unique_lock lock(m_mutex);
        m_queueChanged.wait_for(lock, kDiskFullRetryInterval, [this] { return m_stopping; });
        return !m_stopping;
    }

    std::unique_ptr<DataDirectory> m_directory;
    Completion m_completion;
    DiskFullChanged m_diskFullChanged;
    std::mutex m_mutex;
    std::condition_variable m_queueChanged;
    std::vector<DurableWrite> m_queue;
    bool m_stopping = false;
    /// Declared last, because the thread uses the other members as soon as it starts.
    std::thread m_thread;
};

std::unique_ptr<StorageThread> StorageThread::create(std::unique_ptr<DataDirectory> directory,
                                                     Completion completion,
                                                     DiskFullChanged diskFullChanged)
{
    return std::unique_ptr<StorageThread>(new StorageThread(std::make_unique<Impl>(
        std::move(directory), std::move(completion), std::move(diskFullChanged))));
}

StorageThread::StorageThread(std::unique_ptr<Impl> impl)
    : m_impl(std::move(impl))
{
}

StorageThread::~StorageThread() = default;

void StorageThread::submit(DurableWrite write)
{
    m_impl->submit(std::move(write));
}

} // namespace shallotlever
