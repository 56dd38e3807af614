#include "pool_queue_log.h"

#include <cstdio>
#include <memory>
#include <string>

#include <gmock/gmock.h>
#include <gtest/gtest.h>

namespace shallotlever {
namespace {

using testing::HasSubstr;

const TimePoint kStart(100s);
const ServiceId kService("s");
const UpstreamId kUpstream("p");
const TeamId kTeam("t");

/// A pool that may open no connection, so that all statements wait, and the log of its node.
class PoolQueueLogTest : public testing::Test
{
protected:
    PoolQueueLogTest()
    {
        m_state.logger = &m_logger;
        UpstreamInfo info;
        info.id = kUpstream;
        info.service = kService;
        const UpstreamPool::Callbacks callbacks {
            [](const HistoryPoint &, TimePoint) {}, [](bool) {},
            [](LinkOpenFailure, const std::string &, Duration) {}
        };
        DatabaseRoute &route = m_state.services[kService].routes[kUpstream];
        route.info = info;
        route.pool = std::make_shared<UpstreamPool>(m_protocol, info, callbacks);
    }

    void addWaitingStatement(TimePoint now)
    {
        m_state.services[kService].routes[kUpstream].pool->acquire(
            { { .team = kTeam }, {} }, [](const LinkResult &) {}, now);
    }

    std::string logged()
    {
        std::string text(1U << 16U, '\0');
        std::rewind(m_file.get());
        text.resize(std::fread(text.data(), 1, text.size(), m_file.get()));
        return text;
    }

    SessionProtocol m_protocol {};
    std::unique_ptr<std::FILE, int (*)(std::FILE *)> m_file { std::tmpfile(), &std::fclose };
    Logger m_logger { NodeId("n"), LogLevel::Info, fileno(m_file.get()) };
    ProxyState m_state;
    PoolQueueLog m_log;
};

struct WaitCase
{
    const char *name;
    Duration wait;
    const char *expected;
};

class PoolQueueWait : public PoolQueueLogTest, public testing::WithParamInterface<WaitCase>
{
};

// Guards against a queue of which no line says how long it is, and against lines of a pool that
// serves its statements at once.
TEST_P(PoolQueueWait, IsLoggedOnceItIsLong)
{
    addWaitingStatement(kStart);
    logPoolQueues(m_log, m_state, kStart + GetParam().wait);
    EXPECT_THAT(logged(), HasSubstr(GetParam().expected));
    EXPECT_EQ(logged().empty(), std::string(GetParam().expected).empty());
}

INSTANTIATE_TEST_SUITE_P(Waits, PoolQueueWait,
                         testing::Values(WaitCase { "Short", 200ms, "" },
                                         WaitCase { "Long", 300ms,
                                                    R"("waiting":1,"longest_wait_ms":300)" }),
                         [](const auto &info) { return info.param.name; });

// Guards against counts since the start of the process in place of those of the interval, and
// against more than one line a second.
TEST_F(PoolQueueLogTest, CountsWhatWasRequestedSinceTheLastObservation)
{
    addWaitingStatement(kStart);
    logPoolQueues(m_log, m_state, kStart);
    for (int i = 0; i < 3; ++i)
        addWaitingStatement(kStart + 100ms);
    logPoolQueues(m_log, m_state, kStart + 900ms);
    EXPECT_EQ(logged(), "");
    logPoolQueues(m_log, m_state, kStart + 1200ms);
    EXPECT_THAT(logged(), HasSubstr(R"("waiting":4,"longest_wait_ms":1200)"));
    EXPECT_THAT(logged(), HasSubstr(R"("interval_ms":1200,"requested":3,"acquired":0)"));
}

} // namespace
} // namespace shallotlever
