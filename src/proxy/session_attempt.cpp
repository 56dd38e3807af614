// Attempts to run a statement of a session on a database.

#include <algorithm>
#include <utility>

#include "session.h"
#include "shallotlever/base/clock.h"

namespace shallotlever {

namespace {

/// Pause before a statement that no database could take is placed again.
constexpr Duration kPlacementPause = 20ms;
constexpr std::uint32_t kMaxPauseDoublings = 5;
/// Attempts at a read that databases run and fail before the caller gets the error.
constexpr std::uint32_t kMaxFailedReads = 3;
/// An attempt gets at least this long before its connection counts as dead, and this many times
/// the usual time.
constexpr Duration kMinAttempt = 400ms;
constexpr int kAttemptFactor = 6;
/// A repeatable statement is not waited for any longer at a database that answers others, and is
/// looked at again after this time.
constexpr Duration kLongestAttempt = 1500ms;
constexpr Duration kPatienceExtension = 100ms;
/// Expected times are rough: a statement is refused at once only if its answer is expected after
/// this many times its timeout.
constexpr int kPatienceFactor = 2;
/// Longest wait for a connection before another database is tried.
constexpr Duration kLinkPatience = 300ms;

RetryReason reasonOf(UpstreamErrorKind kind)
{
    switch (kind) {
    case UpstreamErrorKind::Busy:
        return RetryReason::NoSlot;
    case UpstreamErrorKind::Lagging:
        return RetryReason::ReplicaStale;
    case UpstreamErrorKind::NotPrimary:
        return RetryReason::NotPrimary;
    case UpstreamErrorKind::WrongUpstream:
    case UpstreamErrorKind::ConnectionLimit:
        return RetryReason::ConnectFailed;
    case UpstreamErrorKind::UnknownPrepared:
        return RetryReason::PreparedUnknown;
    case UpstreamErrorKind::Failed:
    case UpstreamErrorKind::Other:
        return RetryReason::ReadFailed;
    }
    return RetryReason::ReadFailed;
}

/// What a caller is told if there is no time for another attempt.
ErrorKind failureOf(RetryReason reason)
{
    switch (reason) {
    case RetryReason::NoSlot:
    case RetryReason::ConnectionWait:
        return ErrorKind::QueueFull;
    case RetryReason::ReplicaStale:
        return ErrorKind::NoFreshReplica;
    case RetryReason::NotPrimary:
        return ErrorKind::NoPrimary;
    case RetryReason::UpstreamLeaving:
        return ErrorKind::NoUpstream;
    default:
        return ErrorKind::ConnectFailed;
    }
}

/// The statement did not run, so that it may be sent again.
bool provesNotRun(UpstreamErrorKind kind)
{
    return kind != UpstreamErrorKind::Failed && kind != UpstreamErrorKind::Other;
}

/// Prepared statements of all sessions share a connection, so they are named by what they do.
std::string sharedName(const PreparedStatement &prepared)
{
    return (prepared.writes ? "w_" : "r_") + prepared.shape;
}

} // namespace

const DatabaseConfig &CallerSession::database() const
{
    return m_transaction ? m_transaction->database : m_operation;
}

bool CallerSession::writes(const Statement &statement) const
{
    if (statement.kind == StatementKind::Execute) {
        const auto prepared = m_prepared.find(statement.name);
        return prepared != m_prepared.end() && prepared->second.writes;
    }
    return statement.kind == StatementKind::Write;
}

bool CallerSession::needsPrimary() const
{
    if (database().consistency == Consistency::Primary)
        return true;
    return m_transaction ? !m_transaction->readOnly : writes(m_work->statement);
}

std::optional<HistoryPoint> CallerSession::requiredPosition(TimePoint now) const
{
    const auto service = m_state.services.find(database().service);
    if (needsPrimary() || service == m_state.services.end())
        return std::nullopt;
    const TimePoint from = std::min(now, m_work->arrivedAt);
    auto position = positionFor(service->second.positions, database().maxStaleness, from);
    if (position && database().consistency == Consistency::ReadYourWrites && m_committed)
        position = std::max(*position, *m_committed);
    return position;
}

void CallerSession::place(TimePoint now)
{
    Work &work = *m_work;
    if (const auto refused = unauthorized(now)) {
        fail(*refused, now);
        return;
    }
    const auto service = m_state.services.find(database().service);
    std::optional<UpstreamId> target;
    if (service != m_state.services.end()) {
        work.floor = requiredPosition(now);
        const std::vector<UpstreamLoad> loads = service->second.loads(m_team);
        const bool anywhere = work.floor.has_value();
        target = placeRead(loads, anywhere, work.excluded, now);
    }
    if (!target) {
        work.phase = Phase::AwaitingUpstream;
        work.retryAt = now + kPlacementPause;
        work.excluded.clear();
        if (needsPrimary())
            work.lastFailure = ErrorKind::NoPrimary;
        return;
    }
    work.pool = service->second.pool(*target);
    // A statement that cannot be answered in time is not made to wait.
    const Duration expected = expectedAnswer(work.pool->load(), now);
    if (now + expected > work.arrivedAt + kPatienceFactor * (work.deadline - work.arrivedAt)) {
        work.lastFailure = ErrorKind::QueueFull;
        giveUp(now);
        return;
    }
    work.phase = Phase::AwaitingLink;
    work.patience = now + kLinkPatience;
    const std::weak_ptr<bool> alive = m_alive;
    ++work.attempts;
    const std::uint64_t waiter = work.pool->acquire(
        m_team, m_values, database().priority,
        [this, alive](const LinkResult &result) {
            if (!alive.expired())
                onLink(result);
        },
        now);
    // The callback may have ended the work already.
    if (m_work && m_work->phase == Phase::AwaitingLink)
        m_work->waiter = waiter;
}

void CallerSession::onLink(const LinkResult &result)
{
    const TimePoint now = monotonicNow();
    if (!m_work)
        return;
    if (const auto *denial = std::get_if<LinkDenial>(&result)) {
        const bool leaving = *denial == LinkDenial::Cancelled;
        retry(leaving ? RetryReason::UpstreamLeaving : RetryReason::ConnectFailed, now);
        return;
    }
    m_link = std::get<PooledLink *>(result);
    m_linkPool = m_work->pool;
    m_link->lost = [this] { linkLostWhileIdle(); };
    setUpLink(now);
}

void CallerSession::setUpLink(TimePoint now)
{
    m_work->pool = m_linkPool;
    m_work->phase = Phase::Preparing;
    m_work->patience = now + attemptTimeout(now);
    m_work->setupFailed = false;
    m_work->unansweredSetup = 0;
    if (m_link->values != m_values)
        sendValues();
    if (m_work && m_work->phase == Phase::Preparing && m_work->unansweredSetup == 0)
        beginOnLink(now);
}

/// Brings the values on the connection in line with the session's.
void CallerSession::sendValues()
{
    const SessionProtocol &protocol = *m_state.protocol;
    const bool superfluous =
        std::any_of(m_link->values.begin(), m_link->values.end(),
                    [&](const auto &value) { return !m_values.contains(value.first); });
    std::vector<std::string> texts;
    if (superfluous) {
        texts.push_back(protocol.systemText(SystemStatement::Discard));
        m_link->values.clear();
        m_link->prepared.clear();
    }
    for (const auto &[name, value] : m_values) {
        const auto held = m_link->values.find(name);
        if (held == m_link->values.end() || held->second != value)
            texts.push_back(protocol.setText(name, value));
    }
    m_link->values = m_values;
    m_work->unansweredSetup = texts.size();
    UpstreamLink &link = *m_link->link;
    const std::weak_ptr<bool> alive = m_alive;
    for (const std::string &text : texts) {
        link.send("", text, [this, alive](const UpstreamReply &reply) {
            if (!alive.expired())
                onSetupReply(reply);
        });
    }
}

void CallerSession::onSetupReply(const UpstreamReply &reply)
{
    if (!m_work || m_work->phase != Phase::Preparing || m_link == nullptr)
        return;
    const TimePoint now = monotonicNow();
    if (reply.lost) {
        onLost(RetryReason::ReadConnectionLost, now);
        return;
    }
    m_work->setupFailed = m_work->setupFailed || !reply.succeeded();
    if (--m_work->unansweredSetup > 0)
        return;
    if (!m_work->setupFailed) {
        beginOnLink(now);
        return;
    }
    // The values on the connection are not known.
    discardLink(now);
    retry(RetryReason::UpstreamLostBeforeSend, now);
}

void CallerSession::beginOnLink(TimePoint now)
{
    if (!m_transaction || m_transaction->begun) {
        run(now);
        return;
    }
    const SessionProtocol &protocol = *m_state.protocol;
    std::string text = protocol.systemText(m_transaction->readOnly ? SystemStatement::BeginReadOnly
                                                                   : SystemStatement::Begin);
    if (m_work->floor)
        text = protocol.afterText(*m_work->floor, text);
    const std::weak_ptr<bool> alive = m_alive;
    m_link->link->send("", text, [this, alive](const UpstreamReply &reply) {
        if (alive.expired() || !m_work || m_work->phase != Phase::Preparing || m_link == nullptr)
            return;
        const TimePoint then = monotonicNow();
        if (reply.lost) {
            onLost(RetryReason::ReadConnectionLost, then);
        } else if (!reply.succeeded()) {
            onError(reply, then);
        } else {
            m_transaction->begun = true;
            run(then);
        }
    });
}

/// The last check before the bytes leave: waiting may have taken long.
void CallerSession::run(TimePoint now)
{
    Work &work = *m_work;
    const auto service = m_state.services.find(database().service);
    const bool primaryNeeded = needsPrimary() || !work.floor;
    const bool established = m_transaction && m_transaction->established;
    const bool deposed = service == m_state.services.end()
        || (primaryNeeded && service->second.primary != m_linkPool->info().id);
    if (const auto refused = unauthorized(now)) {
        fail(m_transaction && *refused != ErrorKind::InvalidKey ? ErrorKind::TransactionLost
                                                                : *refused,
             now);
        return;
    }
    if (deposed && !established) {
        rollBackLink(now);
        retry(RetryReason::NotPrimary, now);
        return;
    }
    work.phase = Phase::Running;
    work.patience = now + attemptTimeout(now);
    const std::string text = statementText();
    const std::weak_ptr<bool> alive = m_alive;
    m_link->link->send(work.statement.id, text, [this, alive](const UpstreamReply &reply) {
        if (!alive.expired())
            onReply(reply);
    });
}

/// Text for the database; prepares what it executes if the connection lacks it.
std::string CallerSession::statementText()
{
    const SessionProtocol &protocol = *m_state.protocol;
    const Statement &statement = m_work->statement;
    std::string text = statement.text;
    if (statement.kind == StatementKind::Execute) {
        const PreparedStatement &prepared = m_prepared.at(statement.name);
        const std::string name = sharedName(prepared);
        if (m_link->prepared.emplace(name, prepared).second)
            // If this fails, the database does not know the statement that follows, which is then
            // prepared again.
            m_link->link->send("", protocol.prepareText(name, prepared),
                               [](const UpstreamReply &) {});
        text = protocol.executeText(name, statement.arguments);
    }
    const bool single = !m_transaction;
    return single && m_work->floor ? protocol.afterText(*m_work->floor, text) : text;
}

Duration CallerSession::attemptTimeout(TimePoint now) const
{
    const UpstreamLoad &load = m_linkPool->load();
    const Duration usual = (load.serviceTime + load.roundTrip) * kAttemptFactor;
    const bool repeatable = !m_transaction && !writes(m_work->statement);
    return repeatable ? std::max(kMinAttempt, usual) : m_work->deadline - now;
}

void CallerSession::onReply(const UpstreamReply &reply)
{
    if (!m_work || m_work->phase != Phase::Running || m_link == nullptr)
        return;
    const TimePoint now = monotonicNow();
    if (reply.lost) {
        onLost(RetryReason::ReadConnectionLost, now);
        return;
    }
    if (reply.point)
        m_state.notePoint(database().service, m_linkPool->info().id, *reply.point, reply.sentAt);
    if (reply.succeeded())
        onSuccess(reply, now);
    else
        onError(reply, now);
}

void CallerSession::onSuccess(const UpstreamReply &reply, TimePoint now)
{
    m_linkPool->noteAnswer(now - reply.sentAt, now);
    const bool write = writes(m_work->statement);
    const bool commits = m_work->statement.kind == StatementKind::Commit;
    const bool committed = commits ? m_transaction->wrote : (write && !m_transaction);
    if (committed && reply.point)
        m_committed = std::max(m_committed.value_or(HistoryPoint()), *reply.point);
    m_state.answerTime->observe(now - m_work->arrivedAt);
    if (m_transaction) {
        m_transaction->established = true;
        m_transaction->wrote = m_transaction->wrote || write;
    }
    if (commits)
        m_transaction.reset();
    if (!m_transaction)
        releaseLink(now);
    answer(reply.lines + m_state.protocol->ready(state()));
    finishWork();
}

void CallerSession::onError(const UpstreamReply &reply, TimePoint now)
{
    const UpstreamErrorKind kind = reply.error ? reply.error->kind : UpstreamErrorKind::Other;
    const bool commits = m_work->statement.kind == StatementKind::Commit;
    const bool first = !m_transaction || (!m_transaction->established && !commits);
    if (kind == UpstreamErrorKind::UnknownPrepared)
        m_link->prepared.clear();
    const bool repeatable = provesNotRun(kind)
        || (!m_transaction && !writes(m_work->statement) && m_work->attempts < kMaxFailedReads);
    if (first && repeatable) {
        m_linkPool->noteRefusal(kind == UpstreamErrorKind::Busy, now);
        rollBackLink(now);
        retry(reasonOf(kind), now);
        return;
    }
    m_state.refusedByDatabase->increment();
    logOutcome("statement_refused", reply.error ? reply.error->message : "unreadable",
               LineTopic::Failure, now);
    rollBackLink(now);
    if (m_transaction && commits)
        m_transaction.reset();
    else if (m_transaction)
        m_transaction->failed = true;
    answer(reply.lines + m_state.protocol->ready(state()));
    finishWork();
}

void CallerSession::onLost(RetryReason readReason, TimePoint now)
{
    const bool sent = m_work->phase == Phase::Running;
    const bool commits = m_work->statement.kind == StatementKind::Commit;
    const bool write = writes(m_work->statement);
    discardLink(now);
    if (m_transaction) {
        // Nothing of a transaction is kept unless its commit was sent.
        const bool repeatable = !m_transaction->established && !(commits && sent);
        const bool unknown = commits && sent && m_transaction->wrote;
        m_transaction->begun = false;
        if (repeatable)
            retry(RetryReason::UpstreamLostBeforeSend, now);
        else
            fail(unknown ? ErrorKind::OutcomeUnknown : ErrorKind::TransactionLost, now);
        return;
    }
    if (sent && write)
        fail(ErrorKind::OutcomeUnknown, now);
    else
        retry(sent ? readReason : RetryReason::UpstreamLostBeforeSend, now);
}

void CallerSession::onSilence(TimePoint now)
{
    // A database that answers others is busy; giving up would only add to its work.
    if (now < m_work->deadline && m_linkPool->answersOthers(now)
        && now < m_work->arrivedAt + kLongestAttempt) {
        m_work->patience = now + kPatienceExtension;
        return;
    }
    m_linkPool->noteSilence(now);
    onLost(RetryReason::ReadTimedOut, now);
}

void CallerSession::retry(RetryReason reason, TimePoint now)
{
    Work &work = *m_work;
    const RetryReasonRow &row = retryReasonRow(reason);
    work.lastFailure = failureOf(reason);
    work.mayHaveRun = work.mayHaveRun || !row.notRun;
    if (m_transaction)
        m_transaction->begun = false;
    if (row.avoidUpstream && work.pool)
        work.excluded.insert(work.pool->info().id);
    work.phase = Phase::AwaitingUpstream;
    if (m_gone) {
        m_transaction.reset();
        m_work.reset();
        return;
    }
    if (now >= work.deadline) {
        giveUp(now);
        return;
    }
    m_state.metrics->retry(reason).increment();
    logOutcome("statement_retried", row.name, LineTopic::Retry, now);
    // Elsewhere at once after the first failure; later with growing pauses.
    const std::uint32_t doublings = std::min(work.attempts, kMaxPauseDoublings);
    work.retryAt = work.attempts < 2 ? now : now + kPlacementPause * (1U << doublings) / 4;
}

void CallerSession::giveUp(TimePoint now)
{
    if (m_transaction)
        fail(ErrorKind::TransactionLost, now);
    else
        fail(m_work->mayHaveRun ? ErrorKind::OutcomeUnknown : m_work->lastFailure, now);
}

void CallerSession::releaseLink(TimePoint now)
{
    m_linkPool->release(std::exchange(m_link, nullptr), now);
    m_linkPool.reset();
}

void CallerSession::discardLink(TimePoint now)
{
    m_linkPool->discard(std::exchange(m_link, nullptr), now);
    m_linkPool.reset();
}

/// Ends whatever transaction is open on the connection and gives it back.
void CallerSession::rollBackLink(TimePoint now)
{
    if (m_link == nullptr)
        return;
    if (!m_transaction || !m_transaction->begun) {
        const bool quiet = m_link->link->pending() == 0;
        quiet ? releaseLink(now) : discardLink(now);
        return;
    }
    m_transaction->begun = false;
    m_linkPool->rollBack(std::exchange(m_link, nullptr), now);
    m_linkPool.reset();
}

} // namespace shallotlever
