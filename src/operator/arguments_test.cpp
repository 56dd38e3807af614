#include <gmock/gmock.h>

#include "operator_fixture.h"

namespace shallotlever {
namespace {

using testing::HasSubstr;
using Words = std::vector<std::string>;

/// Nothing listens here, so a command that gets past the arguments ends with kExitRefused.
constexpr const char *kNowhere = "http://127.0.0.1:1";

struct FaultCase
{
    const char *name;
    Words arguments;
    std::string message;
};

class FaultyArguments : public testing::TestWithParam<FaultCase>
{
};

// Guards against a mistyped command that reaches the system, and against a wrong exit status.
TEST_P(FaultyArguments, AreRefusedBeforeAnythingIsSent)
{
    const RunResult result = ProgramRunner().run(kNowhere, GetParam().arguments);
    EXPECT_EQ(result.status, kExitUsage) << result.out << result.err;
    EXPECT_THAT(result.err, HasSubstr(GetParam().message));
    EXPECT_EQ(result.out, "");
}

const FaultCase kFaultCases[] = {
    { "NoCommand", {}, "" },
    { "UnknownCommand", { "servce", "put", "x" }, "" },
    { "UnknownOption", { "status", "--verbose" }, "--verbose: unknown option" },
    { "AbbreviatedOption", { "status", "--js" }, "--js: unknown option" },
    { "OptionOfAnotherCommand", { "status", "--rate=5" }, "" },
    { "MissingOption", { "team", "put", "t", "--rate=5" }, "" },
    { "ExtraWord", { "service", "put", "a", "b" }, "" },
    { "SpaceInId", { "service", "put", "a b" }, "SERVICE: must have 1 to 128 bytes" },
    { "LongId", { "service", "put", std::string(129, 'x') }, "SERVICE: must have" },
    { "RateNotANumber", { "team", "put", "t", "--rate=5x", "--burst=1" }, "--rate: must be" },
    { "RateNegative", { "team", "put", "t", "--rate=-1", "--burst=1" }, "--rate: must be" },
    { "RateNan", { "team", "put", "t", "--rate=nan", "--burst=1" }, "--rate: must be" },
    { "EmptyServiceName",
      { "team", "put", "t", "--rate=1", "--burst=1", "--services=a,,b" },
      "--services: must have" },
    { "UnknownRole", { "key", "create", "--role=root" }, "--role: must be caller" },
    { "CallerWithoutTeam", { "key", "create", "--role=caller" }, "--team: must have" },
    { "OperatorWithTeam",
      { "key", "create", "--role=operator", "--team=t" },
      "--team: is for the role caller only" },
    { "KeyCreateIsNoResend",
      { "key", "create", "--role=operator", "--change-id=x", "--based-on=1" },
      "" },
    { "EmptySql",
      { "route", "put", "r", "--service=s", "--sql=", "--max-staleness-ms=1" },
      "--sql: must have" },
    { "WritesAllowed", { "preset", "put", "p", "--writes-allowed=maybe" }, "must be yes or no" },
    { "NoAttempts", { "preset", "put", "p", "--max-attempts=0" }, "--max-attempts: must be" },
    { "ResendWithoutBase", { "service", "put", "a", "--change-id=x" }, "--based-on: is required" },
    { "Timeout", { "status", "--timeout-ms=5" }, "--timeout-ms: must be" },
    { "NodeScheme", { "status", "--nodes=ftp://a" }, "--nodes: must be" },
    { "NodePath", { "status", "--nodes=http://a/x" }, "--nodes: must be" },
    { "NoKeyFile", { "status", "--key-file=/nonexistent" }, "--key-file: cannot be read" },
    { "Authority", { "status", "--ca=/nonexistent" }, "--ca: holds no PEM certificate" },
    { "DrainOfSeveral", { "drain", "--nodes=http://a,http://b" }, "must name only the node" },
    { "Mode", { "statement", "--service=s", "--mode=rw", "--sql=x" }, "--mode: must be" },
    { "SqlNotUtf8",
      { "statement", "--service=s", "--mode=read", "--sql=SELECT '\xe9'" },
      "arguments must be UTF-8" },
    { "IdNotUtf8", { "service", "put", "\xff" }, "arguments must be UTF-8" },
    { "LastZero", { "explain", "--last=0" }, "--last: must be" },
};

INSTANTIATE_TEST_SUITE_P(Table, FaultyArguments, testing::ValuesIn(kFaultCases),
                         [](const auto &info) { return std::string(info.param.name); });

class GoodArguments : public testing::TestWithParam<FaultCase>
{
};

// Guards against valid arguments that are refused, such as a value that starts with dashes.
TEST_P(GoodArguments, ReachTheNetwork)
{
    const RunResult result = ProgramRunner().run(kNowhere, GetParam().arguments);
    EXPECT_EQ(result.status, kExitRefused) << result.err;
    EXPECT_THAT(result.err, HasSubstr("no_answer (not_run)"));
}

const FaultCase kGoodCases[] = {
    { "Status", { "status" }, "" },
    { "OptionsFirst", { "--json", "team", "list" }, "" },
    { "SeparateValues", { "team", "put", "t", "--rate", "5", "--burst", "2.5" }, "" },
    { "SqlComment", { "statement", "--service=s", "--mode=read", "--sql", "--x" }, "" },
    { "Params",
      { "statement", "--service=s", "--mode=read", "--sql=x", "--param=1", "--param=2" },
      "" },
};

INSTANTIATE_TEST_SUITE_P(Table, GoodArguments, testing::ValuesIn(kGoodCases),
                         [](const auto &info) { return std::string(info.param.name); });

// Guards against a help text that docopt cannot read.
TEST(Arguments, HelpAndVersionAreAnswered)
{
    const RunResult help = ProgramRunner().run("", { "--help" });
    EXPECT_EQ(help.status, kExitDone);
    EXPECT_THAT(help.out, HasSubstr("key withdraw"));
    EXPECT_THAT(ProgramRunner().run("", { "--version" }).out, HasSubstr("shallotlever 0."));
}

} // namespace
} // namespace shallotlever
