#include <gtest/gtest.h>

#include "shallotlever/fleet/distribution.h"

namespace shallotlever {
namespace {

FleetState stateWith(int upstreams)
{
    FleetState state;
    GroupView &group = state.view.groups[ServiceId("s")];
    group.service = ServiceId("s");
    for (int i = 0; i < upstreams; ++i) {
        const UpstreamId id("db" + std::to_string(i));
        group.upstreams[id].id = id;
        group.upstreams[id].service = ServiceId("s");
    }
    return state;
}

// Whatever state a node had, the update must lead it to the controller's state.
TEST(FleetLog, UpdatesLeadToTheSameState)
{
    FleetLog source;
    for (int i = 1; i <= 40; ++i)
        publishFleet(source, stateWith(i % 7 + 1), ControlTerm(i < 20 ? 1 : 2));
    FleetLog node;
    FleetLog middle;
    for (int i = 1; i <= 25; ++i)
        publishFleet(middle, stateWith(i % 7 + 1), ControlTerm(i < 20 ? 1 : 2));
    for (FleetLog *log : { &node, &middle }) {
        const FleetUpdate update = fleetUpdateSince(source, log->version);
        applyFleetUpdate(*log, update);
        EXPECT_EQ(log->state, source.state);
        EXPECT_EQ(log->version, source.version);
    }
    EXPECT_FALSE(publishFleet(source, source.state, ControlTerm(2)));
    EXPECT_TRUE(fleetUpdateSince(source, { ControlTerm(9), 3 }).full);
}

TEST(ConfigLog, GivesChangesOrFullState)
{
    ConfigLog log;
    resetConfigLog(log, ConfigVersion(10), "s10");
    appendConfigChange(log, "c11", "s11");
    appendConfigChange(log, "c12", "s12");
    EXPECT_EQ(configUpdateSince(log, ConfigVersion(11)).changes,
              std::vector<std::string> { "c12" });
    EXPECT_EQ(configUpdateSince(log, ConfigVersion(9)).full, "s12");
    EXPECT_TRUE(configUpdateSince(log, ConfigVersion(12)).changes.empty());
    EXPECT_EQ(configUpdateSince(log, ConfigVersion(13)).full, "s12");
}

// A node must only get a lease for a report that the controller itself has answered.
TEST(Relay, CarriesReportsWithTheirAgeAndSplitsTheAnswer)
{
    RelayState relay;
    NodeReport report;
    report.node = NodeId("n1");
    report.incarnation = Incarnation(3);
    report.number = 1;
    report.announcements.resize(1);
    relayReport(relay, report, TimePoint(10s));
    report.number = 2;
    relayReport(relay, report, TimePoint(10s) + 200ms);
    NodeReport own;
    relayFlush(relay, own, TimePoint(10s) + 300ms);
    ASSERT_EQ(own.nodes.size(), 1U);
    EXPECT_EQ(own.nodes[0].age, Duration(100ms));
    ASSERT_EQ(own.nodes[0].announcements.size(), 2U);
    EXPECT_EQ(own.nodes[0].announcements[0].age, Duration(200ms));

    ConfigLog config;
    resetConfigLog(config, ConfigVersion(4), "full");
    FleetLog fleet;
    const LeaseSource source { ControlTerm(1), LogIndex(9), &config, &fleet };
    NodeLease answer;
    answer.nodes = { makeRelayedLease(own.nodes[0], makeShareSet(ControlTerm(1)), false) };
    const auto leases = relayLeases(relay, answer, source);
    ASSERT_EQ(leases.size(), 1U);
    EXPECT_EQ(leases[0].report, 2U);
    EXPECT_EQ(leases[0].config.full, "full");
    EXPECT_TRUE(relayLeases(relay, NodeLease {}, source).empty());
}

} // namespace
} // namespace shallotlever
