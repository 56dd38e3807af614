#pragma once

#include <functional>
#include <memory>

#include "database_group.h"
#include "shallotlever/fleet/acknowledgement.h"
#include "shallotlever/fleet/distribution.h"
#include "shallotlever/fleet/freshness.h"
#include "shallotlever/fleet/primary_change.h"
#include "shallotlever/fleet/registry.h"
#include "shallotlever/fleet/session_read.h"
#include "shallotlever/fleet/voting_set.h"

/// Drives the real code of the fleet library against the model of a database group, with
/// crashes, cut links (one-way ones too), slow replication and changes of controller.
namespace shallotlever::fuzz {

constexpr Duration kTick = 50ms;

/// Each breaks one rule; the run must then report a violation.
enum class Variant {
    None,
    NoFence,
    AckWithoutMajority,
    AckWithoutLease,
    MajorityOfAnnouncing,
    PublishWithoutConfirm,
    SharedTerm,
    ReadAnyReplica,
    NoVotingBarrier,
};
std::optional<Variant> variantFromName(const std::string &name);

/// The control log: decisions are accepted in order, by the rules of the `config` library.
struct ControlLog
{
    struct Entry
    {
        ControlTerm proposer;
        GroupDecision decision;
    };
    ControlTerm term;
    std::vector<Entry> entries;
};
/// Applies a decision; false if it is refused.
bool applyDecision(GroupState &group, const GroupDecision &decision);

struct Controller
{
    bool leading = false;
    /// Acts until it learns that it was replaced.
    bool active = false;
    ControlTerm term;
    TimePoint since;
    std::size_t applied = 0;
    ClusterState state;
    Term ownReserved;
    Registry registry;
    LeaseTable leases;
    FleetLog fleet;
    ConfigLog config;
    ShareSet shares;
    PrimaryChange change;
    VotingSetProgress progress;
    std::map<UpstreamId, MemberStatus> statuses;
    std::optional<TimePoint> viewInForceAt;
    FleetVersion viewVersion;
    TimePoint primarySince;
};

struct Node
{
    NodeId id;
    NodeFreshness freshness;
    FleetLog fleet;
    AckTracker acks;
    std::vector<HeardAnnouncement> heard;
    std::vector<TimePoint> heardAt;
    TimePoint nextReport;
    /// A session that stays at this node, and its token.
    HistoryPoint token;
    std::set<std::uint64_t> sessionWrites;
    std::map<std::uint64_t, HistoryPoint> commits;
};

class Simulation
{
public:
    Simulation(std::uint64_t seed, Variant variant);

    /// One tick with failures.
    void stepWithFailures();
    /// Repairs everything and runs until a new write is acknowledged at every node.
    void healAndRecover();

    const std::vector<std::string> &violations() const { return m_violations; }
    std::size_t acknowledged() const { return m_acked.size(); }
    std::size_t changes() const { return m_changes; }
    std::size_t votingSetChanges() const { return m_votingSetChanges; }
    std::size_t reads() const { return m_reads; }

private:
    struct Message
    {
        TimePoint at;
        std::string from;
        std::string to;
        std::function<void()> deliver;
    };

    void tick();
    void injectFailure();
    void elect();
    void send(const std::string &from, const std::string &to, std::function<void()> deliver);
    void deliverMessages();
    bool linked(const std::string &from, const std::string &to) const;
    bool chance(unsigned oneIn) { return uniformBelow(m_random, oneIn) == 0; }

    void stepDatabases();
    void announce(Database &db);
    void stepNode(std::size_t index);
    void report(std::size_t index);
    void receiveLease(std::size_t index, const std::string &bytes);
    void writeAt(std::size_t index);
    void readAt(std::size_t index);
    void settle(std::size_t index, const AckContext &context);

    void stepController(std::size_t index);
    void receiveReport(std::size_t controller, std::size_t node, const std::string &bytes);
    void applyLog(Controller &controller);
    void publish(Controller &controller);
    void runChange(std::size_t index);
    void runVotingSet(std::size_t index);
    void act(std::size_t index, const ChangeAction &action);
    void call(std::size_t index, CallKind kind, const UpstreamId &target, Term term);
    void propose(std::size_t index, const GroupDecision &decision);
    ChangeInput changeInput(const Controller &controller) const;
    VotingSetInput votingInput(const Controller &controller) const;

    void checkOffice();
    void checkPromotion(const UpstreamId &id, Term term);
    void violation(const std::string &text);
    /// State of the group, for the report of a violation.
    std::string describe() const;

    Random m_random;
    Variant m_variant;
    TimePoint m_now;
    std::map<UpstreamId, Database> m_databases;
    std::vector<Node> m_nodes;
    std::vector<Controller> m_controllers;
    ControlLog m_log;
    /// State of the log itself, without the controllers' lag.
    GroupState m_group;
    std::vector<Message> m_messages;
    std::set<std::pair<std::string, std::string>> m_cuts;
    std::map<std::uint64_t, HistoryPoint> m_acked;
    std::map<Term, UpstreamId> m_promoted;
    std::map<UpstreamId, TimePoint> m_nextAnnouncement;
    std::uint64_t m_nextWrite = 1;
    std::size_t m_changes = 0;
    std::size_t m_votingSetChanges = 0;
    std::size_t m_reads = 0;
    std::vector<std::string> m_violations;
};

} // namespace shallotlever::fuzz
