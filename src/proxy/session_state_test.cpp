#include "session_state.h"

#include <gtest/gtest.h>

namespace shallotlever {
namespace {

const std::string kQuarter(kMaxSessionStateBytes / 4, 'x');

// Guards against a caller that fills the memory of a node, and against a limit that counts what the
// session no longer keeps.
TEST(SessionState, IsBounded)
{
    SessionState state;
    for (const char *name : { "a", "b", "c" })
        EXPECT_TRUE(prepare(state, name, { false, kQuarter }));
    EXPECT_FALSE(prepare(state, "d", { false, kQuarter }));
    EXPECT_FALSE(setVariable(state, "d", kQuarter));
    EXPECT_EQ(state.prepared.size(), 3U);
    EXPECT_TRUE(prepare(state, "c", { true, kQuarter }));
    EXPECT_TRUE(state.prepared.at("c").writes);
    deallocate(state, "a");
    deallocate(state, "a");
    EXPECT_TRUE(setVariable(state, "d", kQuarter));
    EXPECT_TRUE(setVariable(state, "d", ""));
    EXPECT_TRUE(prepare(state, "a", { false, kQuarter }));
}

// Guards against entries that cost more than their text.
TEST(SessionState, BoundsTheNumberOfEntries)
{
    SessionState state;
    std::size_t kept = 0;
    while (setVariable(state, std::to_string(kept), ""))
        ++kept;
    EXPECT_LT(kept, kMaxSessionStateBytes / 100);
}

} // namespace
} // namespace shallotlever
