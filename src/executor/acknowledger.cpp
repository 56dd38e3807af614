#include "acknowledger.h"

#include <QTimer>

#include "context.h"
#include "shallotlever/base/clock.h"

namespace shallotlever {

namespace {

/// Interval between status queries to a replica that has not applied the write yet. About the
/// one-way latency between data centres.
constexpr std::chrono::milliseconds kStatusInterval { 2 };

} // namespace

void Acknowledger::wait(ExecutorContext &context, const HistoryPoint &commit, TimePoint now,
                        TimePoint deadline, Callback callback)
{
    const std::uint64_t write = ++m_lastWrite;
    m_callbacks.emplace(write, std::move(callback));
    awaitAck(m_tracker, write, commit, now, deadline);
    advance(context);
}

void Acknowledger::onStatus(ExecutorContext &context, const UpstreamId &upstream,
                            const UpstreamStatus &status, TimePoint askedAt)
{
    recordStatus(m_tracker, upstream, status, askedAt);
    if (!idle())
        decide(context, monotonicNow());
}

void Acknowledger::advance(ExecutorContext &context)
{
    const TimePoint now = monotonicNow();
    decide(context, now);
    if (idle())
        return;
    const AckContext ack = makeAckContext(context.view.group, context.view.freshUntil);
    for (const UpstreamId &member : nextStatusRound(m_tracker, ack, kStatusInterval, now))
        queryStatus(context, member);
    if (m_timerArmed)
        return;
    m_timerArmed = true;
    QTimer::singleShot(kStatusInterval, Qt::PreciseTimer, context.timerContext.get(),
                       [this, &context] {
                           m_timerArmed = false;
                           advance(context);
                       });
}

void Acknowledger::decide(ExecutorContext &context, TimePoint now)
{
    const AckContext ack = makeAckContext(context.view.group, context.view.freshUntil);
    for (const AckResult &result : decideAcks(m_tracker, ack, now)) {
        const auto entry = m_callbacks.find(result.write);
        const Callback callback = std::move(entry->second);
        m_callbacks.erase(entry);
        callback(result.outcome);
    }
}

} // namespace shallotlever
