#include "statement_messages.h"

#include <gtest/gtest.h>

namespace shallotlever {
namespace {

struct ArgumentsCase
{
    const char *name;
    bool hasArguments;
    std::string arguments;
};

class ForwardedExecution : public testing::TestWithParam<ArgumentsCase>
{
};

// Guards against a statement whose fields differ at the node that runs it.
TEST_P(ForwardedExecution, KeepsItsFields)
{
    StatementRequest request;
    request.id = "a";
    request.prepared = PreparedStatement { true, std::string("a\0 \xff", 4) };
    request.variables = { { "v", "" }, { "w", " x  y " } };
    request.text = GetParam().arguments;
    request.hasArguments = GetParam().hasArguments;
    const auto decoded = decodeStatementRequest(encodeStatementRequest(request));
    ASSERT_TRUE(decoded.ok());
    EXPECT_EQ(decoded->hasArguments, request.hasArguments);
    EXPECT_EQ(decoded->text, request.text);
    EXPECT_EQ(decoded->prepared, request.prepared);
    EXPECT_EQ(decoded->variables, request.variables);
}

INSTANTIATE_TEST_SUITE_P(Arguments, ForwardedExecution,
                         testing::Values(ArgumentsCase { "None", false, "" },
                                         ArgumentsCase { "Empty", true, "" },
                                         ArgumentsCase { "Blanks", true, " i  d " }),
                         [](const auto &info) { return info.param.name; });

} // namespace
} // namespace shallotlever
