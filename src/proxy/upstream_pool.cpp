// Queue, release and observations of a connection pool. Opening, eviction and closing of
// connections are in upstream_pool_links.cpp.

#include "upstream_pool.h"

#include <algorithm>
#include <utility>

#include "shallotlever/base/clock.h"

namespace shallotlever {

namespace {

/// Interval between connection attempts to an unreachable database.
constexpr Duration kProbeInterval = 400ms;
/// Reachability observations older than this are no longer reported.
constexpr Duration kMaxObservationAge = 5s;
/// A connection whose rollback is not answered within this time is closed.
constexpr Duration kRollbackTimeout = 2s;
/// A database that responded within this time is considered slow rather than dead.
constexpr Duration kResponsivePeriod = 300ms;
/// A team that requested a connection within this time is expected to request one again.
constexpr Duration kTeamActivityWindow = 4s;

} // namespace

UpstreamPool::UpstreamPool(const SessionProtocol &protocol, UpstreamInfo info, Callbacks callbacks)
    : m_protocol(protocol)
    , m_info(std::move(info))
    , m_callbacks(std::move(callbacks))
{
    m_load.id = m_info.id;
    m_load.slots = m_info.slots;
}

UpstreamPool::~UpstreamPool()
{
    for (const auto &[id, waiter] : std::exchange(m_waiters, {}))
        waiter.callback(LinkAcquireFailure::Cancelled);
}

void UpstreamPool::setInfo(const UpstreamInfo &info, bool primary, bool owned)
{
    m_info = info;
    m_owned = owned;
    setMaxWindow(m_window, owned ? info.slots + kOwnerWindowHeadroom : kMaxWindow);
    m_load.state = info.state;
    m_load.slots = info.slots;
    m_load.primary = primary;
    updateQueueSlots();
    if (info.state == UpstreamState::Leaving)
        failWaiters(LinkAcquireFailure::Cancelled);
}

void UpstreamPool::retire()
{
    m_load.state = UpstreamState::Leaving;
    failWaiters(LinkAcquireFailure::Cancelled);
}

void UpstreamPool::updateQueueSlots()
{
    m_queue.setSlots(std::max(1U, std::min(m_load.slots, m_load.leasedConnections)));
}

WaiterId UpstreamPool::acquire(const LinkRequest &request, LinkCallback callback, TimePoint now)
{
    const WaiterId id(++m_lastWaiterId);
    const TeamId &team = request.statement.team;
    m_lastRequestByTeam[team] = now;
    PooledLink *link = m_waiters.empty() && windowHasCapacity(m_window, runningStatements())
        ? idleLink(team, request.variables)
        : nullptr;
    if (link != nullptr) {
        m_queue.recordFreeSlot(now);
        handOut(link, callback, now);
        return id;
    }
    if (!m_queue.enqueue(id, request.statement, now)) {
        callback(LinkAcquireFailure::DeadlineTooShort);
        return id;
    }
    m_waiters.insert({ id, { team, request.variables, std::move(callback), now } });
    updateOutstanding();
    serveWaiters(now);
    return id;
}

void UpstreamPool::handOut(PooledLink *link, const LinkCallback &callback, TimePoint now)
{
    link->busy = true;
    link->lastUsedAt = now;
    ++m_acquired;
    updateOutstanding();
    callback(link);
}

void UpstreamPool::cancel(WaiterId waiterId)
{
    m_queue.cancel(waiterId);
    m_waiters.erase(waiterId);
    updateOutstanding();
}

Duration UpstreamPool::takeReturnDelay(const StatementTraits &statement, TimePoint now)
{
    const Duration cost = m_queue.expectedCost(statement.priority, statement.kind);
    return takeReturn(m_returns, cost / std::max(1U, m_load.slots), now);
}

PooledLink *UpstreamPool::find(std::uint64_t id)
{
    const auto found = std::find_if(m_links.begin(), m_links.end(),
                                    [id](const PooledLink &link) { return link.id == id; });
    return found == m_links.end() ? nullptr : &*found;
}

void UpstreamPool::failWaiters(LinkAcquireFailure failure, const TeamId *team)
{
    std::vector<LinkCallback> failed;
    for (auto waiter = m_waiters.begin(); waiter != m_waiters.end();) {
        const auto current = waiter++;
        if (team != nullptr && current->second.team != *team)
            continue;
        m_queue.cancel(current->first);
        failed.push_back(std::move(current->second.callback));
        m_waiters.erase(current);
    }
    updateOutstanding();
    for (const LinkCallback &callback : failed)
        callback(failure);
}

void UpstreamPool::setReachable(bool reachable)
{
    if (m_load.reachable == reachable)
        return;
    m_load.reachable = reachable;
    m_callbacks.reachable(reachable);
}

void UpstreamPool::release(PooledLink *link, TimePoint now)
{
    link->lastUsedAt = now;
    makeIdle(link, now);
}

void UpstreamPool::makeIdle(PooledLink *link, TimePoint now)
{
    link->busy = false;
    link->onConnectionLost = nullptr;
    updateOutstanding();
    serveWaiters(now);
}

void UpstreamPool::rollBack(PooledLink *link, TimePoint now)
{
    link->onConnectionLost = nullptr;
    link->replyDeadline = now + kRollbackTimeout;
    link->link->send("", m_protocol.systemText(SystemStatement::Rollback),
                     [this, id = link->id](const UpstreamReply &reply) {
                         PooledLink *answered = find(id);
                         if (answered == nullptr)
                             return;
                         answered->replyDeadline.reset();
                         if (reply.succeeded() && reply.state == TransactionState::None)
                             release(answered, monotonicNow());
                         else
                             discard(answered, monotonicNow());
                     });
}

void UpstreamPool::discard(PooledLink *link, TimePoint now)
{
    remove(link);
    openForWaiters(now);
}

/// Excludes transactions that hold a connection between statements, because they occupy no slot of
/// the database.
std::uint32_t UpstreamPool::runningStatements() const
{
    return static_cast<std::uint32_t>(
        std::count_if(m_links.begin(), m_links.end(), [](const PooledLink &link) {
            return link.busy && link.link->pending() > 0;
        }));
}

void UpstreamPool::serveWaiters(TimePoint now)
{
    refuseInfeasible(now);
    openForOverdue(now);
    while (!m_waiters.empty() && windowHasCapacity(m_window, runningStatements())) {
        const std::optional<WaiterId> id = m_queue.next(idleTeams(), now);
        if (!id)
            break;
        const auto found = m_waiters.find(*id);
        const Waiter waiter = std::move(found->second);
        m_waiters.erase(found);
        handOut(idleLink(waiter.team, waiter.variables), waiter.callback, now);
    }
    if (windowHasCapacity(m_window, runningStatements()))
        m_queue.recordFreeSlot(now);
    openForWaiters(now);
}

void UpstreamPool::refuseInfeasible(TimePoint now)
{
    for (const WaiterId id : m_queue.takeInfeasible(now)) {
        const auto found = m_waiters.find(id);
        if (found == m_waiters.end())
            continue;
        const LinkCallback callback = std::move(found->second.callback);
        m_waiters.erase(found);
        updateOutstanding();
        callback(LinkAcquireFailure::DeadlineTooShort);
    }
}

void UpstreamPool::recordTimeout(TimePoint now)
{
    m_lastContactAt = now;
    if (recentlyResponsive(now))
        return;
    std::vector<PooledLink *> idle;
    for (PooledLink &link : m_links) {
        if (link.open && !link.busy)
            idle.push_back(&link);
    }
    for (PooledLink *link : idle)
        remove(link);
    if (++m_consecutiveTimeouts >= kTimeoutsUntilUnreachable)
        setReachable(false);
}

void UpstreamPool::recordResponse(Duration elapsed, TimePoint now)
{
    m_consecutiveTimeouts = 0;
    m_lastResponseAt = now;
    m_lastContactAt = now;
    setReachable(true);
    recordWindowSuccess(m_window);
    recordServiceTime(m_load, elapsed, now);
}

void UpstreamPool::recordCost(const StatementTraits &statement, Duration elapsed)
{
    m_queue.recordCost(statement.priority, statement.kind,
                       std::max(elapsed - m_load.roundTrip, Duration(0)));
}

bool UpstreamPool::recentlyResponsive(TimePoint now) const
{
    return now < m_lastResponseAt + kResponsivePeriod;
}

void UpstreamPool::recordRefusal(bool full, TimePoint now)
{
    if (full)
        recordWindowRefusal(m_window, now);
    m_lastResponseAt = now;
    m_load.avoidUntil = now + kRefusalCooldown;
    m_consecutiveTimeouts = 0;
    m_lastContactAt = now;
}

void UpstreamPool::setLeasedConnections(std::uint32_t leasedConnections, TimePoint now)
{
    m_load.leasedConnections = leasedConnections;
    updateQueueSlots();
    while (m_links.size() > leasedConnections) {
        PooledLink *victim = evictionCandidate(false);
        if (victim == nullptr)
            break;
        remove(victim);
    }
    openForWaiters(now);
}

void UpstreamPool::tick(TimePoint now)
{
    m_closedLinks.clear();
    if (!m_load.reachable && now >= m_lastContactAt + kProbeInterval && pendingOpens() == 0
        && m_load.state != UpstreamState::Leaving)
        open(anonymousTeam(), now);
    closeExpired(now);
    if (m_owned && m_load.state != UpstreamState::Leaving
        && now >= m_lastContactAt + m_pingInterval)
        ping(now);
    if (m_waiters.empty())
        return;
    refuseInfeasible(now);
    openForOverdue(now);
    openForWaiters(now);
}

TimePoint UpstreamPool::nextTick(TimePoint now) const
{
    if (!m_closedLinks.empty() || !m_waiters.empty())
        return now;
    TimePoint due = kNever;
    if (!m_load.reachable && pendingOpens() == 0 && m_load.state != UpstreamState::Leaving)
        due = m_lastContactAt + kProbeInterval;
    for (const PooledLink &link : m_links) {
        if (link.open && !link.busy)
            due = std::min(due, idleLimit(link, now));
        if (link.replyDeadline)
            due = std::min(due, *link.replyDeadline);
    }
    return std::min(due, nextPing());
}

const TeamId &anonymousTeam()
{
    static const TeamId anonymous("-");
    return anonymous;
}

UpstreamLoad UpstreamPool::loadFor(const TeamId &team) const
{
    UpstreamLoad load = m_load;
    load.needsConnection =
        std::none_of(m_links.begin(), m_links.end(), [&](const PooledLink &link) {
            return link.open && !link.busy && link.team == team;
        });
    return load;
}

SlotDemand UpstreamPool::demand(TimePoint now) const
{
    SlotDemand demand;
    demand.upstream = m_info.id;
    demand.connectionsOpen = static_cast<std::uint32_t>(m_links.size());
    demand.connectionsBusy = static_cast<std::uint32_t>(
        std::count_if(m_links.begin(), m_links.end(), [](const PooledLink &l) { return l.busy; }));
    // Keeping a connection for each active team avoids opening one for every statement.
    const auto teams = static_cast<std::uint32_t>(std::count_if(
        m_lastRequestByTeam.begin(), m_lastRequestByTeam.end(),
        [now](const auto &request) { return now < request.second + kTeamActivityWindow; }));
    const std::uint32_t waiting = static_cast<std::uint32_t>(m_waiters.size());
    demand.waiting = std::max(waiting, teams - std::min(teams, demand.connectionsBusy));
    return demand;
}

PoolOccupancy UpstreamPool::occupancy(TimePoint now) const
{
    PoolOccupancy occupancy;
    occupancy.waiting = static_cast<std::uint32_t>(m_waiters.size());
    for (const auto &[id, waiter] : m_waiters)
        occupancy.longestWait = std::max(occupancy.longestWait, now - waiter.since);
    occupancy.opening = pendingOpens();
    occupancy.open = static_cast<std::uint32_t>(m_links.size()) - occupancy.opening;
    occupancy.running = runningStatements();
    occupancy.window = m_window.size;
    occupancy.held = static_cast<std::uint32_t>(
        std::count_if(m_links.begin(), m_links.end(), [](const PooledLink &link) {
            return link.busy && link.link->pending() == 0;
        }));
    occupancy.requested = m_lastWaiterId;
    occupancy.acquired = m_acquired;
    occupancy.opened = m_opened;
    return occupancy;
}

bool UpstreamPool::hasBusyLink() const
{
    return std::any_of(m_links.begin(), m_links.end(),
                       [](const PooledLink &link) { return link.busy; });
}

bool UpstreamPool::hasRecentObservation(TimePoint now) const
{
    return m_lastContactAt != TimePoint() && now < m_lastContactAt + kMaxObservationAge;
}

void UpstreamPool::updateOutstanding()
{
    const auto busy =
        std::count_if(m_links.begin(), m_links.end(), [](const PooledLink &l) { return l.busy; });
    m_load.outstanding =
        static_cast<std::uint32_t>(busy) + static_cast<std::uint32_t>(m_waiters.size());
}

} // namespace shallotlever
