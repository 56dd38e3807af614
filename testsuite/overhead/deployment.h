#pragma once

#include <memory>
#include <string>
#include <vector>

#include <QTemporaryDir>

#include "program.h"
#include "shallotlever/session/keys.h"
#include "standin.h"

namespace shallotlever::overhead {

/// Three nodes and one group of three stand-in databases, configured for one team.
class Deployment
{
public:
    /// Throws std::runtime_error if it does not come up.
    Deployment(int edgeThreads, int executorThreads);

    std::uint16_t nodePort(std::size_t node) const;
    std::int64_t nodeProcess(std::size_t node) const { return m_nodes[node]->processId(); }
    support::StandinDb &database(const std::string &id) { return *m_databases.at(id); }
    const std::string &callerKey() const { return m_caller.text; }

private:
    void startNodes(int edgeThreads, int executorThreads);
    void startDatabases();
    void configure();
    void change(const std::string &body);
    void waitForPrimary();
    std::string writeFile(const std::string &name, const std::string &content) const;

    QTemporaryDir m_directory;
    GeneratedKey m_operator = generateKey();
    GeneratedKey m_upstream = generateKey();
    GeneratedKey m_caller = generateKey();
    int m_version = 0;
    std::vector<std::unique_ptr<support::Program>> m_nodes;
    std::map<std::string, std::unique_ptr<support::StandinDb>> m_databases;
};

} // namespace shallotlever::overhead
