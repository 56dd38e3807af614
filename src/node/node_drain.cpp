// Graceful shutdown of a node.

#include <QCoreApplication>

#include "node_impl.h"
#include "shallotlever/base/clock.h"

namespace shallotlever {

namespace {

/// Exit status if the drain limit or a second stop cut off open work.
constexpr int kExitStatusDrainLimit = 3;
constexpr std::chrono::milliseconds kIdleConnectionTimeout { 100 };
/// Time for the last answers to leave and for callers to close their connections.
constexpr std::chrono::milliseconds kClosingLimit { 400 };
/// Fraction of the whole drain after which open transactions of sessions are aborted.
constexpr double kTransactionDrainFraction = 0.58;

} // namespace

void Node::Impl::shutDown()
{
    if (m_drainPhase != DrainPhase::None) {
        m_logger.warning("stop_forced", {});
        finish(kExitStatusDrainLimit);
        return;
    }
    m_logger.info("drain_started", {});
    m_shared.draining = true;
    m_drainPhase = DrainPhase::Notice;
    m_drainStarted = monotonicNow();
    scheduleReport(m_reportSchedule, m_drainStarted, ReportReason::Leaving);
    // Transfers the leadership early, while this node can still tell the others who leads. Leases
    // last 2 s; an election after the process has exited, and the search for the new leader, can
    // take longer than that.
    if (m_controlGroup)
        m_controlGroup->transferLeadership(m_drainStarted);
}

void Node::Impl::advanceDrain()
{
    const Duration elapsed = monotonicNow() - m_drainStarted;
    switch (m_drainPhase) {
    case DrainPhase::None:
        return;
    case DrainPhase::Notice:
        // Nothing is refused while the load balancer still sends new connections here.
        if (elapsed < m_settings.drainNotice)
            return;
        m_listener->startDrain();
        if (m_sessions)
            m_sessions->startDrain();
        for (const auto &[service, host] : m_hosts)
            host->startDrain();
        m_drainPhase = DrainPhase::Transactions;
        return;
    case DrainPhase::Transactions:
        if (m_sessions && m_sessions->hasOpenTransactions()) {
            if (elapsed
                < (m_settings.drainNotice + m_settings.drainLimit) * kTransactionDrainFraction)
                return;
            m_sessions->abortTransactions(monotonicNow());
        }
        if (openTransactions() > 0 && elapsed < m_settings.drainNotice + m_settings.drainLimit)
            return;
        m_listener->stopAccepting();
        m_drainPhase = DrainPhase::Requests;
        return;
    case DrainPhase::Requests:
        m_listener->closeIdleConnections(kIdleConnectionTimeout);
        if (m_sessions)
            m_sessions->abortTransactions(monotonicNow());
        m_drainCutOff = hasOpenWork();
        if (m_drainCutOff && elapsed < m_settings.drainNotice + m_settings.drainLimit)
            return;
        if (m_drainCutOff)
            cutOffOpenWork();
        else if (m_controlGroup)
            m_controlGroup->transferLeadership(monotonicNow());
        m_drainPhase = DrainPhase::Closing;
        m_closingStarted = monotonicNow();
        return;
    case DrainPhase::Closing:
        if (hasUnsentAnswers() && monotonicNow() < m_closingStarted + kClosingLimit)
            return;
        if (!m_drainCutOff)
            m_logger.info("drain_finished", {});
        finish(m_drainCutOff ? kExitStatusDrainLimit : 0);
        return;
    case DrainPhase::Finished:
        return;
    }
}

bool Node::Impl::hasOpenWork() const
{
    return m_listener->requestsInFlight() > 0 || m_listener->openConnections() > 0
        || (m_sessions && (m_sessions->openSessions() > 0 || m_sessions->runningStatements() > 0));
}

/// The end of the process resets connections with unread input and drops what Qt has buffered.
bool Node::Impl::hasUnsentAnswers() const
{
    return (m_sessions && m_sessions->closingSessions() > 0) || m_transport->hasUnsentBytes();
}

/// Answers the statements that are open although their work has not ended.
void Node::Impl::cutOffOpenWork()
{
    const std::size_t sessions = m_sessions ? m_sessions->endOpenStatements(monotonicNow()) : 0;
    m_logger.warning("drain_limit_reached",
                     { { "requests", m_listener->requestsInFlight() },
                       { "sessions", sessions },
                       { "transactions", openTransactions() } });
}

std::uint32_t Node::Impl::openTransactions() const
{
    std::uint32_t open = 0;
    for (const auto &[service, host] : m_hosts) {
        host->requestReport();
        open += host->lastReport().openTransactions;
    }
    return open;
}

void Node::Impl::finish(int status)
{
    m_drainPhase = DrainPhase::Finished;
    if (m_sessions)
        m_sessions->logStop();
    QCoreApplication::exit(status);
}

} // namespace shallotlever
