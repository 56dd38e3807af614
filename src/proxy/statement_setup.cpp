// The way of a statement to its database: connection, session variables, transaction, text.

#include <algorithm>

#include <xxhash.h>

#include "shallotlever/base/clock.h"
#include "statement_runner.h"

namespace shallotlever {

namespace {

/// Timeout of an attempt, after which its connection is considered dead: this minimum, or this
/// multiple of the typical response time.
constexpr Duration kMinAttemptTimeout = 400ms;
constexpr int kAttemptTimeoutFactor = 6;
/// Maximum wait for a connection of a statement that another database may run as well.
constexpr Duration kLinkAcquireTimeout = 300ms;

} // namespace

StatementTraits StatementRunner::traits(const Execution &execution) const
{
    const StatementRequest &request = execution.request;
    StatementTraits traits;
    traits.team = request.team;
    if (const auto team = m_state.config.teams.find(request.team);
        team != m_state.config.teams.end())
        traits.weight = teamWeight(team->second.ratePerSecond, m_state.smallestTeamRate);
    traits.priority = request.priority;
    if (request.transaction != 0)
        traits.kind = StatementCostKind::Transaction;
    else if (request.writes)
        traits.kind = StatementCostKind::Write;
    traits.replicaEligible = !request.primaryOnly && isPrimary(execution);
    if (request.objectiveLeft)
        traits.objective = execution.receivedAt + *request.objectiveLeft;
    traits.deadline = execution.deadline;
    return traits;
}

void StatementRunner::acquireLink(Execution &execution, TimePoint now)
{
    const StatementRequest &request = execution.request;
    execution.phaseDeadline = request.primaryOnly
        ? execution.deadline
        : std::min(execution.deadline, now + kLinkAcquireTimeout);
    const std::uint64_t id = execution.id;
    const WaiterId waiterId = execution.pool->acquire(
        { traits(execution), request.variables },
        [this, id](const LinkResult &result) { onLinkAcquired(id, result); }, now);
    // The callback may have answered the statement already.
    if (Execution *waiting = find(id))
        waiting->waiterId = waiterId;
}

void StatementRunner::onLinkAcquired(std::uint64_t id, const LinkResult &result)
{
    const TimePoint now = monotonicNow();
    Execution *execution = find(id);
    if (execution == nullptr)
        return;
    if (const auto *failure = std::get_if<LinkAcquireFailure>(&result)) {
        if (*failure == LinkAcquireFailure::DeadlineTooShort) {
            const Duration delay = execution->pool->takeReturnDelay(traits(*execution), now);
            notRun(*execution, RetryReason::DeadlineTooShort, now, delay);
            return;
        }
        const bool leaving = *failure == LinkAcquireFailure::Cancelled;
        notRun(*execution, leaving ? RetryReason::UpstreamLeaving : RetryReason::ConnectFailed,
               now);
        return;
    }
    execution->link = std::get<PooledLink *>(result);
    setUpLink(*execution, now);
}

void StatementRunner::setUpLink(Execution &execution, TimePoint now)
{
    execution.phase = Phase::Preparing;
    execution.phaseDeadline = now + attemptTimeout(execution, now);
    const std::uint64_t id = execution.id;
    if (execution.link->variables != execution.request.variables)
        sendSessionVariables(execution);
    // A failed send may have answered the statement.
    Execution *prepared = find(id);
    if (prepared != nullptr && prepared->phase == Phase::Preparing
        && prepared->pendingSetupReplies == 0)
        beginTransaction(*prepared, now);
}

void StatementRunner::sendSessionVariables(Execution &execution)
{
    const SessionProtocol &protocol = *m_state.protocol;
    const SessionVariables &variables = execution.request.variables;
    PooledLink &link = *execution.link;
    const bool hasStaleValues =
        std::any_of(link.variables.begin(), link.variables.end(),
                    [&](const auto &value) { return !variables.contains(value.first); });
    std::vector<absl::StatusOr<std::string>> texts;
    if (hasStaleValues) {
        texts.emplace_back(protocol.systemText(SystemStatement::Discard));
        link.variables.clear();
        clearPrepared(link.prepared);
    }
    for (const auto &[name, value] : variables) {
        const auto current = link.variables.find(name);
        if (current == link.variables.end() || current->second != value)
            texts.push_back(protocol.setText(name, value));
    }
    link.variables = variables;
    execution.pendingSetupReplies = texts.size();
    UpstreamLink &connection = *link.link;
    for (const absl::StatusOr<std::string> &text : texts) {
        connection.send("", text, [this, id = execution.id](const UpstreamReply &reply) {
            onSetupReply(id, reply);
        });
    }
}

void StatementRunner::onSetupReply(std::uint64_t id, const UpstreamReply &reply)
{
    Execution *execution = find(id);
    if (execution == nullptr || execution->phase != Phase::Preparing)
        return;
    const TimePoint now = monotonicNow();
    if (reply.lost) {
        onLost(*execution, RetryReason::UpstreamLostBeforeSend, now);
        return;
    }
    execution->setupFailed = execution->setupFailed || !reply.succeeded();
    execution->unsendable = execution->unsendable || !reply.notSent.ok();
    if (--execution->pendingSetupReplies > 0)
        return;
    if (execution->unsendable)
        onUnsendable(*execution, now);
    else if (execution->setupFailed)
        // The values of the session variables on the connection are unknown.
        onLost(*execution, RetryReason::UpstreamLostBeforeSend, now);
    else
        beginTransaction(*execution, now);
}

void StatementRunner::beginTransaction(Execution &execution, TimePoint now)
{
    const StatementRequest &request = execution.request;
    const bool begun = m_transactions.contains(transactionKey(execution));
    if (request.transaction == 0 || begun) {
        send(execution, now);
        return;
    }
    const SessionProtocol &protocol = *m_state.protocol;
    std::string text = protocol.systemText(
        request.readOnlyTransaction ? SystemStatement::BeginReadOnly : SystemStatement::Begin);
    if (execution.minPosition)
        text = protocol.requirePositionText(*execution.minPosition, text);
    execution.link->link->send(
        "", text, [this, id = execution.id](const UpstreamReply &reply) { onBegun(id, reply); });
}

void StatementRunner::onBegun(std::uint64_t id, const UpstreamReply &reply)
{
    Execution *execution = find(id);
    if (execution == nullptr || execution->phase != Phase::Preparing)
        return;
    const TimePoint now = monotonicNow();
    if (reply.lost) {
        onLost(*execution, RetryReason::UpstreamLostBeforeSend, now);
        return;
    }
    if (!reply.succeeded()) {
        onError(*execution, reply, now);
        return;
    }
    if (reply.state != TransactionState::Open) {
        // What follows would not run in a transaction.
        onLost(*execution, RetryReason::UpstreamLostBeforeSend, now);
        return;
    }
    const TransactionKey key = transactionKey(*execution);
    m_transactions[key] = { execution->pool, execution->link, now, true };
    execution->link->onConnectionLost = [this, key] { onTransactionConnectionLost(key); };
    send(*execution, now);
}

/// Checks the lease and the primary again, because they may have changed during the wait for the
/// connection, and sends the statement.
void StatementRunner::send(Execution &execution, TimePoint now)
{
    const bool continues = execution.request.transactionBegun;
    const bool primaryNeeded = execution.request.primaryOnly || !execution.minPosition;
    const bool primaryLost = !continues && primaryNeeded && !isPrimary(execution);
    if (!m_state.fresh(now) || primaryLost) {
        const RetryReason reason =
            primaryLost ? RetryReason::NotPrimary : RetryReason::OwnerUnavailable;
        rollBackLink(execution, TransactionState::None, now);
        notRun(execution, reason, now);
        return;
    }
    const std::uint64_t id = execution.id;
    prepareStatement(execution);
    // A failed send may have answered the statement.
    Execution *prepared = find(id);
    if (prepared == nullptr)
        return;
    prepared->phase = Phase::Running;
    prepared->phaseDeadline = now + attemptTimeout(*prepared, now);
    UpstreamLink &link = *prepared->link->link;
    link.send(prepared->request.id, statementText(*prepared),
              [this, id](const UpstreamReply &reply) { onReply(id, reply); });
}

/// Returns the text to send, or an error if it can't be sent.
absl::StatusOr<std::string> StatementRunner::statementText(const Execution &execution) const
{
    const SessionProtocol &protocol = *m_state.protocol;
    const StatementRequest &request = execution.request;
    if (!execution.prepareFailure.ok())
        return execution.prepareFailure;
    absl::StatusOr<std::string> text = request.text;
    if (request.prepared)
        text =
            protocol.executeText(execution.preparedNumber,
                                 request.hasArguments ? std::optional(request.text) : std::nullopt);
    const bool single = request.transaction == 0;
    return text.ok() && single && execution.minPosition
        ? protocol.requirePositionText(*execution.minPosition, *text)
        : text;
}

/// Prepares the statement on the connection if it is executed by name and not prepared there. The
/// answer is not waited for: if it is an error, the statement that follows fails as well.
void StatementRunner::prepareStatement(Execution &execution)
{
    if (!execution.request.prepared)
        return;
    const SessionProtocol &protocol = *m_state.protocol;
    const PreparedStatement &statement = *execution.request.prepared;
    PreparedStatements &prepared = execution.link->prepared;
    if (const auto number = findPrepared(prepared, statement)) {
        execution.preparedNumber = *number;
        return;
    }
    std::vector<absl::StatusOr<std::string>> texts;
    for (const PreparedNumber dropped : makeRoomFor(prepared, statement))
        texts.emplace_back(protocol.deallocateText(dropped));
    execution.preparedNumber = addPrepared(prepared, statement);
    texts.push_back(protocol.prepareText(execution.preparedNumber, statement));
    logPrepared(execution);
    // The connection object outlives its failure until the next tick, the execution may not.
    UpstreamLink &connection = *execution.link->link;
    for (const absl::StatusOr<std::string> &text : texts) {
        // A refused deallocation says nothing of the statement: if it fails the transaction, so
        // does the preparation behind it.
        const bool prepares = &text == &texts.back();
        connection.send("", text, [this, prepares, id = execution.id](const UpstreamReply &reply) {
            if (prepares || reply.lost)
                onPrepared(id, reply);
        });
    }
}

/// Tells which statement a number stands for on which connection, without the statement's text.
void StatementRunner::logPrepared(const Execution &execution)
{
    if (!acquireLogToken(m_state.logRateLimiter, LogTopic::Preparation, monotonicNow()))
        return;
    const std::string &shape = execution.request.prepared->shape;
    m_state.logger->info("statement_prepared",
                         { { "request", execution.request.id },
                           { "upstream", execution.request.upstream.value() },
                           { "connection", execution.link->id },
                           { "number", execution.preparedNumber },
                           { "writes", execution.request.prepared->writes },
                           { "shape_hash", XXH3_64bits(shape.data(), shape.size()) },
                           { "shape_bytes", shape.size() } });
}

/// Handles the answer to the preparation, or the loss of the connection meanwhile.
void StatementRunner::onPrepared(std::uint64_t id, const UpstreamReply &reply)
{
    // The answer to the statement itself follows, so that its execution holds the connection.
    Execution *execution = find(id);
    if (execution == nullptr || reply.succeeded())
        return;
    const TimePoint now = monotonicNow();
    if (reply.lost) {
        if (execution->phase == Phase::Preparing)
            onLost(*execution, RetryReason::UpstreamLostBeforeSend, now);
        return;
    }
    removePrepared(execution->link->prepared, *execution->request.prepared);
    const std::string reason =
        reply.error ? reply.error->message : std::string(reply.notSent.message());
    execution->prepareFailure = absl::UnavailableError(reason);
    m_prepareFailures.increment();
    if (!acquireLogToken(m_state.logRateLimiter, LogTopic::Failure, now))
        return;
    m_state.logger->info("prepare_failed",
                         { { "request", execution->request.id },
                           { "upstream", execution->request.upstream.value() },
                           { "connection", execution->link->id },
                           { "reason", reason } });
}

Duration StatementRunner::attemptTimeout(const Execution &execution, TimePoint now) const
{
    const UpstreamLoad &load = execution.pool->load();
    const Duration typical = (load.serviceTime + load.roundTrip) * kAttemptTimeoutFactor;
    const bool repeatable = execution.request.transaction == 0 && !execution.request.writes;
    return repeatable ? std::max(kMinAttemptTimeout, typical) : execution.deadline - now;
}

} // namespace shallotlever
