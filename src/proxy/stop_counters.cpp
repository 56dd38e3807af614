#include "stop_counters.h"

#include <string>

namespace shallotlever {

namespace {

constexpr std::array kCloseNames { "idle", "after_statement", "at_limit" };

} // namespace

StopCounters::StopCounters(MetricsRegistry &registry)
    : m_unreadInput(registry.counter("shallotlever_sessions_closed_unread_total",
                                     "Sessions closed by a stop while input waited to be read."))
    , m_unsentOutput(registry.counter("shallotlever_sessions_closed_unsent_total",
                                      "Sessions closed by a stop before the caller's connection "
                                      "had taken the last answer."))
    , m_refused(registry.counter("shallotlever_stop_refusals_total",
                                 "Statements answered as not run because the node stops."))
    , m_unanswered(registry.counter("shallotlever_statements_unanswered_total",
                                    "Messages that arrived after the end of their session."))
{
    for (std::size_t i = 0; i < m_closed.size(); ++i)
        m_closed[i] = &registry.counter("shallotlever_sessions_closed_by_stop_total",
                                        "Sessions closed because the node stops.",
                                        { { "when", std::string(kCloseNames[i]) } });
}

void StopCounters::countClose(StopClose when, bool unreadInput, bool unsentOutput)
{
    m_closed[static_cast<std::size_t>(when)]->increment();
    if (unreadInput)
        m_unreadInput.increment();
    if (unsentOutput)
        m_unsentOutput.increment();
}

void StopCounters::log(const Logger &logger) const
{
    logger.info("sessions_closed",
                { { "idle", m_closed[0]->value() },
                  { "after_statement", m_closed[1]->value() },
                  { "at_limit", m_closed[2]->value() },
                  { "unread", m_unreadInput.value() },
                  { "unsent", m_unsentOutput.value() },
                  { "refused", m_refused.value() },
                  { "unanswered", m_unanswered.value() } });
}

} // namespace shallotlever
