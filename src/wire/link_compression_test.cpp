#include <array>
#include <cstring>
#include <random>

#include <gtest/gtest.h>

#include "shallotlever/wire/frame.h"

namespace shallotlever {
namespace {

constexpr std::size_t kTeams = 77;

/// Lease of a node that serves 77 teams; each time the shares of a few have changed.
class LeaseSequence
{
public:
    std::string next()
    {
        std::string payload;
        for (std::size_t team = 0; team < kTeams; ++team) {
            if (m_random() % 16 == 0)
                m_rates[team] = static_cast<double>(m_random() % 1000) / 7;
            payload += "team-" + std::to_string(team);
            std::array<char, sizeof(double)> bytes {};
            std::memcpy(bytes.data(), &m_rates[team], bytes.size());
            for (int field = 0; field < 4; ++field)
                payload.append(bytes.data(), bytes.size());
        }
        return payload;
    }

private:
    std::mt19937 m_random { 7 };
    std::array<double, kTeams> m_rates {};
};

PeerMessage message(MessageType type, std::string payload)
{
    return { type, 7, NodeId("10.1.0.29"), Incarnation(3), Incarnation(9), std::move(payload) };
}

std::string compressedFrame(FrameWriter &writer, const PeerMessage &sent)
{
    std::uint64_t saved = 0;
    return *writer.frame(sent, saved);
}

// Guards against control traffic between regions that repeats what the receiver has.
TEST(LinkCompression, HalvesLeasesThatDifferLittle)
{
    FrameWriter writer;
    writer.setCompression(true);
    FrameReader reader;
    LeaseSequence leases;
    std::size_t plainBytes = 0;
    std::size_t sentBytes = 0;
    std::uint64_t saved = 0;
    for (int i = 0; i < 40; ++i) {
        const PeerMessage lease = message(MessageType::NodeLease, leases.next());
        const auto frame = writer.frame(lease, saved);
        ASSERT_TRUE(frame.ok());
        plainBytes += encodeFrame(lease)->size();
        sentBytes += frame->size();
        // In two parts, as TCP may deliver it.
        reader.feed(std::string_view(*frame).substr(0, frame->size() / 2));
        EXPECT_FALSE(reader.next()->has_value());
        reader.feed(std::string_view(*frame).substr(frame->size() / 2));
        const auto received = reader.next();
        ASSERT_TRUE(received.ok() && *received);
        EXPECT_EQ((*received)->payload, lease.payload);
        EXPECT_EQ((*received)->sender, lease.sender);
    }
    EXPECT_LT(sentBytes * 2, plainBytes);
    EXPECT_EQ(saved, plainBytes - sentBytes);
}

struct TypeCase
{
    MessageType type;
    bool compressed;
};

class CompressedTypes : public testing::TestWithParam<TypeCase>
{
};

// Guards against statements of one team whose length tells what another team sent before.
TEST_P(CompressedTypes, AreThoseOfTheControlPlane)
{
    FrameWriter writer;
    writer.setCompression(true);
    const PeerMessage sent = message(GetParam().type, std::string(500, 'x'));
    EXPECT_EQ(compressedFrame(writer, sent).size() < 200, GetParam().compressed);
}

INSTANTIATE_TEST_SUITE_P(Types, CompressedTypes,
                         testing::Values(TypeCase { MessageType::Control, true },
                                         TypeCase { MessageType::NodeReport, true },
                                         TypeCase { MessageType::NodeLease, true },
                                         TypeCase { MessageType::TokenGrant, true },
                                         TypeCase { MessageType::Hello, false },
                                         TypeCase { MessageType::Forward, false },
                                         TypeCase { MessageType::StatementRequest, false },
                                         TypeCase { MessageType::StatementReply, false }));

// Guards against a link to a process of an earlier version, whose Hello has no payload.
TEST(LinkCompression, SendsPlainFramesToEarlierVersions)
{
    EXPECT_TRUE(readsCompressedFrames(helloPayload()));
    EXPECT_FALSE(readsCompressedFrames(""));
    FrameWriter writer;
    const PeerMessage lease = message(MessageType::NodeLease, std::string(500, 'x'));
    EXPECT_EQ(compressedFrame(writer, lease), *encodeFrame(lease));
}

// Guards against plain messages between compressed ones that change what the latter refer to.
TEST(LinkCompression, MixesWithPlainFrames)
{
    FrameWriter writer;
    writer.setCompression(true);
    FrameReader reader;
    LeaseSequence leases;
    for (int i = 0; i < 12; ++i) {
        const MessageType type = i % 3 == 1 ? MessageType::StatementReply : MessageType::NodeLease;
        const PeerMessage sent = message(type, leases.next());
        reader.feed(compressedFrame(writer, sent));
        const auto received = reader.next();
        ASSERT_TRUE(received.ok() && *received);
        EXPECT_EQ((*received)->payload, sent.payload);
    }
}

std::string withCompressedPrefix(const std::string &bytes)
{
    return std::string("\x80\x00\x00", 3) + static_cast<char>(bytes.size()) + bytes;
}

/// A frame whose bytes were changed on the way.
std::string damagedFrame(std::size_t at, char change)
{
    FrameWriter writer;
    writer.setCompression(true);
    std::string frame = compressedFrame(writer, message(MessageType::NodeLease, "lease"));
    frame[at] = static_cast<char>(frame[at] ^ change);
    return frame;
}

class BrokenCompression : public testing::TestWithParam<std::string>
{
};

// Guards against bytes that crash the receiver or are taken for a message.
TEST_P(BrokenCompression, EndsTheLink)
{
    FrameReader reader;
    reader.feed(GetParam());
    EXPECT_FALSE(reader.next().ok());
}

INSTANTIATE_TEST_SUITE_P(Frames, BrokenCompression,
                         testing::Values(withCompressedPrefix(""), withCompressedPrefix("abcdefgh"),
                                         // The last block of a stream.
                                         withCompressedPrefix(std::string("\x03\x00", 2)),
                                         damagedFrame(4, 0x06), damagedFrame(12, 0x20)));

// Guards against a small frame that makes the receiver allocate without bound.
TEST(LinkCompression, RejectsMessageThatGrowsBeyondTheLongest)
{
    FrameWriter writer;
    writer.setCompression(true);
    std::string stream;
    PeerMessage longest = message(MessageType::NodeLease, std::string(kMaxPayloadBytes, 'x'));
    stream = compressedFrame(writer, longest);
    FrameReader reader;
    reader.feed(stream);
    ASSERT_TRUE(reader.next().ok());
    // Two messages under one length.
    FrameWriter joiner;
    joiner.setCompression(true);
    const std::string first = compressedFrame(joiner, longest).substr(4);
    const std::string second = compressedFrame(joiner, longest).substr(4);
    const std::string joined = first + std::string("\x00\x00\xff\xff", 4) + second;
    std::string frame("\x80\x00", 2);
    frame += static_cast<char>(joined.size() >> 8U);
    frame += static_cast<char>(joined.size());
    FrameReader other;
    other.feed(frame + joined);
    const auto received = other.next();
    ASSERT_FALSE(received.ok());
    EXPECT_EQ(received.status().message(), "a compressed message is too long");
}

} // namespace
} // namespace shallotlever
