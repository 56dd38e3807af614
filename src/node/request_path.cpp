#include "request_path.h"

#include <QObject>
#include <QTimer>

#include "service_host.h"
#include "shallotlever/base/clock.h"

namespace shallotlever {

namespace {

/// A waiting request looks for a token this often: a new share may bring one earlier than the
/// share in force would.
constexpr Duration kTokenPoll = 5ms;

/// Receiver of single-shot timers on the calling thread.
QObject *threadContext()
{
    thread_local QObject context;
    return &context;
}

StatementWork workOf(StatementRequest request)
{
    StatementWork work;
    work.sql = std::move(request.sql);
    work.params = std::move(request.params);
    work.mode = request.mode;
    work.maxStaleness = request.maxStaleness;
    return work;
}

WorkBody bodyOf(EdgeRequest request, const AdmittedWork &admitted)
{
    if (admitted.route) {
        StatementWork work;
        work.sql = admitted.route->sql;
        work.maxStaleness = admitted.route->maxStaleness;
        return work;
    }
    if (auto *statement = std::get_if<StatementRequest>(&request)) {
        if (!statement->transaction)
            return workOf(std::move(*statement));
        const TransactionId id = *statement->transaction;
        return TransactionStatementWork { id, workOf(std::move(*statement)) };
    }
    if (const auto *begin = std::get_if<BeginRequest>(&request))
        return BeginWork { begin->mode };
    if (const auto *commit = std::get_if<CommitRequest>(&request))
        return CommitWork { commit->transaction };
    return RollbackWork { std::get<RollbackRequest>(request).transaction };
}

/// A refused commit or rollback would only hold the transaction's connection for longer.
bool needsToken(const WorkBody &body)
{
    return !std::holds_alternative<CommitWork>(body) && !std::holds_alternative<RollbackWork>(body);
}

void countRefusal(const AdmittedWork &admitted)
{
    if (admitted.counters.refused != nullptr)
        admitted.counters.refused->increment();
}

EdgeResponder countingResponder(const AdmittedWork &admitted, EdgeResponder respond)
{
    return [counters = admitted.counters, respond = std::move(respond)](EdgeResponse answer) {
        const auto *error = std::get_if<Error>(&answer);
        if (error != nullptr && counters.refused != nullptr
            && errorRow(error->kind).outcome == Outcome::NotRun)
            counters.refused->increment();
        respond(std::move(answer));
    };
}

WorkItem makeItem(WorkBody body, const CallerContext &caller, const AdmittedWork &admitted,
                  EdgeResponder respond)
{
    WorkItem item;
    item.body = std::move(body);
    item.team = admitted.team;
    item.token = admitted.token;
    item.idempotencyKey = caller.idempotencyKey;
    item.deadline = admitted.deadline;
    item.openRoute = admitted.route.has_value();
    item.respond = countingResponder(admitted, std::move(respond));
    return item;
}

void refuseOverRate(const AdmittedWork &admitted, const EdgeResponder &respond, TimePoint now)
{
    countRefusal(admitted);
    if (admitted.bucket->refusalClass(now) == RateRefusal::InsideRate
        && admitted.counters.refusedInsideRate != nullptr)
        admitted.counters.refusedInsideRate->increment();
    Error error { ErrorKind::RateLimited, {}, std::nullopt };
    auto pause = admitted.bucket->timeUntilToken(now);
    if (!pause)
        pause = admitted.bucket->deniedFor(now);
    if (pause)
        error.retryAfter = std::chrono::ceil<std::chrono::milliseconds>(*pause);
    respond(std::move(error));
}

/// Takes a rate token, waiting for one until `giveUpAt`, then submits the item.
void takeTokenAndSubmit(const std::shared_ptr<AdmittedWork> &admitted, WorkItem item,
                        const EdgeResponder &respond, TimePoint giveUpAt)
{
    const TimePoint now = monotonicNow();
    if (admitted->bucket->tryTake(now)) {
        if (admitted->counters.admitted != nullptr)
            admitted->counters.admitted->increment();
        admitted->service->submit(std::move(item));
        return;
    }
    const bool denied = !admitted->bucket->timeUntilToken(now) && admitted->bucket->deniedFor(now);
    if (now >= giveUpAt || denied) {
        refuseOverRate(*admitted, respond, now);
        return;
    }
    const Duration pause =
        std::clamp<Duration>(admitted->bucket->timeUntilToken(now).value_or(kTokenPoll), 1ms,
                             std::min(kTokenPoll, giveUpAt - now + 1ms));
    admitted->bucket->beginWait();
    auto waiting = std::make_shared<WorkItem>(std::move(item));
    QTimer::singleShot(std::chrono::ceil<std::chrono::milliseconds>(pause), Qt::PreciseTimer,
                       threadContext(), [admitted, waiting, respond, giveUpAt] {
                           admitted->bucket->endWait();
                           takeTokenAndSubmit(admitted, std::move(*waiting), respond, giveUpAt);
                       });
}

void submitWork(AdmittedWork admitted, const CallerContext &caller, EdgeRequest request,
                const EdgeResponder &respond)
{
    WorkItem item = makeItem(bodyOf(std::move(request), admitted), caller, admitted, respond);
    if (!admitted.bucket || !needsToken(item.body)) {
        admitted.service->submit(std::move(item));
        return;
    }
    admitted.bucket->countArrival();
    const TimePoint giveUpAt = std::min(monotonicNow() + admitted.rateWait, admitted.deadline);
    takeTokenAndSubmit(std::make_shared<AdmittedWork>(std::move(admitted)), std::move(item),
                       respond, giveUpAt);
}

} // namespace

EdgeHandler makeRequestHandler(NodeShared &shared, ControlHandler control)
{
    return [&shared, control = std::move(control)](CallerContext caller, EdgeRequest request,
                                                   EdgeResponder respond) {
        const TimePoint freshUntil { Duration(
            shared.freshUntilUs.load(std::memory_order_acquire)) };
        Admission admission;
        {
            const RcuReadLock lock;
            admission = admit(caller, request, shared.snapshot.read(lock), shared.secrets,
                              freshUntil, monotonicNow());
        }
        if (auto *error = std::get_if<Error>(&admission))
            respond(std::move(*error));
        else if (auto *work = std::get_if<AdmittedWork>(&admission))
            submitWork(std::move(*work), caller, std::move(request), respond);
        else
            control(std::move(request), std::move(respond));
    };
}

} // namespace shallotlever
