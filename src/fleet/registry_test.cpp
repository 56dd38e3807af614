#include <gtest/gtest.h>

#include "shallotlever/fleet/registry.h"

namespace shallotlever {
namespace {

const UpstreamId kDb("db1");

HeardAnnouncement heard(const char *host = "10.0.0.1", bool leaving = false)
{
    HeardAnnouncement h;
    h.announcement.upstream = kDb;
    h.announcement.service = ServiceId("s");
    h.announcement.endpoint = { .host = host, .port = 5432 };
    h.announcement.leaving = leaving;
    return h;
}

/// A registry whose configuration names the service "s".
Registry emptyRegistry()
{
    Registry registry;
    registry.services.insert(ServiceId("s"));
    return registry;
}

NodeReport observation(std::size_t node, std::vector<Observation> observations)
{
    NodeReport report;
    report.node = NodeId("n" + std::to_string(node));
    report.incarnation = Incarnation(1);
    report.number = 1;
    report.observations = std::move(observations);
    return report;
}

struct VoteCase
{
    const char *name;
    /// For each node: whether it reaches db1, db2, db3.
    std::vector<std::array<bool, 3>> votes;
    Duration age { 0 };
    bool down;
};

class ObservedDown : public testing::TestWithParam<VoteCase>
{
};

TEST_P(ObservedDown, CountsTrustedObservers)
{
    const VoteCase &c = GetParam();
    Registry registry = emptyRegistry();
    for (std::size_t i = 0; i < c.votes.size(); ++i) {
        std::vector<Observation> observations;
        for (std::size_t db = 0; db < 3; ++db)
            observations.push_back({ .upstream = UpstreamId("db" + std::to_string(db + 1)),
                                     .reachable = c.votes[i][db] });
        NodeReport report = observation(i, observations);
        report.age = c.age;
        applyReport(registry, report, TimePoint(100s));
    }
    EXPECT_EQ(observedDown(registry, kDb, TimePoint(100s)), c.down);
}

constexpr std::array kAll { true, true, true };
constexpr std::array kNotFirst { false, true, true };
constexpr std::array kNone { false, false, false };

INSTANTIATE_TEST_SUITE_P(
    Rules, ObservedDown,
    testing::Values(VoteCase { "nobody_observes", {}, 0s, false },
                    VoteCase { "only_observer", { kNotFirst }, 0s, true },
                    VoteCase { "one_of_two", { kNotFirst, kAll }, 0s, false },
                    VoteCase { "two_of_three", { kNotFirst, kNotFirst, kAll }, 0s, true },
                    VoteCase { "two_of_four", { kNotFirst, kNotFirst, kAll, kAll }, 0s, false },
                    VoteCase { "broken_node_does_not_help",
                               { kNotFirst, kNotFirst, kNone, kAll, kAll },
                               0s,
                               false },
                    VoteCase { "all_down_for_all", { kNone, kNone, kNone }, 0s, true },
                    VoteCase { "votes_too_old", { kNotFirst, kNotFirst }, 2s, false }),
    [](const auto &info) { return info.param.name; });

UpstreamState stateAfter(Registry &registry, TimePoint now)
{
    advanceRegistry(registry, now);
    return registry.entries.at(kDb).state;
}

TEST(Registry, LeaseExpiresAndLeavingTakesEffectAtOnce)
{
    Registry registry = emptyRegistry();
    applyAnnouncement(registry, heard(), TimePoint(100s), TimePoint(100s));
    EXPECT_EQ(stateAfter(registry, TimePoint(101s)), UpstreamState::Live);
    EXPECT_EQ(stateAfter(registry, TimePoint(102s)), UpstreamState::Suspected);
    applyAnnouncement(registry, heard("10.0.0.1", true), TimePoint(103s), TimePoint(103s));
    EXPECT_EQ(stateAfter(registry, TimePoint(103s)), UpstreamState::Leaving);
    // A renewal that was received earlier at another node must not cancel the leave.
    EXPECT_EQ(applyAnnouncement(registry, heard(), TimePoint(102s), TimePoint(103s)),
              AnnouncementVerdict::Outdated);
}

// A single lost renewal of a healthy primary must not trigger a failover.
TEST(Registry, ReachableUpstreamStaysLiveAfterLostRenewal)
{
    Registry registry = emptyRegistry();
    applyAnnouncement(registry, heard(), TimePoint(100s), TimePoint(100s));
    applyReport(registry, observation(1, { { .upstream = kDb, .reachable = true } }),
                TimePoint(101s));
    EXPECT_EQ(stateAfter(registry, TimePoint(102s)), UpstreamState::Live);
    EXPECT_EQ(stateAfter(registry, TimePoint(106s)), UpstreamState::Suspected);
}

TEST(Registry, DrainPersistsAcrossControllerChange)
{
    Registry registry = emptyRegistry();
    applyAnnouncement(registry, heard(), TimePoint(100s), TimePoint(100s));
    setDrained(registry, kDb, true);
    EXPECT_EQ(stateAfter(registry, TimePoint(100s)), UpstreamState::Leaving);
    ClusterState cluster;
    cluster.config.services[ServiceId("s")] = {};
    Registry next = seedRegistry(makeFleetState(registry, cluster), {}, TimePoint(101s));
    setServices(next, cluster.config);
    applyAnnouncement(next, heard(), TimePoint(101s), TimePoint(101s));
    EXPECT_EQ(stateAfter(next, TimePoint(101s)), UpstreamState::Leaving);
    setDrained(next, kDb, false);
    EXPECT_EQ(stateAfter(next, TimePoint(101s)), UpstreamState::Live);
}

// Guards against work for a database that announces itself to a later controller, and against one
// that stays without work when the evacuation has ended.
TEST(Registry, DatabasesOfAnEvacuatedDataCentreLeaveAndReturn)
{
    const DataCentreId evacuated("c");
    HeardAnnouncement inside = heard();
    inside.announcement.dataCentre = evacuated;
    Registry registry = emptyRegistry();
    setEvacuated(registry, { evacuated });
    applyAnnouncement(registry, inside, TimePoint(100s), TimePoint(100s));
    EXPECT_EQ(stateAfter(registry, TimePoint(100s)), UpstreamState::Leaving);
    ClusterState cluster;
    cluster.config.services[ServiceId("s")] = {};
    Registry next = seedRegistry(makeFleetState(registry, cluster), { evacuated }, TimePoint(101s));
    EXPECT_EQ(stateAfter(next, TimePoint(101s)), UpstreamState::Leaving);
    const std::uint64_t revision = next.revision;
    setEvacuated(next, {});
    EXPECT_GT(next.revision, revision);
    EXPECT_EQ(stateAfter(next, TimePoint(101s)), UpstreamState::Live);
}

TEST(Registry, SecondEndpointIsRejectedUntilLeaseExpires)
{
    Registry registry = emptyRegistry();
    applyAnnouncement(registry, heard(), TimePoint(100s), TimePoint(100s));
    EXPECT_EQ(applyAnnouncement(registry, heard("10.0.0.2"), TimePoint(101s), TimePoint(101s)),
              AnnouncementVerdict::Conflict);
    EXPECT_EQ(applyAnnouncement(registry, heard("10.0.0.2"), TimePoint(102s), TimePoint(102s)),
              AnnouncementVerdict::Accepted);
    EXPECT_EQ(registry.entries.at(kDb).announcement.endpoint.host, "10.0.0.2");
}

// Incremental observations that follow a missing report must not be counted.
TEST(Registry, RequestsAllObservationsAfterGap)
{
    Registry registry = emptyRegistry();
    NodeReport report = observation(1, { { .upstream = kDb, .reachable = false } });
    report.number = 8;
    report.observationsBase = 7;
    EXPECT_TRUE(applyReport(registry, report, TimePoint(100s)).wantsAllObservations);
    EXPECT_FALSE(observedDown(registry, kDb, TimePoint(100s)));
}

HeardAnnouncement process(std::uint64_t lifetime, std::uint64_t sequence, bool leaving = false)
{
    HeardAnnouncement h = heard("10.0.0.1", leaving);
    h.announcement.lifetime = Incarnation(lifetime);
    h.announcement.sequence = sequence;
    return h;
}

struct LifetimeCase
{
    const char *name;
    HeardAnnouncement later;
    AnnouncementVerdict verdict;
};

class Lifetimes : public testing::TestWithParam<LifetimeCase>
{
};

// Guards against a heartbeat that a partition delayed and that takes effect after a later one.
TEST_P(Lifetimes, IgnoresSupersededAnnouncements)
{
    Registry registry = emptyRegistry();
    applyAnnouncement(registry, process(7, 5), TimePoint(1s), TimePoint(1s));
    EXPECT_EQ(applyAnnouncement(registry, GetParam().later, TimePoint(2s), TimePoint(2s)),
              GetParam().verdict);
}

INSTANTIATE_TEST_SUITE_P(
    Orders, Lifetimes,
    testing::Values(LifetimeCase { "Next", process(7, 6), AnnouncementVerdict::Accepted },
                    LifetimeCase { "Repeated", process(7, 5), AnnouncementVerdict::Outdated },
                    LifetimeCase { "Earlier", process(7, 4), AnnouncementVerdict::Outdated },
                    LifetimeCase { "NewProcess", process(8, 1), AnnouncementVerdict::Accepted },
                    LifetimeCase { "NoLifetime", process(0, 6), AnnouncementVerdict::Outdated },
                    LifetimeCase { "OldProcess", process(6, 9), AnnouncementVerdict::Outdated }),
    [](const auto &info) { return info.param.name; });

HeardAnnouncement successor(std::uint64_t lifetime)
{
    HeardAnnouncement h = process(lifetime, 1);
    h.announcement.upstream = UpstreamId("db2");
    return h;
}

std::set<UpstreamId> visible(const Registry &registry)
{
    ClusterState cluster;
    cluster.config.services[ServiceId("s")].id = ServiceId("s");
    cluster.groups[ServiceId("s")].service = ServiceId("s");
    std::set<UpstreamId> ids;
    const FleetState state = makeFleetState(registry, cluster);
    for (const auto &[id, info] : state.view.groups.at(ServiceId("s")).upstreams)
        ids.insert(id);
    return ids;
}

// Guards against nodes that keep connecting to a database that has ended, at an address that a new
// database uses now: their attempts took up all connections that the new database accepts.
TEST(EndpointReuse, HidesEarlierProcess)
{
    Registry registry = emptyRegistry();
    applyAnnouncement(registry, process(7, 5), TimePoint(1s), TimePoint(1s));
    EXPECT_EQ(applyAnnouncement(registry, successor(9), TimePoint(2s), TimePoint(2s)),
              AnnouncementVerdict::Accepted);
    EXPECT_EQ(visible(registry), std::set { UpstreamId("db2") });
    EXPECT_EQ(applyAnnouncement(registry, process(7, 6), TimePoint(3s), TimePoint(3s)),
              AnnouncementVerdict::Outdated);
    // The entry remains because its log may hold acknowledged commits.
    EXPECT_TRUE(registry.entries.contains(kDb));
    HeardAnnouncement elsewhere = process(10, 1);
    elsewhere.announcement.endpoint.host = "10.0.0.2";
    EXPECT_EQ(applyAnnouncement(registry, elsewhere, TimePoint(4s), TimePoint(4s)),
              AnnouncementVerdict::Accepted);
    EXPECT_EQ(visible(registry).size(), 2U);
}

// Guards against a delayed heartbeat of an earlier process that takes the endpoint back.
TEST(EndpointReuse, IgnoresDelayedAnnouncementOfEarlierProcess)
{
    Registry registry = emptyRegistry();
    applyAnnouncement(registry, successor(9), TimePoint(2s), TimePoint(2s));
    EXPECT_EQ(applyAnnouncement(registry, process(7, 6), TimePoint(3s), TimePoint(3s)),
              AnnouncementVerdict::Outdated);
    EXPECT_EQ(visible(registry), std::set { UpstreamId("db2") });
}

// Guards against a delayed heartbeat that registers a database again after it has ended, and
// against a new process of the same id that is rejected because the old process has ended.
TEST(FinalAnnouncement, EndsOnlyItsLifetime)
{
    Registry registry = emptyRegistry();
    applyAnnouncement(registry, process(7, 5, true), TimePoint(1s), TimePoint(1s));
    HeardAnnouncement finalAnnouncement = process(7, 0);
    finalAnnouncement.announcement.gone = true;
    EXPECT_EQ(applyAnnouncement(registry, finalAnnouncement, TimePoint(2s), TimePoint(2s)),
              AnnouncementVerdict::Accepted);
    EXPECT_TRUE(registry.entries.empty());
    EXPECT_EQ(applyAnnouncement(registry, process(7, 6), TimePoint(3s), TimePoint(3s)),
              AnnouncementVerdict::Outdated);
    EXPECT_EQ(applyAnnouncement(registry, process(8, 1), TimePoint(4s), TimePoint(4s)),
              AnnouncementVerdict::Accepted);
    EXPECT_EQ(registry.entries.size(), 1U);
}

// Guards against a final announcement without a lifetime, which may be delayed, that removes a live
// database.
TEST(FinalAnnouncement, WithoutLifetimeRemovesOnlyLeavingUpstream)
{
    Registry registry = emptyRegistry();
    applyAnnouncement(registry, process(7, 5), TimePoint(1s), TimePoint(1s));
    HeardAnnouncement finalAnnouncement = process(0, 0);
    finalAnnouncement.announcement.gone = true;
    EXPECT_EQ(applyAnnouncement(registry, finalAnnouncement, TimePoint(2s), TimePoint(2s)),
              AnnouncementVerdict::Outdated);
    applyAnnouncement(registry, process(7, 6, true), TimePoint(3s), TimePoint(3s));
    EXPECT_EQ(applyAnnouncement(registry, finalAnnouncement, TimePoint(4s), TimePoint(4s)),
              AnnouncementVerdict::Accepted);
}

// Guards against nodes that keep reading from a former primary that is still reachable: if the
// databases confirm commits themselves, the view contains no primary while it is being replaced.
TEST(FleetState, OmitsPrimaryOfConfirmingGroupDuringChange)
{
    ClusterState cluster;
    for (const bool confirms : { false, true }) {
        ServiceConfig &service = cluster.config.services[ServiceId("s")];
        service.id = ServiceId("s");
        service.confirmsCommits = confirms;
        GroupState &group = cluster.groups[ServiceId("s")];
        group.primary = kDb;
        group.term = Term(1);
        group.reservedTerm = Term(2);
        const FleetState state = makeFleetState(emptyRegistry(), cluster);
        EXPECT_EQ(state.view.groups.at(ServiceId("s")).primary.has_value(), !confirms);
    }
}

} // namespace
} // namespace shallotlever
