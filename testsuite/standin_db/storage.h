#pragma once

#include <condition_variable>
#include <cstdint>
#include <functional>
#include <map>
#include <mutex>
#include <set>
#include <string>
#include <vector>

#include "sqlite.h"

namespace standin {

struct Write
{
    std::string sql;
    std::vector<SqlValue> params;
};

struct LogEntry
{
    std::uint64_t position = 0;
    std::uint64_t term = 0;
    /// Wall clock of the primary at commit, for the replication delay.
    std::int64_t committedMs = 0;
    /// JSON form of the writes.
    std::string writes;
};

struct Status
{
    /// Term of the last log entry: the history that the log is known to follow.
    std::uint64_t term = 0;
    std::uint64_t position = 0;
    std::uint64_t fencedTerm = 0;
    bool primary = false;

    bool acceptsWrites() const { return primary && fencedTerm <= term; }
    std::string text() const;
};

/// Last position of each term in a log. Two logs agree up to the last point they share.
using TermRuns = std::map<std::uint64_t, std::uint64_t>;

std::int64_t wallClockMs();

/// The log, the role and the fence of one database. Thread-safe. The log is kept in the data file,
/// so an entry and its data become durable together; the fence has a file of its own, because it
/// must not wait for a client that holds the write lock.
class Storage
{
public:
    Storage(std::string directory, bool initialPrimary);

    std::string dataFile() const { return m_directory + "/data.db"; }
    Status status() const;
    /// Appends the writes to the log and commits the open transaction of `database`, or throws.
    void commit(Database &database, const std::vector<Write> &writes);
    Status fence(std::uint64_t term);
    Status promote(std::uint64_t term);
    /// Becomes a replica if `term` is higher than the own one.
    void demoteBelow(std::uint64_t term);
    /// Throws the SqlFailure that a write gets now, if any.
    void requireWritable() const;

    /// Applies the next entry of a primary's stream; false if the stream is refused.
    bool append(const LogEntry &entry, std::uint64_t streamTerm);
    /// Discards entries after `position` and rebuilds the data; false if the stream is refused.
    bool truncate(std::uint64_t position, std::uint64_t streamTerm);
    std::vector<LogEntry> entriesAfter(std::uint64_t position, int limit);
    TermRuns runs();
    /// Term of the entry at the position; 0 if there is none.
    std::uint64_t termAt(std::uint64_t position);
    /// Returns when the log is longer than `position`, after `timeoutMs` at the latest.
    void waitForEntryAfter(std::uint64_t position, int timeoutMs);

    /// `abort` rolls back a write transaction of a client; it is called when the fence rises.
    void addWriter(void *key, std::function<void()> abort);
    void removeWriter(void *key);

private:
    void load(bool initialPrimary);
    void raiseFence(std::uint64_t term);
    void abortWriters();
    bool mayFollow(std::uint64_t streamTerm) const;
    void insertEntry(Database &database, const LogEntry &entry);
    void setRole(Database &database, bool primary);
    void finishAppend(const LogEntry &entry);

    const std::string m_directory;
    mutable std::mutex m_mutex;
    std::condition_variable m_grown;
    Status m_status;
    std::mutex m_writersMutex;
    std::map<void *, std::function<void()>> m_writers;
    /// For replication and promotion; never used under m_mutex except to finish a transaction.
    std::mutex m_applyMutex;
    std::unique_ptr<Database> m_apply;
    std::mutex m_readMutex;
    std::unique_ptr<Database> m_read;
};

} // namespace standin
