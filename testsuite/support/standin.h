#pragma once

#include <QJsonObject>
#include <QTemporaryDir>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "program.h"
#include "shallotlever/upstream/connection.h"
#include "shallotlever/upstream/control.h"

namespace shallotlever::support {

/// One stand-in database. Its data survive kill() and restart().
class StandinDb
{
public:
    explicit StandinDb(std::string id, std::vector<std::string> options = {});

    const std::string &id() const { return m_id; }
    Program &program() { return *m_program; }
    Endpoint endpoint() const { return { "127.0.0.1", m_program->port("port") }; }
    ConnectionParams params(std::string_view user = "caller") const;
    UpstreamControl control() const;

    /// Sends a fault command; throws std::runtime_error unless the answer is "ok".
    void command(const std::string &line);
    QJsonObject stats();
    void kill() { m_program->kill(); }
    /// Starts again on the same data and on a new port.
    void restart();

private:
    std::string ask(const std::string &line);

    std::string m_id;
    std::vector<std::string> m_options;
    QTemporaryDir m_directory;
    std::unique_ptr<Program> m_program;
};

/// Databases of one service; the first is the initial primary.
class StandinGroup
{
public:
    explicit StandinGroup(const std::vector<std::string> &ids,
                          const std::vector<std::string> &options = {});

    StandinDb &operator[](const std::string &id) { return *m_databases.at(id); }
    /// Tells each running database the addresses of the others. Call after a restart.
    void connectPeers();
    /// Restarts the database and tells the others its address.
    void restart(const std::string &id);

private:
    std::map<std::string, std::unique_ptr<StandinDb>> m_databases;
};

/// Blocking forms for tests.
std::unique_ptr<UpstreamConnection> openConnection(const ConnectionParams &params);
absl::Status openStatus(const ConnectionParams &params);
QueryReply query(UpstreamConnection &connection, std::string_view sql,
                 const std::vector<SqlValue> &params = {}, Duration timeout = 20s);
/// Throws std::runtime_error unless the statement succeeds.
QueryResult mustQuery(UpstreamConnection &connection, std::string_view sql,
                      const std::vector<SqlValue> &params = {});
absl::StatusOr<UpstreamStatus> statusOf(const StandinDb &database);
absl::StatusOr<UpstreamStatus> fence(const StandinDb &database, std::uint64_t term);
absl::StatusOr<UpstreamStatus> promote(const StandinDb &database, std::uint64_t term);
/// Waits until the database reports this term and position; false after kWaitLimit.
bool waitForPoint(const StandinDb &database, HistoryPoint point);

} // namespace shallotlever::support
