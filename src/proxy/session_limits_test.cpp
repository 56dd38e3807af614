#include "session_limits.h"

#include <gtest/gtest.h>

namespace shallotlever {
namespace {

constexpr TimePoint kStart { 1s };
constexpr KeyHash kCrowd { 1 };
constexpr KeyHash kOrdinary { 2 };

struct CloseCase
{
    const char *name;
    std::vector<SessionSummary> sessions;
    std::optional<std::size_t> closed;
};

void PrintTo(const CloseCase &load, std::ostream *out)
{
    *out << load.name;
}

class SessionToClose : public testing::TestWithParam<CloseCase>
{
};

TEST_P(SessionToClose, IsTheLongestSilentOfTheLargestKey)
{
    EXPECT_EQ(sessionToClose(GetParam().sessions), GetParam().closed);
}

INSTANTIATE_TEST_SUITE_P(
    Loads, SessionToClose,
    testing::Values(CloseCase { "nobody is there", {}, std::nullopt },
                    CloseCase { "a crowd of one key spares the others",
                                { { kOrdinary, kStart, true },
                                  { kCrowd, kStart + 2s, true },
                                  { kCrowd, kStart + 1s, true } },
                                2 },
                    CloseCase { "connections without a key are a crowd too",
                                { { kOrdinary, kStart, true },
                                  { {}, kStart + 1s, true },
                                  { {}, kStart + 2s, true } },
                                1 },
                    CloseCase { "statements are not cut",
                                { { kCrowd, kStart, false },
                                  { kCrowd, kStart + 1s, false },
                                  { kOrdinary, kStart + 2s, true } },
                                2 },
                    CloseCase { "all are busy", { { kCrowd, kStart, false } }, std::nullopt }));

} // namespace
} // namespace shallotlever
