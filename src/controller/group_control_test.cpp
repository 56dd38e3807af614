#include <algorithm>

#include "controller_fixture.h"
#include "shallotlever/fleet/group_members.h"

namespace shallotlever {
namespace {

/// The controller of a service whose databases confirm commits, which knows a replica.
class ControllerStatuses : public ControllerNodeRecords
{
protected:
    ControllerStatuses()
    {
        ServiceConfig &service = m_state.cluster.config.services[ServiceId("s")];
        service.id = ServiceId("s");
        service.confirmsCommits = true;
        service.confirmingReplicas = 1;
        m_controller = makeController(ControlTerm(2), m_state, FleetLog(), 1, kStart);
    }

    void announce(std::uint64_t lifetime) { announce("db", "s", lifetime); }

    /// Reports an announcement, by default of the endpoint of "db".
    void announce(const char *upstream, const char *service, std::uint64_t lifetime,
                  const char *host = "10.0.0.1")
    {
        NodeReport next = report("a", 1, ++m_reports);
        next.appliedFleet = m_controller.fleetLog.version;
        HeardAnnouncement heard;
        heard.announcement.upstream = UpstreamId(upstream);
        heard.announcement.service = ServiceId(service);
        heard.announcement.endpoint = { host, 5432 };
        heard.announcement.lifetime = Incarnation(lifetime);
        next.announcements.push_back(heard);
        reportGetsLease(next);
    }

    UpstreamCall statusCall()
    {
        m_now += 2s;
        const ControllerActions actions = advanceController(m_controller, m_state, m_now);
        EXPECT_FALSE(actions.calls.empty());
        return actions.calls.empty() ? UpstreamCall() : actions.calls.front();
    }

    /// Whether a status is used for the process that is announced.
    bool hasStatus() const
    {
        const auto &statuses = m_controller.groups.at(ServiceId("s")).statuses;
        const auto found = statuses.find(UpstreamId("db"));
        return found != statuses.end()
            && found->second.incarnation
            == m_controller.registry.entries.at(UpstreamId("db")).announcement.lifetime;
    }

    /// Advances the controller and applies its decisions.
    std::vector<UpstreamCall> step()
    {
        ControllerActions actions = advanceController(m_controller, m_state, m_now);
        for (const GroupDecision &decision : actions.proposals) {
            const LogIndex index = m_state.cluster.index.next();
            const ChangeResult result = applyCommand(m_state, decision, index, 0);
            onCommandApplied(m_controller, m_state, decision, result, index, m_now);
            onOwnDecisionAccepted(m_controller, decision);
        }
        return actions.calls;
    }

    std::uint64_t m_reports = 0;
};

// Guards against taking the log end or the fence of an ended process for those of the process that
// has started under its id with nothing.
TEST_F(ControllerStatuses, AnswerOfAnEndedProcessDoesNotCount)
{
    announce(1);
    const UpstreamCall call = statusCall();
    UpstreamAnswer answer;
    answer.status.emplace();
    announce(2);
    onUpstreamAnswer(m_controller, call, answer, m_now, m_now);
    EXPECT_FALSE(hasStatus());
    const UpstreamCall next = statusCall();
    onUpstreamAnswer(m_controller, next, answer, m_now, m_now);
    EXPECT_TRUE(hasStatus());
    announce(3);
    EXPECT_FALSE(hasStatus());
}

struct OtherWriterCase
{
    const char *name;
    const char *service;
    std::uint64_t lifetime;
};

class OtherWriter : public ControllerStatuses, public testing::WithParamInterface<OtherWriterCase>
{
protected:
    /// Advances the controller for a while, during which the database announces itself and answers.
    void run(Duration duration)
    {
        for (const TimePoint end = m_now + duration; m_now < end; m_now += 50ms) {
            announce(5);
            for (const UpstreamCall &call : step()) {
                UpstreamAnswer answer;
                if (call.upstream == UpstreamId("db"))
                    answer.status.emplace();
                onUpstreamAnswer(m_controller, call, answer, m_now, m_now);
            }
        }
    }

    bool recorded(const char *upstream) const
    {
        const auto &members = m_state.cluster.groups.at(ServiceId("s")).members;
        return std::ranges::any_of(members, [&](const auto &member) {
            return member.first.upstream == UpstreamId(upstream);
        });
    }
};

// Guards against review/6: one message that names the endpoint of a running database made it count
// as ended for good, so that its log wasn't asked for and it wasn't fenced.
TEST_P(OtherWriter, DoesNotEndTheDatabaseAtItsEndpoint)
{
    run(5s);
    ASSERT_TRUE(recorded("db"));
    announce("agent", GetParam().service, GetParam().lifetime);
    EXPECT_FALSE(hasEnded(m_controller.registry, { UpstreamId("db"), Incarnation(5) }));
    run(1s);
    EXPECT_TRUE(recorded("db"));
    EXPECT_FALSE(hasEnded(m_controller.registry, { UpstreamId("db"), Incarnation(5) }));
    const auto &upstreams = m_controller.fleetLog.state.view.groups.at(ServiceId("s")).upstreams;
    EXPECT_TRUE(upstreams.contains(UpstreamId("db")));
    EXPECT_FALSE(upstreams.contains(UpstreamId("agent")));
}

INSTANTIATE_TEST_SUITE_P(Messages, OtherWriter,
                         testing::Values(OtherWriterCase { "UnknownService", "nightly", 9 },
                                         OtherWriterCase { "ServiceOfTheDatabase", "s", 9 },
                                         OtherWriterCase { "EarlierProcess", "s", 3 }),
                         [](const auto &info) { return info.param.name; });

// Guards against a member that never was: what was ignored while its service was unknown must not
// count once the service is configured, as nothing can fence it.
TEST_F(OtherWriter, IsNoMemberOfAServiceConfiguredLater)
{
    announce("agent", "later", 9);
    m_state.cluster.config.services[ServiceId("later")] =
        m_state.cluster.config.services.at(ServiceId("s"));
    m_state.cluster.config.services[ServiceId("later")].id = ServiceId("later");
    run(1s);
    EXPECT_FALSE(m_state.cluster.groups.contains(ServiceId("later")));
    // A database announces itself again.
    announce("other", "later", 7, "10.0.0.2");
    run(1s);
    EXPECT_TRUE(m_state.cluster.groups.at(ServiceId("later"))
                    .members.contains({ UpstreamId("other"), Incarnation(7) }));
}

/// A controller that has just started and hears of one replica, while the log records the primary
/// and another replica.
class ControllerMembers : public ControllerStatuses
{
protected:
    ControllerMembers()
    {
        GroupState &group = m_state.cluster.groups[ServiceId("s")];
        group.service = ServiceId("s");
        group.term = group.reservedTerm = Term(1);
        group.primary = UpstreamId("p");
        group.primaryIncarnation = Incarnation(1);
        for (const char *id : { "p", "r", "db" })
            group.members[{ UpstreamId(id), Incarnation(1) }].endpoint = { id, 5432 };
        m_controller = makeController(ControlTerm(2), m_state, FleetLog(), 1, kStart);
    }

    /// Runs the controller, with decisions applied and the replica answering, and returns whether
    /// it orders a promotion.
    bool promotes(Duration duration)
    {
        for (const TimePoint end = m_now + duration; m_now < end; m_now += 50ms) {
            announce(1);
            for (const UpstreamCall &call : step()) {
                if (call.kind == CallKind::Promote)
                    return true;
                UpstreamAnswer answer;
                answer.status.emplace();
                answer.status->point = { Term(1), LogPosition(20) };
                answer.status->newestTerm = Term(1);
                answer.status->fencedTerm = call.kind == CallKind::Fence ? call.term : m_fence;
                m_fence = answer.status->fencedTerm;
                if (m_heard.contains(call.upstream))
                    onUpstreamAnswer(m_controller, call, answer, m_now, m_now);
            }
        }
        return false;
    }

    Term m_fence;
    std::set<UpstreamId> m_heard { UpstreamId("db") };
};

// Guards against a controller that takes the members which it has not heard of since its start for
// absent, and promotes a replica that lacks their commits.
TEST_F(ControllerMembers, MemberNotHeardOfSinceTheElectionMayHoldCommits)
{
    EXPECT_FALSE(promotes(20s));
    const GroupControl &group = m_controller.groups.at(ServiceId("s"));
    EXPECT_EQ(group.confirmed.reason, ChangeReason::Suspected);
    const std::vector<AwaitedProcess> awaited {
        { { UpstreamId("p"), Incarnation(1) }, AwaitReason::Unfenced },
        { { UpstreamId("r"), Incarnation(1) }, AwaitReason::Unfenced }
    };
    EXPECT_EQ(group.confirmed.awaited, awaited);
}

// Guards against a change that waits for a process that holds no commit.
TEST_F(ControllerMembers, MembersThatHaveLeftAreNotAwaited)
{
    m_state.cluster.groups[ServiceId("s")].members.erase({ UpstreamId("r"), Incarnation(1) });
    m_controller = makeController(ControlTerm(2), m_state, FleetLog(), 1, kStart);
    EXPECT_TRUE(promotes(20s));
}

// Guards against members that a later controller doesn't know of.
TEST_F(ControllerMembers, AnnouncedDatabaseIsRecorded)
{
    m_state.cluster.groups[ServiceId("s")].members.clear();
    announce(1);
    step();
    EXPECT_TRUE(m_state.cluster.groups.at(ServiceId("s"))
                    .members.contains({ UpstreamId("db"), Incarnation(1) }));
}

/// A group with its primary in one data centre and a replica in another one.
class EvacuatedPrimary : public ControllerStatuses
{
protected:
    EvacuatedPrimary()
    {
        GroupState &group = m_state.cluster.groups[ServiceId("s")];
        group.service = ServiceId("s");
        group.term = group.reservedTerm = Term(1);
        group.primary = UpstreamId("p");
        group.primaryIncarnation = Incarnation(1);
        m_controller = makeController(ControlTerm(2), m_state, FleetLog(), 1, kStart);
    }

    void hear(const char *upstream, const char *dataCentre, UpstreamRole role)
    {
        NodeReport next = report("a", 1, ++m_reports);
        next.appliedFleet = m_controller.fleetLog.version;
        HeardAnnouncement heard;
        heard.announcement.upstream = UpstreamId(upstream);
        heard.announcement.service = ServiceId("s");
        heard.announcement.dataCentre = DataCentreId(dataCentre);
        heard.announcement.endpoint = { upstream, 5432 };
        heard.announcement.lifetime = Incarnation(1);
        heard.announcement.role = role;
        next.announcements.push_back(heard);
        reportGetsLease(next);
    }

    /// Why the controller replaces the primary; None if it does not.
    ChangeReason reasonAfter(Duration duration)
    {
        for (const TimePoint end = m_now + duration; m_now < end; m_now += 100ms) {
            hear("p", "x", UpstreamRole::Primary);
            hear("r", "y", UpstreamRole::Replica);
            advanceController(m_controller, m_state, m_now);
        }
        const ConfirmedChange &change = m_controller.groups.at(ServiceId("s")).confirmed;
        return change.phase == ConfirmedPhase::Idle ? ChangeReason::None : change.reason;
    }

    /// Runs the controller with its decisions applied, and returns the view published then. The
    /// primary announces itself only if `primaryHeard`.
    const GroupView &viewAfter(Duration duration, bool primaryHeard)
    {
        for (const TimePoint end = m_now + duration; m_now < end; m_now += 100ms) {
            if (primaryHeard)
                hear("p", "x", UpstreamRole::Primary);
            hear("r", "y", UpstreamRole::Replica);
            step();
        }
        return m_controller.fleetLog.state.view.groups.at(ServiceId("s"));
    }

    void evacuate(const char *dataCentre)
    {
        m_state.cluster.config.evacuations[DataCentreId(dataCentre)] = { true, ConfigVersion(1) };
    }

    UpstreamState publishedState(const char *upstream) const
    {
        const GroupView &view = m_controller.fleetLog.state.view.groups.at(ServiceId("s"));
        return view.upstreams.at(UpstreamId(upstream)).state;
    }
};

// Guards against an evacuation that leaves the primary in office.
TEST_F(EvacuatedPrimary, IsReplacedAsOneThatLeaves)
{
    EXPECT_EQ(reasonAfter(5s), ChangeReason::None);
    evacuate("x");
    EXPECT_EQ(reasonAfter(1s), ChangeReason::Leaving);
    EXPECT_EQ(publishedState("p"), UpstreamState::Leaving);
    EXPECT_EQ(publishedState("r"), UpstreamState::Live);
}

// Guards against nodes that drop the answers which a planned change waits for, and against nodes
// that pass on those of a failed primary, which an unplanned change doesn't wait for (review/10).
TEST_F(EvacuatedPrimary, ViewTellsPlannedChangeFromFailover)
{
    EXPECT_EQ(viewAfter(5s, true).primary, UpstreamId("p"));
    evacuate("x");
    const GroupView &planned = viewAfter(1s, true);
    EXPECT_EQ(planned.primary, std::nullopt);
    EXPECT_TRUE(planned.switchover);
}

// As above, for a primary that is silent.
TEST_F(EvacuatedPrimary, ViewOfFailoverIsNoSwitchover)
{
    EXPECT_FALSE(viewAfter(5s, true).switchover);
    const GroupView &failover = viewAfter(5s, false);
    EXPECT_EQ(failover.primary, std::nullopt);
    EXPECT_FALSE(failover.switchover);
}

// Guards against changes of primary back and forth between databases none of which may work.
TEST_F(EvacuatedPrimary, StaysInOfficeIfEveryDatabaseIsEvacuated)
{
    evacuate("x");
    evacuate("y");
    EXPECT_EQ(reasonAfter(5s), ChangeReason::None);
    EXPECT_EQ(publishedState("r"), UpstreamState::Leaving);
}

} // namespace
} // namespace shallotlever
