#include <filesystem>
#include <fstream>
#include <regex>
#include <set>
#include <sstream>

#include <fmt/format.h>
#include <gmock/gmock.h>

#include "shallotlever/base/errors.h"
#include "shallotlever/base/retry_reason.h"

namespace shallotlever {
namespace {

using testing::HasSubstr;

std::string readFile(const std::filesystem::path &path)
{
    std::ifstream file(path);
    std::ostringstream content;
    content << file.rdbuf();
    return content.str();
}

std::string readPage(const std::string &name)
{
    return readFile(std::filesystem::path(SOURCE_DIRECTORY) / "docs" / name);
}

/// Adds the matches of the first group.
void collect(const std::string &text, const std::regex &pattern, std::set<std::string> &matches)
{
    for (std::sregex_iterator it(text.begin(), text.end(), pattern), end; it != end; ++it)
        matches.insert((*it)[1]);
}

/// Names of the log lines whose name is written in the call, under `directory`; tests left out.
std::set<std::string> loggedEvents(const std::string &directory)
{
    const std::regex call(R"(\b(?:info|warning|error|log)\(([^,{;]*"[^,{;]*),)");
    const std::regex name(R"rx("([a-z_]+)")rx");
    std::set<std::string> calls;
    const auto root = std::filesystem::path(SOURCE_DIRECTORY) / directory;
    for (const auto &entry : std::filesystem::recursive_directory_iterator(root)) {
        const std::string file = entry.path().filename().string();
        if (file.ends_with(".cpp") && !file.ends_with("_test.cpp"))
            collect(readFile(entry.path()), call, calls);
    }
    std::set<std::string> events;
    for (const std::string &text : calls)
        collect(text, name, events);
    return events;
}

// Guards against a kind of error that callers or operators are not told about, or wrongly.
TEST(Docs, NameEveryErrorKind)
{
    const std::string api = readPage("api.md");
    const std::string operators = readPage("operators.md");
    for (const ErrorRow &row : errorTable()) {
        EXPECT_THAT(api,
                    HasSubstr(fmt::format("\n| `{}` | {} | `{}` | ", row.name, row.httpStatus,
                                          outcomeName(row.outcome))));
        EXPECT_THAT(operators, HasSubstr(fmt::format("\n| `{}` | ", row.name)));
    }
}

// Guards against a counter of retries that operators find nowhere explained.
TEST(Docs, NameEveryRetryReason)
{
    const std::string operators = readPage("operators.md");
    for (const RetryReasonRow &row : retryReasonTable())
        EXPECT_THAT(operators, HasSubstr(fmt::format("\n| `{}` | ", row.name)));
}

// Guards against a log line that an on-call engineer finds nowhere explained.
TEST(Docs, NameEveryLogLine)
{
    const std::string page = readPage("OPERATIONS.md");
    std::set<std::string> events = loggedEvents("src");
    events.merge(loggedEvents("platform"));
    EXPECT_THAT(events, testing::Contains("lease_lost"));
    for (const std::string &event : events)
        EXPECT_THAT(page, HasSubstr(fmt::format("`{}`", event)));
}

// Guards against a reason of a failed request that the page on failed requests does not explain.
TEST(Docs, NameEveryReasonOfASession)
{
    const std::string page = readPage("OPERATIONS.md");
    const ErrorKind kinds[] = { ErrorKind::ConfigStale,    ErrorKind::InvalidKey,
                                ErrorKind::RateLimited,    ErrorKind::NoPrimary,
                                ErrorKind::QueueFull,      ErrorKind::ConnectFailed,
                                ErrorKind::OutcomeUnknown, ErrorKind::TransactionLost };
    for (const ErrorKind kind : kinds)
        EXPECT_THAT(page, HasSubstr(fmt::format("`{}`", errorRow(kind).name)));
}

} // namespace
} // namespace shallotlever
