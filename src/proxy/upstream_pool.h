#pragma once

#include <deque>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "shallotlever/proxy/placement.h"
#include "shallotlever/types/shares.h"
#include "upstream_link.h"

namespace shallotlever {

using SessionValues = std::map<std::string, std::string>;

/// Stands for sessions without a key, and for connections that only try a database.
const TeamId &anonymousTeam();

/// A connection of the pool with the state that statements left on it.
struct PooledLink
{
    std::uint64_t number = 0;
    TeamId team;
    std::unique_ptr<UpstreamLink> link;
    /// Called if the connection ends while it is busy and no request is unanswered.
    std::function<void()> lost;
    bool open = false;
    bool busy = false;
    SessionValues values;
    /// Prepared statements by the name that the pool gave them.
    std::map<std::string, PreparedStatement> prepared;
    TimePoint usedAt;
    /// A rollback that nobody waits for has been sent; the connection is closed if it is not
    /// answered by then.
    std::optional<TimePoint> rollbackUntil;
};

/// Why a statement got no connection.
enum class LinkDenial : std::uint8_t {
    Unreachable,
    /// The database refused the connection.
    Refused,
    /// Given up by the caller of the pool, or the database has gone.
    Cancelled,
};

/// A connection, or why there is none.
using LinkResult = std::variant<PooledLink *, LinkDenial>;

/// Connections of this node to one database. Connections belong to a team, because the database
/// is told whose statements it runs. They are scarce: a statement of a team without an idle
/// connection takes the place of another team's idle one.
class UpstreamPool
{
public:
    /// The link is busy until release(), rollBack() or discard().
    using LinkCallback = std::function<void(const LinkResult &result)>;
    struct Callbacks
    {
        std::function<void(const HistoryPoint &point, TimePoint askedAt)> point;
        /// The database became reachable or unreachable.
        std::function<void(bool reachable)> reachable;
        /// A connection could not be opened; `error` is what the database answered, if anything,
        /// and `waited` the time since it was begun.
        std::function<void(LinkFailure failure, const std::string &error, Duration waited)>
            openFailed;
    };

    UpstreamPool(const SessionProtocol &protocol, UpstreamInfo info, Callbacks callbacks);
    ~UpstreamPool();
    UpstreamPool(const UpstreamPool &) = delete;
    UpstreamPool &operator=(const UpstreamPool &) = delete;

    /// Calls back at once if a connection is idle. The number cancels the wait.
    /// Waiting statements of a lower `priority` number go first.
    std::uint64_t acquire(const TeamId &team, const SessionValues &values, std::uint32_t priority,
                          LinkCallback callback, TimePoint now);
    void cancel(std::uint64_t waiter);
    void release(PooledLink *link, TimePoint now);
    /// Ends the transaction on the connection and releases it.
    void rollBack(PooledLink *link, TimePoint now);
    /// Closes the connection; whatever runs on it is lost.
    void discard(PooledLink *link, TimePoint now);
    /// An answer did not come: connections that were idle meanwhile may be dead as well.
    void noteSilence(TimePoint now);
    void noteAnswer(Duration elapsed, TimePoint now);
    /// The database answered that the statement did not run; `full` if for want of a slot.
    void noteRefusal(bool full, TimePoint now);
    /// The database answered something within the last moments.
    bool answersOthers(TimePoint now) const;

    void setShare(std::uint32_t connections, TimePoint now);
    void setInfo(const UpstreamInfo &info, bool primary);
    /// The database has left the view: what runs there may end, and nothing is opened any more.
    void retire();
    void tick(TimePoint now);

    const UpstreamInfo &info() const { return m_info; }
    const UpstreamLoad &load() const { return m_load; }
    /// The same as one more statement of the team would find it.
    UpstreamLoad loadFor(const TeamId &team) const;
    SlotDemand demand(TimePoint now) const;
    bool busy() const;
    /// Whether the node has tried the database recently enough to say if it is reachable.
    bool observed(TimePoint now) const;

private:
    struct Waiter
    {
        std::uint64_t number = 0;
        std::uint32_t priority = 0;
        TeamId team;
        SessionValues values;
        LinkCallback callback;
    };

    PooledLink *idleLink(const TeamId &team, const SessionValues &values);
    PooledLink *idleVictim();
    void open(const TeamId &team, TimePoint now);
    PooledLink *find(std::uint64_t number);
    void onOpened(PooledLink *link, std::optional<HistoryPoint> point, TimePoint askedAt);
    void onFailed(PooledLink *link, LinkFailure failure, const std::optional<UpstreamError> &error);
    void onClosed(std::uint64_t number);
    void remove(PooledLink *link);
    void serveWaiters(TimePoint now);
    void openForWaiters(TimePoint now);
    void denyWaiters(LinkDenial denial, const TeamId *team = nullptr);
    void setReachable(bool reachable);
    std::uint32_t openingFor(const TeamId &team) const;
    void updateOutstanding();
    std::uint32_t openings() const;
    Duration replaceInterval() const;
    void closeOverdue(TimePoint now);
    std::uint32_t running() const;

    const SessionProtocol &m_protocol;
    UpstreamInfo m_info;
    Callbacks m_callbacks;
    UpstreamLoad m_load;
    std::list<PooledLink> m_links;
    /// Closed links that may still be on the call stack.
    std::vector<std::unique_ptr<UpstreamLink>> m_retired;
    std::deque<Waiter> m_waiters;
    std::uint64_t m_lastWaiter = 0;
    std::uint64_t m_lastLink = 0;
    std::uint32_t m_silences = 0;
    /// In a row.
    std::uint32_t m_openFailures = 0;
    SendWindow m_window;
    TimePoint m_answeredAt;
    /// When each team last asked for a connection.
    std::map<TeamId, TimePoint> m_askedAt;
    TimePoint m_triedAt;
    TimePoint m_nextOpen;
    TimePoint m_replacedAt;
};

} // namespace shallotlever
