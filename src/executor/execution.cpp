#include "execution.h"

#include <QTimer>

#include "shallotlever/base/clock.h"

namespace shallotlever {

namespace {

constexpr Duration kRollbackTimeout = 1s;

} // namespace

void finishExecution(ExecutionState &execution, EdgeResponse answer)
{
    if (execution.answered)
        return;
    execution.answered = true;
    execution.item.respond(std::move(answer));
    execution.done(monotonicNow() - execution.startedAt);
}

std::string updateSessionToken(ExecutionState &execution, const std::optional<HistoryPoint> &point)
{
    if (execution.item.openRoute)
        return {};
    if (point)
        advanceToken(execution.item.token, execution.context.options.service, *point);
    return encodeToken(execution.item.token, execution.context.options.secret);
}

void retryOrFail(ExecutionState &execution, const Failure &failure, bool read, bool idempotent,
                 std::function<void()> nextAttempt)
{
    if (!failure.reason) {
        finishExecution(execution, failure.error);
        return;
    }
    RetryContext question;
    question.reason = *failure.reason;
    question.read = read;
    question.idempotent = idempotent;
    question.attempts = execution.attempts;
    question.deadline = execution.item.deadline;
    ExecutorContext &context = execution.context;
    const RetryDecision decision = decideRetry(question, context.retryBudget, context.view.policy,
                                               monotonicNow(), context.random);
    if (!decision.retry) {
        finishExecution(execution, failure.error);
        return;
    }
    context.metrics->retry(*failure.reason).increment();
    ++execution.attempts;
    callLater(context, decision.delay, std::move(nextAttempt));
}

void callLater(ExecutorContext &context, Duration pause, std::function<void()> function)
{
    const auto rounded = std::chrono::ceil<std::chrono::milliseconds>(pause);
    QTimer::singleShot(rounded, Qt::PreciseTimer, context.timerContext.get(), std::move(function));
}

void acquireConnection(ExecutionState &execution, const UpstreamId &upstream,
                       std::function<void(absl::StatusOr<PooledConnection>)> callback)
{
    UpstreamHandle *handle = findUpstream(execution.context, upstream);
    if (handle == nullptr) {
        callback(absl::UnavailableError("the upstream has left"));
        return;
    }
    handle->pool->acquire(execution.item.deadline, std::move(callback));
}

void rollBackAndRelease(PooledConnection connection)
{
    if (!connection->isReady())
        return;
    if (connection->transactionStatus() == TransactionStatus::Idle) {
        connection.release(SessionReset::DiscardAll);
        return;
    }
    auto shared = std::make_shared<PooledConnection>(std::move(connection));
    (*shared)->execute("ROLLBACK", {}, kRollbackTimeout,
                       [shared](const QueryReply &) { shared->release(SessionReset::DiscardAll); });
}

} // namespace shallotlever
