#include "deployment.h"

#include <filesystem>
#include <fstream>
#include <stdexcept>
#include <thread>

#include <QTcpServer>

#include "absl/strings/escaping.h"
#include "absl/strings/str_cat.h"
#include "http_client.h"

namespace shallotlever::overhead {

namespace {

constexpr std::size_t kNodes = 3;
constexpr auto kService = "bench";
constexpr int kStartAttempts = 300;
constexpr std::chrono::milliseconds kStartPause { 100 };

/// Ports that were free a moment ago; the servers that held them are closed on return.
std::vector<std::uint16_t> freePorts(std::size_t count)
{
    std::vector<std::unique_ptr<QTcpServer>> servers;
    std::vector<std::uint16_t> ports;
    for (std::size_t i = 0; i < count; ++i) {
        servers.push_back(std::make_unique<QTcpServer>());
        servers.back()->listen(QHostAddress::LocalHost);
        ports.push_back(servers.back()->serverPort());
    }
    return ports;
}

std::string hexHash(const KeyHash &hash)
{
    return absl::BytesToHexString(
        std::string(reinterpret_cast<const char *>(hash.data()), hash.size()));
}

} // namespace

Deployment::Deployment(int edgeThreads, int executorThreads)
{
    startNodes(edgeThreads, executorThreads);
    configure();
    startDatabases();
    waitForPrimary();
}

std::uint16_t Deployment::nodePort(std::size_t node) const
{
    return m_nodes[node]->port("port");
}

std::string Deployment::writeFile(const std::string &name, const std::string &content) const
{
    const std::string path = m_directory.filePath(QString::fromStdString(name)).toStdString();
    std::ofstream(path) << content;
    return path;
}

void Deployment::startNodes(int edgeThreads, int executorThreads)
{
    const std::vector<std::uint16_t> ports = freePorts(kNodes);
    std::string members;
    for (std::size_t i = 0; i < kNodes; ++i)
        absl::StrAppend(&members, i == 0 ? "" : ",", "n", i, "=127.0.0.1:", ports[i]);
    const std::string secret = writeFile("session", std::string(48, 's'));
    const std::string key = writeFile("operator", m_operator.text);
    for (std::size_t i = 0; i < kNodes; ++i) {
        const std::string data = m_directory.filePath(QString("data%1").arg(i)).toStdString();
        std::filesystem::create_directory(data);
        m_nodes.push_back(std::make_unique<support::Program>(
            SHALLOTLEVERD,
            std::vector<std::string> { "--node-id",
                                       absl::StrCat("n", i),
                                       "--data-centre",
                                       "dc",
                                       "--region",
                                       "r",
                                       "--listen",
                                       "127.0.0.1:0",
                                       "--peer-listen",
                                       absl::StrCat("127.0.0.1:", ports[i]),
                                       "--control-members",
                                       members,
                                       "--control",
                                       "--data-dir",
                                       data,
                                       "--operator-key-file",
                                       key,
                                       "--session-secret-file",
                                       secret,
                                       "--allow-insecure-peers",
                                       "--edge-threads",
                                       std::to_string(edgeThreads),
                                       "--executor-threads",
                                       std::to_string(executorThreads),
                                       "--log-level",
                                       "error" }));
    }
}

void Deployment::change(const std::string &body)
{
    const std::string request =
        absl::StrCat("{\"change_id\":\"c", m_version, "\",\"based_on\":", m_version,
                     ",\"wait\":true,\"change\":", body, "}");
    for (int attempt = 0; attempt < kStartAttempts; ++attempt) {
        HttpClient client(nodePort(0));
        if (client.post("/v1/operator/changes", m_operator.text, request).status == 200) {
            ++m_version;
            return;
        }
        std::this_thread::sleep_for(kStartPause);
    }
    throw std::runtime_error("the configuration was not accepted");
}

void Deployment::configure()
{
    change(absl::StrCat(R"({"op":"put_service","service":{"id":")", kService, "\"}}"));
    change(R"({"op":"put_team","team":{"id":"t","rate_per_second":1000000,"burst":100000}})");
    change(absl::StrCat(R"({"op":"add_key","key":{"id":")", m_caller.id.value(),
                        R"(","role":"caller","team":"t","hash":")", hexHash(m_caller.hash),
                        "\"}}"));
    change(absl::StrCat(R"({"op":"add_key","key":{"id":")", m_upstream.id.value(),
                        R"(","role":"upstream","service":")", kService, R"(","hash":")",
                        hexHash(m_upstream.hash), "\"}}"));
}

void Deployment::startDatabases()
{
    const std::string credential = writeFile("credential", m_upstream.text);
    std::string urls;
    for (std::size_t i = 0; i < kNodes; ++i)
        absl::StrAppend(&urls, i == 0 ? "" : ",", "http://127.0.0.1:", nodePort(i));
    const std::vector<std::string> options { "--service",          kService,  "--slots",    "64",
                                             "--connection-limit", "200",     "--announce", urls,
                                             "--credential-file",  credential };
    for (const char *id : { "db0", "db1", "db2" }) {
        std::vector<std::string> own = options;
        if (std::string(id) == "db0")
            own.emplace_back("--initial-primary");
        m_databases.emplace(id, std::make_unique<support::StandinDb>(id, own));
    }
    for (auto &[id, database] : m_databases) {
        std::string peers;
        for (const auto &[other, peer] : m_databases) {
            if (other != id)
                absl::StrAppend(&peers, peers.empty() ? "" : ",", other,
                                "=127.0.0.1:", peer->endpoint().port);
        }
        database->command("peers " + peers);
    }
}

void Deployment::waitForPrimary()
{
    const std::string create =
        "{\"sql\":\"CREATE TABLE IF NOT EXISTS items (id INTEGER PRIMARY KEY, note TEXT)\","
        "\"params\":[],\"mode\":\"write\"}";
    HttpClient client(nodePort(0));
    for (int attempt = 0; attempt < kStartAttempts; ++attempt) {
        if (client
                .post(absl::StrCat("/v1/services/", kService, "/statements"), m_caller.text, create)
                .status
            == 200)
            return;
        std::this_thread::sleep_for(kStartPause);
    }
    throw std::runtime_error("the group got no primary");
}

} // namespace shallotlever::overhead
