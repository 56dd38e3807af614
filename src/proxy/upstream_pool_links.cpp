// Connections of a pool: opening, eviction, ping and closing.

#include <algorithm>
#include <utility>

#include "shallotlever/base/clock.h"
#include "shallotlever/policy/connection_eviction.h"
#include "upstream_pool.h"

namespace shallotlever {

namespace {

constexpr Duration kConnectTimeout = 900ms;
/// Opening a connection occupies a slot of the database, and a busy database queues such requests.
/// Aborting one early wastes the work done, and the next one starts at the end of the queue.
constexpr Duration kHandshakeTimeout = 3s;
/// Maximum number of connections that a node opens concurrently to one database. All nodes together
/// must not request more than the database can open within kHandshakeTimeout.
constexpr std::uint32_t kMaxConcurrentOpens = 2;
/// Initial backoff after a connection could not be opened; doubles with each consecutive failure.
constexpr Duration kOpenBackoff = 100ms;
constexpr std::uint32_t kMaxOpenBackoffDoublings = 4;
/// Idle connections are closed after this time.
constexpr Duration kIdleTimeout = 20s;
/// A connection whose ping is not answered within this time is closed.
constexpr Duration kPingTimeout = 400ms;
/// An idle connection of a team that has another idle one is closed after this time, so that the
/// database can accept those of other nodes, for example of this one's successor after a crash.
constexpr Duration kSurplusIdleTimeout = 2s;
/// A database that refused a connection is taken to accept no more than are open, for this long.
constexpr Duration kObservedLimitPeriod = 500ms;

} // namespace

/// Prefers a connection on which the session variables are already set.
PooledLink *UpstreamPool::idleLink(const TeamId &team, const SessionVariables &variables)
{
    PooledLink *found = nullptr;
    for (PooledLink &link : m_links) {
        if (!link.open || link.busy || link.team != team)
            continue;
        if (link.variables == variables)
            return &link;
        if (found == nullptr || (link.variables.empty() && !found->variables.empty()))
            found = &link;
    }
    return found;
}

std::set<TeamId> UpstreamPool::idleTeams() const
{
    std::set<TeamId> teams;
    for (const PooledLink &link : m_links) {
        if (link.open && !link.busy)
            teams.insert(link.team);
    }
    return teams;
}

/// The least recently used idle connection of a team without waiting statements or, for a team that
/// is `overdue`, of any team.
PooledLink *UpstreamPool::evictionCandidate(bool overdue)
{
    PooledLink *unused = nullptr;
    PooledLink *any = nullptr;
    for (PooledLink &link : m_links) {
        if (!link.open || link.busy)
            continue;
        if (any == nullptr || link.lastUsedAt < any->lastUsedAt)
            any = &link;
        if (!m_queue.waits(link.team)
            && (unused == nullptr || link.lastUsedAt < unused->lastUsedAt))
            unused = &link;
    }
    return unused == nullptr && overdue ? any : unused;
}

/// Number of connections to open for `waiting` statements of the team. Those that merely wait for
/// the window need none if an idle connection is kept for them.
std::uint32_t UpstreamPool::missingLinks(const TeamId &team, std::uint32_t waiting) const
{
    const auto available = static_cast<std::uint32_t>(
        std::count_if(m_links.begin(), m_links.end(),
                      [&](const PooledLink &link) { return !link.busy && link.team == team; }));
    return waiting - std::min(waiting, available);
}

std::uint32_t UpstreamPool::pendingOpens() const
{
    return static_cast<std::uint32_t>(std::count_if(
        m_links.begin(), m_links.end(), [](const PooledLink &link) { return !link.open; }));
}

void UpstreamPool::openForWaiters(TimePoint now)
{
    if (now < m_nextOpenAt || m_waiters.empty())
        return;
    const std::vector<WaitingTeam> demands = m_queue.waitingByTeam();
    for (bool opened = true; opened;) {
        opened = false;
        for (const WaitingTeam &demand : demands) {
            if (missingLinks(demand.team, demand.waiting) == 0)
                continue;
            if (!mayOpen(demand.team, false, now))
                return;
            open(demand.team, now);
            opened = true;
        }
    }
}

/// Opens connections for the teams that have been passed over for too long.
void UpstreamPool::openForOverdue(TimePoint now)
{
    if (now < m_nextOpenAt || !m_owned)
        return;
    for (const TeamId &team : m_queue.overdueTeams(now)) {
        if (missingLinks(team, 1) == 0)
            continue;
        if (!mayOpen(team, true, now))
            return;
        open(team, now);
    }
}

/// Opening a connection occupies a slot as well. One is opened at any load, so that a team without
/// a connection is not starved.
bool UpstreamPool::mayOpen(const TeamId &team, bool overdue, TimePoint now)
{
    const std::uint32_t opens = pendingOpens();
    const bool slotFree = windowHasCapacity(m_window, runningStatements() + opens);
    return opens < kMaxConcurrentOpens && (opens == 0 || slotFree)
        && makeRoom(team, slotFree, overdue, now);
}

/// Connections that this node may have open: those leased to it, or fewer if the database has
/// recently refused one.
std::size_t UpstreamPool::connectionLimit(TimePoint now) const
{
    const std::size_t leased = m_load.leasedConnections;
    return now < m_observedLimitUntil ? std::min(leased, m_observedLimit) : leased;
}

/// Evicts a connection if the limit is reached. Returns whether one for the team may be opened. A
/// team without a connection that waits while the database has a free slot, or that is overdue,
/// gets one at once.
bool UpstreamPool::makeRoom(const TeamId &team, bool slotFree, bool overdue, TimePoint now)
{
    if (m_links.size() < connectionLimit(now))
        return true;
    PooledLink *victim = evictionCandidate(overdue);
    const bool teamHasLink = std::any_of(m_links.begin(), m_links.end(),
                                         [&](const PooledLink &link) { return link.team == team; });
    if (victim == nullptr
        || !mayEvictConnection({ .starved = overdue || (m_owned && slotFree && !teamHasLink),
                                 .idleTime = now - victim->lastUsedAt,
                                 .sinceLastEviction = now - m_lastEvictionAt,
                                 .openTime = m_load.openTime }))
        return false;
    m_lastEvictionAt = now;
    remove(victim);
    return m_links.size() < connectionLimit(now);
}

void UpstreamPool::open(const TeamId &team, TimePoint now)
{
    m_lastContactAt = now;
    m_links.emplace_back();
    PooledLink *link = &m_links.back();
    const std::uint64_t id = ++m_lastLinkId;
    link->id = id;
    link->team = team;
    link->lastUsedAt = now;
    UpstreamLink::Callbacks callbacks;
    callbacks.opened = [this, id](std::optional<HistoryPoint> point, TimePoint requestedAt) {
        if (PooledLink *opened = find(id))
            onOpened(opened, point, requestedAt);
    };
    callbacks.failed = [this, id](LinkOpenFailure failure,
                                  const std::optional<UpstreamError> &error) {
        if (PooledLink *failed = find(id))
            onFailed(failed, failure, error);
    };
    callbacks.closed = [this, id] { onClosed(id); };
    link->link = std::make_unique<UpstreamLink>(
        m_protocol, LinkTarget { m_info.service, m_info.id, m_info.endpoint, team.value() },
        LinkOptions { kConnectTimeout, kHandshakeTimeout }, std::move(callbacks));
}

void UpstreamPool::onClosed(std::uint64_t id)
{
    PooledLink *link = find(id);
    if (link == nullptr)
        return;
    const std::function<void()> onConnectionLost = std::move(link->onConnectionLost);
    const TeamId team = link->team;
    remove(link);
    if (onConnectionLost)
        onConnectionLost();
    // A crash closes all connections; opening a new one shows whether the database still runs.
    const TimePoint now = monotonicNow();
    if (m_links.empty() && m_load.state == UpstreamState::Live && m_load.leasedConnections > 0)
        open(team, now);
    else
        openForWaiters(now);
}

void UpstreamPool::onOpened(PooledLink *link, std::optional<HistoryPoint> point,
                            TimePoint requestedAt)
{
    link->open = true;
    ++m_opened;
    const Duration roundTrip = link->link->roundTrip();
    m_load.openTime = monotonicNow() - requestedAt;
    m_load.roundTrip =
        m_load.roundTrip == Duration(0) ? roundTrip : std::min(m_load.roundTrip, roundTrip);
    m_lastResponseAt = monotonicNow();
    m_consecutiveTimeouts = 0;
    m_consecutiveOpenFailures = 0;
    setReachable(true);
    if (point)
        m_callbacks.point(*point, requestedAt);
    serveWaiters(m_lastResponseAt);
}

void UpstreamPool::onFailed(PooledLink *link, LinkOpenFailure failure,
                            const std::optional<UpstreamError> &error)
{
    const TimePoint now = monotonicNow();
    const TeamId team = link->team;
    m_callbacks.openFailed(failure, error ? error->message : std::string(), now - link->lastUsedAt);
    remove(link);
    if (failure == LinkOpenFailure::Unnameable) {
        // This tells nothing of the database, and other teams can connect.
        failWaiters(LinkAcquireFailure::Refused, &team);
        return;
    }
    const std::uint32_t doublings = std::min(m_consecutiveOpenFailures++, kMaxOpenBackoffDoublings);
    m_nextOpenAt = now + kOpenBackoff * (1U << doublings);
    if (failure == LinkOpenFailure::Unreachable
        || (failure == LinkOpenFailure::TimedOut
            && ++m_consecutiveTimeouts >= kTimeoutsUntilUnreachable)
        || (error && error->kind == UpstreamErrorKind::WrongUpstream)) {
        setReachable(false);
        failWaiters(LinkAcquireFailure::Unreachable);
        return;
    }
    // A database that resets or refuses connections is running but has reached its connection
    // limit.
    m_load.avoidUntil = std::max(now + kRefusalCooldown, m_nextOpenAt);
    m_observedLimit = std::max<std::size_t>(m_links.size(), 1);
    m_observedLimitUntil = now + kObservedLimitPeriod;
    // If the team has other connections, its waiters are served when one of them becomes idle.
    const bool others = std::any_of(m_links.begin(), m_links.end(),
                                    [&](const PooledLink &l) { return l.team == team; });
    if (!others)
        failWaiters(LinkAcquireFailure::Refused, &team);
}

void UpstreamPool::remove(PooledLink *link)
{
    m_closedLinks.push_back(std::move(link->link));
    m_links.remove_if([link](const PooledLink &item) { return &item == link; });
    updateOutstanding();
}

PooledLink *UpstreamPool::leastRecentlyUsedLink()
{
    PooledLink *oldest = nullptr;
    for (PooledLink &link : m_links) {
        if (link.open && !link.busy && (oldest == nullptr || link.lastUsedAt < oldest->lastUsedAt))
            oldest = &link;
    }
    return oldest;
}

/// Sends a request that occupies no slot: its response shows that the database runs, and the end of
/// its log.
void UpstreamPool::ping(TimePoint now)
{
    PooledLink *link = leastRecentlyUsedLink();
    if (link == nullptr) {
        if (m_links.empty() && m_load.leasedConnections > 0 && now >= m_nextOpenAt)
            open(anonymousTeam(), now);
        return;
    }
    m_lastContactAt = now;
    link->busy = true;
    link->replyDeadline = now + kPingTimeout;
    link->variables.clear();
    clearPrepared(link->prepared);
    updateOutstanding();
    link->link->send("", m_protocol.systemText(SystemStatement::Discard),
                     [this, id = link->id](const UpstreamReply &reply) {
                         PooledLink *answered = find(id);
                         if (answered == nullptr)
                             return;
                         answered->replyDeadline.reset();
                         const TimePoint repliedAt = monotonicNow();
                         if (!reply.succeeded()) {
                             discard(answered, repliedAt);
                             return;
                         }
                         m_consecutiveTimeouts = 0;
                         m_lastResponseAt = repliedAt;
                         setReachable(true);
                         if (reply.point)
                             m_callbacks.point(*reply.point, reply.sentAt);
                         // A ping is no use of the connection: it stays a candidate for eviction.
                         makeIdle(answered, repliedAt);
                     });
}

/// When ping() can be called with effect; kNever if an event must come first.
TimePoint UpstreamPool::nextPing() const
{
    if (!m_owned || m_load.state == UpstreamState::Leaving)
        return kNever;
    const TimePoint due = m_lastContactAt + m_pingInterval;
    if (m_links.empty())
        return m_load.leasedConnections > 0 ? std::max(due, m_nextOpenAt) : kNever;
    const bool idle = std::any_of(m_links.begin(), m_links.end(),
                                  [](const PooledLink &link) { return link.open && !link.busy; });
    return idle ? due : kNever;
}

/// Whether the team has another idle connection that was used more recently.
bool UpstreamPool::isSurplus(const PooledLink &link) const
{
    return m_owned && std::any_of(m_links.begin(), m_links.end(), [&](const PooledLink &other) {
               return other.open && !other.busy && other.team == link.team
                   && other.lastUsedAt > link.lastUsedAt;
           });
}

/// When an idle connection is closed. The search for another one of its team is left out until its
/// result can matter.
TimePoint UpstreamPool::idleLimit(const PooledLink &link, TimePoint now) const
{
    const TimePoint surplusLimit = link.lastUsedAt + kSurplusIdleTimeout;
    return now < surplusLimit || isSurplus(link) ? surplusLimit : link.lastUsedAt + kIdleTimeout;
}

/// Closes connections that were idle for too long, and those whose rollback or ping was not
/// answered: a suspended database would otherwise keep them busy forever.
void UpstreamPool::closeExpired(TimePoint now)
{
    std::vector<PooledLink *> linksToClose;
    bool unanswered = false;
    for (PooledLink &link : m_links) {
        const bool idle = link.open && !link.busy && now >= idleLimit(link, now);
        const bool late = link.replyDeadline && now >= *link.replyDeadline;
        unanswered = unanswered || late;
        if (idle || late)
            linksToClose.push_back(&link);
    }
    for (PooledLink *link : linksToClose)
        remove(link);
    if (unanswered)
        recordTimeout(now);
}

} // namespace shallotlever
