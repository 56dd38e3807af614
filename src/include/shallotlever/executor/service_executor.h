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
    /// User name sent to upstreams; never a caller's key.
    std::string upstreamUser = "shallotlever";
    std::uint64_t seed = 1;
};

/// What the control thread publishes to the executor of a service.
struct ServiceView
{
    GroupView group;
    PresetPolicy policy;
    /// Connections leased to this node, by upstream.
    std::map<UpstreamId, std::uint32_t> connectionShares;
    /// End of the node's freshness lease. Writes are acknowledged and keyed work is started only
    /// before it; the connection shares end with it too.
    TimePoint freshUntil;
};

/// What the executor reports to the control thread.
struct ServiceReport
{
    /// Upstreams that were probed, and whether they answered.
    std::map<UpstreamId, bool> reachable;
    std::vector<SlotDemand> demand;
    /// Requests that wait or run, and open transactions.
    std::uint32_t activeRequests = 0;
    std::uint32_t openTransactions = 0;
};

/// Runs the requests of one service: queue, choice of upstream, idempotency, acknowledgement,
/// retries, transactions. Owned by one executor thread with a Qt event loop; every function is
/// called on that thread. The responder of each item is called exactly once.
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
    /// Refuses new transactions; everything else goes on.
    void startDrain();

private:
    class Impl;
    explicit ServiceExecutor(std::unique_ptr<Impl> impl);

    std::unique_ptr<Impl> m_impl;
};

} // namespace shallotlever
