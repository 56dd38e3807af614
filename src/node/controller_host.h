#pragma once

#include <deque>
#include <functional>
#include <map>
#include <optional>

#include "control_group.h"
#include "forward.h"
#include "node_search.h"
#include "report_requests.h"
#include "shallotlever/controller/controller.h"
#include "shallotlever/policy/token_grants.h"
#include "shallotlever/telemetry/log.h"
#include "shallotlever/telemetry/metrics.h"
#include "shallotlever/upstream/control.h"

namespace shallotlever {

/// Whole milliseconds, rounded down, as log lines state times.
inline std::int64_t millisecondsBetween(TimePoint from, TimePoint to)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(to - from).count();
}

/// Runs the controller while this node leads the control group: calls upstreams, proposes
/// decisions, and answers reports and operators. Control thread only.
class ControllerHost
{
public:
    /// Creates the control calls of one database. A call leaves only while the permit holds.
    using MakeControl = std::function<UpstreamControl(const ServiceId &, const UpstreamId &,
                                                      const Endpoint &, CallPermit)>;
    using ForwardCallback = std::function<void(OperatorReply)>;

    /// `group` and `logger` must outlive the host.
    ControllerHost(ControlGroup &group, const Logger &logger, MetricsRegistry &metrics,
                   MakeControl makeControl, bool recordNodes);
    ~ControllerHost();

    /// Starts or stops the controller when this node gains or loses the leader lease, and advances
    /// its decisions. `ownView` is the fleet log of this node.
    void tick(const FleetLog &ownView, TimePoint now);

    bool isActive() const { return m_controller.has_value(); }
    /// nullopt if the report must not be answered, or not before its process is recorded.
    std::optional<NodeLease> answerReport(const NodeReport &report, const PeerProcess &from,
                                          std::uint64_t requestId, TimePoint now);
    /// Reports whose processes have been recorded, to be answered now; a few at a time, so call it
    /// every 10 ms.
    std::vector<HeldReport> takeAnswerableReports(TimePoint now);
    /// Returns grants of single tokens to send; empty if this node is not the controller.
    std::vector<TokenDelivery> requestTokens(const TokenRequester &requester,
                                             const std::vector<TokenRequest> &requests,
                                             TimePoint now);
    /// Call every 10 ms.
    std::vector<TokenDelivery> serveTokenQueues(TimePoint now);
    void onApplied(const Command &command, const ChangeResult &result, LogIndex index,
                   TimePoint now);
    void forward(const OperatorRequest &request, ForwardCallback callback, TimePoint now);
    /// Nodes to request reports from: after the fleet view or the configuration changed, holders of
    /// a lease from which none is on its way, and nodes that have been recorded without a report
    /// that could be answered.
    std::vector<NodeId> takeReportTargets(TimePoint now);
    /// Returns the recorded nodes to connect to, because they don't report, and those to disconnect
    /// from; also when this node has just ceased to be the controller.
    NodeSearchStep takeNodeSearchStep(TimePoint now);
    /// Returns true once after this node became the controller.
    bool takeElected();

private:
    struct Waiter
    {
        ChangeResult result;
        TimePoint deadline;
        ForwardCallback callback;
    };
    struct OrderedPromotion
    {
        UpstreamId upstream;
        Term epoch;
        TimePoint orderedAt;
        bool answered = false;
    };
    struct ControlLink
    {
        Endpoint endpoint;
        UpstreamControl control;
    };

    void startController(const FleetLog &ownView, TimePoint now);
    void stopController(TimePoint now);
    void advance(TimePoint now);
    void checkPredecessorWait(TimePoint now);
    void logTerm();
    void logRecoveredView(const NodeReport &source, TimePoint now) const;
    void logFirstView(TimePoint now);
    void logShares(TimePoint now);
    void logTeams() const;
    void logFullUpstreams() const;
    void logWaitingChanges(TimePoint now) const;
    void call(const UpstreamCall &call, TimePoint now);
    void promote(const UpstreamCall &call, const StatusCallback &callback, TimePoint now);
    void withdrawEndedPromotions(TimePoint now);
    void noteAnswer(const UpstreamCall &call, const UpstreamAnswer &answer, TimePoint now);
    void withdrawPromotion(const ServiceId &service, const OrderedPromotion &promotion,
                           TimePoint now);
    UpstreamControl &controlOf(const UpstreamCall &call);
    CallPermit permitOfTerm() const;
    void propose(const GroupDecision &decision, TimePoint now);
    void logCall(const UpstreamCall &call, TimePoint now) const;
    void logPromotionOrder(const UpstreamCall &call, TimePoint now) const;
    void logFailedCall(const UpstreamCall &call, const absl::Status &status) const;
    void logPrimaryChange(const CompletedPrimaryChange &changed) const;
    void logRegistryEvent(const RegistryEvent &event) const;
    void proposeInstall(const InstallRequest &request, ForwardCallback callback, TimePoint now);
    void proposeChange(const ChangeRequest &request, ForwardCallback callback, TimePoint now);
    std::vector<NodeId> controlMembers() const;
    void answerWaiters(TimePoint now);
    ChangeResponse answerOf(const ChangeResult &result, TimePoint now) const;

    ControlGroup &m_group;
    MakeControl m_makeControl;
    bool m_recordNodes;
    /// Processes that have become eligible for leases and whose reports are not answered yet.
    std::deque<PeerProcess> m_newlyRecorded;
    /// Those of them that have to report once more.
    std::vector<NodeId> m_recordedWithoutReport;
    ReportRequests m_requests;
    NodeSearch m_nodeSearch;
    TimePoint m_nextNodeSearch;
    const Logger &m_logger;
    Counter &m_primaryChanges;
    LatencyHistogram &m_primaryChangeTime;
    std::optional<ControllerState> m_controller;
    std::map<UpstreamId, ControlLink> m_links;
    /// The last promotion that was ordered, by service.
    std::map<ServiceId, OrderedPromotion> m_promotions;
    std::vector<Waiter> m_waiters;
    bool m_reportRequestsDue = false;
    ControlTerm m_loggedTerm;
    bool m_elected = false;
    bool m_predecessorWaitEnded = false;
    bool m_firstViewLogged = false;
    /// Something happened since the last advance.
    bool m_advanceDue = true;
    TimePoint m_nextAdvance;
    TimePoint m_nextShareLog;
    /// Expires with this object; answers of upstreams that arrive later are ignored.
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

} // namespace shallotlever
