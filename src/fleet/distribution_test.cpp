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

// An update must lead to the controller's state from any state that a node may have.
TEST(FleetLog, UpdatesReproduceSourceState)
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

TEST(ConfigLog, ReturnsChangesOrFullState)
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

// A node must receive a lease only for a report that the controller has answered.
TEST(Relay, ForwardsReportAgesAndSplitsLeases)
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
    flushRelay(relay, own, TimePoint(10s) + 300ms, 1'000'000);
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

NodeReport largeReport(int node)
{
    NodeReport report;
    report.node = NodeId("node-" + std::to_string(node));
    report.incarnation = Incarnation(1);
    report.number = 1;
    for (int i = 0; i < 40; ++i) {
        const std::string name = "name-" + std::to_string(i);
        HeardAnnouncement heard;
        heard.announcement.upstream = UpstreamId(name);
        heard.announcement.service = ServiceId(name);
        heard.announcement.dataCentre = DataCentreId(name);
        heard.announcement.endpoint = { "10.20.30.40", 5432 };
        heard.announcement.point = { Term(1), LogPosition(1'000'000) };
        report.announcements.push_back(heard);
        report.observations.push_back({ UpstreamId(name), true, true });
        report.teams.push_back({ TeamId(name), 1.5, 5.5, 6.5, 7.5 });
        report.slots.push_back({ UpstreamId(name), 1, 2, 3, 4 });
    }
    return report;
}

// Guards against a frame above 1 MiB, which closes the link to the controller and so ends every
// lease obtained through the relay.
TEST(Relay, SplitsReportsThatExceedOneFrame)
{
    constexpr std::size_t kBytes = 300'000;
    constexpr int kNodes = 60;
    RelayState relay;
    for (int i = 0; i < kNodes; ++i)
        relayReport(relay, largeReport(i), TimePoint(10s) + Duration(i));
    std::size_t carried = 0;
    int reports = 0;
    while (!relay.waiting.empty()) {
        NodeReport own;
        flushRelay(relay, own, TimePoint(10s) + 75ms, kBytes);
        ASSERT_FALSE(own.nodes.empty());
        EXPECT_LE(encodeNodeReport(own).size(), kBytes);
        carried += own.nodes.size();
        ++reports;
    }
    EXPECT_EQ(carried, static_cast<std::size_t>(kNodes));
    EXPECT_GT(reports, 1);
}

TEST(Relay, SizeBoundCoversEncodedReportAndLease)
{
    const NodeReport report = largeReport(1);
    ShareSet shares = makeShareSet(ControlTerm(1));
    for (const TeamDemand &demand : report.teams)
        shares.rates.push_back({ demand.team, 1.5, 2.5, 3.5, true, 1ULL << 40U });
    for (const SlotDemand &demand : report.slots)
        shares.slots.push_back({ demand.upstream, 5 });
    EXPECT_GE(relayedBytesUpperBound(report), encodeNodeReport(report).size());
    EXPECT_GE(relayedBytesUpperBound(report),
              encodeNodeLease(makeRelayedLease(report, shares, true)).size());
}

} // namespace
} // namespace shallotlever
