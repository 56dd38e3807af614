#include <cctype>
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

/// Text of the sources under `directory`, tests left out.
std::string readSources(const std::string &directory)
{
    std::string text;
    const auto root = std::filesystem::path(SOURCE_DIRECTORY) / directory;
    for (const auto &entry : std::filesystem::recursive_directory_iterator(root)) {
        const std::string file = entry.path().filename().string();
        if (file.ends_with(".cpp") && !file.ends_with("_test.cpp"))
            text += readFile(entry.path());
    }
    return text;
}

/// Names of the log lines whose name is written in the call.
std::set<std::string> loggedEvents(const std::string &sources)
{
    const std::regex call(R"(\b(?:info|warning|error|logOutcome)\(([^,{;]*"[^,{;]*),)");
    const std::regex name(R"rx("([a-z_]+)")rx");
    std::set<std::string> calls;
    collect(sources, call, calls);
    std::set<std::string> events;
    for (const std::string &text : calls)
        collect(text, name, events);
    return events;
}

/// The enumerator of a kind by its name, such as NoPrimary for no_primary.
std::string enumerator(std::string_view name)
{
    std::string text;
    bool upper = true;
    for (const char c : name) {
        if (c != '_')
            text += upper ? static_cast<char>(std::toupper(static_cast<unsigned char>(c))) : c;
        upper = c == '_';
    }
    return text;
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
    const std::set<std::string> events = loggedEvents(readSources("src") + readSources("platform"));
    EXPECT_THAT(events, testing::IsSupersetOf({ "lease_lost", "statement_failed" }));
    for (const std::string &event : events)
        EXPECT_THAT(page, HasSubstr(fmt::format("`{}`", event)));
}

// Guards against a reason of a failed request that the page on failed requests does not explain.
TEST(Docs, NameEveryReasonOfASession)
{
    const std::string page = readPage("OPERATIONS.md");
    const std::string proxy = readSources("src/proxy");
    std::size_t given = 0;
    for (const ErrorRow &row : errorTable()) {
        if (proxy.find("ErrorKind::" + enumerator(row.name)) == std::string::npos)
            continue;
        ++given;
        EXPECT_THAT(page, HasSubstr(fmt::format("`{}`", row.name)));
    }
    EXPECT_GT(given, 8U);
}

} // namespace
} // namespace shallotlever
