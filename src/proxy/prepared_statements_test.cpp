#include "prepared_statements.h"

#include <set>

#include <gtest/gtest.h>

namespace shallotlever {
namespace {

PreparedStatement reads(const std::string &shape)
{
    return { false, shape };
}

// Guards against one name for two statements, also after a name was given up.
TEST(PreparedStatements, NumbersAreNeverGivenToAnotherStatement)
{
    PreparedStatements prepared;
    std::set<PreparedNumber> numbers { addPrepared(prepared, reads("a")),
                                       addPrepared(prepared, { true, "a" }),
                                       addPrepared(prepared, reads("a b")) };
    removePrepared(prepared, reads("a b"));
    numbers.insert(addPrepared(prepared, reads("a c")));
    clearPrepared(prepared);
    numbers.insert(addPrepared(prepared, reads("a d")));
    EXPECT_EQ(numbers.size(), 5U);
    EXPECT_EQ(findPrepared(prepared, reads("a")), std::nullopt);
    EXPECT_EQ(findPrepared(prepared, reads("a d")), prepared.lastNumber);
}

struct LimitCase
{
    const char *name;
    std::size_t statements;
    std::size_t bytesEach;
    std::size_t kept;
};

class PreparedLimits : public testing::TestWithParam<LimitCase>
{
};

// Guards against memory that grows with every statement that a team ever prepared.
TEST_P(PreparedLimits, DropLeastRecentlyUsed)
{
    const LimitCase &c = GetParam();
    const auto statement = [&](std::size_t i) {
        std::string shape = std::to_string(i);
        shape.resize(c.bytesEach, '.');
        return reads(shape);
    };
    PreparedStatements prepared;
    const PreparedNumber first = addPrepared(prepared, statement(0));
    for (std::size_t i = 1; i < c.statements; ++i) {
        EXPECT_EQ(findPrepared(prepared, statement(0)) == first, c.kept > 1 || i == 1);
        makeRoomFor(prepared, statement(i));
        addPrepared(prepared, statement(i));
    }
    EXPECT_EQ(prepared.entries.size(), c.kept);
    EXPECT_EQ(prepared.bytes, c.kept * c.bytesEach);
    EXPECT_EQ(findPrepared(prepared, statement(0)).has_value(), c.kept > 1);
    EXPECT_FALSE(findPrepared(prepared, statement(1)).has_value());
}

INSTANTIATE_TEST_SUITE_P(Limits, PreparedLimits,
                         testing::Values(LimitCase { "Number", kMaxPreparedStatements * 3, 8,
                                                     kMaxPreparedStatements },
                                         LimitCase { "Bytes", 40, kMaxPreparedBytes / 4, 4 },
                                         LimitCase { "OneLarge", 3, kMaxPreparedBytes * 2, 1 }),
                         [](const auto &info) { return info.param.name; });

} // namespace
} // namespace shallotlever
