// Log lines of the controller: its shares, views and changes of primary.

#include "controller_host.h"

#include <fmt/format.h>

namespace shallotlever {

namespace {

/// Interval of the log lines about shares, and the maximum number of teams and of databases that
/// are logged each time.
constexpr Duration kShareLogInterval = 5s;
constexpr std::size_t kMaxShareLogLines = 20;

std::size_t upstreamCount(const FleetView &view)
{
    std::size_t count = 0;
    for (const auto &[service, group] : view.groups)
        count += group.upstreams.size();
    return count;
}

const char *stateName(const RegistryEntry &entry)
{
    if (entry.state == UpstreamState::Suspected)
        return "suspected";
    const bool leaving = entry.state == UpstreamState::Leaving || entry.announcement.leaving;
    return leaving ? "leaving" : "live";
}

/// One text for all databases of the service: state, role, log end, fence and age of the last
/// answer of each.
std::string describeMembers(const ControllerState &controller, const ServiceId &service,
                            TimePoint now)
{
    std::string text;
    const std::map<UpstreamId, MemberStatus> &statuses = controller.groups.at(service).statuses;
    for (const auto &[id, entry] : controller.registry.entries) {
        if (entry.announcement.service != service)
            continue;
        text += fmt::format("{}{}/{} {}", text.empty() ? "" : "; ", id.value(),
                            entry.announcement.lifetime.value(), stateName(entry));
        const auto known = statuses.find(id);
        if (known == statuses.end()) {
            text += " unknown";
            continue;
        }
        const UpstreamStatus &status = known->second.status;
        text +=
            fmt::format(" {} end {}.{} fence {} age_ms {}",
                        status.role == UpstreamRole::Primary ? "primary" : "replica",
                        status.point.term.value(), status.point.position.value(),
                        status.fencedTerm.value(), millisecondsBetween(known->second.askedAt, now));
    }
    return text;
}

std::string_view registryEventName(RegistryEvent::Kind kind)
{
    switch (kind) {
    case RegistryEvent::Kind::EndpointClaimed:
        return "endpoint_claimed";
    case RegistryEvent::Kind::ClaimRefuted:
        return "endpoint_claim_refuted";
    case RegistryEvent::Kind::EndpointLost:
        return "endpoint_lost";
    case RegistryEvent::Kind::UnknownService:
        return "announcement_ignored";
    }
    return "announcement_ignored";
}

std::int64_t wholeMilliseconds(Duration duration)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
}

} // namespace

/// Logs each new term, because elections without a winner are not logged otherwise.
void ControllerHost::logTerm()
{
    const ControlMember &member = m_group.member();
    if (member.term() == m_loggedTerm)
        return;
    m_loggedTerm = member.term();
    m_logger.info(
        "control_term_changed",
        { { "control_term", m_loggedTerm.value() }, { "role", controlRoleName(member.role()) } });
}

/// Logs the controller's state of the teams that are closest to their limits: requests within the
/// rate are refused if demand is overestimated, or if nodes hold parts of the rate without using
/// them.
void ControllerHost::logTeams() const
{
    for (const auto &[id, team] : busiestTeams(m_controller->rates, kMaxShareLogLines)) {
        m_logger.info("team_shares",
                      { { "team", id.value() },
                        { "rate_per_second", team->ratePerSecond },
                        { "burst", team->burst },
                        { "leased_demand", team->demand },
                        { "requested_tokens", team->requestedPerSecond },
                        { "average_demand", team->averageDemand },
                        { "rate_held", team->leasedRate },
                        { "burst_held", team->leasedBurst },
                        { "pool", team->pool } });
    }
}

/// Logs databases that are close to their connection limit, with the number of connections by their
/// own count, by the leases and by the reports of nodes.
void ControllerHost::logFullUpstreams() const
{
    std::size_t logged = 0;
    for (const auto &[service, group] : m_controller->groups) {
        for (const auto &[id, known] : group.statuses) {
            const auto upstream = m_controller->slots.upstreams.find(id);
            if (upstream == m_controller->slots.upstreams.end())
                continue;
            const SlotUpstream &slots = upstream->second;
            const std::uint32_t maxConnections = slots.limit - connectionReserve(slots.limit);
            const bool full =
                std::max(known.status.connections, slots.leasedConnections) >= maxConnections;
            if (!full || ++logged > kMaxShareLogLines)
                continue;
            m_logger.info("upstream_full",
                          { { "upstream", id.value() },
                            { "limit", slots.limit },
                            { "counted_by_upstream", known.status.connections },
                            { "leased", slots.leasedConnections },
                            { "reported_open", reportedConnections(m_controller->slots, id) },
                            { "needed", slots.neededConnections },
                            { "nodes", slots.servingNodes } });
        }
    }
}

/// Logs the processes for which changes of primary wait: commits may be held by them alone.
void ControllerHost::logWaitingChanges(TimePoint now) const
{
    std::size_t logged = 0;
    for (const auto &[service, group] : m_controller->groups) {
        const ConfirmedChange &change = group.confirmed;
        if (change.awaited.empty() || now < change.times.detected + kShareLogInterval
            || ++logged > kMaxShareLogLines)
            continue;
        std::string awaited;
        for (const auto &[process, reason] : change.awaited)
            awaited +=
                fmt::format("{}{}/{}/{}", awaited.empty() ? "" : " ", process.upstream.value(),
                            process.incarnation.value(), awaitReasonName(reason));
        m_logger.warning("primary_change_waits",
                         { { "service", service.value() },
                           { "awaited", awaited },
                           { "waited_ms", millisecondsBetween(change.times.detected, now) } });
    }
}

void ControllerHost::logShares(TimePoint now)
{
    if (now < m_nextShareLog)
        return;
    m_nextShareLog = now + kShareLogInterval;
    logTeams();
    logFullUpstreams();
    logWaitingChanges(now);
}

/// Nodes keep their shares until the controller has a fleet view, so it is logged where the view
/// came from.
void ControllerHost::logRecoveredView(const NodeReport &source, TimePoint now) const
{
    m_logger.info("fleet_view_recovered",
                  { { "source", source.node.value() },
                    { "incarnation", source.incarnation.value() },
                    { "view_control_term", source.appliedFleet.controlTerm.value() },
                    { "view_number", source.appliedFleet.number },
                    { "upstreams", upstreamCount(m_controller->fleetLog.state.view) },
                    { "waited_ms", millisecondsBetween(m_controller->electedAt, now) } });
}

/// Logs the first view of a controller: until then nodes have the view of the predecessor.
void ControllerHost::logFirstView(TimePoint now)
{
    if (std::exchange(m_firstViewLogged, true))
        return;
    m_logger.info("first_fleet_view",
                  { { "control_term", m_controller->controlTerm.value() },
                    { "upstreams", upstreamCount(m_controller->fleetLog.state.view) },
                    { "owners", m_controller->publishedOwnership ? "selected" : "kept" },
                    { "continues_view", m_controller->inheritedFleetVersion != FleetVersion() },
                    { "waited_ms", millisecondsBetween(m_controller->electedAt, now) } });
}

/// Status queries are not logged, because they are frequent and change nothing.
void ControllerHost::logCall(const UpstreamCall &call, TimePoint now) const
{
    if (call.kind == CallKind::Status || call.kind == CallKind::Promote)
        return;
    m_logger.info("upstream_call",
                  { { "service", call.service.value() },
                    { "upstream", call.upstream.value() },
                    { "call", callKindName(call.kind) },
                    { "term", call.term.value() },
                    { "control_term", m_controller->controlTerm.value() },
                    { "lease_left_ms", wholeMilliseconds(m_group.member().leaseLeft(now)) } });
}

/// Logs what the choice of the candidate relied on.
void ControllerHost::logPromotionOrder(const UpstreamCall &call, TimePoint now) const
{
    const auto group = m_controller->groups.find(call.service);
    if (group == m_controller->groups.end())
        return;
    m_logger.info("promotion_ordered",
                  { { "service", call.service.value() },
                    { "upstream", call.upstream.value() },
                    { "incarnation", call.incarnation.value() },
                    { "epoch", call.term.value() },
                    { "attempt", group->second.confirmed.attempts },
                    { "fence_term", group->second.confirmed.fenceTerm.value() },
                    { "members", describeMembers(*m_controller, call.service, now) },
                    { "control_term", m_controller->controlTerm.value() },
                    { "lease_left_ms", wholeMilliseconds(m_group.member().leaseLeft(now)) } });
}

/// Not called for status queries, which fail often and without consequence by themselves; the other
/// calls decide a change of primary.
void ControllerHost::logFailedCall(const UpstreamCall &call, const absl::Status &status) const
{
    m_logger.warning("upstream_call_failed",
                     { { "service", call.service.value() },
                       { "upstream", call.upstream.value() },
                       { "call", callKindName(call.kind) },
                       { "term", call.term.value() },
                       { "error", std::string(status.message()) } });
}

void ControllerHost::logRegistryEvent(const RegistryEvent &event) const
{
    m_logger.info(registryEventName(event.kind),
                  { { "upstream", event.process.upstream.value() },
                    { "incarnation", event.process.incarnation.value() },
                    { "claimant", event.claimant.upstream.value() },
                    { "claimant_incarnation", event.claimant.incarnation.value() } });
}

void ControllerHost::logPrimaryChange(const CompletedPrimaryChange &changed) const
{
    const ChangeTimes &times = changed.change.times;
    m_primaryChanges.increment();
    m_primaryChangeTime.observe(times.published - times.lastSeen);
    m_logger.info("primary_changed",
                  { { "service", changed.service.value() },
                    { "primary", changed.change.primary.value() },
                    { "term", changed.change.term.value() },
                    { "reason", changeReasonName(changed.change.reason) },
                    { "attempts", changed.change.attempts },
                    { "detection_ms", millisecondsBetween(times.lastSeen, times.detected) },
                    { "reservation_ms", millisecondsBetween(times.detected, times.reserved) },
                    { "fence_ms", millisecondsBetween(times.reserved, times.fenced) },
                    { "promotion_ms", millisecondsBetween(times.fenced, times.promoted) },
                    { "confirmation_ms", millisecondsBetween(times.promoted, times.confirmed) },
                    { "publication_ms", millisecondsBetween(times.confirmed, times.published) } });
}

} // namespace shallotlever
