#include "shallotlever/executor/service_executor.h"

#include <algorithm>

#include <QTimer>

#include "context.h"
#include "read_execution.h"
#include "shallotlever/base/clock.h"
#include "transactions.h"
#include "work_queue.h"
#include "write_execution.h"

namespace shallotlever {

namespace {

constexpr std::chrono::milliseconds kTickInterval { 10 };
/// Interval of status queries to each database while the service is in use.
constexpr Duration kActivePollInterval = 50ms;
/// Interval for an idle service, whose databases are polled only to detect failures. A database
/// that does not answer is polled at the active interval, so that two consecutive failures are
/// noticed within two seconds.
constexpr Duration kIdlePollInterval = 1s;
/// A service is idle when this time has passed since its last request.
constexpr Duration kIdleTimeout = 10s;

template <typename... Functions>
struct Overloaded : Functions...
{
    using Functions::operator()...;
};
template <typename... Functions>
Overloaded(Functions...) -> Overloaded<Functions...>;

} // namespace

class ServiceExecutor::Impl
{
public:
    Impl(ServiceExecutorOptions options, NodeMetrics &metrics);

    void applyView(ServiceView view);
    void submit(WorkItem item);
    ServiceReport report() const;
    void startDrain() { m_context.draining = true; }

private:
    void tick();
    void poll(TimePoint now);
    void recordActivity(TimePoint now);
    Duration pollInterval(const UpstreamHandle &handle, TimePoint now) const;
    void updateUpstreams();
    void updatePools();
    void updateQueues();
    void startReads(TimePoint now);
    void startWrites(TimePoint now);
    void startWrite(const QueuedRequest &request, WorkItem item);
    std::uint32_t connectionShare(const UpstreamId &id, TimePoint now) const;

    ExecutorContext m_context;
    WorkQueue m_reads { FairQueueOptions() };
    WorkQueue m_writes { FairQueueOptions() };
    TransactionTable m_transactions { m_context };
    TimePoint m_activeUntil;
    QTimer m_tick;
};

ServiceExecutor::Impl::Impl(ServiceExecutorOptions options, NodeMetrics &metrics)
{
    m_context.random.seed(options.seed);
    m_context.options = std::move(options);
    m_context.metrics = &metrics;
    QObject::connect(&m_tick, &QTimer::timeout, m_context.timerContext.get(), [this] { tick(); });
    m_tick.start(kTickInterval);
}

void ServiceExecutor::Impl::applyView(ServiceView view)
{
    m_context.view = std::move(view);
    updateUpstreams();
    updatePools();
    updateQueues();
    tick();
}

void ServiceExecutor::Impl::submit(WorkItem item)
{
    const TimePoint now = monotonicNow();
    recordActivity(now);
    creditRetryBudget(m_context.retryBudget, m_context.view.policy);
    const auto dispatchBody = Overloaded {
        [&](const StatementWork &work) {
            (work.mode == AccessMode::Read ? m_reads : m_writes).add(std::move(item), now);
        },
        [&](const BeginWork &) {
            if (m_context.draining)
                refuse(item, ErrorKind::Draining);
            else
                m_writes.add(std::move(item), now);
        },
        [&](const TransactionStatementWork &) { m_transactions.statement(std::move(item)); },
        [&](const CommitWork &) { m_transactions.commit(std::move(item)); },
        [&](const RollbackWork &) { m_transactions.rollback(std::move(item)); },
    };
    // Copied because the handlers move the item while the body is being visited.
    const WorkBody body = item.body;
    std::visit(dispatchBody, body);
    startReads(now);
    startWrites(now);
}

ServiceReport ServiceExecutor::Impl::report() const
{
    ServiceReport report;
    for (const auto &[id, handle] : m_context.upstreams) {
        if (handle.reachable)
            report.reachable[id] = *handle.reachable;
        const PoolCounts counts = handle.pool->counts();
        report.demand.push_back(
            { id, counts.open + counts.connecting, counts.busy, counts.waiting });
    }
    report.openTransactions = static_cast<std::uint32_t>(m_transactions.size());
    report.activeRequests = static_cast<std::uint32_t>(m_reads.waiting() + m_writes.waiting()
                                                       + m_reads.running() + m_writes.running());
    return report;
}

void ServiceExecutor::Impl::tick()
{
    const TimePoint now = monotonicNow();
    m_reads.expire(ErrorKind::DeadlineExceeded, now);
    m_writes.expire(usablePrimary(m_context) == nullptr ? ErrorKind::NoPrimary
                                                        : ErrorKind::DeadlineExceeded,
                    now);
    m_transactions.expire(now);
    poll(now);
    updatePools();
    updateQueues();
    resumePrimaryWaiters(m_context, now);
    startReads(now);
    startWrites(now);
}

void ServiceExecutor::Impl::poll(TimePoint now)
{
    for (auto &[id, handle] : m_context.upstreams) {
        if (now < handle.nextPoll)
            continue;
        handle.nextPoll = now + pollInterval(handle, now);
        queryStatus(m_context, id);
    }
}

Duration ServiceExecutor::Impl::pollInterval(const UpstreamHandle &handle, TimePoint now) const
{
    return now < m_activeUntil || handle.consecutiveStatusFailures > 0 ? kActivePollInterval
                                                                       : kIdlePollInterval;
}

void ServiceExecutor::Impl::recordActivity(TimePoint now)
{
    const bool wasIdle = now >= m_activeUntil;
    m_activeUntil = now + kIdleTimeout;
    if (!wasIdle)
        return;
    for (auto &[id, handle] : m_context.upstreams)
        handle.nextPoll = now;
    poll(now);
}

void ServiceExecutor::Impl::updateUpstreams()
{
    const GroupView &group = m_context.view.group;
    std::erase_if(m_context.upstreams, [&](const auto &entry) {
        const auto found = group.upstreams.find(entry.first);
        return found == group.upstreams.end()
            || found->second.endpoint != entry.second.info.endpoint;
    });
    for (const auto &[id, info] : group.upstreams) {
        if (UpstreamHandle *handle = findUpstream(m_context, id)) {
            handle->info = info;
            continue;
        }
        absl::StatusOr<UpstreamHandle> handle =
            makeUpstreamHandle(info, m_context.options.upstreamUser, Random(m_context.random()));
        if (handle.ok())
            m_context.upstreams.emplace(id, std::move(*handle));
    }
}

std::uint32_t ServiceExecutor::Impl::connectionShare(const UpstreamId &id, TimePoint now) const
{
    // Without a live lease one connection remains. It comes from a reserve that the controller
    // never leases out, so that open routes are served in a partitioned data centre.
    const auto share = m_context.view.connectionShares.find(id);
    const bool live = now < m_context.view.freshUntil;
    if (!live || share == m_context.view.connectionShares.end())
        return 1;
    return std::max<std::uint32_t>(share->second, 1);
}

void ServiceExecutor::Impl::updatePools()
{
    const TimePoint now = monotonicNow();
    for (auto &[id, handle] : m_context.upstreams) {
        const std::uint32_t share = connectionShare(id, now);
        const bool takesWork = handle.info.state == UpstreamState::Live;
        handle.pool->setLimits({ share, takesWork ? (share + 1) / 2 : 0 });
    }
}

void ServiceExecutor::Impl::updateQueues()
{
    const TimePoint now = monotonicNow();
    FairQueueOptions reads;
    reads.queueLimitPerTeam = m_context.view.policy.queueLimitPerTeam;
    reads.openRouteReserve = m_context.view.policy.openRouteReserve;
    reads.slots = 0;
    FairQueueOptions writes;
    writes.queueLimitPerTeam = reads.queueLimitPerTeam;
    writes.slots = 0;
    for (const auto &[id, handle] : m_context.upstreams) {
        const bool primary = m_context.view.group.primary == id;
        const std::uint32_t share =
            std::min(connectionShare(id, now), std::max(handle.info.slots, 1U));
        if (primary)
            writes.slots = share;
        if (handle.info.state == UpstreamState::Live && handle.reachable != false)
            reads.slots += share;
    }
    reads.slots = std::max(reads.slots, 1U);
    if (usablePrimary(m_context) == nullptr)
        writes.slots = 0;
    m_reads.setOptions(reads);
    m_writes.setOptions(writes);
}

void ServiceExecutor::Impl::startReads(TimePoint now)
{
    while (auto next = m_reads.next(now)) {
        const QueuedRequest request = next->first;
        std::make_shared<ReadExecution>(m_context, std::move(next->second),
                                        [this, request](Duration time) {
                                            m_reads.finished(request, time);
                                            startReads(monotonicNow());
                                        })
            ->start();
    }
}

void ServiceExecutor::Impl::startWrites(TimePoint now)
{
    while (auto next = m_writes.next(now))
        startWrite(next->first, std::move(next->second));
}

void ServiceExecutor::Impl::startWrite(const QueuedRequest &request, WorkItem item)
{
    const CompletionCallback done = [this, request](Duration time) {
        m_writes.finished(request, time);
        startWrites(monotonicNow());
    };
    if (std::holds_alternative<BeginWork>(item.body))
        m_transactions.begin(std::move(item), done);
    else
        std::make_shared<WriteExecution>(m_context, std::move(item), done)->start();
}

std::unique_ptr<ServiceExecutor> ServiceExecutor::create(ServiceExecutorOptions options,
                                                         NodeMetrics &metrics)
{
    return std::unique_ptr<ServiceExecutor>(
        new ServiceExecutor(std::make_unique<Impl>(std::move(options), metrics)));
}

ServiceExecutor::ServiceExecutor(std::unique_ptr<Impl> impl)
    : m_impl(std::move(impl))
{
}

ServiceExecutor::~ServiceExecutor() = default;

void ServiceExecutor::applyView(ServiceView view)
{
    m_impl->applyView(std::move(view));
}

void ServiceExecutor::submit(WorkItem item)
{
    m_impl->submit(std::move(item));
}

ServiceReport ServiceExecutor::report() const
{
    return m_impl->report();
}

void ServiceExecutor::startDrain()
{
    m_impl->startDrain();
}

} // namespace shallotlever
