#include <gtest/gtest.h>

#include "shallotlever/base/random.h"
#include "shallotlever/config/codec.h"

namespace shallotlever {
namespace {

std::vector<Command> everyCommand()
{
    const ServiceId s("s");
    const UpstreamId u("u");
    const KeyConfig key { KeyId("k"), KeyRole::Upstream, {}, s, { 1, 2, 3 } };
    const PresetConfig preset { PresetId("p"), { .queueLimitPerTeam = 7, .writesAllowed = false } };
    const std::vector<Change> changes { PutService { { s } },
                                        PutTeam { { TeamId("t"), 2.5, 9, { s } } },
                                        AddKey { key },
                                        PutRoute { { RouteId("r"), s, "select 1",
                                                     std::chrono::milliseconds(9) } },
                                        PutPreset { preset },
                                        SetPreset { PresetId("p") },
                                        PutEvacuation { DataCentreId("c") },
                                        RemoveEvacuation { DataCentreId("d") },
                                        WithdrawKey { KeyId("k") },
                                        RemoveRoute { RouteId("r") },
                                        RemoveTeam { TeamId("t") },
                                        RemoveService { ServiceId("none") } };
    std::vector<Command> out;
    for (std::size_t i = 0; i < changes.size(); ++i)
        out.emplace_back(
            OperatorChange { ChangeId(std::to_string(i)), ConfigVersion(i), changes[i] });
    ClusterConfig content;
    content.installed = { InstallNumber(8), "{}", std::chrono::milliseconds(3000) };
    content.services[s] = { s, 30, 1, true };
    content.teams[TeamId("v")] = { TeamId("v"), 5, 5, {} };
    content.databases[DatabaseName("d")] = { .name = DatabaseName("d"),
                                             .service = s,
                                             .consistency = Consistency::ReadYourWrites,
                                             .statementTimeout = std::chrono::milliseconds(800),
                                             .latencyObjective = std::chrono::milliseconds(600),
                                             .maxStaleness = std::chrono::milliseconds(2500),
                                             .priority = 2,
                                             .open = true };
    out.emplace_back(InstallConfig { content });
    ConfigDifference difference;
    difference.changed.installed = { InstallNumber(9), "", std::chrono::milliseconds(2000) };
    difference.changed.teams[TeamId("w")] = { TeamId("w"), 7, 7, {} };
    difference.removedTeams = { TeamId("v") };
    difference.removedDatabases = { DatabaseName("d") };
    difference.removedServices = { s };
    difference.removedKeys = { KeyId("k") };
    out.emplace_back(difference);
    out.emplace_back(RecordNode { NodeId("n"), Incarnation(3) });
    out.emplace_back(GroupDecision(JoinVotingSet { s, u }));
    out.emplace_back(GroupDecision(ReserveTerm { s, Term(4), "why" }));
    out.emplace_back(GroupDecision(SetPrimary { s, Term(4), u, Incarnation(6) }));
    const MemberId first { u, Incarnation(6) };
    const MemberId second { UpstreamId("v"), Incarnation(7) };
    const MemberRecord record { { "10.0.0.1", 5432 }, DataCentreId("c"), 5, 30 };
    out.emplace_back(
        GroupDecision(ChangeMembers { s, { { first, record }, { second, record } }, {} }));
    out.emplace_back(GroupDecision(ChangeMembers { s, {}, { second } }));
    out.emplace_back(GroupDecision(LeaveVotingSet { s, u }));
    return out;
}

// A field lost in encoding would make replicas diverge: applying decoded commands, and continuing
// from a decoded snapshot, must both give the same state as applying the original commands.
TEST(ConfigCodec, RoundTripPreservesState)
{
    ReplicatedState direct = initialState();
    ReplicatedState decoded = initialState();
    LogIndex index;
    for (const Command &command : everyCommand()) {
        index = index.next();
        const auto logged = decodeCommand(encodeCommand({ command, 42 }));
        ASSERT_TRUE(logged.ok()) << logged.status();
        const ChangeResult result = applyCommand(direct, command, index, 42);
        EXPECT_EQ(result, applyCommand(decoded, logged->command, index, logged->wallTimeMs));
        EXPECT_EQ(*decodeChangeResult(encodeChangeResult(result)), result);
        const auto snapshot = decodeState(encodeState(decoded));
        ASSERT_TRUE(snapshot.ok()) << snapshot.status();
        decoded = *snapshot;
        EXPECT_EQ(direct, decoded) << index;
    }
    EXPECT_GE(direct.cluster.config.version, ConfigVersion(9));
    EXPECT_EQ(direct.cluster.config.evacuations.size(), 2U);
    EXPECT_EQ(configDigest(direct.cluster.config), configDigest(decoded.cluster.config));
    EXPECT_NE(configDigest(direct.cluster.config), configDigest(initialState().cluster.config));
    EXPECT_EQ(*decodeConfig(encodeConfig(direct.cluster.config)), direct.cluster.config);
}

// Decoding corrupt or truncated bytes must not read outside the buffer.
TEST(ConfigCodec, CorruptBytesDoNotCrash)
{
    Random random(7);
    std::vector<std::string> samples { encodeState(initialState()) };
    for (const Command &command : everyCommand())
        samples.push_back(encodeCommand({ command, 1 }));
    for (int round = 0; round < 20'000; ++round) {
        std::string bytes = samples[uniformBelow(random, samples.size())];
        bytes[uniformBelow(random, bytes.size())] = static_cast<char>(random());
        bytes.resize(bytes.size() - uniformBelow(random, 3));
        (void)decodeCommand(bytes);
        (void)decodeState(bytes);
    }
    EXPECT_FALSE(decodeCommand("").ok());
    EXPECT_FALSE(decodeState("short").ok());
}

} // namespace
} // namespace shallotlever
