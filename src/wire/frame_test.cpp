#include "shallotlever/wire/frame.h"

#include <gtest/gtest.h>

namespace shallotlever {
namespace {

PeerMessage sampleMessage(std::size_t payloadBytes)
{
    return { MessageType::NodeReport,       7, NodeId("n1"), Incarnation(3), Incarnation(9),
             std::string(payloadBytes, 'x') };
}

class FrameChunks : public testing::TestWithParam<std::size_t>
{
};

// Guards against messages lost or merged when TCP splits the stream at arbitrary positions.
TEST_P(FrameChunks, ReassemblesMessages)
{
    std::string stream;
    for (std::size_t size : { 0U, 1U, 700U, 100000U })
        stream += *encodeFrame(sampleMessage(size));
    FrameReader reader;
    std::vector<std::size_t> sizes;
    for (std::size_t at = 0; at < stream.size(); at += GetParam()) {
        reader.feed(std::string_view(stream).substr(at, GetParam()));
        for (;;) {
            auto message = reader.next();
            ASSERT_TRUE(message.ok());
            if (!*message)
                break;
            EXPECT_EQ((*message)->sender, NodeId("n1"));
            EXPECT_EQ((*message)->receiverIncarnation, Incarnation(9));
            sizes.push_back((*message)->payload.size());
        }
    }
    EXPECT_EQ(sizes, (std::vector<std::size_t> { 0, 1, 700, 100000 }));
}

INSTANTIATE_TEST_SUITE_P(Sizes, FrameChunks, testing::Values(1, 3, 4, 5, 1000, 1 << 20));

struct MalformedStream
{
    const char *name;
    std::string bytes;
};

class MalformedFrame : public testing::TestWithParam<MalformedStream>
{
};

// Guards against a corrupt or malicious frame that is accepted or causes unbounded allocation.
TEST_P(MalformedFrame, IsRejected)
{
    FrameReader reader;
    reader.feed(GetParam().bytes);
    EXPECT_FALSE(reader.next().ok());
}

INSTANTIATE_TEST_SUITE_P(
    Cases, MalformedFrame,
    testing::Values(MalformedStream { "too long", std::string("\x7f\xff\xff\xff", 4) },
                    MalformedStream { "garbage", std::string("\0\0\0\x08", 4) + "abcdefgh" },
                    MalformedStream { "empty", std::string("\0\0\0\0", 4) }),
    [](const auto &info) {
        return info.param.name == std::string("too long") ? "TooLong"
            : info.param.name == std::string("garbage")   ? "Garbage"
                                                          : "Empty";
    });

// Guards against a payload that is accepted for sending and fits into no frame.
TEST(Frame, AcceptsLargestPayload)
{
    constexpr std::size_t kLongestNodeId = 256;
    PeerMessage message = sampleMessage(kMaxPayloadBytes);
    message.sender = NodeId(std::string(kLongestNodeId, 'n'));
    const auto frame = encodeFrame(message);
    ASSERT_TRUE(frame.ok());
    FrameReader reader;
    reader.feed(*frame);
    const auto received = reader.next();
    ASSERT_TRUE(received.ok() && *received);
    EXPECT_EQ((*received)->payload, message.payload);
}

// Guards against sending a frame that every receiver would reject.
TEST(Frame, RejectsOversizedMessage)
{
    EXPECT_FALSE(encodeFrame(sampleMessage(kMaxFrameBytes)).ok());
}

} // namespace
} // namespace shallotlever
