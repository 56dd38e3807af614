#include "standin.h"

#include <QJsonDocument>
#include <QTcpSocket>
#include <QThread>
#include <stdexcept>

#include "event_loop.h"

namespace shallotlever::support {

namespace {

constexpr int kCommandTimeoutMs = std::chrono::milliseconds(kWaitLimit).count();
constexpr Duration kCallTimeout = 20s;
constexpr std::chrono::milliseconds kPollPause { 10 };

using StatusAnswer = absl::StatusOr<UpstreamStatus>;

} // namespace

StandinDb::StandinDb(std::string id, std::vector<std::string> options)
    : m_id(std::move(id))
    , m_options(std::move(options))
{
    restart();
}

void StandinDb::restart()
{
    std::vector<std::string> arguments = { "--id=" + m_id,
                                           "--work-dir=" + m_directory.path().toStdString() };
    arguments.insert(arguments.end(), m_options.begin(), m_options.end());
    m_program = std::make_unique<Program>(STANDIN_DB, arguments);
}

ConnectionParams StandinDb::params(std::string_view user) const
{
    ConnectionParams params;
    params.endpoint = endpoint();
    params.user = user;
    params.database = "service";
    params.connectTimeout = 20s;
    return params;
}

UpstreamControl StandinDb::control() const
{
    return makeUpstreamControl(params(kControlUser));
}

std::string StandinDb::ask(const std::string &line)
{
    QTcpSocket socket;
    socket.connectToHost("127.0.0.1", m_program->port("control_port"));
    if (!socket.waitForConnected(kCommandTimeoutMs))
        throw std::runtime_error("the control port refused the connection");
    socket.write(QByteArray::fromStdString(line + "\n"));
    while (!socket.canReadLine()) {
        if (!socket.waitForReadyRead(kCommandTimeoutMs))
            throw std::runtime_error("no answer on the control port");
    }
    return socket.readLine().trimmed().toStdString();
}

void StandinDb::command(const std::string &line)
{
    const std::string answer = ask(line);
    if (answer != "ok")
        throw std::runtime_error(line + ": " + answer);
}

QJsonObject StandinDb::stats()
{
    return QJsonDocument::fromJson(QByteArray::fromStdString(ask("stats"))).object();
}

StandinGroup::StandinGroup(const std::vector<std::string> &ids,
                           const std::vector<std::string> &options)
{
    for (const std::string &id : ids) {
        std::vector<std::string> own = options;
        if (id == ids.front())
            own.emplace_back("--initial-primary");
        m_databases[id] = std::make_unique<StandinDb>(id, own);
    }
    connectPeers();
}

void StandinGroup::connectPeers()
{
    std::string list;
    for (const auto &[id, database] : m_databases) {
        list += (list.empty() ? "" : ",") + id
            + "=127.0.0.1:" + std::to_string(database->endpoint().port);
    }
    for (const auto &[id, database] : m_databases) {
        if (database->program().processId() != 0)
            database->command("peers " + list);
    }
}

void StandinGroup::restart(const std::string &id)
{
    m_databases.at(id)->restart();
    connectPeers();
}

absl::Status openStatus(const ConnectionParams &params)
{
    ensureApplication();
    std::unique_ptr<UpstreamConnection> connection;
    return await<absl::Status>([&](auto callback) {
        auto opened = UpstreamConnection::open(params, callback);
        if (!opened.ok())
            return callback(opened.status());
        connection = *std::move(opened);
    });
}

std::unique_ptr<UpstreamConnection> openConnection(const ConnectionParams &params)
{
    ensureApplication();
    std::unique_ptr<UpstreamConnection> connection;
    const auto status = await<absl::Status>([&](auto callback) {
        auto opened = UpstreamConnection::open(params, callback);
        if (!opened.ok())
            return callback(opened.status());
        connection = *std::move(opened);
    });
    if (!status.ok())
        throw std::runtime_error(status.ToString());
    return connection;
}

QueryReply query(UpstreamConnection &connection, std::string_view sql,
                 const std::vector<SqlValue> &params, Duration timeout)
{
    return await<QueryReply>(
        [&](auto callback) { connection.execute(sql, params, timeout, callback); });
}

QueryResult mustQuery(UpstreamConnection &connection, std::string_view sql,
                      const std::vector<SqlValue> &params)
{
    QueryReply reply = query(connection, sql, params);
    if (const auto *error = std::get_if<QueryError>(&reply))
        throw std::runtime_error(std::string(sql) + ": " + error->sqlState + " " + error->message);
    return std::get<QueryResult>(std::move(reply));
}

StatusAnswer statusOf(const StandinDb &database)
{
    ensureApplication();
    const UpstreamControl control = database.control();
    return await<StatusAnswer>([&](auto callback) { control.status(kCallTimeout, callback); });
}

StatusAnswer fence(const StandinDb &database, std::uint64_t term)
{
    ensureApplication();
    const UpstreamControl control = database.control();
    return await<StatusAnswer>(
        [&](auto callback) { control.fence(Term(term), kCallTimeout, callback); });
}

StatusAnswer promote(const StandinDb &database, std::uint64_t term)
{
    ensureApplication();
    const UpstreamControl control = database.control();
    return await<StatusAnswer>(
        [&](auto callback) { control.promote(Term(term), kCallTimeout, callback); });
}

bool waitForPoint(const StandinDb &database, HistoryPoint point)
{
    return spinUntil([&] {
        const StatusAnswer status = statusOf(database);
        if (status.ok() && status->point == point)
            return true;
        QThread::msleep(kPollPause.count());
        return false;
    });
}

} // namespace shallotlever::support
