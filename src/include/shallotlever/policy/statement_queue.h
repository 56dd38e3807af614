#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <vector>

#include "shallotlever/base/due.h"
#include "shallotlever/base/ids.h"
#include "shallotlever/policy/service_rate.h"

/// Order in which the statements that wait for one database are sent.
///
/// Load pattern: three to six slots, classes of statements of unequal priority and cost, many teams
/// of unequal size, and a burst of more than twice the load that the slots can serve.
namespace shallotlever {

/// Identifies a waiting statement; unique within the lifetime of the queue.
using WaiterId = Number<struct WaiterIdTag>;

/// Statements of one kind are expected to cost the same.
enum class StatementCostKind : std::uint8_t {
    Read,
    Write,
    /// First statement of a transaction.
    Transaction,
};

/// What the order of a statement depends on.
struct StatementTraits
{
    TeamId team;
    /// Share of the team relative to others; positive.
    double weight = 1;
    /// Class of the statement; 0 is served first.
    std::uint32_t priority = 0;
    StatementCostKind kind = StatementCostKind::Read;
    /// The database is the primary and a replica could run the statement as well.
    bool replicaEligible = false;
    /// Latency objective; statements that can't meet it are served after those that can.
    TimePoint objective = kNever;
    TimePoint deadline = kNever;
};

/// Weight of a team with this rate limit among teams of which the smallest has another one. 0: no
/// limit is known.
double teamWeight(double rate, double smallestRate);

enum class StatementOrder : std::uint8_t {
    Fair,
    /// Fault injection for tests: teams are fair by number of statements.
    FairByCount,
    /// Fault injection for tests: first come, first served inside a priority, nothing is refused.
    Arrival,
};

/// Share of the work that all lower classes together get at least while they wait.
inline constexpr double kLowerClassesShare = 0.1;
/// A team without an idle connection is passed over for at most this long.
inline constexpr Duration kMaxHeldBack = 100ms;

struct StatementQueueOptions
{
    StatementOrder order = StatementOrder::Fair;
    double lowerClassesShare = kLowerClassesShare;
};

/// Statements of a team that wait.
struct WaitingTeam
{
    TeamId team;
    std::uint32_t waiting = 0;
};

/// Decides which waiting statement is sent next. The caller counts what runs. A call takes time in
/// proportion to the number of teams that wait. Not thread-safe.
class StatementQueue
{
public:
    explicit StatementQueue(StatementQueueOptions options = {})
        : m_options(options)
    {
    }

    /// Number of statements that the database runs at the same time; at least 1.
    void setSlots(std::uint32_t slots) { m_slots = slots; }

    /// Adds a statement. Returns false if its turn is expected too late for its deadline.
    bool enqueue(WaiterId id, const StatementTraits &statement, TimePoint now);
    /// Removes the next statement of a team in `ready` and returns it. Other teams are passed over
    /// and keep their place.
    std::optional<WaiterId> next(const std::set<TeamId> &ready, TimePoint now);
    /// Removes the statements that can't finish before their deadlines.
    std::vector<WaiterId> takeInfeasible(TimePoint now);
    void cancel(WaiterId id);
    /// A slot is free: what still waits does so for want of a connection, not for others.
    void recordFreeSlot(TimePoint now);

    /// Teams that have been passed over for kMaxHeldBack, in the order of their turns.
    std::vector<TeamId> overdueTeams(TimePoint now) const;
    /// Number of waiting statements of each team, in the order of the teams' turns.
    std::vector<WaitingTeam> waitingByTeam() const;
    bool waits(const TeamId &team) const { return m_waitingByTeam.contains(team); }
    std::size_t size() const { return m_waiting.size(); }

    /// Adds a response time to the expected cost of a class and kind.
    void recordCost(std::uint32_t priority, StatementCostKind kind, Duration elapsed);
    Duration expectedCost(std::uint32_t priority, StatementCostKind kind) const;
    /// Expected time until the turn of a statement that is added now.
    Duration expectedWait(const StatementTraits &statement, TimePoint now) const
    {
        return predict(statement, now).wait;
    }

private:
    /// Statements that are served in turns by team. Groups are served in the order of their keys.
    struct GroupKey
    {
        /// Late, and goes behind those of all classes that are not. The highest class never does.
        bool deferred = false;
        std::uint32_t priority = 0;
        bool late = false;
        bool replicaEligible = false;
        friend auto operator<=>(const GroupKey &, const GroupKey &) = default;
    };
    struct FlowOrder
    {
        TimePoint deadline;
        WaiterId id;
        friend auto operator<=>(const FlowOrder &, const FlowOrder &) = default;
    };
    /// Waiting statements of one team in a group; removed when there are none left.
    struct Flow
    {
        double weight = 1;
        std::set<FlowOrder> waiting;
        /// Virtual time at which the first statement may be served.
        double start = 0;
        /// Expected work of the statements, in microseconds.
        double cost = 0;
    };
    /// Next turn of a team that was served.
    struct Turn
    {
        double start = 0;
        double weight = 1;
    };
    struct Group
    {
        std::map<TeamId, Flow> flows;
        TimePoint usedAt;
        /// Start of the statement that was served last, and the next turns of the teams. Kept for a
        /// while when no statement waits.
        double virtualTime = 0;
        std::map<TeamId, Turn> nextTurns;
        double cost = 0;
        ServiceRate rate;
    };
    struct Waiter
    {
        StatementTraits statement;
        GroupKey group;
        /// Expected when the statement was added, in microseconds.
        double cost = 0;
        /// Latest times to start, for the objective and for the deadline.
        TimePoint inTimeUntil;
        TimePoint feasibleUntil;
    };
    /// Statements by the latest time at which they can be started.
    using ByStart = std::set<std::pair<TimePoint, WaiterId>>;

    /// Where a statement would wait, and for how long.
    struct Prediction
    {
        bool late = false;
        Duration wait { 0 };
    };

    Prediction predict(const StatementTraits &statement, TimePoint now) const;
    Duration waitIn(const GroupKey &key, const StatementTraits &statement, TimePoint now) const;
    GroupKey groupOf(const StatementTraits &statement, bool late) const;
    TeamId flowOf(const StatementTraits &statement) const;
    FlowOrder orderOf(const StatementTraits &statement, WaiterId id) const;
    double chargeFor(const Waiter &waiter) const;
    double largestCost(std::uint32_t priority) const;
    std::vector<std::pair<double, TeamId>> turnsOfTeams(const Group &group) const;
    void addToGroup(WaiterId id, const Waiter &waiter, TimePoint now);
    void removeFromGroup(WaiterId id, const Waiter &waiter);
    void remove(WaiterId id);
    void moveLate(TimePoint now);
    void noteHeldBack(const std::set<TeamId> &ready, TimePoint now);
    std::vector<GroupKey> turns() const;
    static double competingWeight(const Group &group, const TeamId &team);
    Group &activeGroup(const Waiter &waiter, TimePoint now);
    std::optional<WaiterId> nextOf(const Group &group, const std::set<TeamId> &ready) const;
    void recordTurn(const Waiter &waiter, TimePoint now);
    void shareCredit(std::uint32_t served, double cost);
    bool isPaidFor(std::uint32_t priority) const;

    StatementQueueOptions m_options;
    std::uint32_t m_slots = 1;
    std::map<GroupKey, Group> m_groups;
    /// Work that each class is owed, in microseconds.
    std::map<std::uint32_t, double> m_credits;
    std::map<WaiterId, Waiter> m_waiting;
    ByStart m_inTime;
    ByStart m_feasible;
    /// Became late, and can't be served in the line of the late ones either.
    std::vector<WaiterId> m_refused;
    std::map<TeamId, std::uint32_t> m_waitingByTeam;
    /// When a team that waits was first passed over.
    std::map<TeamId, TimePoint> m_heldBackSince;
    /// Moving averages.
    std::map<std::pair<std::uint32_t, StatementCostKind>, Duration> m_costs;
};

} // namespace shallotlever
