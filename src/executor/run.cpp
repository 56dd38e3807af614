#include "run.h"

#include <QTimer>

#include "shallotlever/base/clock.h"

namespace shallotlever {

namespace {

constexpr Duration kRollbackTimeout = 1s;

} // namespace

void finishRun(RunState &run, EdgeResponse answer)
{
    if (run.answered)
        return;
    run.answered = true;
    run.item.respond(std::move(answer));
    run.done(monotonicNow() - run.startedAt);
}

std::string tokenFor(RunState &run, const std::optional<HistoryPoint> &point)
{
    if (run.item.openRoute)
        return {};
    if (point)
        advanceToken(run.item.token, run.context.options.service, *point);
    return encodeToken(run.item.token, run.context.options.secret);
}

void retryOrFail(RunState &run, const Failure &failure, bool read, bool idempotent,
                 std::function<void()> again)
{
    if (!failure.reason) {
        finishRun(run, failure.error);
        return;
    }
    RetryQuestion question;
    question.reason = *failure.reason;
    question.read = read;
    question.idempotent = idempotent;
    question.attempts = run.attempts;
    question.deadline = run.item.deadline;
    ExecutorContext &context = run.context;
    const RetryDecision decision = decideRetry(question, context.retryBudget, context.view.policy,
                                               monotonicNow(), context.random);
    if (!decision.retry) {
        finishRun(run, failure.error);
        return;
    }
    context.metrics->retry(*failure.reason).increment();
    ++run.attempts;
    callLater(context, decision.delay, std::move(again));
}

void callLater(ExecutorContext &context, Duration pause, std::function<void()> function)
{
    const auto rounded = std::chrono::ceil<std::chrono::milliseconds>(pause);
    QTimer::singleShot(rounded, Qt::PreciseTimer, context.timers.get(), std::move(function));
}

void acquireConnection(RunState &run, const UpstreamId &upstream,
                       std::function<void(absl::StatusOr<PooledConnection>)> callback)
{
    UpstreamHandle *handle = findUpstream(run.context, upstream);
    if (handle == nullptr) {
        callback(absl::UnavailableError("the upstream has left"));
        return;
    }
    handle->pool->acquire(run.item.deadline, std::move(callback));
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
