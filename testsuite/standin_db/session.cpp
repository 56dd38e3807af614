#include "session.h"

#include <algorithm>
#include <chrono>
#include <regex>
#include <thread>

namespace standin {

namespace {

std::string upperCase(std::string text)
{
    std::transform(text.begin(), text.end(), text.begin(),
                   [](unsigned char c) { return static_cast<char>(std::toupper(c)); });
    return text;
}

std::string firstWord(const std::string &sql)
{
    const auto start = sql.find_first_not_of(" \t\r\n;");
    if (start == std::string::npos)
        return {};
    return upperCase(sql.substr(start, sql.find_first_of(" \t\r\n;(", start) - start));
}

bool isSessionCommand(const std::string &word)
{
    for (const char *known :
         { "BEGIN", "START", "COMMIT", "END", "ROLLBACK", "ABORT", "DISCARD", "SET", "SHOW" }) {
        if (word == known)
            return true;
    }
    return false;
}

const std::regex &controlPattern()
{
    static const std::regex pattern(
        R"(\s*select\s+shallotlever_(status|fence|promote)\s*\(\s*(\$1|\d*)\s*\)\s*;?\s*)",
        std::regex::icase);
    return pattern;
}

class SlotHolder
{
public:
    explicit SlotHolder(Slots &slots)
        : m_slots(slots)
    {
        m_slots.acquire();
    }
    ~SlotHolder() { m_slots.release(); }

private:
    Slots &m_slots;
};

} // namespace

void Slots::acquire()
{
    std::unique_lock lock(m_mutex);
    m_released.wait(lock, [this] { return m_free > 0; });
    --m_free;
}

void Slots::release()
{
    {
        const std::lock_guard lock(m_mutex);
        ++m_free;
    }
    m_released.notify_one();
}

Session::Session(Storage &storage, Faults &faults, Slots &slots)
    : m_storage(storage)
    , m_faults(faults)
    , m_slots(slots)
{
    openDatabase();
    m_storage.addWriter(this, [this] { abortWrite(); });
}

Session::~Session()
{
    m_storage.removeWriter(this);
}

void Session::openDatabase()
{
    m_database = std::make_unique<Database>(m_storage.dataFile(),
                                            [this] { return m_storage.status().acceptsWrites(); });
}

Reply Session::run(const std::string &sql, const std::vector<SqlValue> &params)
{
    std::smatch match;
    if (std::regex_match(sql, match, controlPattern()))
        return runControl(match[1], match[2], params);
    const std::string word = firstWord(sql);
    if (word.empty())
        return {};
    if (!isSessionCommand(word))
        return runStatement(sql, params);
    const std::lock_guard lock(m_mutex);
    return runSessionCommand(word, sql);
}

std::vector<std::string> Session::describe(const std::string &sql)
{
    std::smatch match;
    if (std::regex_match(sql, match, controlPattern()))
        return { "shallotlever_" + match[1].str() };
    const std::string word = firstWord(sql);
    if (word == "SHOW")
        return { "setting" };
    const std::lock_guard lock(m_mutex);
    if (word.empty() || isSessionCommand(word) || m_state == State::Failed)
        return {};
    return m_database->describe(sql);
}

char Session::transactionStatus() const
{
    const std::lock_guard lock(m_mutex);
    return m_state == State::Idle ? 'I' : m_state == State::Open ? 'T' : 'E';
}

void Session::markFailed()
{
    const std::lock_guard lock(m_mutex);
    if (m_state == State::Open)
        m_state = State::Failed;
}

Reply Session::runControl(const std::string &name, const std::string &argument,
                          const std::vector<SqlValue> &params)
{
    const std::string text =
        argument == "$1" && !params.empty() ? params[0].value_or("") : argument;
    if (name != "status" && (text.empty() || text.find_first_not_of("0123456789") != text.npos))
        throw SqlFailure { "22P02", "the term must be a number" };
    Status status;
    if (name == "status")
        status = m_storage.status();
    else if (name == "fence")
        status = m_storage.fence(std::stoull(text));
    else
        status = m_storage.promote(std::stoull(text));
    return { { "shallotlever_" + name }, { { status.text() } }, "SELECT 1" };
}

Reply Session::runSessionCommand(const std::string &word, const std::string &sql)
{
    if (word == "COMMIT" || word == "END")
        return commit();
    if (word == "ROLLBACK" || word == "ABORT")
        return rollback();
    if (m_state == State::Failed)
        throw SqlFailure { "25P02", "the transaction has failed; roll it back" };
    if (word == "BEGIN" || word == "START")
        return begin(sql);
    if (word == "DISCARD")
        return discardAll();
    static const std::regex pattern(R"(\s*\w+\s+(\w+)\s*(?:=|to)?\s*'?([^';]*)'?\s*;?\s*)",
                                    std::regex::icase);
    std::smatch match;
    if (!std::regex_match(sql, match, pattern))
        throw SqlFailure { "42601", "syntax error in " + word };
    if (word == "SHOW")
        return { { "setting" }, { { m_settings[match[1]] } }, "SHOW" };
    m_settings[match[1]] = match[2];
    return { {}, {}, "SET" };
}

Reply Session::begin(const std::string &sql)
{
    if (m_state == State::Open)
        return { {}, {}, "BEGIN" };
    m_readOnly = upperCase(sql).find("READ ONLY") != std::string::npos;
    m_abortedByFence = false;
    // The write lock is taken at once: a snapshot taken first could not be upgraded after another
    // writer's commit, and every second writer would get a serialization failure.
    m_holdsWriteLock = !m_readOnly && m_storage.status().acceptsWrites();
    m_database->run(m_holdsWriteLock ? "BEGIN IMMEDIATE" : "BEGIN");
    m_state = State::Open;
    return { {}, {}, "BEGIN" };
}

void Session::finish()
{
    m_database->rollback();
    m_state = State::Idle;
    m_holdsWriteLock = false;
    m_readOnly = false;
    m_writes.clear();
}

Reply Session::commit()
{
    if (m_abortedByFence) {
        m_abortedByFence = false;
        finish();
        throw SqlFailure { "57P04", "commit refused: the database is fenced at a higher term" };
    }
    if (m_state != State::Open)
        return rollback();
    try {
        if (m_writes.empty())
            m_database->run("COMMIT");
        else
            m_storage.commit(*m_database, m_writes);
    } catch (const SqlFailure &) {
        finish();
        throw;
    }
    finish();
    return { {}, {}, "COMMIT" };
}

Reply Session::rollback()
{
    m_abortedByFence = false;
    finish();
    return { {}, {}, "ROLLBACK" };
}

Reply Session::discardAll()
{
    if (m_state != State::Idle)
        throw SqlFailure { "25001", "DISCARD ALL cannot run inside a transaction" };
    m_settings.clear();
    openDatabase();
    return { {}, {}, "DISCARD ALL" };
}

void Session::abortWrite()
{
    const std::lock_guard lock(m_mutex);
    if (m_state == State::Idle || !m_holdsWriteLock)
        return;
    m_database->rollback();
    m_holdsWriteLock = false;
    m_state = State::Failed;
    m_abortedByFence = true;
}

Reply Session::runStatement(const std::string &sql, const std::vector<SqlValue> &params)
{
    ++m_faults.statements;
    bool writes = false;
    bool implicit = false;
    {
        const std::lock_guard lock(m_mutex);
        if (m_state == State::Failed)
            throw SqlFailure { "25P02", "the transaction has failed; roll it back" };
        writes = m_database->writes(sql);
        implicit = writes && m_state == State::Idle;
    }
    if (writes)
        m_storage.requireWritable();
    {
        const SlotHolder slot(m_slots);
        std::this_thread::sleep_for(std::chrono::milliseconds(m_faults.statementTimeMs));
        if (!implicit)
            return execute(sql, params, writes);
    }
    // A wait for the write lock takes no slot, or its holder might never get one.
    return executeImplicitWrite(sql, params);
}

Reply Session::execute(const std::string &sql, const std::vector<SqlValue> &params, bool writes)
{
    const std::lock_guard lock(m_mutex);
    if (m_state == State::Failed)
        throw SqlFailure { "25P02", "the transaction has failed; roll it back" };
    if (writes && m_readOnly)
        throw SqlFailure { "25006", "cannot write in a read-only transaction" };
    m_holdsWriteLock = m_holdsWriteLock || writes;
    Reply reply = m_database->run(sql, params);
    if (writes)
        m_writes.push_back({ sql, params });
    return reply;
}

Reply Session::executeImplicitWrite(const std::string &sql, const std::vector<SqlValue> &params)
{
    const std::lock_guard lock(m_mutex);
    try {
        m_database->run("BEGIN IMMEDIATE");
        Reply reply = m_database->run(sql, params);
        m_storage.commit(*m_database, { { sql, params } });
        return reply;
    } catch (const SqlFailure &) {
        m_database->rollback();
        throw;
    }
}

} // namespace standin
