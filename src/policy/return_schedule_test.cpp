#include "shallotlever/policy/return_schedule.h"

#include <map>

#include <gtest/gtest.h>

namespace shallotlever {
namespace {

struct RefusalCase
{
    const char *name;
    int refused;
    Duration interval;
    /// Most callers that may come back in any tenth of a second.
    int limit;
};

class RefusedBurst : public testing::TestWithParam<RefusalCase>
{
};

// Guards against callers that were refused together and come back together.
TEST_P(RefusedBurst, ComesBackAtTheRateThatIsServed)
{
    const TimePoint now(100s);
    ReturnSchedule schedule;
    std::map<std::int64_t, int> byTenth;
    Duration former { 0 };
    for (int i = 0; i < GetParam().refused; ++i) {
        const Duration delay = takeReturn(schedule, GetParam().interval, now);
        EXPECT_GT(delay, former) << "the first refused comes back first";
        former = delay;
        ++byTenth[delay / 100ms];
    }
    for (const auto &[tenth, callers] : byTenth)
        EXPECT_LE(callers, GetParam().limit);
}

INSTANTIATE_TEST_SUITE_P(Bursts, RefusedBurst,
                         testing::Values(RefusalCase { "ShortStatements", 300, 5ms, 20 },
                                         RefusalCase { "LongStatements", 100, 16ms, 7 }),
                         [](const auto &info) { return info.param.name; });

} // namespace
} // namespace shallotlever
