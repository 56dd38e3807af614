#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include "shallotlever/config/state.h"

namespace shallotlever {
namespace {

class ApplyTest : public testing::Test
{
protected:
    ChangeResult apply(const Command &command)
    {
        return applyCommand(m_state, command, m_state.cluster.index.next(), 1'000);
    }
    ChangeResult change(const std::string &id, std::uint64_t basedOn, Change op)
    {
        return apply(OperatorChange { ChangeId(id), ConfigVersion(basedOn), std::move(op) });
    }
    ChangeOutcome decide(GroupDecision decision) { return apply(decision).outcome; }

    ReplicatedState m_state = initialState();
};

PutService putService(const std::string &id)
{
    return { ServiceConfig { ServiceId(id) } };
}

// Two concurrent changes based on the same version must not both be accepted, and the rejected one
// must be told which change was accepted.
TEST_F(ApplyTest, AcceptsOneOfTwoConcurrentChanges)
{
    EXPECT_EQ(change("a", 0, putService("x")).outcome, ChangeOutcome::Accepted);
    const ChangeResult lost = change("b", 0, putService("y"));
    EXPECT_EQ(lost.outcome, ChangeOutcome::Conflict);
    EXPECT_EQ(lost.winner, ChangeId("a"));
    EXPECT_EQ(m_state.cluster.config.version, ConfigVersion(1));
}

// A resent change must not be applied twice or return an outcome other than the first.
TEST_F(ApplyTest, ResendReturnsFirstOutcome)
{
    const ChangeResult accepted = change("a", 0, putService("x"));
    const ChangeResult refused = change("b", 0, putService("y"));
    change("c", 1, putService("z"));
    EXPECT_EQ(change("a", 0, putService("x")), accepted);
    EXPECT_EQ(change("b", 2, putService("y")), refused);
    EXPECT_EQ(m_state.cluster.config.version, ConfigVersion(2));
}

// The history and the decision log must not grow without bound.
TEST_F(ApplyTest, HistoryEvictsOldestChange)
{
    for (std::size_t i = 0; i <= kMaxRememberedChanges; ++i)
        change("id" + std::to_string(i), i, SetPreset { PresetId("peak") });
    EXPECT_EQ(m_state.history.results.size(), kMaxRememberedChanges);
    EXPECT_EQ(m_state.history.accepted.size(), kMaxRememberedChanges);
    EXPECT_FALSE(m_state.history.results.contains(ChangeId("id0")));
    EXPECT_EQ(m_state.decisions.size(), kMaxDecisionRecords);
}

struct EvacuationStep
{
    bool inForce;
    std::uint64_t basedOn;
    ChangeOutcome outcome;
};

struct EvacuationCase
{
    const char *name;
    std::vector<EvacuationStep> steps;
    bool evacuated;
};

class EvacuationOrders : public testing::TestWithParam<EvacuationCase>
{
};

constexpr auto kAccepted = ChangeOutcome::Accepted;
constexpr auto kConflict = ChangeOutcome::Conflict;

// Guards against an order that is refused because something else changed, and against one that was
// delayed and undoes a later one.
TEST_P(EvacuationOrders, TakeEffectInTheOrderInWhichTheyWereGiven)
{
    const DataCentreId c("c");
    ReplicatedState state = initialState();
    std::uint64_t index = 0;
    const auto apply = [&](std::uint64_t basedOn, Change op) {
        const ChangeId id(std::to_string(++index));
        return applyCommand(state, OperatorChange { id, ConfigVersion(basedOn), std::move(op) },
                            LogIndex(index), 0);
    };
    apply(0, putService("x"));
    apply(1, PutEvacuation { DataCentreId("other") });
    for (const EvacuationStep &step : GetParam().steps) {
        const ChangeResult result = step.inForce ? apply(step.basedOn, PutEvacuation { c })
                                                 : apply(step.basedOn, RemoveEvacuation { c });
        EXPECT_EQ(result.outcome, step.outcome);
    }
    EXPECT_EQ(isEvacuated(state.cluster.config, c), GetParam().evacuated);
    EXPECT_TRUE(isEvacuated(state.cluster.config, DataCentreId("other")));
}

INSTANTIATE_TEST_SUITE_P(
    Orders, EvacuationOrders,
    testing::Values(
        EvacuationCase { "OnAnOldVersion", { { true, 0, kAccepted } }, true },
        EvacuationCase { "Resent", { { true, 2, kAccepted }, { true, 2, kAccepted } }, true },
        EvacuationCase { "Ended", { { true, 2, kAccepted }, { false, 3, kAccepted } }, false },
        EvacuationCase {
            "EndResent",
            { { true, 2, kAccepted }, { false, 3, kAccepted }, { false, 3, kAccepted } },
            false },
        EvacuationCase {
            "DelayedOrderAfterItsEnd",
            { { true, 2, kAccepted }, { false, 3, kAccepted }, { true, 2, kConflict } },
            false },
        EvacuationCase {
            "OrderThatTheEndOvertook", { { false, 2, kAccepted }, { true, 2, kConflict } }, false },
        EvacuationCase { "DelayedEndAfterTheNextOrder",
                         { { true, 2, kAccepted },
                           { false, 3, kAccepted },
                           { true, 4, kAccepted },
                           { false, 3, kConflict } },
                         true },
        EvacuationCase {
            "DelayedEndAfterARepeatedOrder",
            { { true, 2, kAccepted }, { true, 3, kAccepted }, { false, 3, kConflict } },
            true }),
    [](const auto &info) { return info.param.name; });

struct InvalidCase
{
    Change change;
    std::string field;
};

class InvalidChange : public testing::TestWithParam<InvalidCase>
{
};

// Changes that would leave dangling references or numbers out of range must be rejected.
TEST_P(InvalidChange, IsRejectedWithFieldName)
{
    ReplicatedState state = initialState();
    std::uint64_t version = 0;
    const auto apply = [&](Change op) {
        const std::string id = "setup" + std::to_string(version);
        return applyCommand(state, OperatorChange { ChangeId(id), ConfigVersion(version++), op },
                            LogIndex(version), 0);
    };
    apply(putService("s"));
    apply(PutTeam { { TeamId("t"), 1, 1, { ServiceId("s") } } });
    apply(AddKey { { KeyId("k"), KeyRole::Caller, TeamId("t"), {}, { 1 } } });
    const ClusterConfig before = state.cluster.config;
    const ChangeResult result = apply(GetParam().change);
    EXPECT_EQ(result.outcome, ChangeOutcome::Invalid);
    EXPECT_THAT(result.message, testing::StartsWith(GetParam().field + ":"));
    EXPECT_EQ(state.cluster.config, before);
    EXPECT_THAT(state.decisions.back().text, testing::HasSubstr(GetParam().field));
}

INSTANTIATE_TEST_SUITE_P(
    All, InvalidChange,
    testing::Values(
        InvalidCase { putService(""), "service.id" },
        InvalidCase { RemoveService { ServiceId("s") }, "id" },
        InvalidCase { RemoveService { ServiceId("none") }, "id" },
        InvalidCase { PutTeam { { TeamId("u"), -1, 1, {} } }, "team.rate_per_second" },
        InvalidCase { PutTeam { { TeamId("u"), 1, -1, {} } }, "team.burst" },
        InvalidCase { PutTeam { { TeamId("u"), 1, 1, { ServiceId("n") } } }, "team.services" },
        InvalidCase { RemoveTeam { TeamId("t") }, "id" },
        InvalidCase { AddKey { { KeyId("k"), KeyRole::Operator, {}, {}, { 1 } } }, "key.id" },
        InvalidCase { AddKey { { KeyId("l"), KeyRole::Caller, {}, {}, { 1 } } }, "key.team" },
        InvalidCase { AddKey { { KeyId("l"), KeyRole::Upstream, {}, {}, { 1 } } }, "key.service" },
        InvalidCase { AddKey { { KeyId("l"), KeyRole::Operator, {}, {}, {} } }, "key.hash" },
        InvalidCase { WithdrawKey { KeyId("none") }, "id" },
        InvalidCase { PutRoute { { RouteId("r"), ServiceId("n"), "select 1", {} } },
                      "route.service" },
        InvalidCase { PutRoute { { RouteId("r"), ServiceId("s"), "", {} } }, "route.sql" },
        InvalidCase { RemoveRoute { RouteId("none") }, "id" },
        InvalidCase { PutPreset { { PresetId("p"), { .maxAttempts = 0 } } },
                      "preset.max_attempts" },
        InvalidCase { PutPreset { { PresetId("p"), { .openRouteReserve = 1.5 } } },
                      "preset.open_route_reserve" },
        InvalidCase { SetPreset { PresetId("none") }, "id" },
        InvalidCase { PutEvacuation {}, "data_centre" },
        InvalidCase { RemoveEvacuation { DataCentreId("a b") }, "data_centre" }));

// The voting set must not change during a change of primary, and terms must not be reused.
TEST_F(ApplyTest, VotingSetIsFixedDuringPrimaryChange)
{
    const ServiceId s("s");
    EXPECT_EQ(decide(JoinVotingSet { s, UpstreamId("a") }), ChangeOutcome::Invalid);
    change("a", 0, putService("s"));
    EXPECT_EQ(decide(JoinVotingSet { s, UpstreamId("a") }), ChangeOutcome::Accepted);
    EXPECT_EQ(decide(JoinVotingSet { s, UpstreamId("a") }), ChangeOutcome::Invalid);
    EXPECT_EQ(decide(ReserveTerm { s, Term(3), "first" }), ChangeOutcome::Accepted);
    EXPECT_EQ(decide(ReserveTerm { s, Term(3), "again" }), ChangeOutcome::Invalid);
    EXPECT_EQ(decide(JoinVotingSet { s, UpstreamId("b") }), ChangeOutcome::Invalid);
    EXPECT_EQ(decide(SetPrimary { s, Term(2), UpstreamId("a") }), ChangeOutcome::Invalid);
    EXPECT_EQ(decide(SetPrimary { s, Term(3), UpstreamId("b") }), ChangeOutcome::Invalid);
    EXPECT_EQ(decide(SetPrimary { s, Term(3), UpstreamId("a") }), ChangeOutcome::Accepted);
    EXPECT_EQ(decide(SetPrimary { s, Term(3), UpstreamId("a") }), ChangeOutcome::Invalid);
    EXPECT_EQ(decide(JoinVotingSet { s, UpstreamId("b") }), ChangeOutcome::Accepted);
    EXPECT_EQ(decide(LeaveVotingSet { s, UpstreamId("a") }), ChangeOutcome::Invalid);
    EXPECT_EQ(decide(LeaveVotingSet { s, UpstreamId("b") }), ChangeOutcome::Accepted);
}

// A change of primary counts the members, so none may leave meanwhile; one that joins may confirm
// commits at once.
TEST_F(ApplyTest, MembersJoinButDoNotLeaveDuringPrimaryChange)
{
    const ServiceId s("s");
    const MemberId a { UpstreamId("a"), Incarnation(1) };
    const MemberId b { UpstreamId("b"), Incarnation(1) };
    change("a", 0, putService("s"));
    EXPECT_EQ(decide(ChangeMembers { s, { { a, {} } }, {} }), ChangeOutcome::Accepted);
    EXPECT_EQ(decide(ReserveTerm { s, Term(3), "first" }), ChangeOutcome::Accepted);
    EXPECT_EQ(decide(ChangeMembers { s, { { b, {} } }, {} }), ChangeOutcome::Accepted);
    EXPECT_EQ(decide(ChangeMembers { s, {}, { a } }), ChangeOutcome::Invalid);
    EXPECT_EQ(m_state.cluster.groups.at(s).members.size(), 2U);
    EXPECT_EQ(decide(SetPrimary { s, Term(3), UpstreamId("b"), Incarnation(1) }),
              ChangeOutcome::Accepted);
    EXPECT_EQ(m_state.cluster.groups.at(s).primaryIncarnation, Incarnation(1));
    EXPECT_EQ(decide(ChangeMembers { s, {}, { a } }), ChangeOutcome::Accepted);
    EXPECT_EQ(m_state.cluster.groups.at(s).members.size(), 1U);
}

// Terms must not restart when a service is removed and added again.
TEST_F(ApplyTest, TermsPersistAcrossServiceRemoval)
{
    const ServiceId s("s");
    change("a", 0, putService("s"));
    decide(ReserveTerm { s, Term(7), "test" });
    change("b", 1, RemoveService { s });
    change("c", 2, putService("s"));
    EXPECT_EQ(decide(ReserveTerm { s, Term(7), "test" }), ChangeOutcome::Invalid);
}

InstallConfig install(std::uint64_t number, const std::string &service)
{
    InstallConfig command;
    command.content.installed.number = InstallNumber(number);
    command.content.installed.document = "document " + std::to_string(number);
    command.content.services[ServiceId(service)] = { ServiceId(service), 30, 1, true };
    const KeyConfig key { KeyId("caller"), KeyRole::Caller, TeamId("t"), {}, { 1 } };
    command.content.keys[key.id] = key;
    return command;
}

struct InstallCase
{
    const char *name;
    std::uint64_t number;
    ChangeOutcome outcome;
    const char *service;
};

class Install : public testing::TestWithParam<InstallCase>
{
};

// A configuration whose number is not higher than the installed one must not take effect.
TEST_P(Install, RequiresHigherNumber)
{
    ReplicatedState state = initialState();
    applyCommand(state, install(5, "first"), LogIndex(1), 0);
    const InstallCase &c = GetParam();
    EXPECT_EQ(applyCommand(state, install(c.number, "second"), LogIndex(2), 0).outcome, c.outcome);
    EXPECT_TRUE(state.cluster.config.services.contains(ServiceId(c.service)));
    EXPECT_EQ(state.cluster.config.services.size(), 1U);
}

INSTANTIATE_TEST_SUITE_P(
    Numbers, Install,
    testing::Values(InstallCase { "Higher", 6, ChangeOutcome::Accepted, "second" },
                    InstallCase { "Same", 5, ChangeOutcome::Conflict, "first" },
                    InstallCase { "Lower", 4, ChangeOutcome::Conflict, "first" }),
    [](const auto &info) { return info.param.name; });

// A difference that lacks an added, changed or removed entry would leave a node with a
// configuration other than the installed one.
TEST_F(ApplyTest, DifferenceReproducesInstalledConfiguration)
{
    apply(install(1, "first"));
    m_state.cluster.config.keys[KeyId("op")] = { KeyId("op"), KeyRole::Operator, {}, {}, {} };
    change("evacuation", 1, PutEvacuation { DataCentreId("c") });
    ReplicatedState node = m_state;
    InstallConfig next = install(2, "second");
    next.content.teams[TeamId("t")] = { TeamId("t"), 10, 10, {} };
    next.content.databases[DatabaseName("d")].name = DatabaseName("d");
    apply(next);
    EXPECT_TRUE(isEvacuated(m_state.cluster.config, DataCentreId("c")));
    const ConfigDifference added = configDifference(node.cluster.config, m_state.cluster.config);
    EXPECT_EQ(added.changed.keys.size(), 0U);
    applyCommand(node, added, LogIndex(9), 0);
    EXPECT_EQ(node.cluster.config, m_state.cluster.config);
    apply(install(3, "second"));
    const ConfigDifference removed = configDifference(node.cluster.config, m_state.cluster.config);
    applyCommand(node, removed, LogIndex(10), 0);
    EXPECT_EQ(node.cluster.config, m_state.cluster.config);
}

// Installing a configuration must remove the callers' keys of the previous one and keep the
// operators' keys.
TEST_F(ApplyTest, InstallReplacesOnlyCallerKeys)
{
    m_state.cluster.config.keys[KeyId("old")] = { KeyId("old"), KeyRole::Caller, {}, {}, {} };
    m_state.cluster.config.keys[KeyId("op")] = { KeyId("op"), KeyRole::Operator, {}, {}, {} };
    apply(install(1, "s"));
    const auto &keys = m_state.cluster.config.keys;
    EXPECT_FALSE(keys.contains(KeyId("old")));
    EXPECT_TRUE(keys.contains(KeyId("op")));
    EXPECT_TRUE(keys.contains(KeyId("caller")));
}

// A new controller must not wait for a node process that has been replaced or removed.
TEST_F(ApplyTest, RecordsLatestIncarnationOfNode)
{
    apply(RecordNode { NodeId("n"), Incarnation(4) });
    apply(RecordNode { NodeId("n"), Incarnation(5) });
    EXPECT_EQ(m_state.cluster.nodes.at(NodeId("n")), Incarnation(5));
    apply(RecordNode { NodeId("n"), Incarnation() });
    EXPECT_TRUE(m_state.cluster.nodes.empty());
}

} // namespace
} // namespace shallotlever
