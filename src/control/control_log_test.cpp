#include "control_log.h"

#include <gtest/gtest.h>

#include "shallotlever/control/codec.h"

namespace shallotlever {
namespace {

LogEntry entry(std::uint64_t index, std::uint64_t term)
{
    return { LogIndex(index), ControlTerm(term), EntryKind::Data, "x" };
}

ControlSnapshotPtr snapshot(std::uint64_t index, std::uint64_t term)
{
    return std::make_shared<ControlSnapshot>(
        ControlSnapshot { LogIndex(index), ControlTerm(term), {}, "state" });
}

struct RecoveryCase
{
    std::vector<LogEntry> entries;
    std::uint64_t lastIndex;
};

class ControlLogRecovery : public testing::TestWithParam<RecoveryCase>
{
};

// Guards against entries of a different history that remain after a crash between the storing of a
// received snapshot and the reset of the log.
TEST_P(ControlLogRecovery, KeepsOnlyEntriesThatContinueTheSnapshot)
{
    const ControlLog log(snapshot(5, 3), GetParam().entries);
    EXPECT_EQ(log.lastIndex(), LogIndex(GetParam().lastIndex));
    EXPECT_EQ(log.termAt(LogIndex(5)), ControlTerm(3));
}

INSTANTIATE_TEST_SUITE_P(
    All, ControlLogRecovery,
    testing::Values(RecoveryCase { {}, 5 }, RecoveryCase { { entry(1, 1), entry(2, 1) }, 5 },
                    RecoveryCase { { entry(4, 1), entry(5, 1), entry(6, 1) }, 5 },
                    RecoveryCase { { entry(4, 1), entry(5, 3), entry(6, 3) }, 6 },
                    RecoveryCase { { entry(6, 3), entry(7, 3) }, 7 }));

// Guards against a member that uses a membership whose entry was truncated from its log.
TEST(ControlLog, TruncationRestoresPreviousMembership)
{
    const Membership first { { { NodeId("a"), MemberIdentity(1) } }, std::nullopt };
    const Membership second { {}, Member { NodeId("b"), MemberIdentity(2) } };
    ControlLog log;
    log.append({ LogIndex(1), ControlTerm(1), EntryKind::Membership, encodeMembership(first) });
    log.append({ LogIndex(2), ControlTerm(1), EntryKind::Membership, encodeMembership(second) });
    EXPECT_EQ(log.membership(), second);
    EXPECT_EQ(log.membershipAt(LogIndex(1)), first);
    log.truncate(LogIndex(2));
    EXPECT_EQ(log.membership(), first);
}

} // namespace
} // namespace shallotlever
