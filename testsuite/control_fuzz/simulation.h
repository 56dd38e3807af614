#pragma once

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "oracle.h"
#include "shallotlever/base/random.h"
#include "shallotlever/control/member.h"

namespace shallotlever::fuzz {

struct SimulationOptions
{
    std::uint64_t seed = 1;
    /// Simulated steps of 5 ms.
    std::uint64_t steps = 20'000;
    std::size_t members = 3;
    ControlFaults faults;
    /// Broken variant: a member that lost its disk starts under its former identity.
    bool keepIdentity = false;
    // Broken variants: evacuations are lost by an installed configuration, or by a snapshot.
    bool installDropsEvacuations = false;
    bool snapshotDropsEvacuations = false;
    /// The only faults are cut links of one follower at a time. The term must not change then.
    bool isolationOnly = false;
    /// The only faults are disks that are full for some seconds, one at a time. Changes must go on.
    bool fullDisksOnly = false;
};

struct SimulationReport
{
    LogIndex committed;
    std::size_t changesAccepted = 0;
    std::size_t disksLost = 0;
    std::size_t crashes = 0;
    std::size_t snapshotsInstalled = 0;
    std::size_t transfers = 0;
    std::uint64_t terms = 0;
};

/// A control group with its disks and network in one process, driven by a seed.
class Simulation
{
public:
    explicit Simulation(SimulationOptions options);

    /// Runs all steps, then heals every fault and checks that the group converges.
    SimulationReport run();
    /// Prints the state of each member.
    void describe() const;

private:
    struct Disk
    {
        RecoveredState state;
        void apply(const DurableWrite &write);
    };
    struct PendingWrite
    {
        TimePoint doneAt;
        DurableWrite write;
    };
    struct Node
    {
        NodeId id;
        Disk disk;
        std::unique_ptr<ControlMember> member;
        std::vector<PendingWrite> writes;
        ReplicatedState state;
        TimePoint downUntil;
        TimePoint frozenUntil;
        /// No write completes before.
        TimePoint diskFullUntil;
        /// Local clock: offset + time * rate.
        Duration offset { 0 };
        double rate = 1;
    };
    struct Packet
    {
        std::size_t from = 0;
        std::size_t to = 0;
        std::string bytes;
    };

    bool lossyNetwork() const { return m_faulty && !m_options.fullDisksOnly; }
    bool chance(std::uint64_t oneIn) { return uniformBelow(m_random, oneIn) == 0; }
    std::size_t anyNode() { return uniformBelow(m_random, m_nodes.size()); }
    Duration upTo(Duration bound) { return uniformDuration(m_random, Duration(0), bound); }
    TimePoint clockOf(const Node &node) const;
    bool runs(const Node &node) const { return node.member && node.frozenUntil <= m_now; }

    void step();
    void injectFaults();
    void cutLinks();
    void isolateFollower();
    void fillNextDisk();
    /// Changes are committed although a disk is full.
    void checkProgress();
    void heal();
    void crash(Node &node);
    void loseDisk(Node &node);
    const ControlMember *leaseHolder() const;
    /// The member's disk still exists.
    bool isCurrent(const Member &voter) const;
    bool groupIsRepaired() const;
    bool canLose(const Node &node) const;
    void start(Node &node);
    void restore(Node &node, const ControlSnapshotPtr &snapshot);
    void deliver();
    void finishWrites(Node &node);
    void drain(Node &node);
    void apply(Node &node, const LogEntry &entry);
    void post(std::size_t from, const ControlMessage &message);
    void useGroup();
    void proposeChange(Node &node);
    void proposeInstall(Node &node);
    Change anyChange();
    std::string snapshotOf(const Node &node) const;
    void watch();
    bool converged() const;
    void checkConvergence();

    SimulationOptions m_options;
    Random m_random;
    TimePoint m_now;
    std::vector<Node> m_nodes;
    std::multimap<TimePoint, Packet> m_network;
    /// m_cut[from][to]: packets are lost.
    std::vector<std::vector<bool>> m_cut;
    TimePoint m_cutUntil;
    bool m_faulty = true;
    /// No more proposals.
    bool m_idle = false;
    std::optional<ControlTerm> m_settledTerm;
    TimePoint m_nextFullDisk;
    std::size_t m_fullDisks = 0;
    LogIndex m_progress;
    TimePoint m_progressAt;
    std::uint64_t m_nextIdentity = 1;
    std::uint64_t m_nextChange = 1;
    std::uint64_t m_nextInstall = 1;
    Oracle m_oracle;
    SimulationReport m_report;
};

} // namespace shallotlever::fuzz
