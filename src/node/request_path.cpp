#include "request_path.h"

#include <QObject>
#include <QTimer>

#include "service_host.h"
#include "shallotlever/base/clock.h"

namespace shallotlever {

namespace {

/// Maximum pause between attempts of a waiting request to take a token: a new share may provide
/// one earlier than the share in force.
constexpr Duration kTokenPollInterval = 5ms;

/// Context object for single-shot timers on the calling thread.
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

/// Commits and rollbacks need no token: refusing one would only hold the transaction's connection
/// for longer.
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

WorkItem makeWorkItem(WorkBody body, const CallerContext &caller, const AdmittedWork &admitted,
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

/// Takes a rate token, waiting for one until `waitDeadline`, then submits the item. Refuses the
/// request if there is no token by then, or at once if the controller denied one.
void takeTokenAndSubmit(const std::shared_ptr<AdmittedWork> &admitted, WorkItem item,
                        const EdgeResponder &respond, TimePoint waitDeadline)
{
    const TimePoint now = monotonicNow();
    if (admitted->bucket->tryTake(now)) {
        if (admitted->counters.admitted != nullptr)
            admitted->counters.admitted->increment();
        admitted->service->submit(std::move(item));
        return;
    }
    const bool denied = !admitted->bucket->timeUntilToken(now) && admitted->bucket->deniedFor(now);
    if (now >= waitDeadline || denied) {
        refuseOverRate(*admitted, respond, now);
        return;
    }
    const Duration pause =
        std::clamp<Duration>(admitted->bucket->timeUntilToken(now).value_or(kTokenPollInterval),
                             1ms, std::min(kTokenPollInterval, waitDeadline - now + 1ms));
    admitted->bucket->beginWait();
    auto waiting = std::make_shared<WorkItem>(std::move(item));
    QTimer::singleShot(std::chrono::ceil<std::chrono::milliseconds>(pause), Qt::PreciseTimer,
                       threadContext(), [admitted, waiting, respond, waitDeadline] {
                           admitted->bucket->endWait();
                           takeTokenAndSubmit(admitted, std::move(*waiting), respond, waitDeadline);
                       });
}

void submitWork(AdmittedWork admitted, const CallerContext &caller, EdgeRequest request,
                const EdgeResponder &respond)
{
    WorkItem item = makeWorkItem(bodyOf(std::move(request), admitted), caller, admitted, respond);
    if (!admitted.bucket || !needsToken(item.body)) {
        admitted.service->submit(std::move(item));
        return;
    }
    admitted.bucket->countArrival();
    const TimePoint waitDeadline = std::min(monotonicNow() + admitted.rateWait, admitted.deadline);
    takeTokenAndSubmit(std::make_shared<AdmittedWork>(std::move(admitted)), std::move(item),
                       respond, waitDeadline);
}

} // namespace

EdgeHandler makeRequestHandler(NodeSharedState &shared, ControlHandler control)
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
