#pragma once

#include <map>
#include <memory>
#include <vector>

#include <QObject>
#include <QThread>

#include "control_group.h"
#include "controller_host.h"
#include "controller_link.h"
#include "forward.h"
#include "held_announcements.h"
#include "node_view.h"
#include "relay_link.h"
#include "report_schedule.h"
#include "request_path.h"
#include "service_host.h"
#include "shallotlever/base/clock.h"
#include "shallotlever/edge/listener.h"
#include "shallotlever/node/node.h"
#include "shallotlever/policy/token_asks.h"
#include "shallotlever/policy/token_grants.h"
#include "shallotlever/proxy/proxy.h"
#include "shallotlever/wire/peer_transport.h"
#include "tick_timer.h"

namespace shallotlever {

/// Ids of the control members in the settings, which may be seeds only.
std::vector<NodeId> configuredMembers(const NodeSettings &settings);

/// The part of a node that runs on the control thread: reports to the controller, applies its
/// leases, and publishes state to the edge and executor threads.
class Node::Impl
{
public:
    Impl(const NodeSettings &settings, PlatformAdapter platform);
    ~Impl();

    absl::Status start();
    void shutDown();
    std::uint16_t httpPort() const { return m_listener->port(); }
    std::uint16_t peerPort() const { return m_transport->port(); }
    bool ready() const;
    const std::shared_ptr<MemoryBudget> &memory() const { return m_memory; }
    void forwardRequest(const OperatorRequest &request, EdgeResponder respond, TimePoint now);
    bool acceptAnnouncement(const Announcement &announcement);
    /// An operator's order about one data centre that arrived at this node.
    struct EvacuationRequest
    {
        DataCentreId dataCentre;
        bool inForce = false;
        TimePoint arrivedAt;
        EdgeResponder respond;
    };
    void evacuate(const EvacuationRequest &request, TimePoint now);
    void noteRefusal(ErrorKind kind, std::string_view subject, const std::string &reason);

private:
    enum class DrainPhase {
        None,
        /// /readyz fails; requests are still served.
        Notice,
        /// New transactions are refused; open ones may finish.
        Transactions,
        /// The listener is closed; requests that have begun may finish.
        Requests,
        /// No work is open; the last answers are on their way.
        Closing,
        Finished,
    };

    /// An operator's request that awaits the controller's reply.
    struct ForwardedRequest
    {
        EdgeResponder respond;
        TimePoint deadline;
        /// A change may have been accepted although no reply arrived.
        bool isChange = false;
    };

    // Startup.
    absl::Status readSecrets();
    absl::Status startTransport();
    absl::Status startControlGroup();
    absl::Status startListener();
    absl::Status startSessions();
    ProxyPeers proxyPeers();

    // Periodic work.
    void tick(TimePoint now);
    /// When tick() has something to do if no event comes first.
    TimePoint nextTick(TimePoint now);
    bool ticksAlways() const;
    void sendReport(TimePoint now);
    void reportTo(const NodeId &target, const NodeReport &report, TimePoint now);
    void reportToAllMembers(const NodeReport &report, TimePoint now);
    bool earlyReportDue(TimePoint now);
    /// Requests reports from the nodes, because changes reach them with the leases that answer.
    void requestReports(const std::vector<NodeId> &nodes);
    void requestDueReports(TimePoint now);
    void onPeerConnected(const NodeId &peer);
    void logController();
    void logSummary(TimePoint now);
    /// Logs what may cost this node its lease, or a member of the control group its leadership.
    void logDelay(std::string_view event, Duration delay);
    ReportInput reportInput(TimePoint now);
    void expireForwarded(TimePoint now);

    // Messages from peers.
    void onPeerMessage(const PeerMessage &message);
    void onControllerHint(const PeerMessage &message, TimePoint now);
    void onReport(const PeerMessage &message, TimePoint now);
    void answerReport(const NodeReport &report, const PeerProcess &to, std::uint64_t requestId,
                      TimePoint now);
    void onLease(const PeerMessage &message, TimePoint now);
    void onForward(const PeerMessage &message, TimePoint now);
    void onForwardReply(std::uint64_t requestId, const std::string &payload);

    // Single tokens.
    void requestMissingTokens(TimePoint now);
    void onTokenRequests(const PeerMessage &message, TimePoint now);
    void answerTokenRequests(const TokenRequester &requester,
                             const std::vector<TokenRequest> &requests, TimePoint now);
    void deliverTokens(const std::vector<TokenDelivery> &deliveries, TimePoint now);
    void onTokenGrants(const PeerMessage &message, TimePoint now);
    void applyTokenGrants(const std::vector<TokenGrant> &grants, std::uint64_t request,
                          TimePoint now);

    // Relays.
    bool relayDue(TimePoint now) const;
    void relayNodeReport(NodeReport report, TimePoint now);
    void addRelayedReports(NodeReport &own, TimePoint now);
    void fanOutLeases(const NodeLease &answer);
    NodeId reportTarget() const;
    void updateRelay(TimePoint now);

    // Requests of operators and upstreams.
    void orderEvacuation(const EvacuationRequest &request, ConfigVersion basedOn, TimePoint now);
    void onEvacuationOrdered(const EvacuationRequest &request, const EdgeResponse &answer);
    void handleControl(EdgeRequest request, EdgeResponder respond);
    /// Answers from what this node knows; asks nobody.
    void explainPlacement(const ExplainPlacementRequest &request, const EdgeResponder &respond,
                          TimePoint now) const;
    void announce(const AnnounceRequest &request, const EdgeResponder &respond);
    // Control members that are discovered instead of configured.
    void addDiscoveredMember(const NodeId &member);
    void adoptControlMembers(const std::vector<NodeId> &members);
    void addGroupMembers();
    bool isRegularPeer(const NodeId &node) const;
    void searchNodes(TimePoint now);
    UpstreamControl controlOf(const ServiceId &service, const UpstreamId &upstream,
                              const Endpoint &endpoint, CallPermit permit) const;

    // Publication.
    bool applyLease(const NodeLease &lease, TimePoint now);
    void publishSnapshot();
    void publishServiceViews();
    void logSharesChange(const NodeLease &lease);
    void noteSharesGranted();
    void applyRateShares(TimePoint sharesUntil, TimePoint now);
    std::shared_ptr<ServiceHost> serviceHost(const ServiceId &service);
    TeamEntry teamEntry(const TeamConfig &team);

    // Shutdown.
    void advanceDrain();
    void cutOffOpenWork();
    bool hasOpenWork() const;
    bool hasUnsentAnswers() const;
    std::uint32_t openTransactions() const;
    void finish(int status);

    NodeSettings m_settings;
    /// Outlives all connections.
    std::shared_ptr<MemoryBudget> m_memory;
    PlatformAdapter m_platform;
    Logger m_logger;
    MetricsRegistry m_registry;
    NodeMetrics m_metrics { m_registry };
    Incarnation m_incarnation;
    NodeView m_view;
    NodeSharedState m_shared;
    ControllerLink m_controllerLink;
    /// Digest of the control members that the controller named last.
    std::uint64_t m_knownMembers = 0;
    NodeId m_loggedController;
    RelayLink m_relayLink;
    RelayState m_relay;
    /// Last controller that this relay named to each of its nodes.
    std::map<NodeId, NodeId> m_lastControllerHints;
    Counter &m_relayedReports;
    Gauge &m_evacuatedDataCentres;
    Counter &m_wakeups;
    Counter &m_ticks;
    std::map<TeamId, std::shared_ptr<TokenBucket>> m_buckets;
    std::map<ServiceId, std::shared_ptr<ServiceHost>> m_hosts;
    std::vector<std::unique_ptr<QThread>> m_executorThreads;
    HeldAnnouncements m_announcements;
    std::map<std::uint64_t, ForwardedRequest> m_forwarded;
    std::uint64_t m_lastForwardId = 0;
    std::uint64_t m_lastEvacuationOrder = 0;
    PendingTokenRequests m_pendingTokenRequests;
    /// Controller to which the pending token requests were sent.
    NodeId m_tokenController;
    ReportSchedule m_reportSchedule;
    std::array<Counter *, static_cast<std::size_t>(ReportReason::Count)> m_reportsSent {};
    TimePoint m_startedAt = monotonicNow();
    TimePoint m_nextSummary;
    bool m_fresh = false;
    bool m_hasShares = false;
    TimePoint m_drainStarted;
    DrainPhase m_drainPhase = DrainPhase::None;
    TimePoint m_closingStarted;
    /// The drain limit was reached while work was open.
    bool m_drainCutOff = false;
    /// Context object for timers and for calls queued by other threads.
    std::unique_ptr<QObject> m_context = std::make_unique<QObject>();
    std::unique_ptr<TickTimer> m_tickTimer;
    std::unique_ptr<ControlGroup> m_controlGroup;
    std::unique_ptr<ControllerHost> m_controller;
    std::unique_ptr<PeerTransport> m_transport;
    std::unique_ptr<EdgeListener> m_listener;
    std::unique_ptr<SessionProxy> m_sessions;
};

} // namespace shallotlever
