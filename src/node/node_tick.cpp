// When the periodic work of the control thread is due.

#include <algorithm>

#include "node_impl.h"

namespace shallotlever {

/// Control members, relays and nodes with executors have work that other threads or other nodes
/// bring about without an event here; a node that stops looks at open work all the time.
bool Node::Impl::ticksAlways() const
{
    return m_controlGroup || m_settings.relay || !m_settings.relays.empty() || !m_hosts.empty()
        || m_drainPhase != DrainPhase::None;
}

TimePoint Node::Impl::nextTick(TimePoint now)
{
    const bool fresh = isFresh(m_view.freshness, now);
    if (ticksAlways() || fresh != m_fresh
        || currentController(m_controllerLink) != m_loggedController
        || !m_pendingTokenRequests.byTeam.empty())
        return now;
    TimePoint due =
        std::min({ m_nextSummary, m_reportSchedule.due, controllerDeadline(m_controllerLink) });
    if (fresh)
        due = std::min(due, m_view.freshness.leaseUntil);
    for (const auto &[id, forwarded] : m_forwarded)
        due = std::min(due, forwarded.deadline);
    for (const auto &[team, bucket] : m_buckets) {
        if (bucket->waiting() > 0)
            return now;
        due = std::min(due,
                       std::max(bucket->earlyReportDue(now),
                                m_reportSchedule.lastSent + kEarlyReportInterval));
    }
    return m_sessions ? std::min(due, m_sessions->nextTick(now)) : due;
}

} // namespace shallotlever
