#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "absl/status/statusor.h"
#include "shallotlever/policy/token_bucket.h"
#include "shallotlever/proxy/protocol.h"
#include "shallotlever/telemetry/log.h"
#include "shallotlever/telemetry/node_metrics.h"
#include "shallotlever/types/config.h"
#include "shallotlever/types/fleet.h"
#include "shallotlever/types/shares.h"
#include "shallotlever/upstream/control.h"

/// Serves callers' sessions that are TCP connections, over databases that speak the same protocol.
namespace shallotlever {

/// What the proxy reports to the controller.
struct ProxyReport
{
    std::map<UpstreamId, bool> reachable;
    std::vector<SlotDemand> slots;
};

/// All functions run on the thread of the event loop that created the proxy.
class SessionProxy
{
public:
    /// Listens for callers. The references must outlive the proxy.
    static absl::StatusOr<std::unique_ptr<SessionProxy>> create(const Endpoint &listen,
                                                                const SessionProtocol &protocol,
                                                                NodeMetrics &metrics,
                                                                const Logger &logger);
    ~SessionProxy();
    SessionProxy(const SessionProxy &) = delete;
    SessionProxy &operator=(const SessionProxy &) = delete;

    void applyConfig(const ClusterConfig &config,
                     const std::map<TeamId, std::shared_ptr<TokenBucket>> &buckets);
    /// `shares` are the connections leased to this node.
    void applyFleet(const FleetView &fleet, const std::vector<SlotShare> &shares, TimePoint now);
    /// End of the node's freshness lease.
    void setFreshUntil(TimePoint until);
    /// Call every 10 ms.
    void tick(TimePoint now);
    ProxyReport report(TimePoint now) const;
    /// Logs what was admitted and refused, for each team with refusals since the last call.
    void logTeams();
    /// Lines about single requests that were left out to bound the log.
    std::uint64_t suppressedLines() const;
    /// True once after an upstream became reachable or unreachable.
    bool takeObservationChanged();

    // Graceful stop, in this order.
    /// No session is accepted any more; idle ones are closed from now on, the others as soon as
    /// they are idle.
    void startDrain();
    /// Open transactions are ended.
    void abortTransactions(TimePoint now);
    std::size_t openSessions() const;
    std::size_t openTransactions() const;

private:
    class Impl;
    explicit SessionProxy(std::unique_ptr<Impl> impl);
    std::unique_ptr<Impl> m_impl;
};

/// Promotes a database through the platform. The callback gets OK, FailedPrecondition if the
/// database does not run, or another error if the outcome is not known.
using PromoteFunction = std::function<void(const ServiceId &, const UpstreamId &, Term epoch,
                                           std::function<void(const absl::Status &)>)>;

/// Control calls over a session of `user` with the database.
UpstreamControl makeSessionControl(const SessionProtocol &protocol, const ServiceId &service,
                                   const UpstreamId &upstream, const Endpoint &endpoint,
                                   const std::string &user, PromoteFunction promote);

} // namespace shallotlever
