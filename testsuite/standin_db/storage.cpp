#include "storage.h"

#include <fcntl.h>
#include <unistd.h>

#include <QJsonArray>
#include <QJsonDocument>
#include <chrono>
#include <cstdio>
#include <filesystem>
#include <fstream>

namespace standin {

namespace {

QJsonValue toJson(const SqlValue &value)
{
    return value ? QJsonValue(QString::fromStdString(*value)) : QJsonValue();
}

std::string encodeWrites(const std::vector<Write> &writes)
{
    QJsonArray list;
    for (const Write &write : writes) {
        QJsonArray item { QString::fromStdString(write.sql) };
        for (const SqlValue &param : write.params)
            item.append(toJson(param));
        list.append(item);
    }
    return QJsonDocument(list).toJson(QJsonDocument::Compact).toStdString();
}

void replayWrites(Database &database, const std::string &text)
{
    const QJsonArray list = QJsonDocument::fromJson(QByteArray::fromStdString(text)).array();
    for (const QJsonValue &value : list) {
        const QJsonArray item = value.toArray();
        std::vector<SqlValue> params;
        for (qsizetype i = 1; i < item.size(); ++i) {
            params.push_back(item[i].isNull() ? SqlValue()
                                              : SqlValue(item[i].toString().toStdString()));
        }
        database.run(item[0].toString().toStdString(), params);
    }
}

void dropClientTables(Database &database)
{
    const Reply tables = database.run("SELECT type, name FROM sqlite_master WHERE type IN "
                                      "('table', 'view') AND name NOT LIKE 'sqlite\\_%' ESCAPE "
                                      "'\\' AND name NOT LIKE 'standin\\_%' ESCAPE '\\'");
    for (const auto &row : tables.rows)
        database.run("DROP " + *row[0] + " \"" + *row[1] + "\"");
}

void syncPath(const std::string &path)
{
    const int fd = open(path.c_str(), O_RDONLY | O_CLOEXEC);
    if (fd < 0 || fsync(fd) != 0)
        throw SqlFailure { "58030", "cannot sync " + path };
    close(fd);
}

/// Rolls back on scope exit unless the transaction was committed.
struct ApplyTransaction
{
    explicit ApplyTransaction(Database &target)
        : database(target)
    {
        database.run("BEGIN IMMEDIATE");
    }
    ~ApplyTransaction() { database.rollback(); }
    Database &database;
};

std::uint64_t toNumber(const SqlValue &value)
{
    return value ? std::stoull(*value) : 0;
}

} // namespace

std::int64_t wallClockMs()
{
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::duration_cast<std::chrono::milliseconds>(now).count();
}

std::string Status::text() const
{
    return std::to_string(term) + "," + std::to_string(position) + ","
        + (primary ? "primary" : "replica") + "," + std::to_string(fencedTerm);
}

Storage::Storage(std::string directory, bool initialPrimary)
    : m_directory(std::move(directory))
{
    std::filesystem::create_directories(m_directory);
    m_apply = std::make_unique<Database>(dataFile());
    m_read = std::make_unique<Database>(dataFile());
    load(initialPrimary);
}

void Storage::load(bool initialPrimary)
{
    m_apply->run("CREATE TABLE IF NOT EXISTS standin_log (position INTEGER PRIMARY KEY, "
                 "term INTEGER, committed_ms INTEGER, writes TEXT)");
    m_apply->run("CREATE TABLE IF NOT EXISTS standin_role (id INTEGER PRIMARY KEY, "
                 "is_primary INTEGER)");
    std::ifstream(m_directory + "/fence") >> m_status.fencedTerm;
    const Reply role = m_apply->run("SELECT is_primary FROM standin_role");
    m_status.primary = !role.rows.empty() && *role.rows[0][0] == "1";
    const Reply last = m_apply->run("SELECT position, term FROM standin_log "
                                    "ORDER BY position DESC LIMIT 1");
    if (!last.rows.empty()) {
        m_status.position = toNumber(last.rows[0][0]);
        m_status.term = toNumber(last.rows[0][1]);
    } else if (initialPrimary) {
        promote(1);
    }
}

Status Storage::status() const
{
    const std::lock_guard lock(m_mutex);
    return m_status;
}

void Storage::requireWritable() const
{
    const Status now = status();
    if (!now.primary)
        throw SqlFailure { "25006", "cannot write on a replica" };
    if (!now.acceptsWrites())
        throw SqlFailure { "57P04", "the database is fenced at a higher term" };
}

void Storage::insertEntry(Database &database, const LogEntry &entry)
{
    database.run("INSERT INTO standin_log VALUES ($1, $2, $3, $4)",
                 { std::to_string(entry.position), std::to_string(entry.term),
                   std::to_string(entry.committedMs), entry.writes });
}

void Storage::setRole(Database &database, bool primary)
{
    database.run("INSERT OR REPLACE INTO standin_role VALUES (1, $1)", { primary ? "1" : "0" });
}

void Storage::finishAppend(const LogEntry &entry)
{
    m_status.position = entry.position;
    m_status.term = entry.term;
    m_grown.notify_all();
}

void Storage::commit(Database &database, const std::vector<Write> &writes)
{
    const std::string encoded = encodeWrites(writes);
    // The fence is checked under the lock that raises it, so no commit can slip past a fence that
    // has been answered.
    const std::lock_guard lock(m_mutex);
    if (!m_status.acceptsWrites())
        throw SqlFailure { "57P04", "commit refused: the database is fenced or a replica" };
    const LogEntry entry { m_status.position + 1, m_status.term, wallClockMs(), encoded };
    insertEntry(database, entry);
    database.run("COMMIT");
    finishAppend(entry);
}

void Storage::raiseFence(std::uint64_t term)
{
    const std::lock_guard lock(m_mutex);
    if (term <= m_status.fencedTerm)
        return;
    const std::string file = m_directory + "/fence";
    std::ofstream(file + ".new") << term << "\n";
    syncPath(file + ".new");
    std::filesystem::rename(file + ".new", file);
    syncPath(m_directory);
    m_status.fencedTerm = term;
}

void Storage::abortWriters()
{
    const std::lock_guard lock(m_writersMutex);
    for (const auto &[key, abort] : m_writers)
        abort();
}

Status Storage::fence(std::uint64_t term)
{
    raiseFence(term);
    if (!status().acceptsWrites())
        abortWriters();
    return status();
}

Status Storage::promote(std::uint64_t term)
{
    const Status before = status();
    if (before.primary && before.term == term && before.fencedTerm <= term)
        return before;
    if (term <= before.term || term < before.fencedTerm)
        throw SqlFailure { "55000", "promotion refused: the term is too low" };
    fence(term);
    const std::lock_guard applyLock(m_applyMutex);
    const ApplyTransaction transaction(*m_apply);
    const std::lock_guard lock(m_mutex);
    if (term < m_status.fencedTerm || term <= m_status.term)
        throw SqlFailure { "55000", "promotion refused: the term is too low" };
    const LogEntry entry { m_status.position + 1, term, wallClockMs(), "[]" };
    insertEntry(*m_apply, entry);
    setRole(*m_apply, true);
    m_apply->run("COMMIT");
    m_status.primary = true;
    finishAppend(entry);
    return m_status;
}

void Storage::demoteBelow(std::uint64_t term)
{
    {
        const std::lock_guard lock(m_mutex);
        if (!m_status.primary || m_status.term >= term)
            return;
        m_status.primary = false;
    }
    abortWriters();
    const std::lock_guard applyLock(m_applyMutex);
    const ApplyTransaction transaction(*m_apply);
    const std::lock_guard lock(m_mutex);
    if (!m_status.primary) {
        setRole(*m_apply, false);
        m_apply->run("COMMIT");
    }
}

bool Storage::mayFollow(std::uint64_t streamTerm) const
{
    return !m_status.primary && streamTerm >= m_status.fencedTerm && streamTerm >= m_status.term;
}

bool Storage::append(const LogEntry &entry, std::uint64_t streamTerm)
{
    const std::lock_guard applyLock(m_applyMutex);
    const ApplyTransaction transaction(*m_apply);
    replayWrites(*m_apply, entry.writes);
    const std::lock_guard lock(m_mutex);
    if (!mayFollow(streamTerm) || entry.position != m_status.position + 1)
        return false;
    insertEntry(*m_apply, entry);
    m_apply->run("COMMIT");
    finishAppend(entry);
    return true;
}

bool Storage::truncate(std::uint64_t position, std::uint64_t streamTerm)
{
    const std::lock_guard applyLock(m_applyMutex);
    const ApplyTransaction transaction(*m_apply);
    const std::vector<SqlValue> bound { std::to_string(position) };
    m_apply->run("DELETE FROM standin_log WHERE position > CAST($1 AS INTEGER)", bound);
    dropClientTables(*m_apply);
    const Reply kept = m_apply->run("SELECT writes, term FROM standin_log ORDER BY position");
    for (const auto &row : kept.rows)
        replayWrites(*m_apply, *row[0]);
    const std::lock_guard lock(m_mutex);
    if (!mayFollow(streamTerm))
        return false;
    m_apply->run("COMMIT");
    m_status.position = position;
    m_status.term = kept.rows.empty() ? 0 : toNumber(kept.rows.back()[1]);
    return true;
}

std::vector<LogEntry> Storage::entriesAfter(std::uint64_t position, int limit)
{
    const std::lock_guard lock(m_readMutex);
    const Reply reply = m_read->run("SELECT position, term, committed_ms, writes FROM standin_log "
                                    "WHERE position > CAST($1 AS INTEGER) "
                                    "ORDER BY position LIMIT $2",
                                    { std::to_string(position), std::to_string(limit) });
    std::vector<LogEntry> entries;
    for (const auto &row : reply.rows) {
        entries.push_back({ toNumber(row[0]), toNumber(row[1]),
                            static_cast<std::int64_t>(toNumber(row[2])), *row[3] });
    }
    return entries;
}

TermRuns Storage::runs()
{
    const std::lock_guard lock(m_readMutex);
    const Reply reply = m_read->run("SELECT term, MAX(position) FROM standin_log GROUP BY term");
    TermRuns result;
    for (const auto &row : reply.rows)
        result[toNumber(row[0])] = toNumber(row[1]);
    return result;
}

std::uint64_t Storage::termAt(std::uint64_t position)
{
    const std::lock_guard lock(m_readMutex);
    const Reply reply = m_read->run("SELECT term FROM standin_log WHERE position = $1",
                                    { std::to_string(position) });
    return reply.rows.empty() ? 0 : toNumber(reply.rows[0][0]);
}

void Storage::waitForEntryAfter(std::uint64_t position, int timeoutMs)
{
    std::unique_lock lock(m_mutex);
    m_grown.wait_for(lock, std::chrono::milliseconds(timeoutMs),
                     [&] { return m_status.position > position; });
}

void Storage::addWriter(void *key, std::function<void()> abort)
{
    const std::lock_guard lock(m_writersMutex);
    m_writers[key] = std::move(abort);
}

void Storage::removeWriter(void *key)
{
    const std::lock_guard lock(m_writersMutex);
    m_writers.erase(key);
}

} // namespace standin
