#include "shallotlever/control/codec.h"

#include <gtest/gtest.h>

#include "shallotlever/base/random.h"
#include "shallotlever/control/member.h"

namespace shallotlever {
namespace {

const Member kFrom { NodeId("a"), MemberIdentity(1) };
const Member kTo { NodeId("b"), MemberIdentity(2) };
const TimePoint kTime { Duration(77) };

std::vector<ControlMessage> sampleMessages()
{
    const LogEntry entry { LogIndex(4), ControlTerm(2), EntryKind::Data, std::string("\0x", 2) };
    const Membership membership { { kFrom }, kTo };
    const std::vector<ControlBody> bodies {
        HelloMessage { true },
        VoteRequest { true, true, LogIndex(3), ControlTerm(2), 9 },
        VoteReply { true, true, 9 },
        AppendRequest { LogIndex(3), ControlTerm(2), LogIndex(1), kTime, { entry } },
        AppendReply { true, LogIndex(4), LogIndex(3), kTime },
        SnapshotChunk { LogIndex(3), ControlTerm(2), membership, 5, 10, kTime, "chunk" },
        SnapshotReply { LogIndex(3), 6, kTime },
        TransferRequest {},
    };
    std::vector<ControlMessage> out;
    for (const ControlBody &body : bodies)
        out.push_back({ kFrom, kTo, ControlTerm(8), body });
    return out;
}

// Guards against fields that are lost in encoding or decoding: encoding a decoded message again
// must give the same bytes.
TEST(ControlCodec, MessagesRoundTrip)
{
    for (const ControlMessage &message : sampleMessages()) {
        const std::string bytes = encodeControlMessage(message);
        const auto decoded = decodeControlMessage(bytes);
        ASSERT_TRUE(decoded.ok()) << decoded.status();
        EXPECT_EQ(decoded->body.index(), message.body.index());
        EXPECT_EQ(encodeControlMessage(*decoded), bytes);
    }
    const auto append = decodeControlMessage(encodeControlMessage(sampleMessages()[3]));
    const auto &request = std::get<AppendRequest>(append->body);
    EXPECT_EQ(request.entries, std::get<AppendRequest>(sampleMessages()[3].body).entries);
    EXPECT_EQ(request.sentAt, kTime);
}

// Guards against messages that do not fit into a frame of 1 MiB.
TEST(ControlCodec, MaximumSizeMessagesFitIntoFrame)
{
    AppendRequest request;
    for (std::uint64_t i = 1; i <= kMaxAppendBytes / 65; ++i)
        request.entries.push_back({ LogIndex(i), ControlTerm(1), EntryKind::Data, "x" });
    EXPECT_LT(encodeControlMessage({ kFrom, kTo, {}, request }).size(), 1'000'000U);
    request.entries.resize(1);
    request.entries[0].data = std::string(kMaxProposalBytes, 'x');
    EXPECT_LT(encodeControlMessage({ kFrom, kTo, {}, request }).size(), 1'000'000U);
}

// Guards against reads outside the buffer when the bytes are corrupted or truncated.
TEST(ControlCodec, CorruptedBytesDoNotCrash)
{
    Random random(3);
    const std::vector<ControlMessage> messages = sampleMessages();
    for (int round = 0; round < 20'000; ++round) {
        std::string bytes = encodeControlMessage(messages[uniformBelow(random, messages.size())]);
        bytes[uniformBelow(random, bytes.size())] = static_cast<char>(random());
        bytes.resize(bytes.size() - uniformBelow(random, 3));
        (void)decodeControlMessage(bytes);
        (void)decodeDurableWrites(bytes);
        (void)decodeSnapshot(bytes);
    }
}

} // namespace
} // namespace shallotlever
