#include "shallotlever/storage/storage_thread.h"

#include <condition_variable>
#include <mutex>
#include <thread>
#include <utility>
#include <vector>

namespace shallotlever {

class StorageThread::Impl
{
public:
    Impl(std::unique_ptr<DataDirectory> directory, Completion completion)
        : m_directory(std::move(directory))
        , m_completion(std::move(completion))
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
            m_completion(lastSequence, m_directory->write(group));
        }
    }

    std::unique_ptr<DataDirectory> m_directory;
    Completion m_completion;
    std::mutex m_mutex;
    std::condition_variable m_queueChanged;
    std::vector<DurableWrite> m_queue;
    bool m_stopping = false;
    /// Declared last, because the thread uses the other members as soon as it starts.
    std::thread m_thread;
};

std::unique_ptr<StorageThread> StorageThread::create(std::unique_ptr<DataDirectory> directory,
                                                     Completion completion)
{
    return std::unique_ptr<StorageThread>(
        new StorageThread(std::make_unique<Impl>(std::move(directory), std::move(completion))));
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
