#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

struct sqlite3;
struct sqlite3_stmt;

namespace standin {

using SqlValue = std::optional<std::string>;

/// An error answer of the database; thrown.
struct SqlFailure
{
    std::string state;
    std::string message;
};

struct Reply
{
    std::vector<std::string> columns;
    std::vector<std::vector<SqlValue>> rows;
    std::string tag;
};

/// One SQLite connection to the WAL-mode data file. Errors are thrown as SqlFailure with the
/// SQLSTATE that PostgreSQL gives in the same case.
class Database
{
public:
    /// `mayWait` ends the wait for the write lock early when it returns false.
    explicit Database(
        const std::string &path, std::function<bool()> mayWait = [] { return true; });
    ~Database();
    Database(const Database &) = delete;
    Database &operator=(const Database &) = delete;

    Reply run(const std::string &sql, const std::vector<SqlValue> &params = {});
    std::vector<std::string> describe(const std::string &sql);
    bool writes(const std::string &sql);
    bool inTransaction() const;
    void rollback();

private:
    using Statement = std::unique_ptr<sqlite3_stmt, int (*)(sqlite3_stmt *)>;
    Statement prepare(const std::string &sql);
    [[noreturn]] void fail() const;
    static int onBusy(void *self, int attempts);

    sqlite3 *m_handle = nullptr;
    std::function<bool()> m_mayWait;
};

} // namespace standin
