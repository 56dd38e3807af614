// Stand-ins for the review's scripts: databases, platform, operator and requesters, as the users'
// pages describe them, and the start of the project's programs with the commands of
// deploy/system.toml. Everything listens on loopback addresses of its own.
#pragma once

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include <atomic>
#include <chrono>
#include <cmath>
#include <condition_variable>
#include <cstdarg>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <deque>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <random>
#include <set>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

namespace lab {

using Clock = std::chrono::steady_clock;
using namespace std::chrono_literals;

inline const Clock::time_point g_start = Clock::now();

inline double seconds()
{
    return std::chrono::duration<double>(Clock::now() - g_start).count();
}

inline void sleepFor(std::chrono::milliseconds d)
{
    std::this_thread::sleep_for(d);
}

/// Writes the record, one line for each thing that was sent, answered or run.
class Record
{
public:
    static Record &instance()
    {
        static Record record;
        return record;
    }
    bool open(const std::string &path)
    {
        m_file = fopen(path.c_str(), "w");
        return m_file != nullptr;
    }
    void line(const char *format, ...)
    {
        std::lock_guard lock(m_mutex);
        FILE *out = m_file != nullptr ? m_file : stdout;
        fprintf(out, "%9.3f ", seconds());
        va_list args;
        va_start(args, format);
        vfprintf(out, format, args);
        va_end(args);
        fputc('\n', out);
        fflush(out);
    }

private:
    std::mutex m_mutex;
    FILE *m_file = nullptr;
};

#define RECORD(...) lab::Record::instance().line(__VA_ARGS__)

/// The case could not run.
[[noreturn]] void cannotRun(const std::string &why);

// Sockets.

inline sockaddr_in addressOf(const std::string &ip, int port)
{
    sockaddr_in a {};
    a.sin_family = AF_INET;
    a.sin_port = htons(static_cast<uint16_t>(port));
    inet_pton(AF_INET, ip.c_str(), &a.sin_addr);
    return a;
}

inline int listenOn(const std::string &ip, int port)
{
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int one = 1;
    setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof one);
    const sockaddr_in a = addressOf(ip, port);
    if (bind(fd, reinterpret_cast<const sockaddr *>(&a), sizeof a) != 0 || listen(fd, 256) != 0) {
        close(fd);
        return -1;
    }
    return fd;
}

/// A port that is free on the address.
inline int freePort(const std::string &ip)
{
    const int fd = listenOn(ip, 0);
    sockaddr_in a {};
    socklen_t size = sizeof a;
    getsockname(fd, reinterpret_cast<sockaddr *>(&a), &size);
    close(fd);
    return ntohs(a.sin_port);
}

inline int connectTo(const std::string &ip, int port, int timeoutMs)
{
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
    const sockaddr_in a = addressOf(ip, port);
    connect(fd, reinterpret_cast<const sockaddr *>(&a), sizeof a);
    pollfd p { fd, POLLOUT, 0 };
    int error = 0;
    socklen_t size = sizeof error;
    if (poll(&p, 1, timeoutMs) <= 0 || getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &size) != 0
        || error != 0) {
        close(fd);
        return -1;
    }
    fcntl(fd, F_SETFL, fcntl(fd, F_GETFL) & ~O_NONBLOCK);
    const int one = 1;
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
    return fd;
}

inline bool sendAll(int fd, const std::string &bytes)
{
    std::size_t sent = 0;
    while (sent < bytes.size()) {
        const ssize_t n = ::send(fd, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
        if (n <= 0)
            return false;
        sent += static_cast<std::size_t>(n);
    }
    return true;
}

/// Reads lines that end with CR LF.
class LineReader
{
public:
    explicit LineReader(int fd)
        : m_fd(fd)
    {
    }
    /// nullopt at the end of the stream or after the time limit (-1: none).
    std::optional<std::string> next(int timeoutMs = -1)
    {
        const auto until = Clock::now() + std::chrono::milliseconds(timeoutMs);
        for (;;) {
            const std::size_t end = m_buffer.find("\r\n");
            if (end != std::string::npos) {
                std::string line = m_buffer.substr(0, end);
                m_buffer.erase(0, end + 2);
                return line;
            }
            int left = -1;
            if (timeoutMs >= 0)
                left = static_cast<int>(std::max<long long>(
                    0,
                    std::chrono::duration_cast<std::chrono::milliseconds>(until - Clock::now())
                        .count()));
            pollfd p { m_fd, POLLIN, 0 };
            if (poll(&p, 1, left) <= 0) {
                m_timedOut = true;
                return std::nullopt;
            }
            char buffer[65536];
            const ssize_t n = recv(m_fd, buffer, sizeof buffer, 0);
            if (n <= 0) {
                m_timedOut = false;
                return std::nullopt;
            }
            m_buffer.append(buffer, static_cast<std::size_t>(n));
        }
    }
    bool timedOut() const { return m_timedOut; }
    std::string takeBytes(std::size_t count)
    {
        while (m_buffer.size() < count) {
            char buffer[65536];
            const ssize_t n = recv(m_fd, buffer, sizeof buffer, 0);
            if (n <= 0)
                break;
            m_buffer.append(buffer, static_cast<std::size_t>(n));
        }
        std::string bytes = m_buffer.substr(0, count);
        m_buffer.erase(0, bytes.size());
        return bytes;
    }

private:
    int m_fd;
    std::string m_buffer;
    bool m_timedOut = false;
};

inline std::string takeWord(std::string &line)
{
    const std::size_t space = std::min(line.find(' '), line.size());
    const std::string word = line.substr(0, space);
    line.erase(0, std::min(space + 1, line.size()));
    return word;
}

// HTTP, as much as the platform and the operator need.

struct HttpReply
{
    int status = 0;
    std::string body;
};

inline HttpReply httpCall(const std::string &ip, int port, const std::string &method,
                          const std::string &path, const std::string &body, int timeoutMs)
{
    HttpReply reply;
    const int fd = connectTo(ip, port, timeoutMs);
    if (fd < 0)
        return reply;
    timeval limit { timeoutMs / 1000, (timeoutMs % 1000) * 1000 };
    setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof limit);
    std::ostringstream request;
    request << method << ' ' << path << " HTTP/1.1\r\nHost: " << ip << ':' << port
            << "\r\nContent-Type: application/json\r\nContent-Length: " << body.size()
            << "\r\nConnection: close\r\n\r\n"
            << body;
    if (sendAll(fd, request.str())) {
        LineReader reader(fd);
        std::size_t length = 0;
        if (auto line = reader.next(timeoutMs)) {
            takeWord(*line);
            reply.status = atoi(line->c_str());
            while (auto header = reader.next(timeoutMs)) {
                if (header->empty())
                    break;
                if (strncasecmp(header->c_str(), "content-length:", 15) == 0)
                    length = static_cast<std::size_t>(atol(header->c_str() + 15));
            }
            reply.body = reader.takeBytes(length);
        }
    }
    close(fd);
    return reply;
}

// Databases.

struct Position
{
    long term = 0;
    long number = 0;
    auto operator<=>(const Position &) const = default;
    std::string text() const { return std::to_string(term) + "." + std::to_string(number); }
};

struct Commit
{
    Position at;
    /// Ids of the statements of the commit (the single write, or the COMMIT).
    std::string id;
    std::vector<std::pair<std::string, std::string>> writes;
};

struct ControlAddresses
{
    std::vector<std::string> ips;
    int port = 0;
};

class Group;

/// One database. All state is guarded by the mutex of its group.
class Database
{
public:
    Database(Group &group, std::string id, std::string ip, int port, std::string zone);
    ~Database() { stop(); }

    void start(bool primary);
    /// Ends the process: its connections are closed and nothing listens.
    void crash();
    /// Starts again under the same id; `empty`: it holds and knows nothing of before.
    void restart(bool empty);
    void stop();
    void announceSoon() { m_announceNow = true; }
    Position end() const { return m_log.empty() ? Position { m_term, 0 } : m_log.back().at; }
    bool holds(const std::string &id) const
    {
        for (const Commit &c : m_log) {
            if (c.id == id)
                return true;
        }
        return false;
    }

    std::string id() const { return m_id; }

    // Faults, set by the scenario.
    /// Receives no commits.
    std::atomic<bool> deaf { false };
    /// Its heartbeats do not reach the control nodes.
    std::atomic<bool> cutFromControl { false };
    /// Time that a statement takes, distributed as in the site files (lognormal).
    std::atomic<double> meanWorkMs { 11 };
    double workSpread = 0.7;
    std::atomic<double> maxWorkMs { 82 };
    /// Statements that run at the same time, and that wait; more are refused.
    int slots = 5;
    int queue = 40;

private:
    friend class Group;
    struct Session
    {
        int fd = -1;
        std::string user;
        bool inTransaction = false;
        bool readOnly = false;
        bool failed = false;
        std::vector<std::pair<std::string, std::string>> writes;
        std::map<std::string, std::string> variables;
        std::map<std::string, std::pair<bool, std::string>> prepared;
    };
    struct Result
    {
        std::string lines;
        bool drop = false;
    };

    std::chrono::milliseconds workTime()
    {
        thread_local std::mt19937_64 random(std::random_device {}());
        std::lognormal_distribution<double> work(std::log(meanWorkMs) - workSpread * workSpread / 2,
                                                 workSpread);
        return std::chrono::milliseconds(
            static_cast<long>(std::min(work(random), maxWorkMs.load()) + 0.5));
    }
    void acceptLoop(int listener);
    void serve(int fd);
    void heartbeatLoop();
    std::string ready(const Session &s);
    std::string statusRow();
    std::string signature(const std::string &id);
    Result run(Session &s, const std::string &id, std::string text);
    Result commitWrites(Session &s, const std::string &id);

    Group &m_group;
    std::string m_id, m_ip, m_zone;
    int m_port;
    long long m_born = 0;
    long m_sequence = 0;
    bool m_alive = false;
    bool m_primary = false;
    long m_term = 1;
    long m_fence = 0;
    std::vector<Commit> m_log;
    std::map<std::string, std::string> m_data;
    std::set<int> m_fds;
    int m_listener = -1;
    std::atomic<bool> m_announceNow { false };
    std::atomic<bool> m_stopping { false };
    std::vector<std::thread> m_threads;
    std::atomic<long> m_epoch { 0 };
    std::mutex m_slotMutex;
    std::condition_variable m_slotFree;
    int m_busy = 0;
    int m_waiting = 0;
};

/// The databases of one service.
class Group
{
public:
    Group(std::string service, ControlAddresses control)
        : service(std::move(service))
        , control(std::move(control))
    {
        m_replicator = std::thread([this] {
            while (!m_stopping) {
                {
                    std::lock_guard lock(mutex);
                    replicate();
                }
                sleepFor(20ms);
            }
        });
    }
    ~Group()
    {
        m_stopping = true;
        m_replicator.join();
        for (auto &d : databases)
            d->stop();
    }

    Database &add(const std::string &id, const std::string &ip, int port, const std::string &zone)
    {
        databases.push_back(std::make_unique<Database>(*this, id, ip, port, zone));
        return *databases.back();
    }

    /// Delivers the commits of the primary of the newest term to the replicas that receive.
    void replicate()
    {
        Database *primary = nullptr;
        for (auto &d : databases) {
            if (d->m_alive && d->m_primary && (primary == nullptr || d->m_term > primary->m_term))
                primary = d.get();
        }
        if (primary == nullptr)
            return;
        for (auto &d : databases) {
            if (d.get() == primary || !d->m_alive || d->deaf || d->m_fence > primary->m_term)
                continue;
            if (d->m_primary && d->m_term < primary->m_term) {
                d->m_primary = false;
                d->announceSoon();
            }
            if (d->m_primary)
                continue;
            if (primary->deaf)
                continue;
            std::size_t same = 0;
            while (same < d->m_log.size() && same < primary->m_log.size()
                   && d->m_log[same].at == primary->m_log[same].at)
                ++same;
            if (same < d->m_log.size()) {
                d->m_log.resize(same);
                d->m_data.clear();
                for (const Commit &c : d->m_log) {
                    for (const auto &[k, v] : c.writes)
                        d->m_data[k] = v;
                }
            }
            for (; same < primary->m_log.size(); ++same) {
                d->m_log.push_back(primary->m_log[same]);
                for (const auto &[k, v] : d->m_log.back().writes)
                    d->m_data[k] = v;
            }
            d->m_term = primary->m_term;
        }
        changed.notify_all();
    }

    bool confirmed(const Database &primary, const Position &at)
    {
        for (auto &d : databases) {
            if (d.get() == &primary || !d->m_alive)
                continue;
            for (auto c = d->m_log.rbegin(); c != d->m_log.rend(); ++c) {
                if (c->at == at)
                    return true;
                if (c->at < at)
                    break;
            }
        }
        return false;
    }

    /// The platform promotes the database: it leads the next term with what it has received.
    bool promote(const std::string &id)
    {
        std::lock_guard lock(mutex);
        long newest = 0;
        Database *chosen = nullptr;
        for (auto &d : databases) {
            newest = std::max({ newest, d->m_term, d->end().term });
            if (d->m_id == id && d->m_alive)
                chosen = d.get();
        }
        if (chosen == nullptr)
            return false;
        if (chosen->m_primary && chosen->m_term == newest)
            return true;
        std::thread([this, chosen] {
            sleepFor(600ms);
            std::lock_guard again(mutex);
            if (!chosen->m_alive)
                return;
            long next = 0;
            for (auto &d : databases)
                next = std::max({ next, d->m_term, d->end().term });
            chosen->m_term = next + 1;
            chosen->m_primary = true;
            chosen->m_fence = 0;
            m_promoted = chosen;
            RECORD("platform: %s leads term %ld of %s with a log that ends at %s",
                   chosen->m_id.c_str(), chosen->m_term, service.c_str(),
                   chosen->end().text().c_str());
            for (const auto &[statement, at] : acknowledged) {
                if (!chosen->holds(statement)) {
                    ++lost;
                    RECORD("LOST: the commit %s of statement %s, which was acknowledged to its "
                           "requester, isn't in the log of %s",
                           at.text().c_str(), statement.c_str(), chosen->m_id.c_str());
                }
            }
            chosen->announceSoon();
            replicate();
        }).detach();
        return true;
    }

    /// Notes that a requester has been told that its commit succeeded.
    void noteAcknowledged(const std::string &statement)
    {
        std::lock_guard lock(mutex);
        for (auto &d : databases) {
            for (const Commit &c : d->m_log) {
                if (c.id == statement) {
                    acknowledged[statement] = c.at;
                    return;
                }
            }
        }
    }

    std::string service;
    ControlAddresses control;
    int heartbeatMs = 1200;
    std::recursive_mutex mutex;
    std::condition_variable_any changed;
    std::vector<std::unique_ptr<Database>> databases;
    std::map<std::string, Position> acknowledged;
    int lost = 0;
    /// Called for each statement that a database runs (user, id, text).
    std::function<void(const std::string &, const std::string &, const std::string &,
                       const std::string &)>
        onRun;

private:
    Database *m_promoted = nullptr;
    std::thread m_replicator;
    std::atomic<bool> m_stopping { false };
};

inline Database::Database(Group &group, std::string id, std::string ip, int port, std::string zone)
    : m_group(group)
    , m_id(std::move(id))
    , m_ip(std::move(ip))
    , m_zone(std::move(zone))
    , m_port(port)
{
}

inline long long unixMs()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(
               std::chrono::system_clock::now().time_since_epoch())
        .count();
}

inline void Database::start(bool primary)
{
    std::lock_guard lock(m_group.mutex);
    m_listener = listenOn(m_ip, m_port);
    if (m_listener < 0)
        cannotRun("no port for a database");
    m_primary = primary;
    m_born = unixMs();
    m_sequence = 0;
    m_alive = true;
    const long epoch = ++m_epoch;
    (void)epoch;
    m_threads.emplace_back([this, fd = m_listener] { acceptLoop(fd); });
    m_threads.emplace_back([this] { heartbeatLoop(); });
}

inline void Database::crash()
{
    std::lock_guard lock(m_group.mutex);
    if (!m_alive)
        return;
    m_alive = false;
    ++m_epoch;
    shutdown(m_listener, SHUT_RDWR);
    close(m_listener);
    for (const int fd : m_fds)
        shutdown(fd, SHUT_RDWR);
    m_group.changed.notify_all();
    RECORD("database %s: crashed, its log ends at %s", m_id.c_str(), end().text().c_str());
}

inline void Database::restart(bool empty)
{
    std::lock_guard lock(m_group.mutex);
    if (empty) {
        m_log.clear();
        m_data.clear();
        m_term = 0;
    }
    m_fence = 0;
    bool otherLeads = false;
    for (auto &d : m_group.databases)
        otherLeads = otherLeads || (d.get() != this && d->m_primary && d->m_term > m_term);
    const bool primary = m_primary && !otherLeads && !empty;
    start(primary);
    RECORD("database %s: started again as %s, its log ends at %s", m_id.c_str(),
           m_primary ? "primary" : "replica", end().text().c_str());
}

inline void Database::stop()
{
    if (m_stopping.exchange(true))
        return;
    {
        std::lock_guard lock(m_group.mutex);
        m_alive = false;
        ++m_epoch;
        if (m_listener >= 0)
            shutdown(m_listener, SHUT_RDWR);
        for (const int fd : m_fds)
            shutdown(fd, SHUT_RDWR);
        m_group.changed.notify_all();
    }
    for (std::thread &t : m_threads)
        t.join();
}

inline void Database::acceptLoop(int listener)
{
    const long epoch = m_epoch;
    for (;;) {
        const int fd = accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
        if (fd < 0 || m_epoch != epoch || m_stopping)
            return;
        const int one = 1;
        setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
        {
            std::lock_guard lock(m_group.mutex);
            m_fds.insert(fd);
        }
        std::thread([this, fd] { serve(fd); }).detach();
    }
}

inline void Database::heartbeatLoop()
{
    const long epoch = m_epoch;
    std::size_t target = 0;
    while (m_epoch == epoch && !m_stopping) {
        std::ostringstream body;
        {
            std::lock_guard lock(m_group.mutex);
            body << R"({"Service":")" << m_group.service << R"(","Address":")" << m_ip << ':'
                 << m_port << R"(","Zone":")" << m_zone
                 << R"(","Version":"v1","Slots":5,"State":"ready","ColdRemainingMs":0,"DbRole":")"
                 << (m_primary ? "primary" : "replica") << R"(","Sequence":)" << ++m_sequence
                 << R"(,"born":)" << m_born << "}";
        }
        m_announceNow = false;
        if (!cutFromControl) {
            for (std::size_t i = 0; i < m_group.control.ips.size(); ++i) {
                const HttpReply reply = httpCall(
                    m_group.control.ips[target % m_group.control.ips.size()], m_group.control.port,
                    "PUT", "/v1/instances/" + m_id, body.str(), 1000);
                if (reply.status / 100 == 2 || m_epoch != epoch)
                    break;
                ++target;
            }
        }
        for (int waited = 0; waited < m_group.heartbeatMs && !m_announceNow && m_epoch == epoch;
             waited += 10)
            sleepFor(10ms);
    }
}

inline std::string Database::ready(const Session &s)
{
    const char *state = s.failed ? "E" : s.inTransaction ? "T" : "I";
    return std::string("READY ") + state + " " + end().text() + "\r\n";
}

inline std::string Database::statusRow()
{
    std::ostringstream row;
    row << "DATAROW " << (m_primary ? "primary" : "replica") << ' ' << m_term << ' ' << end().text()
        << ' ' << m_fence << " 0 0 " << m_fds.size() << "\r\nCOMPLETE -\r\n";
    return row.str();
}

inline std::string Database::signature(const std::string &id)
{
    return "COMPLETE signed." + id + "." + m_id + "\r\n";
}

inline Database::Result Database::commitWrites(Session &s, const std::string &id)
{
    std::unique_lock lock(m_group.mutex);
    if (!m_primary)
        return { "ERROR READONLY " + m_id + "\r\n", false };
    const Position at { m_term, end().number + 1 };
    m_log.push_back({ at, id, s.writes });
    for (const auto &[k, v] : s.writes)
        m_data[k] = v;
    s.writes.clear();
    m_group.replicate();
    const long epoch = m_epoch;
    while (!m_group.confirmed(*this, at)) {
        m_group.changed.wait_for(lock, 50ms);
        if (m_epoch != epoch || !m_alive || m_stopping)
            return { "", true };
        if (!m_primary)
            return { "ERROR TIMEOUT no longer primary\r\n", false };
    }
    RECORD("database %s: commit %s of statement %s, confirmed", m_id.c_str(), at.text().c_str(),
           id.c_str());
    return { signature(id), false };
}

inline Database::Result Database::run(Session &s, const std::string &id, std::string text)
{
    std::string rest = text;
    std::string command = takeWord(rest);
    std::unique_lock lock(m_group.mutex);
    if (command == "WAITLSN") {
        const std::string wanted = takeWord(rest);
        Position p;
        sscanf(wanted.c_str(), "%ld.%ld", &p.term, &p.number);
        if (end() < p)
            return { "ERROR LAGGING " + m_id + "\r\n", false };
        command = takeWord(rest);
    }
    if (command == "STATUS")
        return { statusRow(), false };
    if (command == "PAUSE") {
        const long term = atol(rest.c_str());
        if (!m_primary && term > m_term)
            m_fence = std::max(m_fence, term);
        return { statusRow(), false };
    }
    if (command == "STEPDOWN") {
        if (m_primary && m_term < atol(rest.c_str())) {
            m_primary = false;
            announceSoon();
        }
        return { statusRow(), false };
    }
    if (command == "RESUME") {
        m_fence = 0;
        return { statusRow(), false };
    }
    if (command == "DISCARD") {
        s.variables.clear();
        s.prepared.clear();
        return { "COMPLETE -\r\n", false };
    }
    if (command == "SET") {
        const std::string name = takeWord(rest);
        s.variables[name] = rest;
        return { "COMPLETE -\r\n", false };
    }
    if (command == "PARSE") {
        const std::string name = takeWord(rest);
        const bool writes = takeWord(rest) == "WRITE";
        s.prepared[name] = { writes, rest };
        return { "COMPLETE -\r\n", false };
    }
    if (command == "CLOSE") {
        s.prepared.erase(rest);
        return { "COMPLETE -\r\n", false };
    }
    if (command == "ROLLBACK") {
        s.inTransaction = s.failed = false;
        s.writes.clear();
        return { "COMPLETE -\r\n", false };
    }
    if (s.failed && command != "COMMIT")
        return { "ERROR MALFORMED transaction failed\r\n", false };
    if (command == "BEGIN") {
        if (rest.empty() && !m_primary)
            return { "ERROR READONLY " + m_id + "\r\n", false };
        s.inTransaction = true;
        s.readOnly = !rest.empty();
        return { "COMPLETE -\r\n", false };
    }
    if (m_group.onRun)
        m_group.onRun(m_id, s.user, id, text);
    bool writes = command == "WRITE";
    if (command == "EXECUTE") {
        const auto prepared = s.prepared.find(takeWord(rest));
        if (prepared == s.prepared.end())
            return { "ERROR NOSTMT unknown\r\n", false };
        writes = prepared->second.first;
    }
    lock.unlock();
    // Gives the slot back on each way out.
    struct Slot
    {
        Database &d;
        ~Slot()
        {
            std::lock_guard lock(d.m_slotMutex);
            --d.m_busy;
            d.m_slotFree.notify_one();
        }
    };
    {
        std::unique_lock slot(m_slotMutex);
        if (m_busy >= slots && m_waiting >= queue)
            return { "ERROR BUSY " + m_id + "\r\n", false };
        ++m_waiting;
        m_slotFree.wait(slot, [&] { return m_busy < slots; });
        --m_waiting;
        ++m_busy;
    }
    const Slot slot { *this };
    sleepFor(workTime());
    lock.lock();
    RECORD("database %s: runs statement %s for %s: %s", m_id.c_str(), id.c_str(), s.user.c_str(),
           text.c_str());
    if (s.inTransaction && !s.readOnly && !m_primary
        && !(command == "COMMIT" && s.writes.empty())) {
        s.failed = true;
        return { "ERROR READONLY " + m_id + "\r\n", false };
    }
    if (command == "COMMIT") {
        s.inTransaction = false;
        if (s.failed) {
            s.failed = false;
            s.writes.clear();
            return { "ERROR ABORTED transaction failed\r\n", false };
        }
        if (s.writes.empty())
            return { signature(id), false };
        lock.unlock();
        return commitWrites(s, id);
    }
    if (writes) {
        if (!m_primary)
            return { "ERROR READONLY " + m_id + "\r\n", false };
        const std::string item = takeWord(rest);
        s.writes.emplace_back(item, rest);
        if (s.inTransaction)
            return { signature(id), false };
        lock.unlock();
        return commitWrites(s, id);
    }
    const std::string item = takeWord(rest);
    const auto value = m_data.find(item);
    return { "DATAROW " + item + "=" + (value == m_data.end() ? "none" : value->second) + "\r\n"
                 + signature(id),
             false };
}

inline void Database::serve(int fd)
{
    LineReader reader(fd);
    Session session;
    session.fd = fd;
    const auto first = reader.next();
    if (first && !m_stopping) {
        std::string line = *first;
        const std::string command = takeWord(line);
        const std::string service = takeWord(line);
        session.user = takeWord(line);
        if (command != "STARTUP" || service != m_group.service || (!line.empty() && line != m_id)) {
            sendAll(fd, "ERROR MISROUTED " + m_id + "\r\n");
        } else {
            std::string hello;
            {
                std::lock_guard lock(m_group.mutex);
                hello = ready(session);
            }
            sendAll(fd, hello);
            while (auto next = reader.next()) {
                std::string rest = *next;
                const std::string kind = takeWord(rest);
                if (kind != "QUERY")
                    break;
                const std::string id = takeWord(rest);
                const long epoch = m_epoch;
                const Result result = run(session, id, rest);
                if (result.drop || m_epoch != epoch || m_stopping)
                    break;
                if (session.inTransaction && result.lines.starts_with("ERROR"))
                    session.failed = true;
                std::string answer = result.lines;
                {
                    std::lock_guard lock(m_group.mutex);
                    answer += ready(session);
                }
                if (!sendAll(fd, answer))
                    break;
            }
        }
    }
    std::lock_guard lock(m_group.mutex);
    m_fds.erase(fd);
    close(fd);
}

// Platform.

/// Serves POST /promote.
class Platform
{
public:
    Platform(std::string ip, int port, std::vector<Group *> groups)
        : m_groups(std::move(groups))
    {
        m_listener = listenOn(ip, port);
        if (m_listener < 0)
            cannotRun("no port for the platform");
        m_thread = std::thread([this] {
            for (;;) {
                const int fd = accept4(m_listener, nullptr, nullptr, SOCK_CLOEXEC);
                if (fd < 0)
                    return;
                std::thread([this, fd] { serve(fd); }).detach();
            }
        });
    }
    ~Platform()
    {
        shutdown(m_listener, SHUT_RDWR);
        m_thread.join();
    }

private:
    static std::string field(const std::string &body, const std::string &name)
    {
        const std::size_t at = body.find("\"" + name + "\":\"");
        if (at == std::string::npos)
            return "";
        const std::size_t from = at + name.size() + 4;
        return body.substr(from, body.find('"', from) - from);
    }
    void serve(int fd)
    {
        LineReader reader(fd);
        while (auto request = reader.next()) {
            std::size_t length = 0;
            std::string holder, token;
            while (auto header = reader.next()) {
                if (header->empty())
                    break;
                if (strncasecmp(header->c_str(), "content-length:", 15) == 0)
                    length = static_cast<std::size_t>(atol(header->c_str() + 15));
                if (strncasecmp(header->c_str(), "duty-holder:", 12) == 0)
                    holder = header->substr(13);
                if (strncasecmp(header->c_str(), "fencing-token:", 14) == 0)
                    token = header->substr(15);
            }
            const std::string body = reader.takeBytes(length);
            const std::string service = field(body, "Service"), id = field(body, "Id");
            bool done = false;
            for (Group *g : m_groups) {
                if (g->service == service)
                    done = g->promote(id);
            }
            RECORD("platform: promote %s of %s by %s with token %s: %s", id.c_str(),
                   service.c_str(), holder.c_str(), token.c_str(), done ? "200" : "409");
            if (!sendAll(fd,
                         std::string("HTTP/1.1 ") + (done ? "200 OK" : "409 Conflict")
                             + "\r\nContent-Type: application/json\r\nContent-Length: "
                               "2\r\n\r\n{}"))
                break;
        }
        close(fd);
    }
    std::vector<Group *> m_groups;
    int m_listener;
    std::thread m_thread;
};

// Requesters.

struct Answer
{
    std::vector<std::string> rows;
    /// Signature of COMPLETE.
    std::string complete;
    /// Code and text of ERROR.
    std::string error;
    /// State of READY; empty if the answer did not end.
    std::string state;
    bool timedOut = false;
    bool closed = false;
    bool ok() const { return error.empty() && !complete.empty() && !state.empty(); }
    std::string text() const
    {
        std::string t;
        for (const std::string &row : rows)
            t += "row " + row + "; ";
        if (!complete.empty())
            t += "complete " + complete + "; ";
        if (!error.empty())
            t += "error " + error + "; ";
        return t + (closed ? "connection ended" : timedOut ? "no answer" : "ready " + state);
    }
};

class Requester
{
public:
    Requester(std::string name, std::string ip, int port)
        : m_name(std::move(name))
        , m_ip(std::move(ip))
        , m_port(port)
    {
    }
    ~Requester() { end(); }
    Requester(const Requester &) = delete;
    void end()
    {
        if (m_fd >= 0)
            close(m_fd);
        m_fd = -1;
    }
    bool start(const std::string &database, const std::string &key)
    {
        m_fd = connectTo(m_ip, m_port, 2000);
        if (m_fd < 0)
            return false;
        m_reader = std::make_unique<LineReader>(m_fd);
        sendAll(m_fd, "STARTUP " + database + " " + key + "\r\n");
        const auto line = m_reader->next(2000);
        RECORD("requester %s: STARTUP %s: %s", m_name.c_str(), database.c_str(),
               line ? line->c_str() : "no answer");
        return line && line->starts_with("READY");
    }
    std::string newId()
    {
        static std::atomic<unsigned> last { 0 };
        char id[32];
        snprintf(id, sizeof id, "%08x%08x", static_cast<unsigned>(getpid()), ++last);
        return id;
    }
    bool sendQuery(const std::string &id, const std::string &text)
    {
        RECORD("requester %s: sends %s: %s", m_name.c_str(), id.c_str(), text.c_str());
        return sendAll(m_fd, "QUERY " + id + " " + text + "\r\n");
    }
    Answer receive(int timeoutMs)
    {
        Answer answer;
        const auto until = Clock::now() + std::chrono::milliseconds(timeoutMs);
        for (;;) {
            const int left = static_cast<int>(std::max<long long>(
                0,
                std::chrono::duration_cast<std::chrono::milliseconds>(until - Clock::now())
                    .count()));
            auto line = m_reader->next(left);
            if (!line) {
                answer.timedOut = m_reader->timedOut();
                answer.closed = !answer.timedOut;
                return answer;
            }
            const std::string kind = takeWord(*line);
            if (kind == "DATAROW")
                answer.rows.push_back(*line);
            else if (kind == "COMPLETE")
                answer.complete = *line;
            else if (kind == "ERROR")
                answer.error = *line;
            else if (kind == "READY") {
                answer.state = takeWord(*line);
                return answer;
            }
        }
    }
    Answer query(const std::string &text, int timeoutMs = 4000, std::string *usedId = nullptr)
    {
        const std::string id = newId();
        if (usedId != nullptr)
            *usedId = id;
        Answer answer;
        if (!sendQuery(id, text))
            answer.closed = true;
        else
            answer = receive(timeoutMs);
        RECORD("requester %s: %s is answered: %s", m_name.c_str(), id.c_str(),
               answer.text().c_str());
        return answer;
    }
    const std::string &name() const { return m_name; }

private:
    std::string m_name, m_ip;
    int m_port;
    int m_fd = -1;
    std::unique_ptr<LineReader> m_reader;
};

// The project's programs.

struct Process
{
    std::string name;
    std::vector<std::string> arguments;
    std::vector<std::string> environment;
    std::string log;
    pid_t pid = -1;

    void start()
    {
        std::vector<char *> argv, envp;
        for (std::string &a : arguments)
            argv.push_back(a.data());
        argv.push_back(nullptr);
        for (std::string &e : environment)
            envp.push_back(e.data());
        envp.push_back(nullptr);
        pid = fork();
        if (pid == 0) {
            const int fd = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
            const int null = open("/dev/null", O_RDONLY);
            dup2(null, 0);
            dup2(fd, 1);
            dup2(fd, 2);
            sigset_t none;
            sigemptyset(&none);
            sigprocmask(SIG_SETMASK, &none, nullptr);
            // The program must not outlive this one.
            prctl(PR_SET_PDEATHSIG, SIGKILL);
            execve(argv[0], argv.data(), envp.data());
            _exit(127);
        }
        RECORD("process %s: started, id %d", name.c_str(), static_cast<int>(pid));
    }
    void signal(int number)
    {
        if (pid > 0) {
            RECORD("process %s: signal %d", name.c_str(), number);
            ::kill(pid, number);
        }
    }
    /// Waits for the end; false after the time limit.
    bool wait(int timeoutMs)
    {
        const auto until = Clock::now() + std::chrono::milliseconds(timeoutMs);
        while (pid > 0) {
            int status = 0;
            if (waitpid(pid, &status, WNOHANG) == pid) {
                RECORD("process %s: ended, status 0x%x", name.c_str(), status);
                pid = -1;
                return true;
            }
            if (Clock::now() >= until)
                return false;
            sleepFor(5ms);
        }
        return true;
    }
    void kill()
    {
        signal(SIGKILL);
        wait(5000);
    }
};

struct Deployment;
inline Deployment *g_deployment = nullptr;

/// Control and entry nodes of a small deployment.
struct Deployment
{
    std::string base;
    std::string folder;
    std::vector<std::string> zones { "vast-a", "norr-a", "ost-a" };
    std::vector<std::string> regions { "vast", "norr", "ost" };
    std::vector<Process> control, entry;
    ControlAddresses controlAddresses;
    std::vector<std::string> entryIps;
    int frontPort = 0, readyPort = 0, peerPort = 0, httpPort = 0;
    std::string platformIp;
    int platformPort = 0;

    std::string ip(int last) const { return base + std::to_string(last); }

    explicit Deployment(int entries)
    {
        g_deployment = this;
        const int pid = getpid();
        base = "127." + std::to_string(64 + pid % 128) + "." + std::to_string(pid / 128 % 250 + 1)
            + ".";
        char name[] = "/tmp/review-XXXXXX";
        folder = mkdtemp(name);
        std::vector<int> ports;
        for (int i = 0; i < 6; ++i)
            ports.push_back(freePort(ip(1)));
        frontPort = ports[0];
        readyPort = ports[1];
        peerPort = ports[2];
        httpPort = ports[3];
        controlAddresses.port = ports[4];
        platformPort = ports[5];
        platformIp = ip(250);
        for (int i = 0; i < 3; ++i)
            controlAddresses.ips.push_back(ip(1 + i));
        for (int i = 0; i < entries; ++i)
            entryIps.push_back(ip(11 + i));
        for (int i = 0; i < 3; ++i)
            control.push_back(makeProcess("control", "core-" + zones[i], ip(1 + i), i));
        for (int i = 0; i < entries; ++i)
            entry.push_back(
                makeProcess("entry", "front-" + std::to_string(i + 1), ip(11 + i), i % 3));
    }
    /// The arguments of the role's command in deploy/system.toml, with its fields filled in.
    Process makeProcess(const std::string &role, const std::string &name, const std::string &ip,
                        int zone)
    {
        std::string seeds;
        for (const std::string &s : controlAddresses.ips)
            seeds += (seeds.empty() ? "" : ",") + s + ":" + std::to_string(controlAddresses.port);
        const std::string data = folder + "/" + name;
        mkdir(data.c_str(), 0755);
        const std::map<std::string, std::string> fields {
            { "{{Ip}}", ip },
            { "{{Zone}}", zones[zone] },
            { "{{Region}}", regions[zone] },
            { "{{InternalPorts.0}}", std::to_string(peerPort) },
            { "{{InternalPorts.1}}", std::to_string(httpPort) },
            { "{{Seeds}}", seeds },
            { "{{Listen.Front}}", ip + ":" + std::to_string(frontPort) },
            { "{{Listen.Readiness}}", ip + ":" + std::to_string(readyPort) },
            { "{{Listen.Control}}", ip + ":" + std::to_string(controlAddresses.port) },
            { "{{FaultTolerance.Machines}}", "1" },
            { "{{CloudApi.Address}}", platformIp + ":" + std::to_string(platformPort) },
            { "{{DataDir}}", data },
            { "{{Bootstrap}}", "true" },
        };
        const auto fill = [&](std::string text) {
            for (const auto &[field, value] : fields) {
                for (std::size_t at = text.find(field); at != std::string::npos;
                     at = text.find(field))
                    text.replace(at, field.size(), value);
            }
            return text;
        };
        std::ifstream file("deploy/system.toml");
        std::string line, section;
        Process process;
        process.name = name;
        process.log = folder + "/" + name + ".log";
        for (const char *variable : { "PATH", "HOME", "LANG" }) {
            if (getenv(variable) != nullptr)
                process.environment.push_back(std::string(variable) + "=" + getenv(variable));
        }
        while (std::getline(file, line)) {
            if (line.starts_with("["))
                section = line;
            if (section != "[roles." + role + "]")
                continue;
            if (line.starts_with("run = \"")) {
                std::istringstream words(line.substr(7, line.rfind('"') - 7));
                std::string word;
                while (words >> word)
                    process.arguments.push_back(fill(word));
            }
            if (line.starts_with("env = { ")) {
                const std::size_t equals = line.find(" = \"");
                const std::size_t from = line.find("{ ") + 2;
                const std::size_t second = line.find(" = \"", from);
                (void)equals;
                process.environment.push_back(
                    line.substr(from, second - from) + "="
                    + fill(line.substr(second + 4, line.rfind('"') - second - 4)));
            }
        }
        if (process.arguments.empty())
            cannotRun("no command of the role " + role);
        if (access(process.arguments[0].c_str(), X_OK) != 0)
            cannotRun("not built: " + process.arguments[0]);
        return process;
    }
    void start()
    {
        for (Process &p : control)
            p.start();
        for (Process &p : entry)
            p.start();
    }
    /// The settings of later starts name these control machines as seeds.
    void setSeeds(const std::vector<std::string> &ips)
    {
        std::string seeds;
        for (const std::string &s : ips)
            seeds += (seeds.empty() ? "" : ",") + s + ":" + std::to_string(controlAddresses.port);
        for (auto *processes : { &control, &entry }) {
            for (Process &p : *processes) {
                for (std::size_t i = 0; i + 1 < p.arguments.size(); ++i) {
                    if (p.arguments[i] == "--control-seeds")
                        p.arguments[i + 1] = seeds;
                }
            }
        }
        RECORD("platform: the seeds are %s", seeds.c_str());
    }
    /// A later start, after which the system is no longer new.
    void restart(Process &p)
    {
        for (std::string &e : p.environment) {
            if (e == "SHALLOTLEVER_MAY_FOUND=true")
                e = "SHALLOTLEVER_MAY_FOUND=false";
        }
        p.start();
    }
    /// Sends the configuration until it is acknowledged.
    bool putConfig(const std::string &document, int timeoutMs)
    {
        const auto until = Clock::now() + std::chrono::milliseconds(timeoutMs);
        for (std::size_t i = 0; Clock::now() < until; ++i) {
            const HttpReply reply = httpCall(controlAddresses.ips[i % 3], controlAddresses.port,
                                             "PUT", "/v1/config", document, 1000);
            if (reply.status == 200) {
                RECORD("operator: acknowledged: %s", document.c_str());
                return true;
            }
            if (reply.status / 100 == 4) {
                RECORD("operator: refused with %d: %s", reply.status, document.c_str());
                return false;
            }
            sleepFor(100ms);
        }
        return false;
    }
    bool ready(std::size_t i)
    {
        return httpCall(entryIps[i], readyPort, "GET", "/v1/ready", "", 500).status == 200;
    }
    void awaitReady(int timeoutMs)
    {
        const auto until = Clock::now() + std::chrono::milliseconds(timeoutMs);
        for (std::size_t i = 0; i < entryIps.size();) {
            if (ready(i))
                ++i;
            else if (Clock::now() >= until)
                cannotRun("the entry nodes don't become ready");
            else
                sleepFor(100ms);
        }
    }
};

inline void cannotRun(const std::string &why)
{
    fprintf(stderr, "cannot run: %s\n", why.c_str());
    RECORD("cannot run: %s", why.c_str());
    if (g_deployment != nullptr) {
        for (Process &p : g_deployment->entry)
            p.kill();
        for (Process &p : g_deployment->control)
            p.kill();
    }
    _exit(2);
}

/// Ends all processes and the program. The threads of the stand-ins are not waited for.
[[noreturn]] inline void finish(int status)
{
    if (g_deployment != nullptr) {
        for (Process &p : g_deployment->entry)
            p.kill();
        for (Process &p : g_deployment->control)
            p.kill();
        if (getenv("KEEP_LOGS") == nullptr) {
            const std::string command = "rm -rf '" + g_deployment->folder + "'";
            if (system(command.c_str()) != 0)
                RECORD("the temporary folder was not removed");
        }
    }
    _exit(status);
}

/// Ends the processes of the deployment if the script is stopped.
inline void handleStop(int)
{
    if (g_deployment != nullptr) {
        for (Process &p : g_deployment->entry) {
            if (p.pid > 0)
                ::kill(p.pid, SIGKILL);
        }
        for (Process &p : g_deployment->control) {
            if (p.pid > 0)
                ::kill(p.pid, SIGKILL);
        }
    }
    _exit(2);
}

/// Opens the record, and limits the run to 115 s. Returns whether the disruption is wanted.
inline bool begin(int argc, char **argv)
{
    if (argc != 2) {
        fprintf(stderr, "usage: %s RECORD_FILE\n", argv[0]);
        exit(2);
    }
    ::signal(SIGPIPE, SIG_IGN);
    ::signal(SIGTERM, handleStop);
    ::signal(SIGINT, handleStop);
    ::signal(SIGALRM, handleStop);
    alarm(115);
    if (!Record::instance().open(argv[1])) {
        fprintf(stderr, "cannot write %s\n", argv[1]);
        exit(2);
    }
    const char *trouble = getenv("TROUBLE");
    const bool wanted = trouble == nullptr || std::string(trouble) != "0";
    RECORD("disruption: %s", wanted ? "yes" : "no");
    return wanted;
}

inline std::string route(const std::string &host, const std::string &service,
                         const std::string &type, int timeoutMs, int staleMs, bool exempt = false)
{
    std::ostringstream r;
    r << R"({"Name":"r-)" << host << R"(","Host":")" << host
      << R"(","PathPrefix":"/","RouteType":")" << type << R"(","TimeoutMs":)" << timeoutMs
      << R"(,"TargetLatencyMs":800,"Priority":1,"Service":")" << service << R"(","MaxAttempts":2,)"
      << (staleMs > 0 ? "\"MaxStalenessMs\":" + std::to_string(staleMs) + "," : "")
      << R"("AuthExempt":)" << (exempt ? "true" : "false") << "}";
    return r.str();
}

inline std::string tenant(const std::string &name, const std::vector<std::string> &keys, int rate)
{
    std::ostringstream t;
    t << R"({"Name":")" << name << R"(","ApiKeys":[)";
    for (std::size_t i = 0; i < keys.size(); ++i)
        t << (i > 0 ? "," : "") << '"' << keys[i] << '"';
    t << R"(],"Priority":1,"RatePerS":)" << rate << R"(,"Burst":)" << rate << "}";
    return t.str();
}

inline std::string config(long version, const std::vector<std::string> &routes,
                          const std::vector<std::string> &services,
                          const std::vector<std::string> &tenants)
{
    const auto join = [](const std::vector<std::string> &items) {
        std::string all;
        for (const std::string &item : items)
            all += (all.empty() ? "" : ",") + item;
        return all;
    };
    std::vector<std::string> serviceObjects;
    for (const std::string &s : services)
        serviceObjects.push_back(
            R"({"Name":")" + s
            + R"(","HealthPath":"/health","MaxConns":32,"Protocol":"h1","Tls":false,"SyncReplicas":1})");
    return R"({"Version":)" + std::to_string(version) + R"(,"Routes":[)" + join(routes)
        + R"(],"Services":[)" + join(serviceObjects)
        + R"(],"Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":262144,"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000,"TxnIdleMs":3000},"Tenants":[)"
        + join(tenants) + "]}";
}

} // namespace lab
