#pragma once

#include <map>
#include <memory>
#include <string>
#include <vector>

#include <QJsonArray>
#include <QJsonObject>
#include <QTemporaryDir>

#include "http_client.h"
#include "program.h"
#include "standin.h"

namespace shallotlever::experiment {

/// Nodes and stand-in databases of one workload, started as child processes and configured over
/// the operator interface. Every process is killed and reaped on destruction.
class Deployment
{
public:
    /// Throws std::runtime_error if the deployment does not come up.
    explicit Deployment(const QJsonObject &workload);

    std::size_t nodeCount() const { return m_nodes.size(); }
    /// Ports of the HTTP listeners, separated by commas.
    std::string portList() const;
    /// File with the keys of the teams.
    std::string keysFile() const;

    /// Posts a change and waits until it is in force; gives the milliseconds that took.
    double change(const QJsonObject &change);
    QJsonObject status();
    std::string leader();
    QJsonValue configVersion();

    std::size_t nodeIndex(const std::string &id) const;
    void killNode(std::size_t index) { m_nodes.at(index).program->kill(); }
    /// SIGTERM, waits for the exit and starts the node again; gives the exit status.
    int restartNode(std::size_t index);

    support::StandinDb &primaryOf(const std::string &service);
    support::StandinDb &replicaOf(const std::string &service);

    /// Withdraws the key of the probe and gives the milliseconds until no node accepts it.
    double withdrawProbe();
    /// Text of /metrics of every node that answers.
    std::string metrics();

private:
    struct Node
    {
        std::string id;
        quint16 port = 0;
        std::vector<std::string> arguments;
        std::unique_ptr<support::Program> program;
        std::unique_ptr<load::HttpClient> client;
    };

    load::HttpReply ask(std::size_t node, const QByteArray &method, const QByteArray &path,
                        const std::string &key, const QJsonObject &body = {});
    void startNodes();
    void waitReady(std::size_t node);
    void configure();
    void addKey(const QString &role, const QString &owner, const std::string &name);
    void startDatabases(const std::string &service);
    void connectPeers(const std::string &service);
    void waitForPrimaries();
    void createTables();
    void write(const std::string &service, const QString &sql);
    std::string path(const char *name) const;

    QJsonObject m_workload;
    QJsonObject m_sizes;
    QTemporaryDir m_directory;
    std::string m_operatorKey;
    std::vector<Node> m_nodes;
    std::map<std::string, std::vector<std::unique_ptr<support::StandinDb>>> m_databases;
    std::map<std::string, std::string> m_keys;
    std::string m_probeKeyId;
    int m_changes = 0;
};

/// Runs the event loop until `done` holds; false after the time.
bool waitFor(double seconds, const std::function<bool()> &done);

} // namespace shallotlever::experiment
