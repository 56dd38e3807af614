// Log lines that summarise the node's traffic.

#include "node_impl.h"

namespace shallotlever {

namespace {

constexpr Duration kSummaryInterval = 10s;

} // namespace

void Node::Impl::logSummary(TimePoint now)
{
    if (now < m_nextSummary)
        return;
    m_nextSummary = now + kSummaryInterval;
    if (m_sessions)
        m_sessions->logTeamRefusals();
    const PeerTransportCounters &counters = m_transport->counters();
    const auto reports = [this](ReportReason reason) -> LogField {
        return { reportReasonName(reason),
                 m_reportsSent[static_cast<std::size_t>(reason)]->value() };
    };
    m_logger.info("reports",
                  { reports(ReportReason::Interval), reports(ReportReason::Requested),
                    reports(ReportReason::ViewApplied), reports(ReportReason::ShareReduced),
                    reports(ReportReason::Observed), reports(ReportReason::Announced),
                    reports(ReportReason::Demand), reports(ReportReason::Relayed),
                    reports(ReportReason::FleetViewRequested), reports(ReportReason::Leaving) });
    const auto messages = [&counters](std::string_view name, MessageType request,
                                      MessageType reply) -> LogField {
        return { name, counters.messagesOf(request) + counters.messagesOf(reply) };
    };
    m_logger.info(
        "peer_messages",
        { messages("reports", MessageType::NodeReport, MessageType::NodeLease),
          messages("report_requests", MessageType::ReportRequest, MessageType::ControllerHint),
          messages("tokens", MessageType::TokenRequest, MessageType::TokenGrant),
          messages("statements", MessageType::StatementRequest, MessageType::StatementReply),
          messages("positions", MessageType::PositionRequest, MessageType::PositionReply),
          { "hellos", counters.messagesOf(MessageType::Hello) },
          { "control_log", counters.messagesOf(MessageType::Control) } });
    m_logger.info("summary",
                  { { "wakeups", m_wakeups.value() },
                    { "ticks", m_ticks.value() },
                    { "peer_messages_sent", counters.messagesSent },
                    { "peer_messages_received", counters.messagesReceived },
                    { "peer_bytes_sent", counters.bytesSent() },
                    { "report_bytes_sent", counters.bytesSentOf(MessageType::NodeReport) },
                    { "lease_bytes_sent", counters.bytesSentOf(MessageType::NodeLease) },
                    { "token_bytes_sent",
                      counters.bytesSentOf(MessageType::TokenRequest)
                          + counters.bytesSentOf(MessageType::TokenGrant) },
                    { "statement_bytes_sent",
                      counters.bytesSentOf(MessageType::StatementRequest)
                          + counters.bytesSentOf(MessageType::StatementReply)
                          + counters.bytesSentOf(MessageType::TransactionEnd)
                          + counters.bytesSentOf(MessageType::PositionRequest)
                          + counters.bytesSentOf(MessageType::PositionReply) },
                    { "log_bytes_sent", counters.bytesSentOf(MessageType::Control) },
                    { "report_bytes_saved", counters.bytesSavedOf(MessageType::NodeReport) },
                    { "lease_bytes_saved", counters.bytesSavedOf(MessageType::NodeLease) },
                    { "token_bytes_saved",
                      counters.bytesSavedOf(MessageType::TokenRequest)
                          + counters.bytesSavedOf(MessageType::TokenGrant) },
                    { "log_bytes_saved", counters.bytesSavedOf(MessageType::Control) },
                    { "peer_bytes_received", counters.bytesReceived },
                    { "peer_messages_dropped", counters.messagesDropped },
                    { "reports_sent", m_view.freshness.lastReport },
                    { "sessions", m_sessions ? m_sessions->openSessions() : 0 },
                    { "request_lines_left_out", m_sessions ? m_sessions->suppressedLines() : 0 },
                    { "log_lines_dropped", m_logger.dropped() } });
}

void Node::Impl::logDelay(std::string_view event, Duration delay)
{
    m_logger.warning(event, { { "delay_ms", millisecondsBetween(TimePoint(), TimePoint(delay)) } });
}

} // namespace shallotlever
