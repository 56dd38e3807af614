#include "shallotlever/telemetry/log.h"

#include <unistd.h>

#include <array>
#include <limits>
#include <set>
#include <sstream>
#include <thread>

#include <gmock/gmock.h>
#include <gtest/gtest.h>

namespace shallotlever {
namespace {

using testing::EndsWith;
using testing::HasSubstr;
using testing::MatchesRegex;

class LogPipe
{
public:
    LogPipe() { EXPECT_EQ(::pipe(m_ends.data()), 0); }
    ~LogPipe() { ::close(m_ends[0]); }
    int writeEnd() const { return m_ends[1]; }
    std::string readAll()
    {
        ::close(m_ends[1]);
        std::string text;
        std::array<char, 4096> part {};
        for (ssize_t n = 0; (n = ::read(m_ends[0], part.data(), part.size())) > 0;)
            text.append(part.data(), static_cast<std::size_t>(n));
        return text;
    }

private:
    std::array<int, 2> m_ends {};
};

struct ValueCase
{
    LogValue value;
    std::string json;
};

class LogValueText : public testing::TestWithParam<ValueCase>
{
};

// Guards against values whose text makes a line invalid JSON.
TEST_P(LogValueText, IsValidJson)
{
    LogPipe pipe;
    Logger(NodeId("n1"), LogLevel::Info, pipe.writeEnd())
        .info("test", { { "value", GetParam().value } });
    EXPECT_THAT(
        pipe.readAll(),
        EndsWith(",\"event\":\"test\",\"node\":\"n1\",\"value\":" + GetParam().json + "}\n"));
}

const NodeId kNode("n"); // Outlives the test cases, because LogValue does not copy text.

INSTANTIATE_TEST_SUITE_P(
    All, LogValueText,
    testing::Values(ValueCase { true, "true" }, ValueCase { -7, "-7" },
                    ValueCase { ~std::uint64_t { 0 }, "18446744073709551615" },
                    ValueCase { 0.25, "0.25" },
                    ValueCase { std::numeric_limits<double>::infinity(), "null" },
                    ValueCase { "a\"b\\c\n\x01", R"("a\"b\\c\n\u0001")" },
                    ValueCase { "Łyżkarnia", "\"Łyżkarnia\"" },
                    ValueCase { "x\xff\xc0\x80\xed\xa0\x80y",
                                R"("x\ufffd\ufffd\ufffd\ufffd\ufffd\ufffdy")" },
                    ValueCase { "\xe2\x82", R"("\ufffd\ufffd")" }, ValueCase { kNode, "\"n\"" },
                    ValueCase { Term(4), "4" }));

// Guards against a wrong format of the fixed fields and against output below the log level.
TEST(Logger, WritesFixedFieldsAndDropsLowerLevels)
{
    LogPipe pipe;
    const Logger logger(NodeId("n1"), LogLevel::Warning, pipe.writeEnd());
    logger.info("dropped");
    logger.warning("kept");
    EXPECT_THAT(pipe.readAll(),
                MatchesRegex("\\{\"ts\":\"[0-9]{4}-[0-9]{2}-[0-9]{2}T[0-9:]{8}\\.[0-9]{3}Z\","
                             "\"level\":\"warning\",\"event\":\"kept\",\"node\":\"n1\"\\}\n"));
}

// Guards against interleaved or lost lines when several threads log at once.
TEST(Logger, DoesNotInterleaveLinesOfThreads)
{
    constexpr int kThreads = 4;
    constexpr int kLines = 50;
    LogPipe pipe;
    const Logger logger(NodeId("n1"), LogLevel::Info, pipe.writeEnd());
    std::vector<std::thread> threads;
    for (int t = 0; t < kThreads; ++t)
        threads.emplace_back([&logger, t] {
            for (int i = 0; i < kLines; ++i)
                logger.info("line", { { "id", t * kLines + i } });
        });
    for (std::thread &thread : threads)
        thread.join();
    std::istringstream lines(pipe.readAll());
    std::set<std::string> ids;
    for (std::string line; std::getline(lines, line);) {
        EXPECT_THAT(line, MatchesRegex("\\{\"ts\":[^{}]*\"id\":[0-9]+\\}"));
        ids.insert(line.substr(line.rfind(':')));
    }
    EXPECT_EQ(ids.size(), kThreads * kLines);
}

} // namespace
} // namespace shallotlever
