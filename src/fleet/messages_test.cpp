#include <gtest/gtest.h>

#include "shallotlever/fleet/messages.h"
#include "shallotlever/fleet/token_messages.h"

namespace shallotlever {
namespace {

Announcement announcement()
{
    return { .upstream = UpstreamId("db1"),
             .service = ServiceId("s"),
             .dataCentre = DataCentreId("vast-a"),
             .endpoint = { .host = "10.0.0.1", .port = 5432 },
             .slots = 5,
             .connectionLimit = 20,
             .role = UpstreamRole::Primary,
             .point = { .term = Term(3), .position = LogPosition(70) },
             .leaving = true };
}

NodeReport fullReport()
{
    NodeReport report;
    report.node = NodeId("n1");
    report.incarnation = Incarnation(9);
    report.number = 12;
    report.age = 1500us;
    report.appliedConfig = ConfigVersion(8);
    report.appliedFleet = { ControlTerm(2), 17 };
    report.appliedShares = 33;
    report.controlOnly = true;
    report.announcements = { { announcement(), 20ms } };
    report.observations = { { .upstream = UpstreamId("db1"), .reachable = false },
                            { .upstream = UpstreamId("db2"), .withdrawn = true } };
    report.observationsBase = 11;
    report.knownMembers = 77;
    report.fleet = { {}, { ControlTerm(2), 17 }, true, { SetDrained { UpstreamId("db1"), true } } };
    report.teams = { { TeamId("t"), 12.5, 0.5 } };
    report.slots = { { UpstreamId("db1"), 1, 2, 3 } };
    return report;
}

NodeLease fullLease()
{
    NodeLease lease;
    lease.node = NodeId("n1");
    lease.incarnation = Incarnation(9);
    lease.report = 12;
    lease.length = 2s;
    lease.controlTerm = ControlTerm(2);
    lease.logIndex = LogIndex(40);
    lease.config = {
        ConfigVersion(8), ConfigVersion(10), std::nullopt, { "one", std::string(1, 0) }
    };
    lease.fleet = { { ControlTerm(2), 17 }, { ControlTerm(2), 22 }, false, {} };
    lease.fleet.changes = { PutGroup {
                                ServiceId("s"), Term(3), UpstreamId("db1"), { UpstreamId("db1") } },
                            PutGroup { ServiceId("s"), Term(3), std::nullopt, {}, true },
                            RemoveGroup { ServiceId("old") },
                            PutUpstream { { UpstreamId("db1"),
                                            ServiceId("s"),
                                            DataCentreId("a"),
                                            { "10.0.0.1", 1 },
                                            5,
                                            20,
                                            UpstreamState::Suspected } },
                            RemoveUpstream { ServiceId("s"), UpstreamId("db2") },
                            SetDrained { UpstreamId("db1"), true } };
    lease.shareVersion = 5;
    lease.sharesUnchanged = true;
    lease.rates = { { TeamId("t"), 1.5, 2.5 } };
    lease.slots = { { UpstreamId("db1"), 4 } };
    lease.wantsAllObservations = true;
    lease.wantsFleetView = true;
    lease.connectionsRenewed = true;
    lease.controlMembers = { NodeId("10.0.0.1"), NodeId("10.0.0.2") };
    return lease;
}

TEST(Messages, ReportRoundTrip)
{
    NodeReport report = fullReport();
    report.nodes = { fullReport(), NodeReport {} };
    const auto decoded = decodeNodeReport(encodeNodeReport(report));
    ASSERT_TRUE(decoded.ok()) << decoded.status();
    EXPECT_EQ(*decoded, report);
}

TEST(Messages, LeaseRoundTrip)
{
    NodeLease lease = fullLease();
    lease.nodes = { fullLease() };
    lease.nodes[0].config.full = "state";
    const auto decoded = decodeNodeLease(encodeNodeLease(lease));
    ASSERT_TRUE(decoded.ok()) << decoded.status();
    EXPECT_EQ(*decoded, lease);
}

// Guards against a peer that crashes the receiver or makes it recurse without bound.
TEST(Messages, RejectsMalformedInput)
{
    NodeReport nested = fullReport();
    nested.nodes = { fullReport() };
    nested.nodes[0].nodes = { fullReport() };
    EXPECT_FALSE(decodeNodeReport(encodeNodeReport(nested)).ok());
    NodeReport negative = fullReport();
    negative.age = -1us;
    EXPECT_FALSE(decodeNodeReport(encodeNodeReport(negative)).ok());
    EXPECT_FALSE(decodeNodeReport(encodeNodeLease(fullLease())).ok());
    EXPECT_FALSE(decodeNodeReport("").ok());
    const std::string good = encodeNodeReport(fullReport());
    for (std::size_t length = 0; length < good.size(); length += 3)
        (void)decodeNodeReport(good.substr(0, length));
    for (std::size_t i = 0; i < good.size(); ++i) {
        std::string damaged = good;
        damaged[i] = static_cast<char>(damaged[i] ^ 0x55);
        (void)decodeNodeReport(damaged);
    }
}

// Guards against a denial that is decoded as a grant, and against a lost team or duration.
TEST(TokenMessages, GrantsAndDenialsRoundTrip)
{
    const std::vector<TokenRequest> requests { { TeamId("a"), 1 }, { TeamId("b"), 7 } };
    EXPECT_EQ(decodeTokenRequests(encodeTokenRequests(requests)).value(), requests);
    const std::vector<TokenGrant> grants { { TeamId("a"), 2, 35ms, std::nullopt },
                                           { TeamId("b"), 0, Duration(0), 250ms } };
    EXPECT_EQ(decodeTokenGrants(encodeTokenGrants(grants)).value(), grants);
    EXPECT_FALSE(decodeTokenGrants("garbage that is no buffer").ok());
    EXPECT_FALSE(decodeTokenRequests("").ok());
}

} // namespace
} // namespace shallotlever
