#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <vector>

#include "absl/status/statusor.h"
#include "shallotlever/executor/work.h"
#include "shallotlever/telemetry/node_metrics.h"
#include "shallotlever/types/config.h"
#include "shallotlever/types/fleet.h"
#include "shallotlever/types/shares.h"

namespace shallotlever {

struct ServiceExecutorOptions
{
    ServiceId service;
    NodeId node;
    DataCentreId dataCentre;
    SessionSecret secret;
    /// User name for connections to upstreams. Callers' keys are never forwarded.
    std::string upstreamUser = "shallotlever";
    std::uint64_t seed = 1;
};

/// State that the control thread publishes to the executor of a service.
struct ServiceView
{
    GroupView group;
    PresetPolicy policy;
    /// Connections leased to this node, by upstream.
    std::map<UpstreamId, std::uint32_t> connectionShares;
    /// Expiry of the node's freshness lease. After it, no write is acknowledged, no request with a
    /// key is started, and the connection shares no longer apply.
    TimePoint freshUntil;
};

/// Report of the executor to the control thread.
struct ServiceReport
{
    /// Reachability of each upstream whose status has been queried.
    std::map<UpstreamId, bool> reachable;
    std::vector<SlotDemand> demand;
    /// Queued and running requests; an open transaction counts as one.
    std::uint32_t activeRequests = 0;
    std::uint32_t openTransactions = 0;
};

/// Executes the requests of one service: queueing, upstream selection, idempotency, acknowledgement
/// of writes, retries and transactions. Owned by one executor thread with a Qt event loop; all
/// functions must be called on that thread. The responder of each item is called exactly once.
class ServiceExecutor
{
public:
    /// `metrics` must outlive the executor.
    static std::unique_ptr<ServiceExecutor> create(ServiceExecutorOptions options,
                                                   NodeMetrics &metrics);
    ~ServiceExecutor();
    ServiceExecutor(const ServiceExecutor &) = delete;
    ServiceExecutor &operator=(const ServiceExecutor &) = delete;

    void applyView(ServiceView view);
    void submit(WorkItem item);
    ServiceReport report() const;
    /// Refuses new transactions; all other requests are still served.
    void startDrain();

private:
    class Impl;
    explicit ServiceExecutor(std::unique_ptr<Impl> impl);

    std::unique_ptr<Impl> m_impl;
};

} // namespace shallotlever
