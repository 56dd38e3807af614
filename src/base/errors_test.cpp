#include "shallotlever/base/errors.h"

#include <gtest/gtest.h>

namespace shallotlever {
namespace {

// Guards against an ErrorKind without a table row, or rows in a different order than the enum.
TEST(ErrorTable, RowsFollowEnumOrder)
{
    const auto table = errorTable();
    ASSERT_EQ(table.size(), static_cast<std::size_t>(ErrorKind::UnusableName) + 1);
    for (std::size_t i = 0; i < table.size(); ++i)
        EXPECT_EQ(static_cast<std::size_t>(table[i].kind), i) << table[i].name;
}

class ErrorTableRow : public testing::TestWithParam<ErrorRow>
{
};

// Guards against duplicate names, which would merge two metric counters, and against HTTP statuses
// that do not report an error.
TEST_P(ErrorTableRow, NameMapsToKind)
{
    const ErrorRow row = GetParam();
    EXPECT_EQ(errorKindFromName(row.name), row.kind);
    EXPECT_GE(row.httpStatus, 400);
    EXPECT_LT(row.httpStatus, 600);
}

INSTANTIATE_TEST_SUITE_P(All, ErrorTableRow,
                         testing::ValuesIn(errorTable().begin(), errorTable().end()));

} // namespace
} // namespace shallotlever
