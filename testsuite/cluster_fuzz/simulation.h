#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "fleet/fuzz/database_group.h"
#include "node/controller_link.h"
#include "node/node_view.h"
#include "oracle.h"
#include "shallotlever/base/random.h"
#include "shallotlever/control/member.h"
#include "shallotlever/controller/controller.h"
#include "shallotlever/policy/token_bucket.h"

namespace shallotlever::fuzz {

struct SimulationOptions
{
    std::uint64_t seed = 1;
    /// Simulated steps of 5 ms.
    std::uint64_t steps = 12'000;
    // Broken variants.
    ControlFaults control;
    /// A change is reported as in force when it is committed.
    bool inForceAtCommit = false;
    /// A new controller does not wait for the freshness leases of its predecessor.
    bool forgetPredecessor = false;
    /// A new controller grants shares while its predecessor's may be in use.
    bool grantAtOnce = false;
    /// Nodes go by the state of databases in the fleet view alone, which may follow later.
    bool viewOnly = false;
    /// The controller does not know that data centres are evacuated.
    bool forgetEvacuations = false;
};

/// Carries out a synced write on a disk in memory.
void applyWrite(RecoveredState &disk, const DurableWrite &write);

/// Connection limit of each database.
constexpr std::uint32_t kConnectionLimit = 30;

struct SimulationReport
{
    std::size_t changes = 0;
    std::size_t offices = 0;
    std::size_t crashes = 0;
    std::size_t disksLost = 0;
    std::size_t leases = 0;
    std::size_t admitted = 0;
    std::size_t primaries = 0;
    std::size_t acknowledged = 0;
    std::int64_t controllerMs = 0;
    std::int64_t leasesMs = 0;
    std::int64_t inForceMs = 0;
};

/// Control members, controller, nodes and databases in one process, driven by a seed. The order of
/// calls follows the shells in src/node.
class Simulation
{
public:
    explicit Simulation(SimulationOptions options);

    /// Runs all steps, then ends every fault and checks that the cluster recovers.
    SimulationReport run();
    std::int64_t elapsedMs() const { return (m_now - TimePoint(1h)) / 1ms; }

private:
    struct PendingWrite
    {
        TimePoint doneAt;
        DurableWrite write;
    };
    struct PendingProposal
    {
        ControlTerm term;
        Command command;
    };
    /// A VM: a node, and a control member on the first kMembers of them.
    struct Host
    {
        NodeId id;
        std::size_t index = 0;
        bool up = false;
        TimePoint downUntil;
        /// Local clock: offset + time * rate.
        Duration offset { 0 };
        double rate = 1;
        // Control member.
        RecoveredState disk;
        std::vector<PendingWrite> writes;
        std::unique_ptr<ControlMember> member;
        ReplicatedState state;
        ControlTerm lastAppliedTerm;
        std::map<LogIndex, PendingProposal> proposals;
        std::optional<ControllerState> controller;
        std::set<ConfigVersion> notInForce;
        bool pushDue = false;
        // Node.
        NodeView view;
        ControllerLink link;
        std::map<TeamId, std::unique_ptr<TokenBucket>> buckets;
        std::map<UpstreamId, std::uint32_t> open;
        std::map<UpstreamId, std::pair<Announcement, TimePoint>> heard;
        TimePoint nextReport;
        TimePoint lastReport;
        /// Groups of which this process knew databases.
        std::set<ServiceId> knownGroups;
        /// Highest version served under a lease, over all processes of this node.
        ConfigVersion highest;
    };
    struct Group
    {
        ServiceId service;
        std::vector<Database> databases;
        struct Write
        {
            std::uint64_t id = 0;
            std::size_t host = 0;
            HistoryPoint point;
        };
        std::vector<Write> waiting;
        std::vector<std::uint64_t> acknowledged;
    };

    bool chance(std::uint64_t oneIn) { return uniformBelow(m_random, oneIn) == 0; }
    Duration upTo(Duration bound) { return uniformDuration(m_random, Duration(0), bound); }
    Host &anyHost() { return m_hosts[uniformBelow(m_random, m_hosts.size())]; }
    TimePoint clockOf(const Host &host) const;

    // simulation.cpp: time, network, faults and checks.
    void step();
    void injectFaults();
    void cutLinks();
    void endFaults();
    void start(Host &host);
    void crash(Host &host);
    void loseDisk(Host &host);
    /// Delivers once, twice or not at all, after a delay, unless the receiver is down then.
    void post(std::size_t from, std::size_t to, std::function<void(Host &)> receive);
    void deliver();
    void watch();
    void watchFleet(Host &host) const;
    void watchConnections() const;
    bool connectionsShared() const;
    std::int64_t runUntil(const std::function<bool()> &done, Duration limit, const char *what);
    void checkRecovery();

    // control_side.cpp: what control_group.cpp and controller_host.cpp do.
    void startMember(Host &host);
    void tickMember(Host &host);
    void finishWrites(Host &host);
    void drain(Host &host);
    void apply(Host &host, const LogEntry &entry);
    void finishProposal(Host &host, const LogEntry &entry, const ChangeResult *result);
    void propose(Host &host, const Command &command);
    bool isController(const Host &host) const;
    Host *controller();
    void tickController(Host &host);
    void takeOffice(Host &host);
    void reportInForce(Host &host);
    void callUpstream(Host &host, const UpstreamCall &call);
    void operate();
    Change anyChange(const ClusterConfig &config);
    std::optional<Change> missingSetup(const ClusterConfig &config) const;
    bool canLoseDisk(const Host &host);

    // node_side.cpp: what node_control.cpp and node_publish.cpp do.
    void startNode(Host &host);
    void tickNode(Host &host);
    void sendReport(Host &host);
    ReportInput reportInput(Host &host);
    void answerReport(Host &host, const std::string &bytes, std::size_t from);
    void applyLease(Host &host, const NodeLease &lease);
    void serveRequests(Host &host);
    void useConnections(Host &host);

    // databases.cpp
    void stepDatabases();
    void announce(Group &group, Database &db);
    void write(Group &group);
    void acknowledge(Group &group);
    Database *findDatabase(const UpstreamId &id);
    bool reaches(const Host &host, const Database &db) const;
    bool groupsServe();
    /// Whether the node would send work to the database.
    bool mayWork(const Host &host, const UpstreamInfo &info) const;
    /// Sends work to every database that takes it.
    void useDatabases(const Host &host) const;
    /// Whether the view of every node shows the databases of the evacuated data centres as leaving,
    /// and the others as live, and no group has a primary among the former that need not be there.
    bool evacuated();

    SimulationOptions m_options;
    Random m_random;
    TimePoint m_now { 1h };
    std::vector<Host> m_hosts;
    std::vector<Group> m_groups;
    std::multimap<TimePoint, std::pair<std::size_t, std::function<void(Host &)>>> m_network;
    /// m_cut[from][to]: messages are lost.
    std::vector<std::vector<bool>> m_cut;
    TimePoint m_cutUntil;
    bool m_faulty = true;
    bool m_operatorsActive = true;
    std::size_t m_busyHost = 0;
    std::uint64_t m_nextIdentity = 1;
    std::uint64_t m_nextIncarnation = 1;
    std::uint64_t m_nextWrite = 1;
    std::vector<OperatorChange> m_sent;
    std::uint64_t m_nextKey = 1;
    ConfigOracle m_configOracle;
    std::map<TeamId, RateOracle> m_rateOracles;
    std::set<std::uint64_t> m_limitsSeen;
    SimulationReport m_report;
};

} // namespace shallotlever::fuzz
