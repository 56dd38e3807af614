#include "node_log.h"

#include <gtest/gtest.h>

#include <QTemporaryFile>

namespace shallotlever::soak {
namespace {

NodeLog readLines(const QByteArray &lines)
{
    QTemporaryFile file;
    EXPECT_TRUE(file.open());
    file.write(lines);
    file.flush();
    const auto startedAt = QDateTime::fromString("2026-01-01T00:00:00.000Z", Qt::ISODateWithMs);
    return readNodeLog("front-0", file.fileName().toStdString(), startedAt);
}

TEST(NodeLog, TimesAreSinceTheStartOfTheRun)
{
    const NodeLog log = readLines(
        R"({"ts":"2026-01-01T00:00:02.500Z","event":"control_write_delayed","delay_ms":310})"
        "\n");
    ASSERT_EQ(log.stalls.size(), 1U);
    EXPECT_EQ(log.stalls[0].process, "front-0");
    EXPECT_EQ(log.stalls[0].event, "control_write_delayed");
    EXPECT_EQ(log.stalls[0].endedAt, RunTime(2500));
    EXPECT_EQ(log.stalls[0].length, RunTime(310));
}

TEST(NodeLog, EachStopAndEachLateStatementIsKept)
{
    const NodeLog log = readLines(
        R"({"ts":"2026-01-01T00:00:01.000Z","event":"statement_unanswered","request":"a1"})"
        "\n"
        R"({"ts":"2026-01-01T00:00:01.100Z","event":"sessions_closed","unread":2,"unanswered":3})"
        "\n"
        R"({"ts":"2026-01-01T00:00:09.000Z","event":"sessions_closed","unread":0,"unanswered":1})"
        "\n");
    EXPECT_TRUE(log.unansweredStatements.contains("a1"));
    ASSERT_EQ(log.closedSessions.size(), 2U);
    EXPECT_EQ(log.closedSessions[0].unread, 2);
    EXPECT_EQ(log.closedSessions[0].unanswered, 3);
    EXPECT_EQ(log.closedSessions[1].unanswered, 1);
}

TEST(NodeLog, LineCutByAKillIsPassedOver)
{
    const NodeLog log = readLines(R"({"ts":"2026-01-01T00:00:01.000Z","event":"lease_lo)"
                                  "\n"
                                  R"({"ts":"2026-01-01T00:00:02.000Z","event":"lease_lost"})"
                                  "\n");
    ASSERT_EQ(log.controlEvents.size(), 1U);
    EXPECT_EQ(log.controlEvents[0].name, "lease_lost");
    EXPECT_EQ(log.controlEvents[0].at, RunTime(2000));
}

} // namespace
} // namespace shallotlever::soak
