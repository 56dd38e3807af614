#include "upstream_pool.h"

#include <QTcpServer>
#include <QTcpSocket>
#include <gtest/gtest.h>

#include "event_loop.h"
#include "shallotlever/base/clock.h"

namespace shallotlever {
namespace {

// Guards against a connection that is opened for a team whose name the database would read as
// other fields, and against a database that is avoided for it.
TEST(UnnameableTeam, IsRefusedWithoutAWordToTheDatabase)
{
    support::ensureApplication();
    SessionProtocol protocol {};
    protocol.start = [](const ServiceId &, std::string_view,
                        const UpstreamId &) -> absl::StatusOr<std::string> {
        return absl::InvalidArgumentError("no field");
    };
    QTcpServer server;
    ASSERT_TRUE(server.listen(QHostAddress::LocalHost));
    UpstreamInfo info;
    info.endpoint = { "127.0.0.1", server.serverPort() };
    std::vector<LinkOpenFailure> failures;
    UpstreamPool pool(protocol, info,
                      { [](const HistoryPoint &, TimePoint) {}, [](bool) {},
                        [&](LinkOpenFailure failure, const std::string &, Duration) {
                            failures.push_back(failure);
                        } });
    pool.setLeasedConnections(1, monotonicNow());
    std::optional<LinkResult> result;
    pool.acquire(
        { { .team = TeamId("t u") }, {} }, [&](const LinkResult &r) { result = r; },
        monotonicNow());
    ASSERT_TRUE(support::spinUntil([&] { return result && server.hasPendingConnections(); }));
    EXPECT_EQ(*result, LinkResult(LinkAcquireFailure::Refused));
    EXPECT_EQ(failures, std::vector { LinkOpenFailure::Unnameable });
    EXPECT_TRUE(pool.load().reachable);
    EXPECT_EQ(pool.load().avoidUntil, TimePoint());
    EXPECT_EQ(server.nextPendingConnection()->bytesAvailable(), 0);
}

} // namespace
} // namespace shallotlever
