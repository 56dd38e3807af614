#pragma once

#include <condition_variable>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include "faults.h"
#include "sqlite.h"
#include "storage.h"

namespace standin {

/// Limits the statements that execute at the same time; others queue.
class Slots
{
public:
    explicit Slots(int count)
        : m_free(count)
    {
    }
    void acquire();
    void release();

private:
    std::mutex m_mutex;
    std::condition_variable m_released;
    int m_free;
};

/// One client session: its SQLite connection, transaction state and settings.
class Session
{
public:
    Session(Storage &storage, Faults &faults, Slots &slots);
    ~Session();
    Session(const Session &) = delete;
    Session &operator=(const Session &) = delete;

    /// Throws SqlFailure; an open transaction is then failed.
    Reply run(const std::string &sql, const std::vector<SqlValue> &params);
    std::vector<std::string> describe(const std::string &sql);
    /// 'I' idle, 'T' in a transaction, 'E' in a failed one.
    char transactionStatus() const;
    /// An error in the session ends the transaction's ability to commit.
    void markFailed();

private:
    enum class State { Idle, Open, Failed };

    Reply runControl(const std::string &name, const std::string &argument,
                     const std::vector<SqlValue> &params);
    Reply runSessionCommand(const std::string &word, const std::string &sql);
    Reply begin(const std::string &sql);
    Reply commit();
    Reply rollback();
    Reply discardAll();
    Reply runStatement(const std::string &sql, const std::vector<SqlValue> &params);
    Reply execute(const std::string &sql, const std::vector<SqlValue> &params, bool writes);
    Reply executeImplicitWrite(const std::string &sql, const std::vector<SqlValue> &params);
    void openDatabase();
    void abortWrite();
    void finish();

    Storage &m_storage;
    Faults &m_faults;
    Slots &m_slots;
    /// Guards the transaction against abortWrite() from the thread that raises the fence.
    mutable std::mutex m_mutex;
    std::unique_ptr<Database> m_database;
    State m_state = State::Idle;
    bool m_readOnly = false;
    bool m_holdsWriteLock = false;
    bool m_abortedByFence = false;
    std::vector<Write> m_writes;
    std::map<std::string, std::string> m_settings;
};

} // namespace standin
