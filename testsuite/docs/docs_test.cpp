#include <fstream>
#include <sstream>

#include <fmt/format.h>
#include <gmock/gmock.h>

#include "shallotlever/base/errors.h"
#include "shallotlever/base/retry_reason.h"

namespace shallotlever {
namespace {

using testing::HasSubstr;

std::string readPage(const std::string &name)
{
    std::ifstream file(std::string(DOCS_DIRECTORY) + "/" + name);
    std::ostringstream content;
    content << file.rdbuf();
    return content.str();
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

} // namespace
} // namespace shallotlever
