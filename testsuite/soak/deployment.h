#pragma once

#include <memory>
#include <random>
#include <vector>

#include <QDateTime>
#include <QElapsedTimer>

#include "caller.h"
#include "config_document.h"
#include "group_thread.h"
#include "node_process.h"
#include "promotion_server.h"

namespace shallotlever::soak {

/// Nodes as processes, and what surrounds them: databases, the platform's promotions and probes,
/// an operator, and callers.
class Deployment
{
public:
    explicit Deployment(const SoakOptions &options);

    RunTime now() const { return RunTime(m_clock.elapsed()); }
    /// Origin of now().
    const QDateTime &startedAt() const { return m_startedAt; }
    void startNodes();
    void startCallers();
    void endCallers();
    /// Sends a configuration with the next version until a member accepts it.
    void installConfig();
    /// Reads the configuration back from every member.
    void readConfigBack();

    std::vector<std::unique_ptr<NodeProcess>> &controlMembers() { return m_controlMembers; }
    std::vector<std::unique_ptr<NodeProcess>> &fronts() { return m_fronts; }
    /// Member that is the controller according to the logs of the members; the first one if no log
    /// names one.
    NodeProcess &controller();
    PromotionServer &platform() { return *m_promotions; }
    const PromotionServer &platform() const { return *m_promotions; }
    /// Databases by service.
    const std::map<std::string, std::unique_ptr<GroupThread>> &groups() const { return m_groups; }
    const CallerRecords &records() const { return m_records; }
    std::uint64_t acceptedVersion() const { return m_acceptedVersion; }
    /// Newest version that was read back; 0 if there was no answer.
    std::uint64_t versionReadBack() const { return m_versionReadBack; }
    std::size_t readyFronts() const;
    /// Reads of the configuration by the status of their answer; 0 stands for no answer.
    const std::map<int, int> &configReads() const { return m_configReads; }
    /// Whether a commit of each service was acknowledged to a caller.
    bool servesAllServices() const;
    /// Longest delay of a timer of the soak itself, by second of the run. With long ones, the soak
    /// and not the nodes may be what is slow.
    const std::map<std::int64_t, Stall> &stalls() const { return m_stalls; }

private:
    struct Probe
    {
        int misses = 0;
        bool ready = false;
    };

    std::string host(int block, std::size_t index) const;
    std::string dataCentre(std::size_t index) const;
    NodeCommand nodeCommand(const std::string &name, const std::string &nodeHost,
                            std::size_t dataCentreIndex) const;
    NodeCommand controlCommand(std::size_t index) const;
    NodeCommand frontCommand(std::size_t index) const;
    void createNodes();
    void createGroups();
    void createCallers();
    void servePromotions();
    void probeFronts();
    void noteStall();
    Endpoint chooseFront();
    DeploymentConfig makeConfig(std::uint64_t version) const;
    void sendConfig(std::uint64_t version, std::size_t member);

    SoakOptions m_options;
    QElapsedTimer m_clock;
    QDateTime m_startedAt;
    std::mt19937_64 m_random;
    HttpCalls m_calls;
    std::vector<Endpoint> m_controlEndpoints;
    std::vector<std::unique_ptr<NodeProcess>> m_controlMembers;
    std::vector<std::unique_ptr<NodeProcess>> m_fronts;
    std::vector<Probe> m_probes;
    QTimer m_probeTimer;
    QTimer m_stallTimer;
    RunTime m_lastTick { 0 };
    std::map<std::int64_t, Stall> m_stalls;
    std::map<std::string, std::unique_ptr<GroupThread>> m_groups;
    std::unique_ptr<PromotionServer> m_promotions;
    std::vector<DatabaseRoute> m_routes;
    std::vector<TeamEntry> m_teams;
    CallerRecords m_records;
    std::vector<std::unique_ptr<Caller>> m_callers;
    std::uint64_t m_lastStatement = 0;
    std::uint64_t m_lastSession = 0;
    std::uint64_t m_sentVersion = 0;
    std::uint64_t m_acceptedVersion = 0;
    std::uint64_t m_versionReadBack = 0;
    std::map<int, int> m_configReads;
};

} // namespace shallotlever::soak
