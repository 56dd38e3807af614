// Session start and authorisation of the caller.

#include "session.h"
#include "shallotlever/base/clock.h"
#include "shallotlever/session/keys.h"

namespace shallotlever {

namespace {

/// Maximum wait for the lease. Callers abandon a session that is not ready 2 s after its first
/// message.
constexpr Duration kMaxStartWait = 1800ms;

} // namespace

void CallerSession::refuseStart(ErrorKind kind)
{
    m_state.metrics->refusal(kind).increment();
    m_state.logger->info("session_refused",
                         { { "database", m_database.value() }, { "reason", errorRow(kind).name } });
    m_socket->write(m_state.protocol->error({ kind, {}, std::nullopt }));
    m_socket->closeGracefully(monotonicNow());
    m_disconnected = true;
}

void CallerSession::onStart(const SessionStart &start, TimePoint now)
{
    m_database = start.database;
    m_key = hashSecret(start.key);
    answerStart(now);
}

void CallerSession::answerStart(TimePoint now)
{
    m_awaitingLease = !m_state.draining && !m_state.fresh(now) && m_state.expectsLease(now)
        && now < m_openedAt + kMaxStartWait;
    if (m_awaitingLease)
        return;
    const auto database = m_state.config.databases.find(m_database);
    if (!m_state.fresh(now)) {
        refuseStart(ErrorKind::ConfigStale);
    } else if (database == m_state.config.databases.end()) {
        refuseStart(ErrorKind::UnknownService);
    } else if (const auto refused = refusalReason(now)) {
        refuseStart(*refused);
    } else {
        m_team = teamOfKey();
        m_started = true;
        m_socket->write(m_state.protocol->ready(TransactionState::None));
    }
}

/// A new configuration may give the key to another team while the session is open.
TeamId CallerSession::teamOfKey() const
{
    const auto team = m_state.teamsByKey.find(m_key);
    return team == m_state.teamsByKey.end() ? anonymousTeam() : team->second;
}

std::optional<ErrorKind> CallerSession::refusalReason(TimePoint now) const
{
    if (!m_state.fresh(now))
        return ErrorKind::ConfigStale;
    const auto database = m_state.config.databases.find(m_database);
    const bool open = database != m_state.config.databases.end() && database->second.open;
    if (!open && !m_state.teamsByKey.contains(m_key))
        return ErrorKind::InvalidKey;
    const auto &isName = m_state.protocol->isName;
    const bool nameable = database == m_state.config.databases.end()
        || (isName(database->second.service.value()) && isName(teamOfKey().value()));
    return nameable ? std::nullopt : std::optional(ErrorKind::UnusableName);
}

} // namespace shallotlever
