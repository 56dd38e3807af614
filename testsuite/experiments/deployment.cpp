#include "deployment.h"

#include <stdexcept>

#include <QCoreApplication>
#include <QDeadlineTimer>
#include <QDir>
#include <QElapsedTimer>
#include <QFile>
#include <QJsonDocument>
#include <QTcpServer>

#include "event_loop.h"
#include "shallotlever/session/keys.h"

namespace shallotlever::experiment {

namespace {

constexpr int kControlMembers = 3;
constexpr double kStartPatienceSeconds = 30;
constexpr double kChangePatienceSeconds = 15;
constexpr const char *kVerifier = "verifier";
constexpr const char *kProbe = "probe";

quint16 freePort()
{
    QTcpServer server;
    server.listen(QHostAddress::LocalHost);
    return server.serverPort();
}

QString qt(const std::string &text)
{
    return QString::fromStdString(text);
}

void writeFile(const std::string &name, const QByteArray &content)
{
    QFile file(qt(name));
    if (!file.open(QIODevice::WriteOnly) || file.write(content) != content.size())
        throw std::runtime_error("cannot write " + name);
}

QJsonObject teamObject(const QString &id, double rate, double burst)
{
    return { { "id", id }, { "rate_per_second", rate }, { "burst", burst } };
}

} // namespace

bool waitFor(double seconds, const std::function<bool()> &done)
{
    const QDeadlineTimer deadline(static_cast<qint64>(seconds * 1000), Qt::PreciseTimer);
    while (!done()) {
        if (deadline.hasExpired())
            return false;
        QCoreApplication::processEvents(QEventLoop::WaitForMoreEvents | QEventLoop::AllEvents, 5);
    }
    return true;
}

Deployment::Deployment(const QJsonObject &workload)
    : m_workload(workload)
    , m_sizes(workload["deployment"].toObject())
    , m_operatorKey(generateKey().text)
{
    writeFile(path("operator.key"), QByteArray::fromStdString(m_operatorKey));
    writeFile(path("session.secret"), QByteArray::fromStdString(randomId() + randomId()));
    startNodes();
    configure();
    for (const QJsonValue &service : m_workload["services"].toArray())
        startDatabases(service.toString().toStdString());
    waitForPrimaries();
    createTables();
    QJsonObject keys;
    for (const auto &[team, key] : m_keys)
        keys[qt(team)] = qt(key);
    writeFile(keysFile(), QJsonDocument(keys).toJson());
}

std::string Deployment::path(const char *name) const
{
    return m_directory.filePath(QLatin1String(name)).toStdString();
}

std::string Deployment::keysFile() const
{
    return path("keys.json");
}

std::string Deployment::portList() const
{
    std::string list;
    for (const Node &node : m_nodes)
        list += (list.empty() ? "" : ",") + std::to_string(node.port);
    return list;
}

void Deployment::startNodes()
{
    const int count = m_sizes["nodes"].toInt();
    std::vector<quint16> peerPorts;
    std::string members;
    for (int i = 0; i < count; ++i) {
        peerPorts.push_back(freePort());
        if (i < kControlMembers)
            members += (i == 0 ? "n" : ",n") + std::to_string(i + 1)
                + "=127.0.0.1:" + std::to_string(peerPorts.back());
    }
    const QJsonArray centres = m_sizes["data_centres"].toArray();
    for (int i = 0; i < count; ++i) {
        const std::string id = "n" + std::to_string(i + 1);
        const int zone = i % static_cast<int>(centres.size());
        Node node { id, freePort(), {}, nullptr, nullptr };
        node.arguments = { "--node-id=" + id,
                           "--data-centre=" + centres[zone].toString().toStdString(),
                           "--region=" + m_sizes["regions"][zone].toString().toStdString(),
                           "--listen=127.0.0.1:" + std::to_string(node.port),
                           "--peer-listen=127.0.0.1:"
                               + std::to_string(peerPorts[static_cast<std::size_t>(i)]),
                           "--control-members=" + members,
                           "--operator-key-file=" + path("operator.key"),
                           "--session-secret-file=" + path("session.secret"),
                           "--allow-insecure-peers",
                           "--log-output",
                           "stderr",
                           "--drain-notice-ms=1000" };
        if (i < kControlMembers) {
            const QString directory = m_directory.filePath(qt(id));
            QDir().mkpath(directory);
            node.arguments.push_back("--control");
            node.arguments.push_back("--data-dir=" + directory.toStdString());
        }
        node.program = std::make_unique<support::Program>(NODE_PROGRAM, node.arguments);
        node.client = std::make_unique<load::HttpClient>(node.port, 4);
        m_nodes.push_back(std::move(node));
    }
    for (std::size_t i = 0; i < m_nodes.size(); ++i)
        waitReady(i);
}

void Deployment::waitReady(std::size_t node)
{
    const bool ready = waitFor(kStartPatienceSeconds, [this, node] {
        return ask(node, "GET", "/readyz", {}).status == 200;
    });
    if (!ready)
        throw std::runtime_error(m_nodes[node].id + " did not become ready");
}

load::HttpReply Deployment::ask(std::size_t node, const QByteArray &method, const QByteArray &path,
                                const std::string &key, const QJsonObject &body)
{
    load::HttpRequest request;
    request.method = method;
    request.path = path;
    request.timeout = std::chrono::seconds(12);
    request.headers = { { "Content-Type", "application/json" } };
    if (!key.empty())
        request.headers.append({ "Authorization", "Bearer " + QByteArray::fromStdString(key) });
    if (method == "POST")
        request.body = QJsonDocument(body).toJson(QJsonDocument::Compact);
    const auto reply = std::make_shared<std::optional<load::HttpReply>>();
    m_nodes[node].client->send(request, [reply](const load::HttpReply &r) { *reply = r; });
    waitFor(kChangePatienceSeconds, [&] { return reply->has_value(); });
    return reply->value_or(load::HttpReply {});
}

QJsonObject Deployment::status()
{
    QJsonObject found;
    waitFor(kChangePatienceSeconds, [&] {
        for (std::size_t i = 0; i < m_nodes.size() && found.isEmpty(); ++i) {
            const load::HttpReply reply = ask(i, "GET", "/v1/operator/status", m_operatorKey);
            if (reply.status == 200)
                found = QJsonDocument::fromJson(reply.body).object();
        }
        return !found.isEmpty();
    });
    return found;
}

QJsonValue Deployment::configVersion()
{
    return status().value("configuration").toObject().value("version");
}

std::string Deployment::leader()
{
    return status().value("control").toObject().value("leader").toString().toStdString();
}

double Deployment::change(const QJsonObject &change)
{
    const QString id = QStringLiteral("experiment-%1").arg(++m_changes);
    QElapsedTimer clock;
    QByteArray last;
    const bool accepted = waitFor(kChangePatienceSeconds, [&] {
        const QJsonObject body { { "change_id", id },
                                 { "based_on", configVersion() },
                                 { "change", change },
                                 { "wait", true } };
        clock.start();
        const load::HttpReply reply =
            ask(m_nodes.size() - 1, "POST", "/v1/operator/changes", m_operatorKey, body);
        last = reply.body;
        return reply.status == 200 && QJsonDocument::fromJson(reply.body)["in_force"].toBool();
    });
    if (!accepted)
        throw std::runtime_error("change not in force: " + last.toStdString());
    return static_cast<double>(clock.nsecsElapsed()) * 1e-6;
}

void Deployment::addKey(const QString &role, const QString &owner, const std::string &name)
{
    const GeneratedKey key = generateKey();
    QJsonObject object { { "id", qt(key.id.value()) }, { "role", role } };
    object[role == "caller" ? "team" : "service"] = owner;
    object["hash"] = QString::fromLatin1(QByteArray(reinterpret_cast<const char *>(key.hash.data()),
                                                    static_cast<qsizetype>(key.hash.size()))
                                             .toHex());
    change({ { "op", "add_key" }, { "key", object } });
    m_keys[name] = key.text;
    if (name == kProbe)
        m_probeKeyId = key.id.value();
}

void Deployment::configure()
{
    for (const QJsonValue &service : m_workload["services"].toArray()) {
        const QString id = service.toString();
        change({ { "op", "put_service" }, { "service", QJsonObject { { "id", id } } } });
        addKey("upstream", id, id.toStdString());
        writeFile(path(("credential-" + id.toStdString()).c_str()),
                  QByteArray::fromStdString(m_keys[id.toStdString()]));
    }
    QJsonArray teams { teamObject(kVerifier, 2000, 1000), teamObject(kProbe, 1000, 500) };
    for (const QJsonValue &team : m_workload["teams"].toArray())
        teams.append(
            teamObject(team["id"].toString(), team["rate"].toDouble(), team["burst"].toDouble()));
    for (const QJsonValue &team : teams) {
        change({ { "op", "put_team" }, { "team", team } });
        addKey("caller", team["id"].toString(), team["id"].toString().toStdString());
    }
    for (const QJsonValue &value : m_workload["routes"].toArray()) {
        QJsonObject route = value.toObject();
        route["sql"] = "SELECT place, departs FROM board ORDER BY departs";
        change({ { "op", "put_route" }, { "route", route } });
    }
}

void Deployment::startDatabases(const std::string &service)
{
    std::string entries;
    for (const Node &node : m_nodes)
        entries += (entries.empty() ? "" : ",") + ("http://127.0.0.1:" + std::to_string(node.port));
    const auto number = [this](const char *option, const char *field) {
        return std::string(option) + std::to_string(m_sizes[QLatin1String(field)].toInt());
    };
    const QJsonArray centres = m_sizes["data_centres"].toArray();
    for (int i = 0; i < m_sizes["databases"].toInt(); ++i) {
        const QString centre = centres[i % centres.size()].toString();
        std::vector<std::string> options {
            "--service=" + service,
            "--data-centre=" + centre.toStdString(),
            "--announce=" + entries,
            "--credential-file=" + path(("credential-" + service).c_str()),
            number("--slots=", "slots"),
            number("--connection-limit=", "connection_limit"),
            number("--connect-delay-ms=", "connect_delay_ms"),
            number("--replication-delay-ms=", "replication_delay_ms"),
            number("--statement-time-ms=", "statement_time_ms"),
        };
        if (i == 0)
            options.emplace_back("--initial-primary");
        m_databases[service].push_back(
            std::make_unique<support::StandinDb>(service + "-" + std::to_string(i + 1), options));
    }
    connectPeers(service);
}

void Deployment::connectPeers(const std::string &service)
{
    std::string list;
    for (const auto &database : m_databases[service])
        list += (list.empty() ? "" : ",") + database->id()
            + "=127.0.0.1:" + std::to_string(database->endpoint().port);
    for (const auto &database : m_databases[service])
        database->command("peers " + list);
}

void Deployment::waitForPrimaries()
{
    const auto complete = [this] {
        int services = 0;
        for (const QJsonValue &group : status()["groups"].toArray()) {
            int voting = 0;
            for (const QJsonValue &upstream : group["upstreams"].toArray())
                voting += upstream["voting"].toBool() ? 1 : 0;
            if (!group["primary"].isNull() && voting == m_sizes["databases"].toInt())
                ++services;
        }
        return services == m_workload["services"].toArray().size();
    };
    if (!waitFor(kStartPatienceSeconds, complete))
        throw std::runtime_error("no complete groups: "
                                 + QJsonDocument(status()).toJson().toStdString());
}

void Deployment::write(const std::string &service, const QString &sql)
{
    QByteArray last;
    const bool done = waitFor(kStartPatienceSeconds, [&] {
        const load::HttpReply reply =
            ask(0, "POST", QByteArray::fromStdString("/v1/services/" + service + "/statements"),
                m_keys[kVerifier], { { "sql", sql }, { "mode", "write" } });
        last = reply.body;
        return reply.status == 200;
    });
    if (!done)
        throw std::runtime_error("cannot prepare " + service + ": " + last.toStdString());
}

void Deployment::createTables()
{
    for (const auto &[service, databases] : m_databases) {
        write(service, "CREATE TABLE IF NOT EXISTS load_writes (id TEXT, kind TEXT)");
        write(service, "CREATE INDEX IF NOT EXISTS load_writes_id ON load_writes (id)");
        write(service, "CREATE TABLE IF NOT EXISTS board (place TEXT, departs TEXT)");
        write(service, "INSERT INTO board VALUES ('a', '08:00'), ('b', '08:20'), ('c', '09:05')");
    }
}

std::size_t Deployment::nodeIndex(const std::string &id) const
{
    for (std::size_t i = 0; i < m_nodes.size(); ++i) {
        if (m_nodes[i].id == id)
            return i;
    }
    throw std::runtime_error("unknown node " + id);
}

int Deployment::restartNode(std::size_t index)
{
    Node &node = m_nodes.at(index);
    const int exitStatus = node.program->terminate();
    node.program = std::make_unique<support::Program>(NODE_PROGRAM, node.arguments);
    waitReady(index);
    return exitStatus;
}

support::StandinDb &Deployment::primaryOf(const std::string &service)
{
    std::string primary;
    for (const QJsonValue &group : status()["groups"].toArray()) {
        if (group["service"].toString().toStdString() == service)
            primary = group["primary"].toString().toStdString();
    }
    for (const auto &database : m_databases.at(service)) {
        if (database->id() == primary)
            return *database;
    }
    throw std::runtime_error("no primary of " + service);
}

support::StandinDb &Deployment::replicaOf(const std::string &service)
{
    const std::string primary = primaryOf(service).id();
    for (const auto &database : m_databases.at(service)) {
        if (database->id() != primary)
            return *database;
    }
    throw std::runtime_error("no replica of " + service);
}

double Deployment::withdrawProbe()
{
    const auto service = m_workload["services"][0].toString().toUtf8();
    const QByteArray path = "/v1/services/" + service + "/statements";
    const QJsonObject read { { "sql", "SELECT 1" }, { "mode", "read" } };
    const QJsonValue version = configVersion();
    QElapsedTimer clock;
    clock.start();
    ask(0, "POST", "/v1/operator/changes", m_operatorKey,
        { { "change_id", "withdraw-probe" },
          { "based_on", version },
          { "change", QJsonObject { { "op", "withdraw_key" }, { "id", qt(m_probeKeyId) } } },
          { "wait", false } });
    const bool refused = waitFor(kChangePatienceSeconds, [&] {
        for (std::size_t i = 0; i < m_nodes.size(); ++i) {
            if (!ask(i, "POST", path, m_keys[kProbe], read).body.contains("invalid_key"))
                return false;
        }
        return true;
    });
    return refused ? static_cast<double>(clock.nsecsElapsed()) * 1e-6 : -1;
}

std::string Deployment::metrics()
{
    std::string text;
    for (std::size_t i = 0; i < m_nodes.size(); ++i)
        text += "# node " + m_nodes[i].id + "\n" + ask(i, "GET", "/metrics", {}).body.toStdString();
    return text;
}

} // namespace shallotlever::experiment
