#include "cluster.h"

#include <unistd.h>

#include <QDir>
#include <QFile>
#include <QJsonArray>
#include <QJsonDocument>
#include <QTcpServer>
#include <QThread>
#include <algorithm>
#include <stdexcept>

#include "event_loop.h"
#include "shallotlever/session/keys.h"

namespace shallotlever::support {

namespace {

/// Below the range from which the system takes the ports of outgoing connections, so that a
/// restarted node finds its port free.
constexpr int kFirstPort = 20000;
constexpr int kPortRange = 12000;
constexpr std::chrono::milliseconds kPollPause { 20 };

std::uint16_t freePort()
{
    static int next = static_cast<int>(getpid()) * 37;
    QTcpServer probe;
    for (;;) {
        const auto port = static_cast<std::uint16_t>(kFirstPort + next++ % kPortRange);
        if (probe.listen(QHostAddress::LocalHost, port))
            return port;
    }
}

std::string nodeName(int node)
{
    return "n" + std::to_string(node);
}

QString qt(const std::string &text)
{
    return QString::fromStdString(text);
}

void require(bool condition, const std::string &what)
{
    if (!condition)
        throw std::runtime_error(what);
}

} // namespace

bool pollUntil(const std::function<bool()> &done)
{
    return spinUntil([&] {
        if (done())
            return true;
        QThread::msleep(kPollPause.count());
        return false;
    });
}

Cluster::Cluster(ClusterOptions options)
    : m_options(std::move(options))
    , m_operatorKey(generateKey().text)
{
    ensureApplication();
    writeFile("operator", m_operatorKey);
    writeFile("secret", std::string(64, 's'));
    assignPorts();
    if (m_options.relays)
        startRelays();
    for (int node = 0; node < size(); ++node)
        startNode(node);
    configure();
}

std::string Cluster::file(const std::string &name) const
{
    return m_directory.filePath(qt(name)).toStdString();
}

std::string Cluster::writeFile(const std::string &name, const std::string &content) const
{
    QFile target(qt(file(name)));
    require(target.open(QIODevice::WriteOnly), "cannot write " + name);
    target.write(QByteArray::fromStdString(content));
    return file(name);
}

void Cluster::assignPorts()
{
    m_members.resize(size());
    for (Member &member : m_members) {
        member.httpPort = freePort();
        member.peerPort = freePort();
    }
}

void Cluster::startRelays()
{
    std::vector<RelayPath> paths;
    for (int from = 0; from < size(); ++from) {
        for (int to = 0; to < size(); ++to) {
            if (from != to)
                paths.push_back({ from, to, peerPort(to) });
        }
    }
    m_network = std::make_unique<RelayNetwork>(paths);
}

std::vector<std::string> Cluster::arguments(int node) const
{
    std::string members;
    for (int other = 0; other < size(); ++other) {
        const bool direct = other == node || !m_network;
        members += (members.empty() ? "" : ",") + nodeName(other) + "=127.0.0.1:"
            + std::to_string(direct ? peerPort(other) : m_network->port(node, other));
    }
    std::vector<std::string> list { "--node-id=" + nodeName(node),
                                    "--data-centre=waw-a",
                                    "--region=mazowsze",
                                    "--listen=127.0.0.1:" + std::to_string(port(node)),
                                    "--peer-listen=127.0.0.1:" + std::to_string(peerPort(node)),
                                    "--control-members=" + members,
                                    "--control",
                                    "--data-dir=" + file("data" + std::to_string(node)),
                                    "--operator-key-file=" + file("operator"),
                                    "--session-secret-file=" + file("secret") };
    for (const std::string &option : m_options.nodeOptions)
        list.push_back(qt(option).replace("{node}", qt(nodeName(node))).toStdString());
    const std::string tls = "--peer-tls";
    const bool hasTls = std::any_of(list.begin(), list.end(), [&](const std::string &option) {
        return option.starts_with(tls);
    });
    if (!hasTls)
        list.emplace_back("--allow-insecure-peers");
    list.insert(list.end(), { "--log-output", "stderr" });
    return list;
}

void Cluster::startNode(int node)
{
    QDir().mkpath(qt(file("data" + std::to_string(node))));
    m_members[node].program = std::make_unique<Program>(SHALLOTLEVERD, arguments(node),
                                                        file("log" + std::to_string(node)));
}

void Cluster::loseDisk(int node)
{
    require(QDir(qt(file("data" + std::to_string(node)))).removeRecursively(), "cannot remove");
}

void Cluster::configure()
{
    require(awaitController() >= 0, "no controller was elected");
    change({ { "op", "put_service" }, { "service", QJsonObject { { "id", kService } } } });
    change({ { "op", "put_team" },
             { "team",
               QJsonObject {
                   { "id", kTeam }, { "rate_per_second", 100000 }, { "burst", 100000 } } } });
    change({ { "op", "put_route" },
             { "route",
               QJsonObject { { "id", "board" },
                             { "service", kService },
                             { "sql", "SELECT count(*) FROM t" },
                             { "max_staleness_ms", 500 } } } });
    m_callerKey = addKey("caller", kTeam);
    startDatabases(addKey("upstream", kService));
    const auto created = [this] {
        return write(0, "CREATE TABLE IF NOT EXISTS t (id INTEGER PRIMARY KEY, v TEXT)").ok();
    };
    require(pollUntil(created), "the service does not take writes");
    const auto served = [this] {
        for (int node = 0; node < size(); ++node) {
            if (!board(node).ok() || status(node)["groups"].toArray().isEmpty())
                return false;
        }
        const QJsonArray upstreams =
            status(0)["groups"].toArray()[0].toObject()["upstreams"].toArray();
        return std::size_t(upstreams.size()) == m_options.databases.size()
            && std::all_of(upstreams.begin(), upstreams.end(), [](const QJsonValue &upstream) {
                   return upstream.toObject()["voting"].toBool();
               });
    };
    require(pollUntil(served), "not all databases joined");
}

void Cluster::startDatabases(const std::string &credential)
{
    std::string entries;
    for (int node = 0; node < size(); ++node)
        entries += (entries.empty() ? "http://127.0.0.1:" : ",http://127.0.0.1:")
            + std::to_string(port(node));
    std::vector<std::string> options = m_options.databaseOptions;
    options.push_back("--announce=" + entries);
    options.push_back("--credential-file=" + writeFile("credential", credential));
    m_group = std::make_unique<StandinGroup>(m_options.databases, options);
}

HttpReply Cluster::statement(int node, const std::string &sql, const char *mode,
                             HttpRequest request, const QJsonObject &extra) const
{
    request.path = std::string("/v1/services/") + kService + "/statements";
    request.body = extra;
    request.body["sql"] = qt(sql);
    request.body["mode"] = mode;
    if (request.key.empty())
        request.key = m_callerKey;
    return sendHttp(port(node), request);
}

HttpReply Cluster::write(int node, const std::string &sql, HttpRequest request) const
{
    return statement(node, sql, "write", std::move(request));
}

HttpReply Cluster::read(int node, const std::string &sql, HttpRequest request) const
{
    return statement(node, sql, "read", std::move(request));
}

HttpReply Cluster::board(int node) const
{
    HttpRequest request;
    request.method = "GET";
    request.path = "/v1/open/board";
    return sendHttp(port(node), request);
}

HttpReply Cluster::transaction(int node, const std::string &suffix, HttpRequest request) const
{
    request.path = std::string("/v1/services/") + kService + "/transactions" + suffix;
    if (request.key.empty())
        request.key = m_callerKey;
    return sendHttp(port(node), request);
}

HttpReply Cluster::sendChange(int node, const std::string &id, qint64 basedOn,
                              const QJsonObject &change, bool wait) const
{
    HttpRequest request;
    request.path = "/v1/operator/changes";
    request.key = m_operatorKey;
    request.body = {
        { "change_id", qt(id) }, { "based_on", basedOn }, { "change", change }, { "wait", wait }
    };
    return sendHttp(port(node), request);
}

HttpReply Cluster::change(const QJsonObject &change, int node)
{
    std::string id = "change-" + std::to_string(++m_lastChange);
    HttpReply reply;
    const bool accepted = pollUntil([&] {
        const QJsonObject configuration = status(node)["configuration"].toObject();
        if (configuration.isEmpty())
            return false;
        reply = sendChange(node, id, configuration["version"].toInteger(), change);
        if (reply.kind() == "config_conflict")
            id = "change-" + std::to_string(++m_lastChange);
        require(reply.kind() != "invalid_change" && reply.kind() != "malformed_request",
                QJsonDocument(reply.body).toJson().toStdString());
        return reply.ok();
    });
    require(accepted, "the change was not accepted");
    return reply;
}

std::string Cluster::addKey(const char *role, const std::string &owner, std::string *id)
{
    const GeneratedKey key = generateKey();
    QJsonObject fields { { "id", qt(key.id.value()) }, { "role", role } };
    const std::string hash(key.hash.begin(), key.hash.end());
    fields["hash"] = QString::fromLatin1(QByteArray::fromStdString(hash).toHex());
    if (std::string(role) == "caller")
        fields["team"] = qt(owner);
    else if (std::string(role) == "upstream")
        fields["service"] = qt(owner);
    change({ { "op", "add_key" }, { "key", fields } });
    if (id != nullptr)
        *id = key.id.value();
    return key.text;
}

QJsonObject Cluster::status(int node) const
{
    HttpRequest request;
    request.method = "GET";
    request.path = "/v1/operator/status";
    request.key = m_operatorKey;
    const HttpReply reply = sendHttp(port(node), request);
    return reply.ok() ? reply.body : QJsonObject();
}

int Cluster::controller(int asked) const
{
    const QString leader = status(asked)["control"].toObject()["leader"].toString();
    return leader.isEmpty() ? -1 : leader.mid(1).toInt();
}

int Cluster::awaitController(const std::set<int> &except) const
{
    int found = -1;
    pollUntil([&] {
        for (int node = 0; node < size() && found < 0; ++node) {
            if (except.contains(node))
                continue;
            const int named = controller(node);
            found = except.contains(named) ? -1 : named;
        }
        return found >= 0;
    });
    return found;
}

std::string Cluster::primary(int asked) const
{
    const QJsonArray groups = status(asked)["groups"].toArray();
    return groups.isEmpty() ? "" : groups[0].toObject()["primary"].toString().toStdString();
}

std::string Cluster::upstreamState(int asked, const std::string &id) const
{
    const QJsonObject group = status(asked)["groups"].toArray().at(0).toObject();
    for (const QJsonValue &upstream : group["upstreams"].toArray()) {
        if (upstream.toObject()["id"].toString() == qt(id))
            return upstream.toObject()["state"].toString().toStdString();
    }
    return {};
}

std::vector<QJsonObject> Cluster::logged(const std::string &event) const
{
    std::vector<QJsonObject> found;
    for (int node = 0; node < size(); ++node) {
        QFile log(qt(file("log" + std::to_string(node))));
        if (!log.open(QIODevice::ReadOnly))
            continue;
        while (!log.atEnd()) {
            const QJsonObject line = QJsonDocument::fromJson(log.readLine()).object();
            if (line["event"].toString() == qt(event))
                found.push_back(line);
        }
    }
    return found;
}

} // namespace shallotlever::support
