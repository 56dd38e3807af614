#pragma once

#include <QStringList>
#include <QTemporaryDir>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "http_client.h"
#include "relay.h"
#include "standin.h"

namespace shallotlever::support {

inline constexpr const char *kService = "bookings-db";
inline constexpr const char *kTeam = "szkola";

struct ClusterOptions
{
    /// All nodes are control members.
    int nodes = 3;
    /// Databases of kService; the first is the initial primary.
    std::vector<std::string> databases { "a", "b", "c" };
    std::vector<std::string> databaseOptions { "--slots=8" };
    /// Connections between nodes go through relays.
    bool relays = false;
    /// `{node}` stands for the node id, n0 to n2.
    std::vector<std::string> nodeOptions { "--drain-notice-ms=200" };
};

/// Nodes on 127.0.0.1 in front of one group of stand-in databases, configured with a service, a
/// team and keys. The table `t (id INTEGER PRIMARY KEY, v TEXT)` exists and the open route `board`
/// counts its rows. All methods but those of the HTTP client are for the main thread.
class Cluster
{
public:
    explicit Cluster(ClusterOptions options = {});

    int size() const { return m_options.nodes; }
    std::uint16_t port(int node) const { return m_members.at(node).httpPort; }
    std::uint16_t peerPort(int node) const { return m_members.at(node).peerPort; }
    Program &node(int node) { return *m_members.at(node).program; }
    void startNode(int node);
    void killNode(int node) { m_members.at(node).program->kill(); }
    /// Removes the data directory of a node that is not running.
    void loseDisk(int node);
    StandinGroup &group() { return *m_group; }
    RelayNetwork &network() { return *m_network; }
    const std::string &callerKey() const { return m_callerKey; }
    const std::string &operatorKey() const { return m_operatorKey; }
    /// Command line of a node, for instance to start one with other certificates.
    std::vector<std::string> arguments(int node) const;

    HttpReply statement(int node, const std::string &sql, const char *mode,
                        HttpRequest request = {}, const QJsonObject &extra = {}) const;
    HttpReply write(int node, const std::string &sql, HttpRequest request = {}) const;
    HttpReply read(int node, const std::string &sql, HttpRequest request = {}) const;
    HttpReply board(int node) const;
    /// Path of a transaction is /v1/services/{service}/transactions + `suffix`.
    HttpReply transaction(int node, const std::string &suffix, HttpRequest request = {}) const;

    /// Sends one change with this id and base version.
    HttpReply sendChange(int node, const std::string &id, qint64 basedOn, const QJsonObject &change,
                         bool wait = true) const;
    /// Makes a change on top of the version in force, repeating after conflicts and lost answers;
    /// throws std::runtime_error if it is not accepted.
    HttpReply change(const QJsonObject &change, int node = 0);
    /// Adds a key and returns its text. `owner` is the team or the service.
    std::string addKey(const char *role, const std::string &owner, std::string *id = nullptr);
    QJsonObject status(int node) const;
    /// Index of the controller as told by `asked`; -1 if unknown.
    int controller(int asked) const;
    /// Waits until some running node names a controller that is not in `except`.
    int awaitController(const std::set<int> &except = {}) const;
    /// Primary of kService as the controller sees it; empty while unknown.
    std::string primary(int asked) const;
    /// State of an upstream as the controller sees it; empty while unknown.
    std::string upstreamState(int asked, const std::string &id) const;
    /// The log lines of all nodes with this event.
    std::vector<QJsonObject> logged(const std::string &event) const;

private:
    struct Member
    {
        std::uint16_t httpPort = 0;
        std::uint16_t peerPort = 0;
        std::unique_ptr<Program> program;
    };

    void assignPorts();
    void startRelays();
    void configure();
    void startDatabases(const std::string &credential);
    std::string file(const std::string &name) const;
    std::string writeFile(const std::string &name, const std::string &content) const;

    ClusterOptions m_options;
    QTemporaryDir m_directory;
    std::vector<Member> m_members;
    std::unique_ptr<RelayNetwork> m_network;
    std::unique_ptr<StandinGroup> m_group;
    std::string m_operatorKey;
    std::string m_callerKey;
    int m_lastChange = 0;
};

/// Polls until `done` holds; false after kWaitLimit.
bool pollUntil(const std::function<bool()> &done);

} // namespace shallotlever::support
