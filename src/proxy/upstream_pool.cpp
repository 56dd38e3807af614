#include "upstream_pool.h"

#include <algorithm>
#include <utility>

#include "shallotlever/base/clock.h"

namespace shallotlever {

namespace {

constexpr Duration kConnectTimeout = 900ms;
/// Opening takes a slot of the database, and a busy one works through a queue of openings. To give
/// one up wastes its work, and the next one waits at the end of the queue.
constexpr Duration kStartTimeout = 3s;
/// Connections to one database that a node opens at a time: all nodes together must not ask for
/// more than the database opens within kStartTimeout.
constexpr std::uint32_t kMaxOpening = 2;
/// Pause after a connection could not be opened; doubles with each failure in a row.
constexpr Duration kOpenPause = 100ms;
constexpr std::uint32_t kMaxOpenPauseDoublings = 4;
/// An unreachable database is tried this often.
constexpr Duration kProbeInterval = 400ms;
/// Observations older than this are withdrawn.
constexpr Duration kObservationAge = 5s;
/// Unanswered statements in a row after which a database counts as unreachable.
constexpr std::uint32_t kSilencesUntilUnreachable = 2;
/// Idle connections are closed after this time.
constexpr Duration kIdleTime = 20s;
/// Longest time for the answer to a rollback.
constexpr Duration kRollbackTime = 2s;
/// A database that answered within this time is slow rather than dead.
constexpr Duration kAliveAfterAnswer = 300ms;
/// A connection may be taken from a team that has not used it for this long.
constexpr Duration kVictimIdle = 250ms;
/// Shortest time between two connections opened in place of another team's, also as a multiple of
/// the time that opening takes: a busy database spends its slots on statements first.
constexpr Duration kReplaceInterval = 60ms;
constexpr int kReplaceOpenTimes = 2;
/// A team that asked for a connection within this time is expected to ask again.
constexpr Duration kTeamInterest = 4s;

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
    for (Waiter &waiter : std::exchange(m_waiters, {}))
        waiter.callback(LinkDenial::Cancelled);
}

void UpstreamPool::setInfo(const UpstreamInfo &info, bool primary)
{
    m_info = info;
    m_load.state = info.state;
    m_load.slots = info.slots;
    m_load.primary = primary;
    if (info.state == UpstreamState::Leaving)
        denyWaiters(LinkDenial::Cancelled);
}

void UpstreamPool::retire()
{
    m_load.state = UpstreamState::Leaving;
    denyWaiters(LinkDenial::Cancelled);
}

std::uint64_t UpstreamPool::acquire(const TeamId &team, const SessionValues &values,
                                    std::uint32_t priority, LinkCallback callback, TimePoint now)
{
    const std::uint64_t number = ++m_lastWaiter;
    m_askedAt[team] = now;
    PooledLink *link = windowOpen(m_window, running()) ? idleLink(team, values) : nullptr;
    if (link != nullptr) {
        link->busy = true;
        link->usedAt = now;
        updateOutstanding();
        callback(link);
        return number;
    }
    const auto place = std::find_if(m_waiters.begin(), m_waiters.end(), [&](const Waiter &waiter) {
        return waiter.priority > priority;
    });
    m_waiters.insert(place, { number, priority, team, values, std::move(callback) });
    updateOutstanding();
    openForWaiters(now);
    return number;
}

void UpstreamPool::cancel(std::uint64_t waiter)
{
    std::erase_if(m_waiters, [waiter](const Waiter &w) { return w.number == waiter; });
    updateOutstanding();
}

/// Prefers a connection that holds the session's values already.
PooledLink *UpstreamPool::idleLink(const TeamId &team, const SessionValues &values)
{
    PooledLink *found = nullptr;
    for (PooledLink &link : m_links) {
        if (!link.open || link.busy || link.team != team)
            continue;
        if (link.values == values)
            return &link;
        if (found == nullptr || (link.values.empty() && !found->values.empty()))
            found = &link;
    }
    return found;
}

PooledLink *UpstreamPool::idleVictim()
{
    PooledLink *oldest = nullptr;
    for (PooledLink &link : m_links) {
        const bool wanted =
            std::any_of(m_waiters.begin(), m_waiters.end(),
                        [&](const Waiter &waiter) { return waiter.team == link.team; });
        if (link.open && !link.busy && !wanted
            && (oldest == nullptr || link.usedAt < oldest->usedAt))
            oldest = &link;
    }
    return oldest;
}

std::uint32_t UpstreamPool::openingFor(const TeamId &team) const
{
    return static_cast<std::uint32_t>(
        std::count_if(m_links.begin(), m_links.end(),
                      [&](const PooledLink &link) { return !link.open && link.team == team; }));
}

std::uint32_t UpstreamPool::openings() const
{
    return static_cast<std::uint32_t>(std::count_if(
        m_links.begin(), m_links.end(), [](const PooledLink &link) { return !link.open; }));
}

Duration UpstreamPool::replaceInterval() const
{
    return std::max(kReplaceInterval, m_load.openTime * kReplaceOpenTimes);
}

void UpstreamPool::openForWaiters(TimePoint now)
{
    if (now < m_nextOpen)
        return;
    std::map<TeamId, std::uint32_t> wanted;
    for (const Waiter &waiter : m_waiters)
        ++wanted[waiter.team];
    for (const auto &[team, count] : wanted) {
        for (std::uint32_t opening = openingFor(team); opening < count; ++opening) {
            if (openings() >= kMaxOpening)
                return;
            if (m_links.size() >= m_load.connections) {
                PooledLink *victim = idleVictim();
                const bool mayReplace = victim != nullptr && now >= victim->usedAt + kVictimIdle
                    && now >= m_replacedAt + replaceInterval();
                if (!mayReplace)
                    return;
                m_replacedAt = now;
                remove(victim);
            }
            if (m_links.size() >= m_load.connections)
                return;
            open(team, now);
        }
    }
}

void UpstreamPool::open(const TeamId &team, TimePoint now)
{
    m_triedAt = now;
    m_links.emplace_back();
    PooledLink *link = &m_links.back();
    const std::uint64_t number = ++m_lastLink;
    link->number = number;
    link->team = team;
    link->usedAt = now;
    UpstreamLink::Callbacks callbacks;
    callbacks.opened = [this, number](std::optional<HistoryPoint> point, TimePoint askedAt) {
        if (PooledLink *opened = find(number))
            onOpened(opened, point, askedAt);
    };
    callbacks.failed = [this, number](LinkFailure failure,
                                      const std::optional<UpstreamError> &error) {
        if (PooledLink *failed = find(number))
            onFailed(failed, failure, error);
    };
    callbacks.closed = [this, number] { onClosed(number); };
    link->link = std::make_unique<UpstreamLink>(
        m_protocol, LinkTarget { m_info.service, m_info.id, m_info.endpoint, team.value() },
        kConnectTimeout, kStartTimeout, std::move(callbacks));
}

PooledLink *UpstreamPool::find(std::uint64_t number)
{
    const auto found =
        std::find_if(m_links.begin(), m_links.end(),
                     [number](const PooledLink &link) { return link.number == number; });
    return found == m_links.end() ? nullptr : &*found;
}

void UpstreamPool::onClosed(std::uint64_t number)
{
    PooledLink *link = find(number);
    if (link == nullptr)
        return;
    const std::function<void()> lost = std::move(link->lost);
    const TeamId team = link->team;
    remove(link);
    if (lost)
        lost();
    // A crash closes all connections; a new one tells whether the database still runs.
    const TimePoint now = monotonicNow();
    if (m_links.empty() && m_load.state == UpstreamState::Live && m_load.connections > 0)
        open(team, now);
    else
        openForWaiters(now);
}

void UpstreamPool::onOpened(PooledLink *link, std::optional<HistoryPoint> point, TimePoint askedAt)
{
    link->open = true;
    const Duration roundTrip = link->link->roundTrip();
    m_load.openTime = monotonicNow() - askedAt;
    m_load.roundTrip =
        m_load.roundTrip == Duration(0) ? roundTrip : std::min(m_load.roundTrip, roundTrip);
    m_answeredAt = monotonicNow();
    m_silences = 0;
    m_openFailures = 0;
    setReachable(true);
    if (point)
        m_callbacks.point(*point, askedAt);
    serveWaiters(m_answeredAt);
}

void UpstreamPool::onFailed(PooledLink *link, LinkFailure failure,
                            const std::optional<UpstreamError> &error)
{
    const TimePoint now = monotonicNow();
    const TeamId team = link->team;
    m_callbacks.openFailed(failure, error ? error->message : std::string(), now - link->usedAt);
    remove(link);
    const std::uint32_t doublings = std::min(m_openFailures++, kMaxOpenPauseDoublings);
    m_nextOpen = now + kOpenPause * (1U << doublings);
    if (failure == LinkFailure::Unreachable
        || (failure == LinkFailure::TimedOut && ++m_silences >= kSilencesUntilUnreachable)
        || (error && error->kind == UpstreamErrorKind::WrongUpstream)) {
        setReachable(false);
        denyWaiters(LinkDenial::Unreachable);
        return;
    }
    // A database that resets or refuses connections is there, and has too many of them.
    m_load.avoidUntil = std::max(now + kAvoidAfterRefusal, m_nextOpen);
    // With other connections of the team at work, one of them becomes free.
    const bool others = std::any_of(m_links.begin(), m_links.end(),
                                    [&](const PooledLink &l) { return l.team == team; });
    if (!others)
        denyWaiters(LinkDenial::Refused, &team);
}

void UpstreamPool::denyWaiters(LinkDenial denial, const TeamId *team)
{
    std::vector<LinkCallback> denied;
    std::erase_if(m_waiters, [&](Waiter &waiter) {
        if (team != nullptr && waiter.team != *team)
            return false;
        denied.push_back(std::move(waiter.callback));
        return true;
    });
    updateOutstanding();
    for (const LinkCallback &callback : denied)
        callback(denial);
}

void UpstreamPool::setReachable(bool reachable)
{
    if (m_load.reachable == reachable)
        return;
    m_load.reachable = reachable;
    m_callbacks.reachable(reachable);
}

void UpstreamPool::remove(PooledLink *link)
{
    m_retired.push_back(std::move(link->link));
    m_links.remove_if([link](const PooledLink &item) { return &item == link; });
    updateOutstanding();
}

void UpstreamPool::release(PooledLink *link, TimePoint now)
{
    link->busy = false;
    link->lost = nullptr;
    link->usedAt = now;
    updateOutstanding();
    serveWaiters(now);
}

void UpstreamPool::rollBack(PooledLink *link, TimePoint now)
{
    link->lost = nullptr;
    link->rollbackUntil = now + kRollbackTime;
    link->link->send("", m_protocol.systemText(SystemStatement::Rollback),
                     [this, number = link->number](const UpstreamReply &reply) {
                         PooledLink *answered = find(number);
                         if (answered == nullptr)
                             return;
                         answered->rollbackUntil.reset();
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

/// Transactions hold connections between their statements, too, but no slot of the database.
std::uint32_t UpstreamPool::running() const
{
    return static_cast<std::uint32_t>(
        std::count_if(m_links.begin(), m_links.end(), [](const PooledLink &link) {
            return link.busy && link.link->pending() > 0;
        }));
}

void UpstreamPool::serveWaiters(TimePoint now)
{
    for (std::size_t i = 0; i < m_waiters.size() && windowOpen(m_window, running());) {
        PooledLink *link = idleLink(m_waiters[i].team, m_waiters[i].values);
        if (link == nullptr) {
            ++i;
            continue;
        }
        const LinkCallback callback = std::move(m_waiters[i].callback);
        m_waiters.erase(m_waiters.begin() + static_cast<std::ptrdiff_t>(i));
        link->busy = true;
        link->usedAt = now;
        updateOutstanding();
        callback(link);
        // The callback may have changed the queue.
        i = 0;
    }
    openForWaiters(now);
}

void UpstreamPool::noteSilence(TimePoint now)
{
    std::vector<PooledLink *> idle;
    for (PooledLink &link : m_links) {
        if (link.open && !link.busy)
            idle.push_back(&link);
    }
    for (PooledLink *link : idle)
        remove(link);
    if (++m_silences >= kSilencesUntilUnreachable)
        setReachable(false);
    m_triedAt = now;
}

void UpstreamPool::noteAnswer(Duration elapsed, TimePoint now)
{
    m_silences = 0;
    m_answeredAt = now;
    m_triedAt = now;
    setReachable(true);
    noteWindowAnswer(m_window);
    noteServiceTime(m_load, elapsed, now);
}

bool UpstreamPool::answersOthers(TimePoint now) const
{
    return now < m_answeredAt + kAliveAfterAnswer;
}

void UpstreamPool::noteRefusal(bool full, TimePoint now)
{
    if (full)
        noteWindowRefusal(m_window, now);
    m_answeredAt = now;
    m_load.avoidUntil = now + kAvoidAfterRefusal;
    m_silences = 0;
    m_triedAt = now;
}

void UpstreamPool::setShare(std::uint32_t connections, TimePoint now)
{
    m_load.connections = connections;
    while (m_links.size() > connections) {
        PooledLink *victim = idleVictim();
        if (victim == nullptr)
            break;
        remove(victim);
    }
    openForWaiters(now);
}

void UpstreamPool::tick(TimePoint now)
{
    m_retired.clear();
    if (!m_load.reachable && now >= m_triedAt + kProbeInterval && openings() == 0
        && m_load.state != UpstreamState::Leaving)
        open(anonymousTeam(), now);
    closeOverdue(now);
    if (!m_waiters.empty())
        openForWaiters(now);
}

/// Connections that nobody uses, and those whose rollback is not answered: a database that is
/// suspended would otherwise keep them busy for good.
void UpstreamPool::closeOverdue(TimePoint now)
{
    std::vector<PooledLink *> overdue;
    for (PooledLink &link : m_links) {
        const bool idle = link.open && !link.busy && now >= link.usedAt + kIdleTime;
        const bool unanswered = link.rollbackUntil && now >= *link.rollbackUntil;
        if (idle || unanswered)
            overdue.push_back(&link);
    }
    for (PooledLink *link : overdue)
        remove(link);
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
    // A connection for each team that comes often saves opening one for each statement.
    const auto teams = static_cast<std::uint32_t>(
        std::count_if(m_askedAt.begin(), m_askedAt.end(),
                      [now](const auto &asked) { return now < asked.second + kTeamInterest; }));
    const std::uint32_t waiting = static_cast<std::uint32_t>(m_waiters.size());
    demand.waiting = std::max(waiting, teams - std::min(teams, demand.connectionsBusy));
    return demand;
}

bool UpstreamPool::busy() const
{
    return std::any_of(m_links.begin(), m_links.end(),
                       [](const PooledLink &link) { return link.busy; });
}

bool UpstreamPool::observed(TimePoint now) const
{
    return m_triedAt != TimePoint() && now < m_triedAt + kObservationAge;
}

void UpstreamPool::updateOutstanding()
{
    const auto busy =
        std::count_if(m_links.begin(), m_links.end(), [](const PooledLink &l) { return l.busy; });
    m_load.outstanding =
        static_cast<std::uint32_t>(busy) + static_cast<std::uint32_t>(m_waiters.size());
}

} // namespace shallotlever
