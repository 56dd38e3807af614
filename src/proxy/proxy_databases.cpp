// The databases that a node reaches: its configuration, the views of their groups, routes and
// connection pools.

#include <algorithm>
#include <utility>

#include "proxy_impl.h"
#include "shallotlever/base/clock.h"

namespace shallotlever {

namespace {

std::uint32_t shareOf(const std::vector<SlotShare> &shares, const UpstreamId &upstream)
{
    for (const SlotShare &share : shares) {
        if (share.upstream == upstream)
            return share.connections;
    }
    return 0;
}

} // namespace

std::shared_ptr<UpstreamPool> SessionProxy::Impl::makePool(const UpstreamInfo &info)
{
    UpstreamPool::Callbacks callbacks;
    callbacks.point = [this, service = info.service, id = info.id](const HistoryPoint &point,
                                                                   TimePoint requestedAt) {
        m_state.recordHistoryPoint(service, id, point, requestedAt);
    };
    callbacks.reachable = [this, id = info.id](bool reachable) { onReachable(id, reachable); };
    callbacks.openFailed = [this, id = info.id](LinkOpenFailure failure, const std::string &error,
                                                Duration waited) {
        onOpenFailed(id, failure, error, waited);
    };
    auto pool = std::make_shared<UpstreamPool>(*m_state.protocol, info, std::move(callbacks));
    pool->setMemory(m_state.memory);
    return pool;
}

void SessionProxy::Impl::onReachable(const UpstreamId &upstream, bool reachable)
{
    m_observationChanged = true;
    m_state.logger->info(reachable ? "upstream_reachable" : "upstream_unreachable",
                         { { "upstream", upstream.value() } });
}

void SessionProxy::Impl::onOpenFailed(const UpstreamId &upstream, LinkOpenFailure failure,
                                      const std::string &error, Duration waited)
{
    m_openFailures[static_cast<std::size_t>(failure)]->increment();
    if (!acquireLogToken(m_state.logRateLimiter, LogTopic::Retry, monotonicNow()))
        return;
    m_state.logger->info(
        "connection_failed",
        { { "upstream", upstream.value() },
          { "reason", linkOpenFailureName(failure) },
          { "error", error },
          { "waited_ms", std::chrono::duration_cast<std::chrono::milliseconds>(waited).count() } });
}

void SessionProxy::Impl::applyGroup(const GroupView &group, const std::vector<SlotShare> &shares,
                                    TimePoint now)
{
    const auto [entry, added] = m_state.services.try_emplace(group.service);
    ServiceDatabases &service = entry->second;
    if (added)
        service.chance =
            LowDiscrepancySequence::forStream(m_state.self.value() + '/' + group.service.value());
    applyPrimary(service.tenures, group, !m_state.leaseResumed, now);
    applyDatabases(service, group, shares, now);
}

/// Stops the use of a service's databases. Its sessions may still wait for answers.
void SessionProxy::Impl::removeGroup(const ServiceId &service, TimePoint now)
{
    ServiceDatabases &databases = m_state.services.at(service);
    removePrimary(databases.tenures);
    GroupView removed;
    removed.service = service;
    applyDatabases(databases, removed, {}, now);
}

void SessionProxy::Impl::applyDatabases(ServiceDatabases &service, const GroupView &group,
                                        const std::vector<SlotShare> &shares, TimePoint now)
{
    if (service.primary != group.primary) {
        service.primary = group.primary;
        m_state.logger->info("primary_known",
                             { { "service", group.service.value() },
                               { "primary", group.primary.value_or(UpstreamId()).value() },
                               { "epoch", group.term.value() } });
    }
    for (auto item = service.routes.begin(); item != service.routes.end();) {
        DatabaseRoute &route = item->second;
        const auto info = group.upstreams.find(item->first);
        const bool same = info != group.upstreams.end()
            && info->second.endpoint == route.info.endpoint
            && info->second.lifetime == route.info.lifetime;
        if (!same)
            retirePool(route);
        item = same ? std::next(item) : service.routes.erase(item);
    }
    for (const auto &[id, info] : group.upstreams) {
        DatabaseRoute &route = service.routes[id];
        if (route.info.poolOwners != info.poolOwners)
            logOwners(info);
        route.info = info;
        applyPool(route, group.primary == id, shareOf(shares, id), now);
    }
}

/// Creates or retires the pool of this node, depending on who holds the connections.
void SessionProxy::Impl::applyPool(DatabaseRoute &route, bool primary, std::uint32_t share,
                                   TimePoint now)
{
    const std::vector<NodeId> &owners = route.info.poolOwners;
    const bool owned = std::find(owners.begin(), owners.end(), m_state.self) != owners.end();
    // A former owner keeps its connections until its share has shrunk and they are idle.
    const bool hasLinks = route.pool && route.pool->hasLinks();
    if (!owned && !owners.empty() && share == 0 && !hasLinks) {
        retirePool(route);
        return;
    }
    if (!route.pool)
        route.pool = makePool(route.info);
    route.pool->setInfo(route.info, primary, owned);
    route.pool->setLeasedConnections(share, now);
}

void SessionProxy::Impl::retirePool(DatabaseRoute &route)
{
    if (!route.pool)
        return;
    route.pool->retire();
    m_leaving.push_back(std::exchange(route.pool, nullptr));
}

void SessionProxy::Impl::logOwners(const UpstreamInfo &info) const
{
    std::string owners;
    for (const NodeId &owner : info.poolOwners)
        owners += (owners.empty() ? "" : " ") + owner.value();
    m_state.logger->info("pool_owners", { { "upstream", info.id.value() }, { "owners", owners } });
}

void SessionProxy::applyConfig(const ClusterConfig &config,
                               const std::map<TeamId, std::shared_ptr<TokenBucket>> &buckets)
{
    ProxyState &state = m_impl->m_state;
    if (config.installed.number != state.config.installed.number)
        logUnusableNames(m_impl->m_state, config);
    state.config = config;
    state.applyEvacuations(monotonicNow());
    state.teamsByKey.clear();
    for (const auto &[id, key] : config.keys) {
        if (key.role == KeyRole::Caller)
            state.teamsByKey[key.hash] = key.team;
    }
    // Entries are never removed, because sessions of a removed team may still wait for its bucket.
    for (const auto &[team, bucket] : buckets) {
        TeamAdmission &admission = state.teams[team];
        if (!admission.bucket)
            admission = { bucket, state.metrics->team(team), 0 };
    }
}

void SessionProxy::applyFleet(const FleetView &fleet, const std::vector<SlotShare> &shares,
                              TimePoint now)
{
    for (const auto &[service, group] : fleet.groups)
        m_impl->applyGroup(group, shares, now);
    for (auto &[service, databases] : m_impl->m_state.services) {
        if (!fleet.groups.contains(service))
            m_impl->removeGroup(service, now);
    }
    m_impl->m_state.leaseResumed = false;
    m_impl->m_dispatcher->connectOwners();
}

} // namespace shallotlever
