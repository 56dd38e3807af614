#include "read_execution.h"

#include <algorithm>

#include "answer.h"
#include "shallotlever/base/clock.h"

namespace shallotlever {

namespace {

/// A read without an answer within this time is retried on another database, so that a frozen
/// database does not hold a slot until the caller's deadline.
constexpr Duration kReadAttemptTimeout = 1s;
/// If no database is fresh enough, the log positions are queried again at this interval until the
/// timeout. The last known position of a replica is up to one poll interval old, and without a
/// primary only a replica that has caught up can serve a session that has just written. The timeout
/// frees the slot for other reads.
constexpr Duration kFreshnessPollInterval = 5ms;
constexpr Duration kFreshnessTimeout = 1s;
/// Interval between status queries to the replicas while one may still catch up with the token.
constexpr Duration kCatchUpPollInterval = 1ms;

std::chrono::milliseconds toMilliseconds(Duration duration)
{
    return std::chrono::ceil<std::chrono::milliseconds>(duration);
}

} // namespace

ReadExecution::ReadExecution(ExecutorContext &context, WorkItem item, CompletionCallback done)
    : m_execution { context, std::move(item), std::move(done), monotonicNow(), 1, false }
{
}

void ReadExecution::start()
{
    const TimePoint now = monotonicNow();
    if (now >= m_execution.item.deadline) {
        finishWithError({ ErrorKind::DeadlineExceeded, {}, std::nullopt });
        return;
    }
    m_choice = choose();
    switch (m_choice.kind) {
    case ReadChoice::Kind::UsePrimary:
        if (replicaMayCatchUp()) {
            m_choice.wait = kCatchUpPollInterval;
            waitForReplica(m_choice);
            break;
        }
        [[fallthrough]];
    case ReadChoice::Kind::UseReplica:
        connect(m_choice);
        break;
    case ReadChoice::Kind::Wait:
        waitForReplica(m_choice);
        break;
    case ReadChoice::Kind::Refuse:
        awaitFreshUpstream(m_choice);
        break;
    }
}

ReadRequirements ReadExecution::need() const
{
    ReadRequirements need;
    const auto point = m_execution.item.token.points.find(m_execution.context.options.service);
    if (point != m_execution.item.token.points.end())
        need.token = point->second;
    need.maxStaleness = statement().maxStaleness;
    need.openRoute = m_execution.item.openRoute;
    need.exclude = m_triedUpstreams;
    need.waited = m_waited;
    need.catchUpWait = m_execution.context.view.policy.catchUpWait;
    return need;
}

ReadChoice ReadExecution::choose()
{
    ExecutorContext &context = m_execution.context;
    const TimePoint now = monotonicNow();
    std::vector<UpstreamObservation> observations;
    for (auto &[id, handle] : context.upstreams)
        observations.push_back(makeObservation(handle, context.health, now));
    static const RegionMap kNoRegions;
    ReadContext situation;
    situation.group = &context.view.group;
    situation.ownDataCentre = context.options.dataCentre;
    situation.regions = &kNoRegions;
    situation.primaryHistory = &context.primaryHistory;
    situation.observations = observations;
    return chooseUpstream(situation, need(), now, context.random);
}

bool ReadExecution::replicaMayCatchUp() const
{
    const ReadRequirements need = this->need();
    if (!need.token || need.waited + kCatchUpPollInterval > need.catchUpWait)
        return false;
    const auto &upstreams = m_execution.context.upstreams;
    return std::any_of(upstreams.begin(), upstreams.end(), [this](const auto &entry) {
        return entry.first != m_execution.context.view.group.primary
            && entry.second.health.phase != HealthPhase::Ejected;
    });
}

void ReadExecution::waitForReplica(const ReadChoice &choice)
{
    m_waited += choice.wait;
    for (const auto &[id, handle] : m_execution.context.upstreams)
        queryStatus(m_execution.context, id);
    callLater(m_execution.context, choice.wait, [self = shared_from_this()] { self->start(); });
}

void ReadExecution::awaitFreshUpstream(const ReadChoice &choice)
{
    const TimePoint now = monotonicNow();
    const TimePoint giveUpAt =
        std::min(m_execution.startedAt + kFreshnessTimeout, m_execution.item.deadline);
    if (now + kFreshnessPollInterval >= giveUpAt) {
        const ErrorKind kind = choice.anyUsable ? ErrorKind::NoFreshReplica : ErrorKind::NoUpstream;
        finishWithError({ kind, {}, std::nullopt });
        return;
    }
    m_triedUpstreams.clear();
    m_execution.context.metrics->retry(RetryReason::ReplicaStale).increment();
    for (const auto &[id, handle] : m_execution.context.upstreams)
        queryStatus(m_execution.context, id);
    callLater(m_execution.context, kFreshnessPollInterval,
              [self = shared_from_this()] { self->start(); });
}

void ReadExecution::connect(const ReadChoice &choice)
{
    m_attemptedAt = monotonicNow();
    if (UpstreamHandle *handle = findUpstream(m_execution.context, choice.upstream))
        ++handle->inFlight;
    acquireConnection(m_execution, choice.upstream,
                      [self = shared_from_this()](absl::StatusOr<PooledConnection> connection) {
                          if (!connection.ok()) {
                              self->releaseUpstream(false);
                              self->fail(connectFailure());
                              return;
                          }
                          self->m_connection = std::move(*connection);
                          self->runStatement();
                      });
}

void ReadExecution::runStatement()
{
    (*m_connection)
        ->executeReadOnly(
            statement().sql, statement().params, attemptTimeout(),
            [self = shared_from_this()](QueryReply reply) { self->onResult(std::move(reply)); });
}

void ReadExecution::onResult(QueryReply reply)
{
    if (auto *result = std::get_if<QueryResult>(&reply)) {
        succeed(std::move(*result));
        return;
    }
    const auto &error = std::get<QueryError>(reply);
    const bool answered = error.kind == QueryErrorKind::Refused;
    m_mayHaveRun |= !answered && error.kind != QueryErrorKind::NotSent;
    releaseUpstream(answered);
    fail(classifyFailure(error, FailurePoint::Read));
}

void ReadExecution::succeed(QueryResult result)
{
    StatementResponse answer = makeStatementAnswer(std::move(result), m_choice.upstream);
    answer.replica = m_choice.kind == ReadChoice::Kind::UseReplica;
    answer.degraded = m_choice.degraded;
    answer.staleness = toMilliseconds(m_choice.staleness.value_or(Duration(0)));
    answer.sessionToken = updateSessionToken(m_execution, std::nullopt);
    const ReadDemand demand = statement().maxStaleness ? ReadDemand::StaleAllowed
        : need().token                                 ? ReadDemand::OwnWrites
                                                       : ReadDemand::Unbounded;
    m_execution.context.metrics
        ->read(answer.replica ? ReadSource::Replica : ReadSource::Primary, demand)
        .increment();
    releaseUpstream(true);
    finishExecution(m_execution, std::move(answer));
}

void ReadExecution::fail(const Failure &failure)
{
    m_triedUpstreams.push_back(m_choice.upstream);
    if (m_triedUpstreams.size() >= m_execution.context.upstreams.size())
        m_triedUpstreams.clear();
    Failure finalFailure = failure;
    finalFailure.error = reportedError(failure.error);
    retryOrFail(m_execution, finalFailure, true, true,
                [self = shared_from_this()] { self->start(); });
}

Error ReadExecution::reportedError(const Error &error) const
{
    return m_mayHaveRun ? errorAfterUnansweredRead(error) : error;
}

void ReadExecution::finishWithError(const Error &error)
{
    finishExecution(m_execution, reportedError(error));
}

void ReadExecution::releaseUpstream(bool succeeded)
{
    const TimePoint now = monotonicNow();
    if (UpstreamHandle *handle = findUpstream(m_execution.context, m_choice.upstream)) {
        --handle->inFlight;
        if (succeeded) {
            recordSuccess(handle->health, m_execution.context.health, now);
            recordLatency(*handle, now - m_attemptedAt);
        } else {
            recordFailure(handle->health, m_execution.context.health, now,
                          m_execution.context.random);
        }
    }
    if (!m_connection)
        return;
    // The read-only transaction was rolled back, not committed. That also undoes session settings
    // changed by the statement, so they do not leak into the next session.
    PooledConnection connection = std::move(*m_connection);
    m_connection.reset();
    if (!connection->isReady())
        return;
    if (connection->transactionStatus() == TransactionStatus::Idle)
        connection.release(SessionReset::None);
    else
        rollBackAndRelease(std::move(connection));
}

Duration ReadExecution::attemptTimeout() const
{
    return std::min(kReadAttemptTimeout, timeLeft(m_execution.item.deadline, monotonicNow()));
}

} // namespace shallotlever
