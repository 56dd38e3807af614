#include "sqlite.h"

#include <sqlite3.h>

#include <chrono>
#include <cstdlib>
#include <cstring>
#include <thread>

namespace standin {

namespace {

/// A writer waits this long for the write lock before it gets a serialization failure.
constexpr int kBusyAttempts = 2000;
constexpr std::chrono::milliseconds kBusyPause { 1 };

std::string sqlStateOf(int extendedCode, const std::string &message)
{
    switch (extendedCode) {
    case SQLITE_CONSTRAINT_UNIQUE:
    case SQLITE_CONSTRAINT_PRIMARYKEY:
        return "23505";
    case SQLITE_CONSTRAINT_NOTNULL:
        return "23502";
    case SQLITE_CONSTRAINT_CHECK:
        return "23514";
    default:
        break;
    }
    const int code = extendedCode & 0xff;
    if (code == SQLITE_BUSY)
        return "40001";
    if (code == SQLITE_READONLY)
        return "25006";
    if (code != SQLITE_ERROR)
        return "XX000";
    if (message.rfind("no such table", 0) == 0)
        return "42P01";
    if (message.rfind("no such column", 0) == 0)
        return "42703";
    return "42601";
}

std::string tagOf(const std::string &sql, std::size_t rows, int changes)
{
    const auto startsWith = [&sql](const char *word) {
        const auto start = sql.find_first_not_of(" \t\r\n");
        return start != std::string::npos
            && strncasecmp(sql.c_str() + start, word, std::strlen(word)) == 0;
    };
    if (startsWith("insert") || startsWith("replace"))
        return "INSERT 0 " + std::to_string(changes);
    if (startsWith("update"))
        return "UPDATE " + std::to_string(changes);
    if (startsWith("delete"))
        return "DELETE " + std::to_string(changes);
    if (startsWith("create"))
        return "CREATE TABLE";
    return "SELECT " + std::to_string(rows);
}

void bindParams(sqlite3_stmt *statement, const std::vector<SqlValue> &params)
{
    for (int i = 1; i <= sqlite3_bind_parameter_count(statement); ++i) {
        const char *name = sqlite3_bind_parameter_name(statement, i);
        const long number = name != nullptr && name[0] == '$' ? std::atol(name + 1) : 0;
        if (number < 1 || static_cast<std::size_t>(number) > params.size())
            throw SqlFailure { "08P01", "parameter is not bound" };
        const SqlValue &value = params[static_cast<std::size_t>(number) - 1];
        if (value)
            sqlite3_bind_text(statement, i, value->data(), static_cast<int>(value->size()),
                              SQLITE_TRANSIENT);
    }
}

std::vector<std::string> columnNames(sqlite3_stmt *statement)
{
    std::vector<std::string> names;
    for (int i = 0; i < sqlite3_column_count(statement); ++i)
        names.emplace_back(sqlite3_column_name(statement, i));
    return names;
}

std::vector<SqlValue> readRow(sqlite3_stmt *statement)
{
    std::vector<SqlValue> row;
    for (int i = 0; i < sqlite3_column_count(statement); ++i) {
        const auto *text = reinterpret_cast<const char *>(sqlite3_column_text(statement, i));
        const auto length = static_cast<std::size_t>(sqlite3_column_bytes(statement, i));
        row.push_back(text == nullptr ? SqlValue() : SqlValue(std::string(text, length)));
    }
    return row;
}

} // namespace

Database::Database(const std::string &path, std::function<bool()> mayWait)
    : m_mayWait(std::move(mayWait))
{
    if (sqlite3_open(path.c_str(), &m_handle) != SQLITE_OK)
        fail();
    sqlite3_extended_result_codes(m_handle, 1);
    sqlite3_busy_handler(m_handle, &Database::onBusy, this);
    run("PRAGMA journal_mode=WAL");
    // A process killed at any point loses no commit; only a crash of the machine could.
    run("PRAGMA synchronous=NORMAL");
}

Database::~Database()
{
    sqlite3_close_v2(m_handle);
}

int Database::onBusy(void *self, int attempts)
{
    if (attempts >= kBusyAttempts || !static_cast<Database *>(self)->m_mayWait())
        return 0;
    std::this_thread::sleep_for(kBusyPause);
    return 1;
}

void Database::fail() const
{
    const std::string message = sqlite3_errmsg(m_handle);
    throw SqlFailure { sqlStateOf(sqlite3_extended_errcode(m_handle), message), message };
}

Database::Statement Database::prepare(const std::string &sql)
{
    sqlite3_stmt *raw = nullptr;
    const char *tail = nullptr;
    if (sqlite3_prepare_v2(m_handle, sql.c_str(), -1, &raw, &tail) != SQLITE_OK)
        fail();
    Statement statement(raw, &sqlite3_finalize);
    if (raw == nullptr || std::strspn(tail, " \t\r\n;") != std::strlen(tail))
        throw SqlFailure { "42601", "expected exactly one statement" };
    return statement;
}

Reply Database::run(const std::string &sql, const std::vector<SqlValue> &params)
{
    const Statement statement = prepare(sql);
    bindParams(statement.get(), params);
    Reply reply;
    reply.columns = columnNames(statement.get());
    int step = 0;
    while ((step = sqlite3_step(statement.get())) == SQLITE_ROW)
        reply.rows.push_back(readRow(statement.get()));
    if (step != SQLITE_DONE)
        fail();
    reply.tag = tagOf(sql, reply.rows.size(), sqlite3_changes(m_handle));
    return reply;
}

std::vector<std::string> Database::describe(const std::string &sql)
{
    return columnNames(prepare(sql).get());
}

bool Database::writes(const std::string &sql)
{
    return sqlite3_stmt_readonly(prepare(sql).get()) == 0;
}

bool Database::inTransaction() const
{
    return sqlite3_get_autocommit(m_handle) == 0;
}

void Database::rollback()
{
    if (inTransaction())
        run("ROLLBACK");
}

} // namespace standin
