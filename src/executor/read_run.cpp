#include "read_run.h"

#include <algorithm>

#include "answer.h"
#include "shallotlever/base/clock.h"

namespace shallotlever {

namespace {

/// A read that got no answer within this time is repeated elsewhere, so that a frozen database
/// holds no slot until the caller's deadline.
constexpr Duration kReadAttemptTimeout = 1s;
/// Without a fresh database, the positions are asked again after this pause and for this long. What
/// this node knows of a replica is up to a poll interval old, and without a primary no other
/// database can serve a session that has just written. The bound keeps slots for other reads.
constexpr Duration kFreshnessPause = 5ms;
constexpr Duration kFreshnessWait = 1s;
/// Pause between two status queries of the replicas while one may still reach the token.
constexpr Duration kCatchUpPause = 1ms;

std::chrono::milliseconds toMilliseconds(Duration duration)
{
    return std::chrono::ceil<std::chrono::milliseconds>(duration);
}

} // namespace

ReadRun::ReadRun(ExecutorContext &context, WorkItem item, RunDone done)
    : m_run { context, std::move(item), std::move(done), monotonicNow(), 1, false }
{
}

void ReadRun::start()
{
    const TimePoint now = monotonicNow();
    if (now >= m_run.item.deadline) {
        finishWith({ ErrorKind::DeadlineExceeded, {}, std::nullopt });
        return;
    }
    m_choice = choose();
    switch (m_choice.kind) {
    case ReadChoice::Kind::UsePrimary:
        if (mayCatchUp()) {
            m_choice.wait = kCatchUpPause;
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
        refuseChoice(m_choice);
        break;
    }
}

ReadNeed ReadRun::need() const
{
    ReadNeed need;
    const auto point = m_run.item.token.points.find(m_run.context.options.service);
    if (point != m_run.item.token.points.end())
        need.token = point->second;
    need.maxStaleness = statement().maxStaleness;
    need.openRoute = m_run.item.openRoute;
    need.exclude = m_tried;
    need.waited = m_waited;
    need.catchUpWait = m_run.context.view.policy.catchUpWait;
    return need;
}

ReadChoice ReadRun::choose()
{
    ExecutorContext &context = m_run.context;
    const TimePoint now = monotonicNow();
    std::vector<UpstreamObservation> observations;
    for (auto &[id, handle] : context.upstreams)
        observations.push_back(observationOf(handle, context.health, now));
    static const RegionMap kNoRegions;
    ReadSituation situation;
    situation.group = &context.view.group;
    situation.ownDataCentre = context.options.dataCentre;
    situation.regions = &kNoRegions;
    situation.primaryHistory = &context.primaryHistory;
    situation.observations = observations;
    return chooseUpstream(situation, need(), now, context.random);
}

bool ReadRun::mayCatchUp() const
{
    const ReadNeed need = this->need();
    if (!need.token || need.waited + kCatchUpPause > need.catchUpWait)
        return false;
    const auto &upstreams = m_run.context.upstreams;
    return std::any_of(upstreams.begin(), upstreams.end(), [this](const auto &entry) {
        return entry.first != m_run.context.view.group.primary
            && entry.second.health.phase != HealthPhase::Ejected;
    });
}

void ReadRun::waitForReplica(const ReadChoice &choice)
{
    m_waited += choice.wait;
    for (const auto &[id, handle] : m_run.context.upstreams)
        queryStatus(m_run.context, id);
    callLater(m_run.context, choice.wait, [self = shared_from_this()] { self->start(); });
}

void ReadRun::refuseChoice(const ReadChoice &choice)
{
    const TimePoint now = monotonicNow();
    const TimePoint giveUpAt = std::min(m_run.startedAt + kFreshnessWait, m_run.item.deadline);
    if (now + kFreshnessPause >= giveUpAt) {
        const ErrorKind kind = choice.anyUsable ? ErrorKind::NoFreshReplica : ErrorKind::NoUpstream;
        finishWith({ kind, {}, std::nullopt });
        return;
    }
    m_tried.clear();
    m_run.context.metrics->retry(RetryReason::ReplicaStale).increment();
    for (const auto &[id, handle] : m_run.context.upstreams)
        queryStatus(m_run.context, id);
    callLater(m_run.context, kFreshnessPause, [self = shared_from_this()] { self->start(); });
}

void ReadRun::connect(const ReadChoice &choice)
{
    m_attemptedAt = monotonicNow();
    if (UpstreamHandle *handle = findUpstream(m_run.context, choice.upstream))
        ++handle->inFlight;
    acquireConnection(m_run, choice.upstream,
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

void ReadRun::runStatement()
{
    (*m_connection)
        ->executeReadOnly(
            statement().sql, statement().params, attemptTimeout(),
            [self = shared_from_this()](QueryReply reply) { self->onResult(std::move(reply)); });
}

void ReadRun::onResult(QueryReply reply)
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

void ReadRun::succeed(QueryResult result)
{
    StatementResponse answer = answerFrom(std::move(result), m_choice.upstream);
    answer.replica = m_choice.kind == ReadChoice::Kind::UseReplica;
    answer.degraded = m_choice.degraded;
    answer.staleness = toMilliseconds(m_choice.staleness.value_or(Duration(0)));
    answer.sessionToken = tokenFor(m_run, std::nullopt);
    const ReadDemand demand = statement().maxStaleness ? ReadDemand::StaleAllowed
        : need().token                                 ? ReadDemand::OwnWrites
                                                       : ReadDemand::Unbounded;
    m_run.context.metrics->read(answer.replica ? ReadSource::Replica : ReadSource::Primary, demand)
        .increment();
    releaseUpstream(true);
    finishRun(m_run, std::move(answer));
}

void ReadRun::fail(const Failure &failure)
{
    m_tried.push_back(m_choice.upstream);
    if (m_tried.size() >= m_run.context.upstreams.size())
        m_tried.clear();
    Failure last = failure;
    last.error = reported(failure.error);
    retryOrFail(m_run, last, true, true, [self = shared_from_this()] { self->start(); });
}

Error ReadRun::reported(const Error &error) const
{
    return m_mayHaveRun ? afterReadThatMayHaveRun(error) : error;
}

void ReadRun::finishWith(const Error &error)
{
    finishRun(m_run, reported(error));
}

void ReadRun::releaseUpstream(bool succeeded)
{
    const TimePoint now = monotonicNow();
    if (UpstreamHandle *handle = findUpstream(m_run.context, m_choice.upstream)) {
        --handle->inFlight;
        if (succeeded) {
            recordSuccess(handle->health, m_run.context.health, now);
            observeLatency(*handle, now - m_attemptedAt);
        } else {
            recordFailure(handle->health, m_run.context.health, now, m_run.context.random);
        }
    }
    if (!m_connection)
        return;
    // The transaction was rolled back rather than committed: settings that the statement changed
    // are undone with it, so they do not reach the next session.
    PooledConnection connection = std::move(*m_connection);
    m_connection.reset();
    if (!connection->isReady())
        return;
    if (connection->transactionStatus() == TransactionStatus::Idle)
        connection.release(SessionReset::None);
    else
        rollBackAndRelease(std::move(connection));
}

Duration ReadRun::attemptTimeout() const
{
    return std::min(kReadAttemptTimeout, timeLeft(m_run.item.deadline, monotonicNow()));
}

} // namespace shallotlever
