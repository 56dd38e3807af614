// Acceptance, outcome and transactions of statements. The way of a statement to its database is in
// statement_setup.cpp.

#include "statement_runner.h"

#include <algorithm>
#include <utility>

#include "shallotlever/base/clock.h"

namespace shallotlever {

namespace {

/// While the database responds to other statements, a timed-out attempt of a repeatable statement
/// is extended by kAttemptExtension at a time, until kMaxAttemptDuration after the statement
/// arrived.
constexpr Duration kMaxAttemptDuration = 1500ms;
constexpr Duration kAttemptExtension = 100ms;
/// The end of a replica's log is trusted for this long; then a read shows whether it has caught up.
constexpr Duration kLogEndLifetime = 60ms;
/// A transaction that its session has not ended this long after its idle limit is rolled back: the
/// session's node ends it earlier, unless it has failed.
constexpr Duration kAbandonedTransactionMargin = 1s;

StatementReply answeredReply(const UpstreamReply &reply)
{
    StatementReply answer;
    answer.result = StatementResult::Answered;
    answer.lines = reply.lines;
    answer.error = reply.error;
    answer.point = reply.point;
    return answer;
}

} // namespace

StatementRunner::StatementRunner(ProxyState &state)
    : m_state(state)
    , m_prepareFailures(state.metrics->registry().counter(
          "shallotlever_prepare_failures_total",
          "Statements that a database did not prepare on a connection."))
{
    for (const RetryReasonRow &row : retryReasonTable())
        m_returned.push_back(
            &state.metrics->registry().counter("shallotlever_owner_refusals_total",
                                               "Statements that this node could not run on its "
                                               "connections and returned unrun, by reason.",
                                               { { "reason", std::string(row.name) } }));
}

StatementRunner::~StatementRunner()
{
    // The pools outlive this object and must not call it.
    for (const Execution &execution : m_statements) {
        if (execution.phase == Phase::AwaitingLink && execution.pool)
            execution.pool->cancel(execution.waiterId);
    }
}

StatementRunner::Execution *StatementRunner::find(std::uint64_t id)
{
    const auto found =
        std::find_if(m_statements.begin(), m_statements.end(),
                     [id](const Execution &execution) { return execution.id == id; });
    return found == m_statements.end() ? nullptr : &*found;
}

StatementRunner::TransactionKey StatementRunner::transactionKey(const Execution &execution) const
{
    return { execution.sender, execution.request.transaction };
}

std::uint64_t StatementRunner::run(const PeerProcess &sender, StatementRequest request,
                                   Callback callback, TimePoint now)
{
    Execution &execution = m_statements.emplace_back();
    const std::uint64_t id = ++m_lastId;
    execution.id = id;
    execution.sender = sender;
    execution.request = std::move(request);
    execution.callback = std::move(callback);
    execution.receivedAt = now;
    execution.deadline = now + execution.request.timeLeft;
    const auto service = m_state.services.find(execution.request.service);
    if (!execution.request.primaryOnly && service != m_state.services.end())
        service->second.replicaReadAt = now;
    const auto open = m_transactions.find(transactionKey(execution));
    if (execution.request.transaction != 0 && open != m_transactions.end()) {
        open->second.running = true;
        execution.pool = open->second.pool;
        execution.link = open->second.link;
        setUpLink(execution, now);
    } else if (const auto refused = refusal(execution, now)) {
        notRun(execution, *refused, now);
    } else {
        acquireLink(execution, now);
    }
    return find(id) == nullptr ? 0 : id;
}

/// Returns why the statement can't be run here, and otherwise sets the pool.
std::optional<RetryReason> StatementRunner::refusal(Execution &execution, TimePoint now) const
{
    const StatementRequest &request = execution.request;
    if (request.transactionBegun)
        return RetryReason::UpstreamLostBeforeSend;
    const auto service = m_state.services.find(request.service);
    execution.pool =
        service == m_state.services.end() ? nullptr : service->second.pool(request.upstream);
    if (!m_state.fresh(now) || !execution.pool || execution.pool->load().leasedConnections == 0)
        return RetryReason::OwnerUnavailable;
    const UpstreamLoad &load = execution.pool->load();
    if (load.state == UpstreamState::Leaving)
        return RetryReason::UpstreamLeaving;
    if (!load.reachable)
        return RetryReason::ConnectFailed;
    execution.minPosition = requiredPosition(request, now);
    if (!execution.minPosition && !isPrimary(execution))
        return request.primaryOnly ? RetryReason::NotPrimary : RetryReason::ReplicaStale;
    return knownToLag(execution, now) ? std::optional(RetryReason::ReplicaStale) : std::nullopt;
}

std::optional<HistoryPoint> StatementRunner::requiredPosition(const StatementRequest &request,
                                                              TimePoint now) const
{
    const auto service = m_state.services.find(request.service);
    if (request.primaryOnly || service == m_state.services.end())
        return std::nullopt;
    auto position = lowestSufficientPosition(service->second.positions, request.maxStaleness, now);
    if (position && request.ownCommit)
        position = std::max(*position, *request.ownCommit);
    return position;
}

bool StatementRunner::isPrimary(const Execution &execution) const
{
    const auto service = m_state.services.find(execution.request.service);
    return service != m_state.services.end()
        && service->second.primary == execution.request.upstream;
}

/// Whether the database has recently shown that its log ends before the required position.
bool StatementRunner::knownToLag(const Execution &execution, TimePoint now) const
{
    const StatementRequest &request = execution.request;
    const auto &routes = m_state.services.at(request.service).routes;
    const DatabaseRoute &route = routes.at(request.upstream);
    return execution.minPosition && route.logEnd && *route.logEnd < *execution.minPosition
        && now < route.logEndAt + kLogEndLifetime && !isPrimary(execution);
}

void StatementRunner::onReply(std::uint64_t id, const UpstreamReply &reply)
{
    Execution *execution = find(id);
    if (execution == nullptr || execution->phase != Phase::Running)
        return;
    const TimePoint now = monotonicNow();
    if (reply.lost) {
        onLost(*execution, RetryReason::ReadConnectionLost, now);
        return;
    }
    if (!reply.notSent.ok()) {
        onUnsendable(*execution, now);
        return;
    }
    const StatementRequest &request = execution->request;
    if (reply.point)
        m_state.recordHistoryPoint(request.service, request.upstream, *reply.point, reply.sentAt);
    if (!reply.succeeded()) {
        onError(*execution, reply, now);
        return;
    }
    execution->pool->recordResponse(now - reply.sentAt, now);
    if (!request.transactionBegun)
        execution->pool->recordCost(traits(*execution), now - reply.sentAt);
    if (request.transaction == 0 || request.commits) {
        m_transactions.erase(transactionKey(*execution));
        if (reply.state == TransactionState::None)
            execution->pool->release(execution->link, now);
        else
            execution->pool->rollBack(execution->link, now);
    } else if (reply.state != TransactionState::Open) {
        // The transaction has ended, and what follows would not run in one.
        onLost(*execution, RetryReason::ReadConnectionLost, now);
        return;
    } else {
        keepTransactionOpen(*execution, now);
    }
    finish(*execution, answeredReply(reply));
}

void StatementRunner::keepTransactionOpen(Execution &execution, TimePoint now)
{
    if (execution.abandoned) {
        rollBackLink(execution, TransactionState::Open, now);
        return;
    }
    Transaction &transaction = m_transactions.at(transactionKey(execution));
    transaction.running = false;
    transaction.lastUsedAt = now;
}

void StatementRunner::onError(Execution &execution, const UpstreamReply &reply, TimePoint now)
{
    const UpstreamErrorKind kind = reply.error ? reply.error->kind : UpstreamErrorKind::Other;
    execution.pool->recordRefusal(kind == UpstreamErrorKind::Busy, now);
    const bool forgotten =
        kind == UpstreamErrorKind::UnknownPrepared && execution.prepareFailure.ok();
    if (forgotten)
        // The state of the connection is not what this node believes.
        discardLink(execution, now);
    else
        rollBackLink(execution, reply.state, now);
    StatementReply answer = answeredReply(reply);
    answer.error = reply.error.value_or(UpstreamError {});
    // In a transaction the database answers as in any that has failed.
    if (!execution.prepareFailure.ok())
        answer.error->kind = UpstreamErrorKind::UnknownPrepared;
    finish(execution, std::move(answer));
}

/// The connection failed or is in an unknown state. `reason` is used if the statement was sent.
void StatementRunner::onLost(Execution &execution, RetryReason reason, TimePoint now)
{
    const bool sent = execution.phase == Phase::Running;
    discardLink(execution, now);
    if (sent)
        finish(execution, unansweredReply(StatementResult::Unknown, reason));
    else
        notRun(execution, RetryReason::UpstreamLostBeforeSend, now);
}

void StatementRunner::onUnsendable(Execution &execution, TimePoint now)
{
    // A part of the setup may have been sent.
    discardLink(execution, now);
    notRun(execution, RetryReason::Unsendable, now);
}

void StatementRunner::discardLink(Execution &execution, TimePoint now)
{
    m_transactions.erase(transactionKey(execution));
    execution.pool->discard(std::exchange(execution.link, nullptr), now);
}

void StatementRunner::onTimeout(Execution &execution, TimePoint now)
{
    if (execution.phase == Phase::AwaitingLink) {
        execution.pool->cancel(execution.waiterId);
        notRun(execution, RetryReason::ConnectionWait, now);
        return;
    }
    // A database that responds to other statements is busy; a retry would only add to its load.
    if (now < execution.deadline && execution.pool->recentlyResponsive(now)
        && now < execution.receivedAt + kMaxAttemptDuration) {
        execution.phaseDeadline = now + kAttemptExtension;
        return;
    }
    execution.pool->recordTimeout(now);
    onLost(execution, RetryReason::ReadTimedOut, now);
}

void StatementRunner::rollBackLink(Execution &execution, TransactionState state, TimePoint now)
{
    PooledLink *link = std::exchange(execution.link, nullptr);
    const auto open = m_transactions.find(transactionKey(execution));
    const bool begun = execution.request.transaction != 0 && open != m_transactions.end();
    if (open != m_transactions.end())
        m_transactions.erase(open);
    if (begun || state != TransactionState::None)
        execution.pool->rollBack(link, now);
    else if (link->link->pending() == 0)
        execution.pool->release(link, now);
    else
        execution.pool->discard(link, now);
}

void StatementRunner::rollBack(std::map<TransactionKey, Transaction>::iterator entry, TimePoint now)
{
    const Transaction transaction = std::move(entry->second);
    m_transactions.erase(entry);
    transaction.pool->rollBack(transaction.link, now);
}

void StatementRunner::onTransactionConnectionLost(const TransactionKey &key)
{
    const auto open = m_transactions.find(key);
    // A running statement is told by its own callback.
    if (open != m_transactions.end() && !open->second.running)
        m_transactions.erase(open);
}

void StatementRunner::endTransaction(const PeerProcess &sender, std::uint64_t transaction,
                                     TimePoint now)
{
    const TransactionKey key { sender, transaction };
    const auto open = m_transactions.find(key);
    if (open != m_transactions.end() && !open->second.running) {
        rollBack(open, now);
        return;
    }
    const auto running =
        std::find_if(m_statements.begin(), m_statements.end(),
                     [&](const Execution &execution) { return transactionKey(execution) == key; });
    if (running == m_statements.end())
        return;
    running->abandoned = true;
    if (running->phase == Phase::AwaitingLink)
        onTimeout(*running, now);
}

void StatementRunner::abortIdleTransactions(TimePoint now)
{
    for (auto entry = m_transactions.begin(); entry != m_transactions.end();) {
        const auto current = entry++;
        if (!current->second.running)
            rollBack(current, now);
    }
}

void StatementRunner::finish(Execution &execution, StatementReply reply)
{
    if (execution.pool) {
        reply.load.outstanding = execution.pool->load().outstanding;
        reply.load.serviceTime = execution.pool->load().serviceTime;
    }
    const Callback callback = std::move(execution.callback);
    m_statements.remove_if([&](const Execution &item) { return &item == &execution; });
    callback(reply);
}

void StatementRunner::notRun(Execution &execution, RetryReason reason, TimePoint now,
                             Duration retryAfter)
{
    m_returned[static_cast<std::size_t>(reason)]->increment();
    if (acquireLogToken(m_state.logRateLimiter, LogTopic::Retry, now)) {
        const auto ms = [](Duration d) {
            return std::chrono::duration_cast<std::chrono::milliseconds>(d).count();
        };
        const UpstreamPool *pool = execution.pool.get();
        const PoolOccupancy occupancy = pool == nullptr ? PoolOccupancy() : pool->occupancy(now);
        m_state.logger->info("statement_not_run",
                             { { "request", execution.request.id },
                               { "sender", execution.sender.node.value() },
                               { "upstream", execution.request.upstream.value() },
                               { "team", execution.request.team.value() },
                               { "reason", retryReasonName(reason) },
                               { "waited_ms", ms(now - execution.receivedAt) },
                               { "time_left_ms", ms(execution.deadline - now) },
                               { "priority", execution.request.priority },
                               { "retry_after_ms", ms(retryAfter) },
                               { "waiting", occupancy.waiting },
                               { "running", occupancy.running },
                               { "connections", occupancy.open },
                               { "opening", occupancy.opening },
                               { "outstanding", pool == nullptr ? 0U : pool->load().outstanding },
                               { "leased", pool == nullptr ? 0U : pool->load().leasedConnections },
                               { "lease_left_ms", ms(m_state.freshUntil - now) } });
    }
    StatementReply reply = unansweredReply(StatementResult::NotRun, reason);
    reply.retryAfter = retryAfter;
    finish(execution, std::move(reply));
}

bool StatementRunner::cancel(std::uint64_t id)
{
    Execution *execution = find(id);
    if (execution == nullptr || execution->phase != Phase::AwaitingLink)
        return execution == nullptr;
    execution->pool->cancel(execution->waiterId);
    m_statements.remove_if([id](const Execution &item) { return item.id == id; });
    return true;
}

void StatementRunner::tick(TimePoint now)
{
    std::vector<std::uint64_t> expired;
    for (const Execution &execution : m_statements) {
        if (now >= execution.deadline || now >= execution.phaseDeadline)
            expired.push_back(execution.id);
    }
    for (const std::uint64_t id : expired) {
        if (Execution *execution = find(id))
            onTimeout(*execution, now);
    }
    const Duration idleLimit = m_state.config.installed.transactionIdleLimit;
    if (idleLimit.count() == 0)
        return;
    for (auto entry = m_transactions.begin(); entry != m_transactions.end();) {
        const auto current = entry++;
        if (!current->second.running
            && now >= current->second.lastUsedAt + idleLimit + kAbandonedTransactionMargin)
            rollBack(current, now);
    }
}

TimePoint StatementRunner::nextTick() const
{
    TimePoint due = kNever;
    for (const Execution &execution : m_statements)
        due = std::min({ due, execution.deadline, execution.phaseDeadline });
    const Duration idleLimit = m_state.config.installed.transactionIdleLimit;
    if (idleLimit.count() == 0)
        return due;
    for (const auto &[key, transaction] : m_transactions) {
        if (!transaction.running)
            due = std::min(due, transaction.lastUsedAt + idleLimit + kAbandonedTransactionMargin);
    }
    return due;
}

} // namespace shallotlever
