#pragma once

#include <map>
#include <memory>
#include <vector>

#include <QObject>
#include <QThread>
#include <QTimer>

#include "control_group.h"
#include "controller_link.h"
#include "controller_shell.h"
#include "forward.h"
#include "node_view.h"
#include "relay_link.h"
#include "report_schedule.h"
#include "request_path.h"
#include "service_host.h"
#include "shallotlever/edge/listener.h"
#include "shallotlever/node/node.h"
#include "shallotlever/policy/token_asks.h"
#include "shallotlever/policy/token_grants.h"
#include "shallotlever/proxy/proxy.h"
#include "shallotlever/wire/peer_transport.h"

namespace shallotlever {

/// Control thread of a node: reports to the controller, applies its leases, and publishes what the
/// edge and executor threads need.
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
    void forwardRequest(const OperatorRequest &request, EdgeResponder respond, TimePoint now);
    bool takeAnnouncement(const Announcement &announcement);
    void noteRefusal(ErrorKind kind, std::string_view subject, const std::string &reason);

private:
    enum class DrainPhase {
        None,
        /// /readyz fails, everything else goes on.
        Notice,
        /// New transactions are refused; open ones may finish.
        Transactions,
        /// The listener is closed; requests that have begun may finish.
        Requests,
        Finished,
    };

    /// An operator's request that waits for the controller.
    struct Forwarded
    {
        EdgeResponder respond;
        TimePoint deadline;
        /// A change may have been accepted although no answer came.
        bool changes = false;
    };

    // Start.
    absl::Status readSecrets();
    absl::Status startTransport();
    absl::Status startControlGroup();
    absl::Status startListener();
    absl::Status startSessions();

    // Periodic work.
    void tick();
    void sendReport(TimePoint now);
    bool earlyReportDue(TimePoint now);
    /// What has changed reaches the nodes with their next leases.
    void requestReports(const std::vector<NodeId> &nodes);
    void onPeerConnected(const NodeId &peer);
    void logController();
    void logSummary(TimePoint now);
    ReportInput reportInput(TimePoint now);
    void expireForwarded(TimePoint now);

    // Messages.
    void onPeerMessage(const PeerMessage &message);
    void onReport(const PeerMessage &message, TimePoint now);
    void answerReport(const NodeReport &report, const NodeId &to, std::uint64_t requestId,
                      TimePoint now);
    void onLease(const PeerMessage &message, TimePoint now);
    void onForward(const PeerMessage &message, TimePoint now);
    void onForwardReply(std::uint64_t requestId, const std::string &payload);

    // Single tokens.
    void askForTokens(TimePoint now);
    void onTokenRequests(const PeerMessage &message, TimePoint now);
    void answerTokenRequests(const TokenRequester &asker, const std::vector<TokenRequest> &requests,
                             TimePoint now);
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
    void watchRelay(TimePoint now);

    // Requests of operators and upstreams.
    void handleControl(EdgeRequest request, EdgeResponder respond);
    void announce(const AnnounceRequest &request, const EdgeResponder &respond);
    // Members that are not configured.
    void learnMember(const NodeId &member);
    void learnMembership();
    UpstreamControl controlOf(const ServiceId &service, const UpstreamId &upstream,
                              const Endpoint &endpoint) const;

    // Publication.
    bool applyLease(const NodeLease &lease, TimePoint now);
    void publishSnapshot();
    void publishServiceViews();
    void logSharesChange(const NodeLease &lease);
    void applyRateShares(TimePoint sharesUntil, TimePoint now);
    std::shared_ptr<ServiceHost> serviceHost(const ServiceId &service);
    TeamEntry teamEntry(const TeamConfig &team);

    // Stop.
    void continueDrain();
    std::uint32_t openTransactions() const;
    void finish(int status);

    NodeSettings m_settings;
    PlatformAdapter m_platform;
    Logger m_logger;
    MetricsRegistry m_registry;
    NodeMetrics m_metrics { m_registry };
    Incarnation m_incarnation;
    NodeView m_view;
    NodeShared m_shared;
    ControllerLink m_controllerLink;
    NodeId m_loggedController;
    RelayLink m_relayLink;
    RelayState m_relay;
    /// Controller that this relay last named to each of its nodes.
    std::map<NodeId, NodeId> m_toldController;
    Counter &m_relayedReports;
    std::map<TeamId, std::shared_ptr<TokenBucket>> m_buckets;
    std::map<ServiceId, std::shared_ptr<ServiceHost>> m_hosts;
    std::vector<std::unique_ptr<QThread>> m_executorThreads;
    /// Latest announcement of each upstream that this node heard since its last report.
    std::map<UpstreamId, std::pair<Announcement, TimePoint>> m_announcements;
    std::map<std::uint64_t, Forwarded> m_forwarded;
    std::uint64_t m_lastRequest = 0;
    PendingTokenRequests m_tokenAsks;
    /// Controller that was asked last.
    NodeId m_tokenSource;
    ReportSchedule m_reports;
    std::array<Counter *, static_cast<std::size_t>(ReportReason::Count)> m_reportsSent {};
    TimePoint m_nextSummary;
    bool m_fresh = false;
    bool m_sharesHeld = false;
    TimePoint m_drainStarted;
    DrainPhase m_drainPhase = DrainPhase::None;
    /// Receiver of timers and queued calls from other threads.
    std::unique_ptr<QObject> m_context = std::make_unique<QObject>();
    QTimer m_timer;
    std::unique_ptr<ControlGroup> m_controlGroup;
    std::unique_ptr<ControllerShell> m_controller;
    std::unique_ptr<PeerTransport> m_transport;
    std::unique_ptr<EdgeListener> m_listener;
    std::unique_ptr<SessionProxy> m_sessions;
};

} // namespace shallotlever
