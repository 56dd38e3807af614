#pragma once

#include <atomic>
#include <memory>

#include <urcu/urcu-memb.h>

/// Read-copy-update with liburcu: readers take no lock and never wait; the one writer waits until
/// no reader can still use the old object before it deletes it.
namespace shallotlever {

/// Registers the calling thread as a reader on first use, and unregisters it when it ends.
class RcuReaderThread
{
public:
    static void ensureRegistered() { thread_local RcuReaderThread registration; }

private:
    RcuReaderThread() { urcu_memb_register_thread(); }
    ~RcuReaderThread() { urcu_memb_unregister_thread(); }
};

/// A read-side critical section. Must not block.
class RcuReadLock
{
public:
    RcuReadLock()
    {
        RcuReaderThread::ensureRegistered();
        urcu_memb_read_lock();
    }
    ~RcuReadLock() { urcu_memb_read_unlock(); }
    RcuReadLock(const RcuReadLock &) = delete;
    RcuReadLock &operator=(const RcuReadLock &) = delete;
};

/// Holds the current version of an immutable object. One thread publishes, any thread reads.
template <typename T>
class RcuPointer
{
public:
    explicit RcuPointer(std::unique_ptr<const T> initial)
        : m_pointer(initial.release())
    {
    }
    ~RcuPointer() { delete m_pointer.load(); }
    RcuPointer(const RcuPointer &) = delete;
    RcuPointer &operator=(const RcuPointer &) = delete;

    /// The reference is valid until the lock is released.
    const T &read(const RcuReadLock &) const { return *m_pointer.load(std::memory_order_acquire); }

    /// Blocks until no reader uses the old version.
    void publish(std::unique_ptr<const T> next)
    {
        const T *old = m_pointer.exchange(next.release(), std::memory_order_acq_rel);
        urcu_memb_synchronize_rcu();
        delete old;
    }

private:
    std::atomic<const T *> m_pointer;
};

} // namespace shallotlever
