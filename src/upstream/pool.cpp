#include "shallotlever/upstream/pool.h"

#include <QTimer>
#include <algorithm>
#include <deque>
#include <list>
#include <map>
#include <utility>

#include "shallotlever/base/clock.h"
#include "timer.h"

namespace shallotlever {

namespace {

constexpr std::uint32_t kMaxBackoffDoublings = 20;

using ConnectionPtr = std::unique_ptr<UpstreamConnection>;

} // namespace

class PoolCore : public std::enable_shared_from_this<PoolCore>
{
public:
    PoolCore(ConnectionParams params, PoolOptions options, Random random);

    void acquire(TimePoint deadline, ConnectionPool::AcquireCallback callback);
    void checkIn(ConnectionPtr connection, SessionReset reset);
    void setLimits(PoolLimits limits);
    PoolCounts counts() const;
    void shutDown();
    /// Schedules one call of update() from the event loop.
    void scheduleUpdate();

private:
    struct Waiter
    {
        TimePoint deadline;
        ConnectionPool::AcquireCallback callback;
    };

    /// Serves the waiting calls and opens connections as needed.
    void update();
    void expireWaiters();
    void serveWaiters();
    void failWaiters();
    void completeWaiter(std::list<Waiter>::iterator waiter,
                        absl::StatusOr<PooledConnection> answer);
    void openNeeded();
    void openConnection();
    void onOpened(std::uint64_t id, absl::Status status);
    void recordConnectFailure(absl::Status status);
    Duration nextBackoff();
    void startReset(ConnectionPtr connection);
    void onReset(std::uint64_t id, const QueryReply &reply);
    void addIdle(ConnectionPtr connection);
    void removeIdle(const UpstreamConnection *connection);
    void closeAboveLimit();
    void startTimer();
    std::uint32_t total() const;
    bool inBackoff() const { return monotonicNow() < m_nextAttempt; }

    const ConnectionParams m_params;
    PoolOptions m_options;
    Random m_random;
    QTimer m_timer;
    QObject m_context;
    bool m_updateScheduled = false;
    bool m_shutDown = false;
    std::uint64_t m_nextId = 0;
    std::map<std::uint64_t, ConnectionPtr> m_connecting;
    std::map<std::uint64_t, ConnectionPtr> m_resetting;
    /// Idle connections; the most recently used one is at the back and is handed out first.
    std::deque<ConnectionPtr> m_idle;
    std::uint32_t m_checkedOut = 0;
    std::list<Waiter> m_waiters;
    std::uint32_t m_consecutiveFailures = 0;
    std::uint32_t m_backoffDoublings = 0;
    std::uint64_t m_connectFailures = 0;
    TimePoint m_nextAttempt;
    absl::Status m_lastFailure;
};

PoolCore::PoolCore(ConnectionParams params, PoolOptions options, Random random)
    : m_params(std::move(params))
    , m_options(options)
    , m_random(random)
{
    m_timer.setSingleShot(true);
    QObject::connect(&m_timer, &QTimer::timeout, &m_context, [this] { scheduleUpdate(); });
}

void PoolCore::scheduleUpdate()
{
    if (std::exchange(m_updateScheduled, true))
        return;
    QMetaObject::invokeMethod(
        &m_context,
        [weak = weak_from_this()] {
            if (const auto self = weak.lock())
                self->update();
        },
        Qt::QueuedConnection);
}

void PoolCore::update()
{
    m_updateScheduled = false;
    if (m_shutDown)
        return;
    expireWaiters();
    serveWaiters();
    if (m_shutDown)
        return;
    openNeeded();
    if (!m_lastFailure.ok() && total() == 0)
        failWaiters();
    startTimer();
}

void PoolCore::acquire(TimePoint deadline, ConnectionPool::AcquireCallback callback)
{
    m_waiters.push_back({ deadline, std::move(callback) });
    scheduleUpdate();
}

void PoolCore::completeWaiter(std::list<Waiter>::iterator waiter,
                              absl::StatusOr<PooledConnection> answer)
{
    const auto callback = std::move(waiter->callback);
    m_waiters.erase(waiter);
    callback(std::move(answer));
}

void PoolCore::expireWaiters()
{
    const TimePoint now = monotonicNow();
    const auto expired = [now](const Waiter &waiter) { return waiter.deadline <= now; };
    for (;;) {
        const auto waiter = std::find_if(m_waiters.begin(), m_waiters.end(), expired);
        if (waiter == m_waiters.end())
            return;
        completeWaiter(waiter, absl::DeadlineExceededError("no connection became free in time"));
    }
}

void PoolCore::serveWaiters()
{
    while (!m_waiters.empty() && !m_idle.empty()) {
        ConnectionPtr connection = std::move(m_idle.back());
        m_idle.pop_back();
        if (!connection->isReady())
            continue;
        connection->setIdleCloseCallback(nullptr);
        ++m_checkedOut;
        completeWaiter(m_waiters.begin(),
                       PooledConnection(weak_from_this(), std::move(connection)));
    }
}

void PoolCore::failWaiters()
{
    // Waiters added by a callback are handled by the next update().
    for (std::size_t count = m_waiters.size(); count > 0 && !m_waiters.empty(); --count)
        completeWaiter(m_waiters.begin(), m_lastFailure);
}

std::uint32_t PoolCore::total() const
{
    return static_cast<std::uint32_t>(m_idle.size() + m_connecting.size() + m_resetting.size())
        + m_checkedOut;
}

void PoolCore::openNeeded()
{
    if (inBackoff())
        return;
    const std::size_t target = std::max<std::size_t>(m_waiters.size(), m_options.limits.minIdle);
    while (m_idle.size() + m_connecting.size() < target && total() < m_options.limits.maxSize) {
        // After a failure only one connect at a time is attempted, to probe the upstream.
        if (m_consecutiveFailures > 0 && !m_connecting.empty())
            return;
        openConnection();
        if (inBackoff())
            return;
    }
}

void PoolCore::openConnection()
{
    const std::uint64_t id = ++m_nextId;
    auto connection = UpstreamConnection::open(
        m_params, [this, id](absl::Status status) { onOpened(id, std::move(status)); });
    if (connection.ok())
        m_connecting[id] = *std::move(connection);
    else
        recordConnectFailure(connection.status());
}

void PoolCore::onOpened(std::uint64_t id, absl::Status status)
{
    ConnectionPtr connection = std::move(m_connecting.at(id));
    m_connecting.erase(id);
    if (status.ok()) {
        m_consecutiveFailures = 0;
        m_backoffDoublings = 0;
        m_lastFailure = absl::OkStatus();
        addIdle(std::move(connection));
    } else {
        recordConnectFailure(std::move(status));
    }
    scheduleUpdate();
}

void PoolCore::recordConnectFailure(absl::Status status)
{
    ++m_connectFailures;
    ++m_consecutiveFailures;
    m_lastFailure = absl::UnavailableError(status.message());
    // Connects that fail during the current backoff, such as those started at the same time, do not
    // increase it again.
    if (!inBackoff())
        m_nextAttempt = monotonicNow() + nextBackoff();
}

Duration PoolCore::nextBackoff()
{
    const Duration full = std::min(m_options.backoffMin * (std::int64_t(1) << m_backoffDoublings),
                                   m_options.backoffMax);
    m_backoffDoublings = std::min(m_backoffDoublings + 1, kMaxBackoffDoublings);
    return uniformDuration(m_random, full / 2, full + Duration(1));
}

void PoolCore::checkIn(ConnectionPtr connection, SessionReset reset)
{
    --m_checkedOut;
    scheduleUpdate();
    const bool reusable = !m_shutDown && connection->isReady()
        && connection->transactionStatus() == TransactionStatus::Idle
        && reset != SessionReset::Close && total() < m_options.limits.maxSize;
    if (!reusable)
        return;
    if (reset == SessionReset::DiscardAll)
        startReset(std::move(connection));
    else
        addIdle(std::move(connection));
}

void PoolCore::startReset(ConnectionPtr connection)
{
    const std::uint64_t id = ++m_nextId;
    connection->execute("DISCARD ALL", {}, m_options.resetTimeout,
                        [this, id](const QueryReply &reply) { onReset(id, reply); });
    m_resetting[id] = std::move(connection);
}

void PoolCore::onReset(std::uint64_t id, const QueryReply &reply)
{
    ConnectionPtr connection = std::move(m_resetting.at(id));
    m_resetting.erase(id);
    if (std::holds_alternative<QueryResult>(reply))
        addIdle(std::move(connection));
    scheduleUpdate();
}

void PoolCore::addIdle(ConnectionPtr connection)
{
    connection->setIdleCloseCallback([this, raw = connection.get()] { removeIdle(raw); });
    m_idle.push_back(std::move(connection));
    closeAboveLimit();
}

void PoolCore::removeIdle(const UpstreamConnection *connection)
{
    std::erase_if(m_idle, [connection](const ConnectionPtr &c) { return c.get() == connection; });
    scheduleUpdate();
}

void PoolCore::setLimits(PoolLimits limits)
{
    m_options.limits = limits;
    closeAboveLimit();
    scheduleUpdate();
}

void PoolCore::closeAboveLimit()
{
    while (total() > m_options.limits.maxSize && !m_idle.empty())
        m_idle.pop_front();
    while (total() > m_options.limits.maxSize && !m_connecting.empty())
        m_connecting.erase(std::prev(m_connecting.end()));
}

void PoolCore::startTimer()
{
    std::optional<TimePoint> next;
    const auto consider = [&next](TimePoint when) { next = next ? std::min(*next, when) : when; };
    for (const Waiter &waiter : m_waiters)
        consider(waiter.deadline);
    if (inBackoff())
        consider(m_nextAttempt);
    if (next)
        m_timer.start(timerInterval(*next - monotonicNow()));
    else
        m_timer.stop();
}

PoolCounts PoolCore::counts() const
{
    PoolCounts counts;
    counts.idle = static_cast<std::uint32_t>(m_idle.size());
    counts.busy = m_checkedOut + static_cast<std::uint32_t>(m_resetting.size());
    counts.open = counts.idle + counts.busy;
    counts.connecting = static_cast<std::uint32_t>(m_connecting.size());
    counts.waiting = static_cast<std::uint32_t>(m_waiters.size());
    counts.consecutiveFailures = m_consecutiveFailures;
    counts.connectFailures = m_connectFailures;
    return counts;
}

void PoolCore::shutDown()
{
    m_shutDown = true;
    m_timer.stop();
    m_idle.clear();
    m_connecting.clear();
    m_resetting.clear();
    for (Waiter &waiter : m_waiters) {
        QTimer::singleShot(0, [callback = std::move(waiter.callback)] {
            callback(absl::CancelledError("the pool was shut down"));
        });
    }
    m_waiters.clear();
}

PooledConnection::PooledConnection(std::weak_ptr<PoolCore> pool,
                                   std::unique_ptr<UpstreamConnection> connection)
    : m_pool(std::move(pool))
    , m_connection(std::move(connection))
{
}

PooledConnection::~PooledConnection()
{
    release(SessionReset::Close);
}

PooledConnection &PooledConnection::operator=(PooledConnection &&other) noexcept
{
    if (this != &other) {
        release(SessionReset::Close);
        m_pool = std::move(other.m_pool);
        m_connection = std::move(other.m_connection);
    }
    return *this;
}

void PooledConnection::release(SessionReset reset)
{
    ConnectionPtr connection = std::move(m_connection);
    if (!connection)
        return;
    if (const auto pool = m_pool.lock())
        pool->checkIn(std::move(connection), reset);
}

absl::StatusOr<std::unique_ptr<ConnectionPool>>
ConnectionPool::create(ConnectionParams params, PoolOptions options, Random random)
{
    if (options.backoffMin <= Duration::zero() || options.backoffMax < options.backoffMin)
        return absl::InvalidArgumentError("backoff must be positive and not decrease");
    if (params.endpoint.host.empty() || params.user.empty() || params.database.empty())
        return absl::InvalidArgumentError("host, user and database are required");
    auto core = std::make_shared<PoolCore>(std::move(params), options, random);
    core->scheduleUpdate();
    return std::unique_ptr<ConnectionPool>(new ConnectionPool(std::move(core)));
}

ConnectionPool::ConnectionPool(std::shared_ptr<PoolCore> core)
    : m_core(std::move(core))
{
}

ConnectionPool::~ConnectionPool()
{
    m_core->shutDown();
}

void ConnectionPool::acquire(TimePoint deadline, AcquireCallback callback)
{
    m_core->acquire(deadline, std::move(callback));
}

void ConnectionPool::setLimits(PoolLimits limits)
{
    m_core->setLimits(limits);
}

PoolCounts ConnectionPool::counts() const
{
    return m_core->counts();
}

} // namespace shallotlever
