#pragma once

#include <functional>
#include <map>
#include <memory>

#include <QObject>

#include "acknowledger.h"
#include "shallotlever/executor/service_executor.h"
#include "shallotlever/policy/retry.h"
#include "upstream_handle.h"

namespace shallotlever {

/// A write that is held until a primary can take it.
struct PrimaryWaiter
{
    TimePoint deadline;
    /// Only a primary of a later term will do; 0 accepts any.
    Term afterTerm;
    std::function<void()> resume;
};

/// State that the runs of one service share. Lives on one executor thread.
struct ExecutorContext
{
    ServiceExecutorOptions options;
    NodeMetrics *metrics = nullptr;
    Random random;
    ServiceView view;
    std::map<UpstreamId, UpstreamHandle> upstreams;
    PrimaryHistory primaryHistory;
    HealthOptions health;
    RetryBudget retryBudget;
    Acknowledger acknowledger;
    /// Primary and term for which the idempotency table is known to exist.
    std::pair<UpstreamId, Term> idempotencyTablePrimary;
    bool draining = false;
    std::vector<PrimaryWaiter> waitingForPrimary;
    /// Receiver of single-shot timers; destroyed with the executor, which cancels them.
    std::unique_ptr<QObject> timerContext = std::make_unique<QObject>();
};

UpstreamHandle *findUpstream(ExecutorContext &context, const UpstreamId &id);

/// The primary in office if it can be expected to answer: not suspected by the controller, and
/// answering the status queries of this node.
UpstreamHandle *usablePrimary(ExecutorContext &context);

/// Resumes the writes that have a primary now or whose deadline has passed.
void resumePrimaryWaiters(ExecutorContext &context, TimePoint now);

/// Sends a status query unless one is under way; the answer updates the handle, the history of the
/// primary and the acknowledger.
void queryStatus(ExecutorContext &context, const UpstreamId &id);

/// Remaining time, at least a millisecond, so that a timeout is never zero.
Duration timeLeft(TimePoint deadline, TimePoint now);

} // namespace shallotlever
