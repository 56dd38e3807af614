#pragma once

#include <functional>
#include <list>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "prepared_statements.h"
#include "shallotlever/base/due.h"
#include "shallotlever/policy/return_schedule.h"
#include "shallotlever/policy/statement_queue.h"
#include "shallotlever/proxy/placement.h"
#include "shallotlever/types/shares.h"
#include "statement_messages.h"
#include "upstream_link.h"

namespace shallotlever {

/// Placeholder team of sessions without a key and of probe connections.
const TeamId &anonymousTeam();

/// A connection of the pool and the session state that earlier statements left on it.
struct PooledLink
{
    std::uint64_t id = 0;
    TeamId team;
    std::unique_ptr<UpstreamLink> link;
    /// Called if the connection is lost while it is busy and no request is pending.
    std::function<void()> onConnectionLost;
    bool open = false;
    bool busy = false;
    SessionVariables variables;
    PreparedStatements prepared;
    TimePoint lastUsedAt;
    /// Set while a rollback or a ping is pending. The connection is closed if no response arrives
    /// by then.
    std::optional<TimePoint> replyDeadline;
};

/// Number of consecutive timeouts after which a database is considered unreachable.
constexpr std::uint32_t kTimeoutsUntilUnreachable = 2;
/// An owned database that has not responded for this long is pinged.
constexpr Duration kDefaultPingInterval = 500ms;

/// Why acquire() did not yield a connection.
enum class LinkAcquireFailure : std::uint8_t {
    Unreachable,
    /// The database refused the connection.
    Refused,
    /// The database is leaving or the pool is being destroyed.
    Cancelled,
    /// The statement could not have finished before its deadline.
    DeadlineTooShort,
};

/// A statement that needs a connection.
struct LinkRequest
{
    StatementTraits statement;
    /// Session variables that the statement needs; a connection that has them is preferred.
    SessionVariables variables;
};

/// Queue and connections of a pool at one moment, and its work since it was created.
struct PoolOccupancy
{
    /// Statements that wait for a connection, and for how long the first of them has waited.
    std::uint32_t waiting = 0;
    Duration longestWait { 0 };
    /// Connections that are ready for use or in use, and those that are being opened.
    std::uint32_t open = 0;
    std::uint32_t opening = 0;
    /// Statements that were sent to the database and not answered, and the limit of these.
    std::uint32_t running = 0;
    double window = 0;
    /// Connections that transactions hold between two statements.
    std::uint32_t held = 0;
    /// Connections that were requested, that were handed out, and that were opened.
    std::uint64_t requested = 0;
    std::uint64_t acquired = 0;
    std::uint64_t opened = 0;
};

/// A connection, or the reason why none was acquired.
using LinkResult = std::variant<PooledLink *, LinkAcquireFailure>;

/// Connection pool of this node for one database. Each connection belongs to a team, because the
/// user name sent to the database identifies the team. Connections are scarce: at the limit, an
/// idle connection of another team is evicted to open one for a waiting statement.
///
/// A node that owns the pool (pool_owner.h) sends no more statements than the database has slots,
/// and pings an idle database, so that its failures and the end of its log are known.
class UpstreamPool
{
public:
    /// An acquired link stays busy until release(), rollBack() or discard().
    using LinkCallback = std::function<void(const LinkResult &result)>;
    struct Callbacks
    {
        std::function<void(const HistoryPoint &point, TimePoint requestedAt)> point;
        /// The database became reachable or unreachable.
        std::function<void(bool reachable)> reachable;
        /// A connection could not be opened. `error` is the error message of the database, if any,
        /// and `waited` the time since the attempt started.
        std::function<void(LinkOpenFailure failure, const std::string &error, Duration waited)>
            openFailed;
    };

    UpstreamPool(const SessionProtocol &protocol, UpstreamInfo info, Callbacks callbacks);
    ~UpstreamPool();
    UpstreamPool(const UpstreamPool &) = delete;
    UpstreamPool &operator=(const UpstreamPool &) = delete;

    /// Requests a connection. Calls back immediately if one is available or the statement can't
    /// finish before its deadline. Returns an id to pass to cancel().
    WaiterId acquire(const LinkRequest &request, LinkCallback callback, TimePoint now);
    void cancel(WaiterId waiterId);
    /// When the sender of a statement that was refused with DeadlineTooShort should come back.
    Duration takeReturnDelay(const StatementTraits &statement, TimePoint now);
    void release(PooledLink *link, TimePoint now);
    /// Rolls back the transaction on the connection, then releases the connection.
    void rollBack(PooledLink *link, TimePoint now);
    /// Closes the connection, aborting any statement that runs on it.
    void discard(PooledLink *link, TimePoint now);
    /// Records a response timeout. Closes idle connections, which may be dead as well, unless the
    /// database has just responded to another request.
    void recordTimeout(TimePoint now);
    void recordResponse(Duration elapsed, TimePoint now);
    /// Records what a statement of this class and kind cost.
    void recordCost(const StatementTraits &statement, Duration elapsed);
    /// Records that the database refused or failed a statement; `full` if no slot was free.
    void recordRefusal(bool full, TimePoint now);
    /// Whether the database responded to any request within kResponsivePeriod.
    bool recentlyResponsive(TimePoint now) const;

    void setLeasedConnections(std::uint32_t leasedConnections, TimePoint now);
    /// `owned`: this node is one of the database's pool owners.
    void setInfo(const UpstreamInfo &info, bool primary, bool owned);
    /// Requests that the end of the database's log be known at least this recently.
    void setMaxPositionAge(Duration age) { m_pingInterval = age; }
    /// Called when the database has been removed from the fleet view. Running statements may
    /// finish; waiters are cancelled and no new connections are opened.
    void retire();
    void tick(TimePoint now);
    /// When tick() has something to do if nothing else happens; kNever if it does not.
    TimePoint nextTick(TimePoint now) const;

    const UpstreamInfo &info() const { return m_info; }
    const UpstreamLoad &load() const { return m_load; }
    /// Load as seen by one more statement of the team.
    UpstreamLoad loadFor(const TeamId &team) const;
    SlotDemand demand(TimePoint now) const;
    PoolOccupancy occupancy(TimePoint now) const;
    bool hasBusyLink() const;
    bool hasLinks() const { return !m_links.empty(); }
    /// Whether the database was contacted recently enough to report its reachability.
    bool hasRecentObservation(TimePoint now) const;

private:
    struct Waiter
    {
        TeamId team;
        SessionVariables variables;
        LinkCallback callback;
        TimePoint since;
    };

    PooledLink *idleLink(const TeamId &team, const SessionVariables &variables);
    std::set<TeamId> idleTeams() const;
    void handOut(PooledLink *link, const LinkCallback &callback, TimePoint now);
    PooledLink *evictionCandidate(bool overdue);
    void open(const TeamId &team, TimePoint now);
    PooledLink *find(std::uint64_t id);
    void onOpened(PooledLink *link, std::optional<HistoryPoint> point, TimePoint requestedAt);
    void onFailed(PooledLink *link, LinkOpenFailure failure,
                  const std::optional<UpstreamError> &error);
    void onClosed(std::uint64_t id);
    void remove(PooledLink *link);
    void makeIdle(PooledLink *link, TimePoint now);
    void serveWaiters(TimePoint now);
    void refuseInfeasible(TimePoint now);
    void openForWaiters(TimePoint now);
    void openForOverdue(TimePoint now);
    bool mayOpen(const TeamId &team, bool overdue, TimePoint now);
    std::uint32_t missingLinks(const TeamId &team, std::uint32_t waiting) const;
    std::size_t connectionLimit(TimePoint now) const;
    bool makeRoom(const TeamId &team, bool slotFree, bool overdue, TimePoint now);
    void updateQueueSlots();
    bool isSurplus(const PooledLink &link) const;
    void ping(TimePoint now);
    PooledLink *leastRecentlyUsedLink();
    TimePoint nextPing() const;
    TimePoint idleLimit(const PooledLink &link, TimePoint now) const;
    void failWaiters(LinkAcquireFailure failure, const TeamId *team = nullptr);
    void setReachable(bool reachable);
    void updateOutstanding();
    std::uint32_t pendingOpens() const;
    void closeExpired(TimePoint now);
    std::uint32_t runningStatements() const;

    const SessionProtocol &m_protocol;
    UpstreamInfo m_info;
    Callbacks m_callbacks;
    UpstreamLoad m_load;
    std::list<PooledLink> m_links;
    /// Closed links whose callbacks may still be on the call stack; destroyed on the next tick.
    std::vector<std::unique_ptr<UpstreamLink>> m_closedLinks;
    StatementQueue m_queue;
    std::map<WaiterId, Waiter> m_waiters;
    std::uint64_t m_lastWaiterId = 0;
    ReturnSchedule m_returns;
    std::uint64_t m_lastLinkId = 0;
    std::uint64_t m_acquired = 0;
    std::uint64_t m_opened = 0;
    std::uint32_t m_consecutiveTimeouts = 0;
    std::uint32_t m_consecutiveOpenFailures = 0;
    ConcurrencyWindow m_window;
    bool m_owned = false;
    Duration m_pingInterval = kDefaultPingInterval;
    TimePoint m_lastResponseAt;
    /// Time of each team's last acquire() call.
    std::map<TeamId, TimePoint> m_lastRequestByTeam;
    /// Time of the last connection attempt, response or timeout.
    TimePoint m_lastContactAt;
    TimePoint m_nextOpenAt;
    TimePoint m_lastEvictionAt;
    std::size_t m_observedLimit = 0;
    TimePoint m_observedLimitUntil;
};

} // namespace shallotlever
