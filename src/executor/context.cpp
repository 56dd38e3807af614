#include "context.h"

#include <algorithm>
#include <utility>

#include "shallotlever/base/clock.h"

namespace shallotlever {

namespace {

/// Two consecutive failures mark an upstream as unreachable: a frozen primary is detected in less
/// than a second, and a single lost answer has no effect.
constexpr Duration kStatusTimeout = 300ms;
constexpr std::uint32_t kUnreachableFailureThreshold = 2;

void onStatus(ExecutorContext &context, const UpstreamId &id, TimePoint askedAt,
              const absl::StatusOr<UpstreamStatus> &status)
{
    UpstreamHandle *handle = findUpstream(context, id);
    if (handle == nullptr)
        return;
    const TimePoint now = monotonicNow();
    handle->statusQueryPending = false;
    if (!status.ok()) {
        ++handle->consecutiveStatusFailures;
        if (handle->consecutiveStatusFailures >= kUnreachableFailureThreshold)
            handle->reachable = false;
        recordFailure(handle->health, context.health, now, context.random);
        return;
    }
    handle->consecutiveStatusFailures = 0;
    handle->reachable = true;
    recordSuccess(handle->health, context.health, now);
    handle->status = TimedStatus { *status, askedAt };
    const GroupView &group = context.view.group;
    if (group.primary == id && status->role == UpstreamRole::Primary
        && status->point.term == group.term)
        recordPrimaryObservation(context.primaryHistory, { askedAt, status->point });
    context.acknowledger.onStatus(context, id, *status, askedAt);
}

} // namespace

UpstreamHandle *findUpstream(ExecutorContext &context, const UpstreamId &id)
{
    const auto entry = context.upstreams.find(id);
    return entry == context.upstreams.end() ? nullptr : &entry->second;
}

UpstreamHandle *usablePrimary(ExecutorContext &context)
{
    const std::optional<UpstreamId> &primary = context.view.group.primary;
    UpstreamHandle *handle = primary ? findUpstream(context, *primary) : nullptr;
    if (handle == nullptr || handle->info.state == UpstreamState::Suspected
        || handle->reachable == false)
        return nullptr;
    return handle;
}

void resumePrimaryWaiters(ExecutorContext &context, TimePoint now)
{
    const bool available = usablePrimary(context) != nullptr;
    const Term term = context.view.group.term;
    std::vector<PrimaryWaiter> waiting = std::exchange(context.waitingForPrimary, {});
    for (PrimaryWaiter &waiter : waiting) {
        if (waiter.deadline <= now || (available && term > waiter.afterTerm))
            waiter.resume();
        else
            context.waitingForPrimary.push_back(std::move(waiter));
    }
}

void queryStatus(ExecutorContext &context, const UpstreamId &id)
{
    UpstreamHandle *handle = findUpstream(context, id);
    if (handle == nullptr || handle->statusQueryPending)
        return;
    handle->statusQueryPending = true;
    const TimePoint askedAt = monotonicNow();
    handle->control.status(kStatusTimeout,
                           [&context, id, askedAt](absl::StatusOr<UpstreamStatus> status) {
                               onStatus(context, id, askedAt, status);
                           });
}

Duration timeLeft(TimePoint deadline, TimePoint now)
{
    return std::max<Duration>(deadline - now, 1ms);
}

} // namespace shallotlever
