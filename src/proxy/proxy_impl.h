#pragma once

#include <array>
#include <list>
#include <memory>
#include <vector>

#include <QTcpServer>

#include "pool_queue_log.h"
#include "session.h"
#include "shallotlever/proxy/proxy.h"

namespace shallotlever {

/// The sessions of a node and its routes to databases. Not thread-safe.
class SessionProxy::Impl
{
public:
    Impl(const SessionProtocol &protocol, NodeMetrics &metrics, const Logger &logger,
         ProxyPeers peers, ProxyLimits limits);
    ~Impl();

    absl::Status listen(const Endpoint &endpoint);
    void accept();
    /// Closes a session for a further one. Returns false if none can be closed.
    bool makeRoom(TimePoint now);
    void applyGroup(const GroupView &group, const std::vector<SlotShare> &shares, TimePoint now);
    void removeGroup(const ServiceId &service, TimePoint now);
    void applyDatabases(ServiceDatabases &service, const GroupView &group,
                        const std::vector<SlotShare> &shares, TimePoint now);
    void applyPool(DatabaseRoute &route, bool primary, std::uint32_t share, TimePoint now);
    void retirePool(DatabaseRoute &route);
    void logOwners(const UpstreamInfo &info) const;
    std::shared_ptr<UpstreamPool> makePool(const UpstreamInfo &info);
    void onReachable(const UpstreamId &upstream, bool reachable);
    /// Names that databases can't be told, which a valid configuration may hold.
    void onOpenFailed(const UpstreamId &upstream, LinkOpenFailure failure, const std::string &error,
                      Duration waited);
    void tick(TimePoint now);
    TimePoint nextTick(TimePoint now) const;

    ProxyState m_state;
    std::unique_ptr<StatementDispatcher> m_dispatcher;
    const std::size_t m_maxSessions;
    PoolQueueLog m_poolQueueLog;
    std::array<Counter *, static_cast<std::size_t>(LinkOpenFailure::Count)> m_openFailures {};
    Gauge &m_sessionsGauge;
    std::list<CallerSession> m_sessions;
    /// Pools of databases removed from the fleet view, kept until their statements have finished.
    std::vector<std::shared_ptr<UpstreamPool>> m_leaving;
    QTcpServer m_server;
    bool m_observationChanged = false;
    /// Idle sessions that a tick of a drain may close.
    std::size_t m_closesPerTick = 0;
};

} // namespace shallotlever
