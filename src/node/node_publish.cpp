// Publication of state from the control thread to the edge and executor threads.

#include <functional>

#include "node_impl.h"
#include "shallotlever/base/clock.h"

namespace shallotlever {

bool Node::Impl::applyLease(const NodeLease &lease, TimePoint now)
{
    const LeaseResult result = applyNodeLease(m_view, lease, now);
    if (result.verdict != LeaseVerdict::Applied) {
        m_registry
            .counter("shallotlever_leases_refused_total", "Leases that could not be applied.",
                     { { "verdict", leaseVerdictName(result.verdict) } })
            .increment();
        return false;
    }
    adoptControlMembers(lease.controlMembers);
    m_shared.freshUntilUs.store(m_view.freshness.leaseUntil.time_since_epoch().count(),
                                std::memory_order_release);
    if (m_sessions)
        m_sessions->setFreshUntil(m_view.freshness.leaseUntil);
    if (result.configChanged) {
        publishSnapshot();
        m_logger.info("config_applied", { { "version", m_view.freshness.appliedConfig.value() } });
    }
    logSharesChange(lease);
    applyRateShares(result.sharesUntil, now);
    // A node that started after the election of a controller gets its first shares only when the
    // leases of the predecessor have expired. Until then it is not ready, because it would refuse
    // every request.
    if (!lease.sharesUnchanged && !lease.sharesRenewed)
        noteSharesGranted();
    publishServiceViews();
    // The controller counts a change as in force only once this node has confirmed it.
    if (result.configChanged || result.fleetChanged)
        scheduleReport(m_reportSchedule, now, ReportReason::ViewApplied);
    if (result.fleetViewRequested)
        scheduleReport(m_reportSchedule, now, ReportReason::FleetViewRequested);
    fanOutLeases(lease);
    return true;
}

void Node::Impl::noteSharesGranted()
{
    if (m_shared.sharesGranted.exchange(true))
        return;
    if (m_sessions)
        m_sessions->setSharesGranted(true);
    m_logger.info("first_shares",
                  { { "process_age_ms", millisecondsBetween(m_startedAt, monotonicNow()) } });
}

/// A node without shares refuses all work, so gaining and losing them is logged.
void Node::Impl::logSharesChange(const NodeLease &lease)
{
    std::uint64_t connections = 0;
    for (const SlotShare &share : m_view.slots)
        connections += share.connections;
    double rate = 0;
    for (const RateShare &share : m_view.rates)
        rate += share.ratePerSecond;
    const bool hasShares = connections > 0 && rate > 0;
    if (hasShares == m_hasShares)
        return;
    m_hasShares = hasShares;
    m_logger.info(hasShares ? "shares_gained" : "shares_lost",
                  { { "connections", connections },
                    { "rate_per_second", rate },
                    { "renewed_only", lease.sharesRenewed },
                    { "control_term", lease.controlTerm.value() } });
}

void Node::Impl::applyRateShares(TimePoint sharesUntil, TimePoint now)
{
    for (const RateShare &share : m_view.rates) {
        const auto bucket = m_buckets.find(share.team);
        if (bucket == m_buckets.end())
            continue;
        if (m_view.sharesRenewed)
            bucket->second->renewShare(share, sharesUntil, now);
        // The shares of a team over its rate change slowly, so the regular report is
        // soon enough.
        else if (bucket->second->applyShare(share, sharesUntil, now) && share.teamWithinRate)
            scheduleReport(m_reportSchedule, m_reportSchedule.lastSent + kReducedShareReportDelay,
                           ReportReason::ShareReduced);
    }
}

void Node::Impl::publishSnapshot()
{
    const ClusterConfig &config = m_view.replicated.cluster.config;
    auto snapshot = std::make_unique<NodeSnapshot>();
    snapshot->version = config.version;
    snapshot->keys = config.keys;
    snapshot->routes = config.routes;
    for (const auto &[id, team] : config.teams)
        snapshot->teams.emplace(id, teamEntry(team));
    for (const auto &[id, service] : config.services) {
        if (!service.confirmsCommits && !m_settings.controlOnly)
            snapshot->services.emplace(id, serviceHost(id));
    }
    const auto preset = config.presets.find(config.activePreset);
    if (preset != config.presets.end())
        snapshot->policy = preset->second.policy;
    m_shared.snapshot.publish(std::move(snapshot));
    m_evacuatedDataCentres.set(static_cast<std::int64_t>(evacuatedDataCentres(config).size()));
    if (m_sessions)
        m_sessions->applyConfig(config, m_buckets);
}

TeamEntry Node::Impl::teamEntry(const TeamConfig &team)
{
    std::shared_ptr<TokenBucket> &bucket = m_buckets[team.id];
    if (!bucket)
        bucket = std::make_shared<TokenBucket>();
    return { team, bucket, m_metrics.team(team.id) };
}

std::shared_ptr<ServiceHost> Node::Impl::serviceHost(const ServiceId &service)
{
    std::shared_ptr<ServiceHost> &host = m_hosts[service];
    if (host)
        return host;
    ServiceExecutorOptions options;
    options.service = service;
    options.node = m_settings.nodeId;
    options.dataCentre = m_settings.dataCentre;
    options.secret = m_shared.secrets.session;
    options.seed = m_incarnation.value() + m_hosts.size();
    const std::size_t thread = std::hash<ServiceId> {}(service) % m_executorThreads.size();
    host = std::make_shared<ServiceHost>(options, m_metrics, *m_executorThreads[thread]);
    return host;
}

void Node::Impl::publishServiceViews()
{
    const ClusterConfig &config = m_view.replicated.cluster.config;
    const auto preset = config.presets.find(config.activePreset);
    for (const auto &[service, host] : m_hosts) {
        ServiceView view;
        const auto group = m_view.fleet.state.view.groups.find(service);
        if (group != m_view.fleet.state.view.groups.end())
            view.group = group->second;
        if (preset != config.presets.end())
            view.policy = preset->second.policy;
        for (const SlotShare &share : m_view.slots) {
            if (view.group.upstreams.contains(share.upstream))
                view.connectionShares[share.upstream] = share.connections;
        }
        view.freshUntil = m_view.freshness.leaseUntil;
        host->applyView(std::move(view));
    }
    if (m_sessions)
        m_sessions->applyFleet(m_view.fleet.state.view, m_view.slots, monotonicNow());
}

} // namespace shallotlever
