#pragma once

#include <functional>
#include <map>
#include <optional>

#include "control_group.h"
#include "forward.h"
#include "shallotlever/controller/controller.h"
#include "shallotlever/policy/token_grants.h"
#include "shallotlever/telemetry/log.h"
#include "shallotlever/telemetry/metrics.h"
#include "shallotlever/upstream/control.h"

namespace shallotlever {

/// Runs the controller's decisions on the leader of the control group: calls upstreams, proposes
/// decisions, answers reports and operators. Control thread only.
class ControllerShell
{
public:
    /// Control calls to one database.
    using MakeControl =
        std::function<UpstreamControl(const ServiceId &, const UpstreamId &, const Endpoint &)>;
    using ForwardCallback = std::function<void(OperatorReply)>;

    /// `group` and `logger` must outlive the shell.
    ControllerShell(ControlGroup &group, const Logger &logger, MetricsRegistry &metrics,
                    MakeControl makeControl, bool recordNodes);
    ~ControllerShell();

    /// Takes or leaves office as the lease demands, and advances the decisions. `ownView` is the
    /// fleet log of this node.
    void tick(const FleetLog &ownView, TimePoint now);

    bool inOffice() const { return m_controller.has_value(); }
    /// nullopt if the report must not be answered.
    std::optional<NodeLease> answerReport(const NodeReport &report, TimePoint now);
    /// Grants of single tokens, to be sent. Empty if this node is not in office.
    std::vector<TokenDelivery> requestTokens(const TokenRequester &asker,
                                             const std::vector<TokenRequest> &requests,
                                             TimePoint now);
    /// Call every 10 ms.
    std::vector<TokenDelivery> serveTokenQueues(TimePoint now);
    void onApplied(const Command &command, const ChangeResult &result, LogIndex index,
                   TimePoint now);
    void forward(const OperatorRequest &request, ForwardCallback callback, TimePoint now);
    /// Nodes to ask for a report: holders of a lease, and those that can get their first one since
    /// the last call.
    std::vector<NodeId> takeReportTargets();
    /// True once after the fleet view or the configuration changed.
    bool takePushDue();
    /// True once after this node became the controller.
    bool takeElected();

private:
    struct Waiter
    {
        ChangeResult result;
        TimePoint deadline;
        ForwardCallback callback;
    };
    struct ControlLink
    {
        Endpoint endpoint;
        UpstreamControl control;
    };

    void takeOffice(const FleetLog &ownView, TimePoint now);
    void leaveOffice();
    void advance(TimePoint now);
    void watchPredecessorWait(TimePoint now);
    void logTerm();
    void logShares(TimePoint now);
    void logTeams() const;
    void logFullUpstreams() const;
    void call(const UpstreamCall &call, TimePoint now);
    UpstreamControl &controlOf(const UpstreamCall &call);
    void propose(const GroupDecision &decision, TimePoint now);
    void logFailedCall(const UpstreamCall &call, const absl::Status &status) const;
    void logChange(const CompletedPrimaryChange &changed) const;
    void proposeInstall(const InstallRequest &request, ForwardCallback callback, TimePoint now);
    void proposeChange(const ChangeRequest &request, ForwardCallback callback, TimePoint now);
    void answerWaiters(TimePoint now);
    ChangeResponse answerOf(const ChangeResult &result, TimePoint now) const;

    ControlGroup &m_group;
    MakeControl m_makeControl;
    bool m_recordNodes;
    /// Nodes that can get leases since the last takeReportTargets().
    std::vector<NodeId> m_recorded;
    const Logger &m_logger;
    Counter &m_primaryChanges;
    LatencyHistogram &m_writeGap;
    std::optional<ControllerState> m_controller;
    std::map<UpstreamId, ControlLink> m_links;
    std::vector<Waiter> m_waiters;
    bool m_pushDue = false;
    ControlTerm m_loggedTerm;
    bool m_elected = false;
    bool m_predecessorWaitEnded = false;
    /// Something happened since the last advance.
    bool m_advanceDue = true;
    TimePoint m_nextAdvance;
    TimePoint m_nextShareLog;
    /// Cancels answers of upstreams that arrive after this object is gone.
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

} // namespace shallotlever
