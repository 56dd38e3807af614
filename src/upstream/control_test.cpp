#include "shallotlever/upstream/control.h"

#include <gtest/gtest.h>

namespace shallotlever {
namespace {

// Guards against a role or term read from the wrong field, which could lead to the promotion of the
// wrong database.
TEST(UpstreamStatusText, ParsesFieldsInOrder)
{
    const auto status = parseUpstreamStatus("3,17,primary,4");
    ASSERT_TRUE(status.ok());
    EXPECT_EQ(status->point, (HistoryPoint { Term(3), LogPosition(17) }));
    EXPECT_EQ(status->role, UpstreamRole::Primary);
    EXPECT_EQ(status->fencedTerm, Term(4));
}

class MalformedStatusText : public testing::TestWithParam<const char *>
{
};

// Guards against a malformed status that is counted towards a majority.
TEST_P(MalformedStatusText, IsRejected)
{
    EXPECT_EQ(parseUpstreamStatus(GetParam()).status().code(), absl::StatusCode::kInternal);
}

INSTANTIATE_TEST_SUITE_P(All, MalformedStatusText,
                         testing::Values("", "1,2,primary", "1,2,primary,3,4", "x,2,primary,3",
                                         "1,-2,replica,3", "1,2,leader,3", "1,2,replica,",
                                         "99999999999999999999,2,replica,3"));

} // namespace
} // namespace shallotlever
