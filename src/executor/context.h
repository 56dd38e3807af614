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

/// A write that waits for an available primary.
struct PrimaryWaiter
{
    TimePoint deadline;
    /// The write resumes only on a primary of a later term; 0 accepts any term.
    Term afterTerm;
    std::function<void()> resume;
};

/// State shared by all executions of one service. Owned by one executor thread.
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
    /// Primary and term on which the idempotency table is known to exist.
    std::pair<UpstreamId, Term> idempotencyTablePrimary;
    bool draining = false;
    std::vector<PrimaryWaiter> waitingForPrimary;
    /// Context object of single-shot timers. It is destroyed with the executor, which cancels them.
    std::unique_ptr<QObject> timerContext = std::make_unique<QObject>();
};

UpstreamHandle *findUpstream(ExecutorContext &context, const UpstreamId &id);

/// The current primary, or nullptr if there is none, the controller suspects it, or it does not
/// answer the status queries of this node.
UpstreamHandle *usablePrimary(ExecutorContext &context);

/// Resumes the writes for which a primary is available now or whose deadline has passed.
void resumePrimaryWaiters(ExecutorContext &context, TimePoint now);

/// Sends a status query unless one is pending. Its answer updates the handle, the history of the
/// primary and the acknowledger.
void queryStatus(ExecutorContext &context, const UpstreamId &id);

/// Time until the deadline, at least one millisecond, so that a timeout is never zero.
Duration timeLeft(TimePoint deadline, TimePoint now);

} // namespace shallotlever
