#include "shallotlever/settings/node_settings.h"

#include <fstream>
#include <map>
#include <sstream>

#include <gmock/gmock.h>
#include <gtest/gtest.h>

namespace shallotlever {
namespace {

using testing::HasSubstr;
using testing::IsEmpty;
using testing::UnorderedElementsAreArray;

using Flags = std::map<std::string, std::string>;

std::string testFile(const std::string &name, std::size_t bytes)
{
    const std::string path = testing::TempDir() + "shallotlever_settings_" + name;
    std::ofstream(path) << std::string(bytes, 'x');
    return path;
}

Flags validFlags()
{
    return { { "--node-id", "n1" },
             { "--data-centre", "vast-a" },
             { "--region", "vast" },
             { "--listen", "127.0.0.1:8080" },
             { "--peer-listen", "[::1]:8081" },
             { "--control-members", "n1=10.0.0.1:7000,n2=[fd00::2]:7000" },
             { "--session-secret-file", testFile("secret", 32) },
             { "--allow-insecure-peers", "" } };
}

std::vector<std::string> arguments(const Flags &flags)
{
    std::vector<std::string> result;
    for (const auto &[name, value] : flags) {
        result.push_back(name);
        if (!value.empty())
            result.push_back(value);
    }
    return result;
}

EnvironmentLookup environment(const Flags &variables)
{
    return [variables](const std::string &name) -> std::optional<std::string> {
        const auto found = variables.find(name);
        return found == variables.end() ? std::nullopt : std::optional(found->second);
    };
}

std::vector<std::string> invalidFlags(const SettingsResult &result)
{
    std::vector<std::string> names;
    if (const auto *errors = std::get_if<std::vector<SettingsError>>(&result)) {
        for (const SettingsError &error : *errors)
            names.push_back(error.flag);
    }
    return names;
}

// Guards against values that are validated but not stored, and against wrong defaults.
TEST(NodeSettingsTest, ReadsValidFlags)
{
    Flags flags = validFlags();
    flags.insert({ { "--control", "" },
                   { "--data-dir", testing::TempDir() },
                   { "--drain-notice-ms", "0" },
                   { "--log-level", "debug" } });
    const SettingsResult result = NodeSettings::create(arguments(flags), environment({}));
    ASSERT_THAT(invalidFlags(result), IsEmpty());
    const auto &settings = std::get<NodeSettings>(result);
    EXPECT_EQ(settings.nodeId, NodeId("n1"));
    EXPECT_EQ(settings.listen, (SocketAddress { "127.0.0.1", 8080 }));
    EXPECT_EQ(settings.controlMembers.at(1), (ControlPeer { NodeId("n2"), { "fd00::2", 7000 } }));
    EXPECT_TRUE(settings.control);
    EXPECT_FALSE(settings.relay);
    EXPECT_EQ(settings.drainNotice, 0ms);
    EXPECT_EQ(settings.drainLimit, 30000ms);
    EXPECT_EQ(settings.logLevel, "debug");
    EXPECT_FALSE(settings.peerTls);
}

// Guards against an environment variable that overrides a flag or is not read.
TEST(NodeSettingsTest, FlagTakesPrecedenceOverVariable)
{
    Flags flags = validFlags();
    flags.erase("--region");
    const SettingsResult result =
        NodeSettings::create(arguments(flags),
                             environment({ { "SHALLOTLEVER_NODE_ID", "other" },
                                           { "SHALLOTLEVER_REGION", "norr" },
                                           { "SHALLOTLEVER_RELAY", "true" },
                                           { "SHALLOTLEVER_MAX_CONNECTIONS", "" } }));
    ASSERT_THAT(invalidFlags(result), IsEmpty());
    EXPECT_EQ(std::get<NodeSettings>(result).nodeId, NodeId("n1"));
    EXPECT_EQ(std::get<NodeSettings>(result).region, RegionId("norr"));
    EXPECT_TRUE(std::get<NodeSettings>(result).relay);
}

struct InvalidSettingsCase
{
    std::string name;
    /// Overrides of validFlags(); the value "-" removes the flag.
    Flags changed;
    std::vector<std::string> extra;
    Flags variables;
    std::vector<std::string> expectedFlags;
};

class InvalidSettings : public testing::TestWithParam<InvalidSettingsCase>
{
};

// Guards against invalid settings that are accepted, and against errors that mask other errors.
TEST_P(InvalidSettings, ReportsEveryInvalidFlag)
{
    Flags flags = validFlags();
    for (const auto &[name, value] : GetParam().changed) {
        flags[name] = value;
        if (value == "-")
            flags.erase(name);
    }
    std::vector<std::string> all = arguments(flags);
    all.insert(all.end(), GetParam().extra.begin(), GetParam().extra.end());
    const SettingsResult result = NodeSettings::create(all, environment(GetParam().variables));
    EXPECT_THAT(invalidFlags(result), UnorderedElementsAreArray(GetParam().expectedFlags));
}

INSTANTIATE_TEST_SUITE_P(
    All, InvalidSettings,
    testing::Values(
        InvalidSettingsCase { "Missing",
                              { { "--node-id", "-" }, { "--listen", "-" } },
                              {},
                              {},
                              { "--node-id", "--listen" } },
        InvalidSettingsCase { "Names",
                              { { "--node-id", "a b" }, { "--region", std::string(65, 'x') } },
                              {},
                              {},
                              { "--node-id", "--region" } },
        InvalidSettingsCase {
            "HostName", { { "--listen", "localhost:80" } }, {}, {}, { "--listen" } },
        InvalidSettingsCase { "Port",
                              { { "--listen", "127.0.0.1:65536" }, { "--peer-listen", "::1:7" } },
                              {},
                              {},
                              { "--listen", "--peer-listen" } },
        InvalidSettingsCase {
            "SameAddress", { { "--peer-listen", "127.0.0.1:8080" } }, {}, {}, { "--peer-listen" } },
        InvalidSettingsCase { "Members",
                              { { "--control-members", "n1=10.0.0.1:7000,n1=10.0.0.2:7000,x" } },
                              {},
                              {},
                              { "--control-members", "--control-members" } },
        InvalidSettingsCase { "EmptyMember",
                              { { "--control-members", "n1=10.0.0.1:7000," } },
                              {},
                              {},
                              { "--control-members" } },
        InvalidSettingsCase {
            "ControlNeedsDirectory", { { "--control", "" } }, {}, {}, { "--data-dir" } },
        InvalidSettingsCase { "ControlOnlyWithoutControl",
                              { { "--control-only", "" } },
                              {},
                              {},
                              { "--control-only" } },
        InvalidSettingsCase { "ToleratedLosses",
                              { { "--tolerated-losses", "4" } },
                              {},
                              {},
                              { "--tolerated-losses" } },
        InvalidSettingsCase {
            "NoDirectory", { { "--data-dir", "/nonexistent" } }, {}, {}, { "--data-dir" } },
        InvalidSettingsCase { "Ranges",
                              { { "--edge-threads", "0" },
                                { "--max-connections", "-1" },
                                { "--max-body-bytes", "1e6" },
                                { "--request-timeout-ms", "99" },
                                { "--drain-limit-ms", "99999999999999999999" } },
                              {},
                              {},
                              { "--edge-threads", "--max-connections", "--max-body-bytes",
                                "--request-timeout-ms", "--drain-limit-ms" } },
        InvalidSettingsCase { "ShortSecret",
                              { { "--session-secret-file", testFile("short", 31) } },
                              {},
                              {},
                              { "--session-secret-file" } },
        InvalidSettingsCase { "NoFile",
                              { { "--session-secret-file", "/nonexistent" },
                                { "--operator-key-file", testing::TempDir() } },
                              {},
                              {},
                              { "--session-secret-file", "--operator-key-file" } },
        InvalidSettingsCase { "HalfOfHttpTls",
                              { { "--http-tls-cert", testFile("cert", 1) } },
                              {},
                              {},
                              { "--http-tls-key" } },
        InvalidSettingsCase { "PartOfPeerTls",
                              { { "--peer-tls-ca", testFile("ca", 1) } },
                              {},
                              {},
                              { "--peer-tls-cert", "--peer-tls-key" } },
        InvalidSettingsCase { "InsecurePeers",
                              { { "--allow-insecure-peers", "-" } },
                              {},
                              {},
                              { "--allow-insecure-peers" } },
        InvalidSettingsCase {
            "LogLevel", { { "--log-level", "loud" } }, {}, {}, { "--log-level" } },
        InvalidSettingsCase {
            "DataCentres", { { "--data-centres", "a,,b" } }, {}, {}, { "--data-centres" } },
        InvalidSettingsCase {
            "Relays", { { "--relays", "r1=10.0.0.1:7,r1=10.0.0.2:7" } }, {}, {}, { "--relays" } },
        InvalidSettingsCase { "UnknownFlags",
                              {},
                              { "--nope", "value", "--nada=1", "stray" },
                              {},
                              { "--nope", "--nada", "stray" } },
        InvalidSettingsCase { "Prefix", {}, { "--rel" }, {}, { "--rel" } },
        InvalidSettingsCase { "Repeated", {}, { "--node-id", "n2" }, {}, { "--node-id" } },
        InvalidSettingsCase {
            "NoValue", { { "--region", "-" } }, { "--region" }, {}, { "--region", "--region" } },
        InvalidSettingsCase { "SwitchWithValue", {}, { "--relay=yes" }, {}, { "--relay" } },
        InvalidSettingsCase {
            "SwitchVariable", {}, {}, { { "SHALLOTLEVER_RELAY", "yes" } }, { "--relay" } }),
    [](const auto &test) { return test.param.name; });

struct ExitCase
{
    std::vector<const char *> arguments;
    int status;
    std::string out;
    std::string err;
};

class SettingsExit : public testing::TestWithParam<ExitCase>
{
};

// Guards against a node that starts despite invalid settings, --help, --version or
// --check-settings.
TEST_P(SettingsExit, PrintsAndReturnsStatus)
{
    const std::string secret = testFile("secret", 32);
    std::vector<const char *> argv = GetParam().arguments;
    argv.insert(argv.begin(), "shallotleverd");
    argv.insert(argv.end(), { "--session-secret-file", secret.c_str() });
    std::ostringstream out;
    std::ostringstream err;
    const auto result = loadNodeSettings(static_cast<int>(argv.size()), argv.data(), out, err);
    ASSERT_TRUE(std::holds_alternative<int>(result));
    EXPECT_EQ(std::get<int>(result), GetParam().status);
    EXPECT_THAT(out.str(), HasSubstr(GetParam().out));
    EXPECT_THAT(err.str(), HasSubstr(GetParam().err));
}

INSTANTIATE_TEST_SUITE_P(
    All, SettingsExit,
    testing::Values(
        ExitCase { { "--help" }, 0, "--session-secret-file FILE", "" },
        ExitCase { { "--version" }, 0, "shallotleverd ", "" },
        ExitCase { { "--nope" }, 2, "", "--nope: unknown flag\n--node-id: is required" },
        ExitCase { { "--check-settings", "--node-id", "n", "--data-centre", "d", "--region", "r",
                     "--listen", "127.0.0.1:0", "--peer-listen", "127.0.0.1:0", "--control-members",
                     "n=127.0.0.1:1", "--allow-insecure-peers" },
                   0,
                   "",
                   "" }));

} // namespace
} // namespace shallotlever
