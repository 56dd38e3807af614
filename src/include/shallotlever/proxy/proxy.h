#pragma once

#include <cstdint>
#include <functional>
#include <limits>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "absl/status/statusor.h"
#include "shallotlever/base/memory_budget.h"
#include "shallotlever/policy/token_bucket.h"
#include "shallotlever/proxy/placement_explanation.h"
#include "shallotlever/proxy/protocol.h"
#include "shallotlever/telemetry/log.h"
#include "shallotlever/telemetry/node_metrics.h"
#include "shallotlever/types/config.h"
#include "shallotlever/types/fleet.h"
#include "shallotlever/types/shares.h"
#include "shallotlever/upstream/control.h"
#include "shallotlever/wire/peer.h"

/// Proxies the TCP sessions of callers to databases that speak the same protocol.
namespace shallotlever {

/// Observations and connection demand that the proxy reports to the controller.
struct ProxyReport
{
    std::map<UpstreamId, bool> reachable;
    std::vector<SlotDemand> slots;
};

/// Links between the proxy of this node and those of other nodes. The defaults are for a node that
/// has none.
struct ProxyPeers
{
    NodeId self;
    Incarnation incarnation;
    /// Returns false if the message was dropped.
    std::function<bool(const NodeId &peer, MessageType type, std::uint64_t requestId,
                       std::string payload)>
        send =
            [](const NodeId &, MessageType, std::uint64_t, const std::string &) { return false; };
    /// Answers a request: the message reaches only the process that sent it. Returns false if the
    /// message was dropped.
    std::function<bool(const PeerProcess &process, MessageType type, std::uint64_t requestId,
                       std::string payload)>
        reply = [](const PeerProcess &, MessageType, std::uint64_t, const std::string &) {
            return false;
        };
    std::function<bool(const NodeId &peer)> isConnected = [](const NodeId &) { return false; };
    /// Network round trip to the node, if known.
    std::function<std::optional<Duration>(const NodeId &peer)> roundTrip = [](const NodeId &) {
        return std::nullopt;
    };
    /// Keeps a link to the node, until forget() is called.
    std::function<void(const NodeId &peer)> connect = [](const NodeId &) {};
    std::function<void(const NodeId &peer)> forget = [](const NodeId &) {};
    /// Closes the links to the node, which may be dead, and connects again.
    std::function<void(const NodeId &peer)> reset = [](const NodeId &) {};
};

/// What callers may use of the process.
struct ProxyLimits
{
    /// Shared with the other listeners of the process.
    std::shared_ptr<MemoryBudget> memory = std::make_shared<MemoryBudget>();
    /// Further sessions are opened only in place of others.
    std::size_t sessions = std::numeric_limits<std::size_t>::max();
};

/// Not thread-safe: call all functions on the thread of the event loop that created the proxy.
class SessionProxy
{
public:
    /// Creates a proxy that listens for callers on `listen`. The references must outlive it.
    static absl::StatusOr<std::unique_ptr<SessionProxy>>
    create(const Endpoint &listen, const SessionProtocol &protocol, NodeMetrics &metrics,
           const Logger &logger, ProxyPeers peers = {}, ProxyLimits limits = {});
    ~SessionProxy();
    SessionProxy(const SessionProxy &) = delete;
    SessionProxy &operator=(const SessionProxy &) = delete;

    void applyConfig(const ClusterConfig &config,
                     const std::map<TeamId, std::shared_ptr<TokenBucket>> &buckets);
    /// `shares` contains the database connections leased to this node.
    void applyFleet(const FleetView &fleet, const std::vector<SlotShare> &shares, TimePoint now);
    /// Sets the expiry time of the node's freshness lease.
    void setFreshUntil(TimePoint until);
    /// Whether the controller has granted this process shares, which may be empty; true if never
    /// set. While it is false, operations wait for a while after the start of the process, as
    /// without a lease.
    void setSharesGranted(bool granted);
    /// Runs timeouts and retries. Must be called when nextTick() says, at most every 10 ms.
    void tick(TimePoint now);
    /// When tick() has something to do if nothing else happens; kNever if it does not. Ask again
    /// after each event.
    TimePoint nextTick(TimePoint now) const;
    ProxyReport report(TimePoint now) const;
    /// Where a statement would be sent now, and why. The error names what the configuration doesn't
    /// hold. Has no side effect.
    std::variant<PlacementExplanation, Error> explainPlacement(const PlacementQuestion &question,
                                                               TimePoint now) const;
    /// Handles a message of another node's proxy.
    void onPeerMessage(const PeerMessage &message, TimePoint now);
    /// Whether the proxy keeps a link to the node.
    bool usesPeer(const NodeId &peer) const;
    /// Called when the last link to another node is lost.
    void onPeerDisconnected(const NodeId &peer, TimePoint now);
    /// Logs the admission counters of each team that had refusals since the last call.
    void logTeamRefusals();
    /// Number of per-request log lines suppressed by the log rate limit.
    std::uint64_t suppressedLines() const;
    /// Whether an upstream became reachable or unreachable since the last call; resets the flag.
    bool takeObservationChanged();

    // Graceful shutdown; call in this order.
    /// Stops accepting sessions. Open sessions are closed when their statement or transaction
    /// ends.
    void startDrain();
    /// Rolls back the open transactions in which no statement is running: those of sessions and
    /// those that other nodes have on this node's connections.
    void abortTransactions(TimePoint now);
    /// Answers every open statement with an error that says truthfully whether it may have run, and
    /// closes the sessions. Returns how many had a statement or a transaction.
    std::size_t endOpenStatements(TimePoint now);
    std::size_t openSessions() const;
    /// Sessions that have ended and whose callers have not closed their connection yet.
    std::size_t closingSessions() const;
    /// Logs how many sessions the stop closed, and what was lost with them.
    void logStop() const;
    /// Whether a session or another node has an open transaction.
    bool hasOpenTransactions() const;
    /// Statements that run or wait on this node's connections.
    std::size_t runningStatements() const;

private:
    class Impl;
    explicit SessionProxy(std::unique_ptr<Impl> impl);
    std::unique_ptr<Impl> m_impl;
};

struct PromotionOrder
{
    ServiceId service;
    UpstreamId upstream;
    Term epoch;
    /// After this time without an answer the order is withdrawn.
    Duration timeout {};
    CallPermit permit;
};

/// A promotion that was ordered and not answered yet. Its destruction withdraws it: what has not
/// reached the platform is discarded, and the callback is not called any more.
class PendingPromotion
{
public:
    PendingPromotion() = default;
    virtual ~PendingPromotion() = default;
    PendingPromotion(const PendingPromotion &) = delete;
    PendingPromotion &operator=(const PendingPromotion &) = delete;
};

/// Promotes a database through the platform. The callback receives OK, FailedPrecondition if the
/// database is not running, Aborted if the permit had ended and nothing was sent, or another error
/// if the outcome is unknown. It is called at most once, and possibly before the function returns.
using PromoteFunction = std::function<std::unique_ptr<PendingPromotion>(
    const PromotionOrder &, std::function<void(const absl::Status &)>)>;

/// Creates the control calls of a database, sent over a session opened as `user` while `permit`
/// holds. A call without a permit fails with Aborted.
UpstreamControl makeSessionControl(const SessionProtocol &protocol, const ServiceId &service,
                                   const UpstreamId &upstream, const Endpoint &endpoint,
                                   const std::string &user, PromoteFunction promote,
                                   CallPermit permit);

} // namespace shallotlever
