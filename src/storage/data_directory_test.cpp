#include "shallotlever/storage/data_directory.h"

#include <chrono>
#include <filesystem>
#include <fstream>
#include <future>

#include <gmock/gmock.h>
#include <gtest/gtest.h>
#include <unistd.h>

#include "shallotlever/config/codec.h"
#include "shallotlever/storage/storage_thread.h"

namespace shallotlever {
namespace {

namespace fs = std::filesystem;

/// Differs between test runs at the same time.
std::string scratchPath(const std::string &name)
{
    return testing::TempDir() + "/storage_" + std::to_string(getpid()) + "_" + name;
}

DurableWrite entries(std::uint64_t first, std::uint64_t last, std::uint64_t term)
{
    DurableWrite write;
    write.sequence = last;
    for (std::uint64_t i = first; i <= last; ++i)
        write.entries.push_back(
            { LogIndex(i), ControlTerm(term), EntryKind::Data, "entry " + std::to_string(i) });
    return write;
}

DurableWrite snapshotAt(std::uint64_t index, std::uint64_t term, bool received)
{
    DurableWrite write;
    const Membership membership { { { NodeId("a"), MemberIdentity(7) } }, std::nullopt };
    write.snapshot = std::make_shared<ControlSnapshot>(
        ControlSnapshot { LogIndex(index), ControlTerm(term), membership, "state" });
    write.resetLog = received;
    return write;
}

class StorageTest : public testing::Test
{
protected:
    StorageTest()
        : m_path(scratchPath(testing::UnitTest::GetInstance()->current_test_info()->name()))
    {
        fs::remove_all(m_path);
        reopen();
    }
    ~StorageTest() override { fs::remove_all(m_path); }

    RecoveredState reopen(StorageOptions options = {})
    {
        m_directory.reset();
        auto opened = DataDirectory::open(m_path, options);
        EXPECT_TRUE(opened.ok()) << opened.status();
        if (!opened.ok())
            return {};
        m_directory = *std::move(opened);
        return m_directory->takeRecovered();
    }
    void write(const DurableWrite &write) { ASSERT_TRUE(m_directory->write({ write }).ok()); }
    std::string segment(std::uint64_t number) const
    {
        return m_path + "/log-" + std::string(19, '0') + std::to_string(number);
    }

    std::string m_path;
    std::unique_ptr<DataDirectory> m_directory;
};

// Guards against a restart that forgets entries, the vote or the identity.
TEST_F(StorageTest, ReopenReturnsWhatWasWritten)
{
    const MemberIdentity identity = reopen().identity;
    DurableWrite first = entries(1, 5, 1);
    first.hardState = HardState { ControlTerm(1), Member { NodeId("a"), MemberIdentity(7) } };
    write(first);
    write(entries(4, 6, 2));
    const RecoveredState state = reopen();
    EXPECT_EQ(state.identity, identity);
    EXPECT_EQ(state.hardState, first.hardState);
    ASSERT_EQ(state.entries.size(), 6U);
    EXPECT_EQ(state.entries[2].term, ControlTerm(1));
    EXPECT_EQ(state.entries[3].term, ControlTerm(2));
    EXPECT_EQ(state.entries[5].data, "entry 6");
}

// Guards against a start that fails, or keeps half a record, after a crash during a write.
TEST_F(StorageTest, TornLastRecordIsDroppedAtEveryLength)
{
    write(entries(1, 3, 1));
    const auto complete = fs::file_size(segment(1));
    write(entries(4, 4, 1));
    const auto torn = fs::file_size(segment(1));
    for (auto size = torn - 1; size >= complete; --size) {
        m_directory.reset();
        fs::resize_file(segment(1), size);
        EXPECT_EQ(reopen().entries.size(), 3U) << size;
    }
    write(entries(4, 5, 2));
    EXPECT_EQ(reopen().entries.size(), 5U);
}

// Guards against silent loss of durable entries: damage that is not at the end stops the start.
TEST_F(StorageTest, DamageInTheMiddleStopsTheOpen)
{
    write(entries(1, 3, 1));
    const auto offset = fs::file_size(segment(1));
    write(entries(4, 4, 1));
    write(entries(5, 5, 1));
    m_directory.reset();
    std::fstream file(segment(1), std::ios::in | std::ios::out | std::ios::binary);
    file.seekp(static_cast<std::streamoff>(offset) + 20);
    file.put('\x7f');
    file.close();
    const auto opened = DataDirectory::open(m_path);
    EXPECT_TRUE(absl::IsDataLoss(opened.status()));
    const std::string message(opened.status().message());
    EXPECT_THAT(message, testing::HasSubstr(segment(1)));
    EXPECT_THAT(message, testing::HasSubstr("offset " + std::to_string(offset)));
}

// Guards against a log with a hole, and against damage in a segment that was completed.
TEST_F(StorageTest, MissingOrDamagedSegmentStopsTheOpen)
{
    reopen({ .segmentBytes = 1 });
    for (std::uint64_t i = 1; i <= 4; ++i)
        write(entries(i, i, 1));
    m_directory.reset();
    const std::string saved = segment(2) + ".saved";
    fs::rename(segment(2), saved);
    EXPECT_TRUE(absl::IsDataLoss(DataDirectory::open(m_path).status()));
    fs::rename(saved, segment(2));
    EXPECT_EQ(reopen().entries.size(), 4U);
    m_directory.reset();
    fs::resize_file(segment(2), fs::file_size(segment(2)) - 1);
    EXPECT_TRUE(absl::IsDataLoss(DataDirectory::open(m_path).status()));
}

// Guards against a former log under the directory of a member without its identity.
TEST_F(StorageTest, LostIdentityFileStopsTheOpen)
{
    write(entries(1, 1, 1));
    m_directory.reset();
    fs::remove(m_path + "/identity");
    EXPECT_TRUE(absl::IsDataLoss(DataDirectory::open(m_path).status()));
}

// Guards against two processes that write one log.
TEST_F(StorageTest, SecondOpenIsRefused)
{
    EXPECT_TRUE(absl::IsUnavailable(DataDirectory::open(m_path).status()));
}

// Guards against compaction that loses the vote or entries after the snapshot, or keeps all files.
TEST_F(StorageTest, SnapshotRemovesOldSegments)
{
    DurableWrite vote;
    vote.hardState = HardState { ControlTerm(9), std::nullopt };
    write(vote);
    write(entries(1, 10, 1));
    write(snapshotAt(8, 1, false));
    EXPECT_TRUE(fs::exists(segment(1)));
    write(entries(11, 12, 1));
    write(snapshotAt(11, 1, false));
    EXPECT_FALSE(fs::exists(segment(1)));
    const RecoveredState state = reopen();
    EXPECT_EQ(state.hardState.term, ControlTerm(9));
    ASSERT_TRUE(state.snapshot);
    EXPECT_EQ(*state.snapshot, *snapshotAt(11, 1, false).snapshot);
    EXPECT_EQ(state.entries.back().index, LogIndex(12));
}

// Guards against entries of a discarded history that come back after a snapshot was received.
TEST_F(StorageTest, ReceivedSnapshotDiscardsTheLog)
{
    write(entries(1, 30, 1));
    write(snapshotAt(20, 3, true));
    EXPECT_TRUE(reopen().entries.empty());
    write(entries(21, 22, 3));
    EXPECT_EQ(reopen().entries.size(), 2U);
}

// Guards against callbacks before the data is durable, or out of order.
TEST_F(StorageTest, ThreadCompletesWritesInOrder)
{
    std::promise<void> done;
    std::vector<std::uint64_t> completed;
    auto thread = StorageThread::create(std::move(m_directory),
                                        [&](std::uint64_t sequence, const absl::Status &status) {
                                            EXPECT_TRUE(status.ok()) << status;
                                            completed.push_back(sequence);
                                            if (sequence == 200)
                                                done.set_value();
                                        });
    for (std::uint64_t i = 1; i <= 200; ++i)
        thread->submit(entries(i, i, 1));
    done.get_future().wait();
    thread.reset();
    EXPECT_TRUE(std::is_sorted(completed.begin(), completed.end()));
    EXPECT_EQ(reopen().entries.size(), 200U);
}

struct RecoveryCase
{
    std::uint64_t changes;
    bool snapshots;
};

class Recovery : public testing::TestWithParam<RecoveryCase>
{
};

// Guards against a state that differs after a restart. Prints the time, which no check depends on.
TEST_P(Recovery, StateIsEqualAfterARestart)
{
    const std::string path = scratchPath("recovery");
    fs::remove_all(path);
    ReplicatedState state = initialState();
    auto directory = *DataDirectory::open(path);
    for (std::uint64_t i = 1; i <= GetParam().changes; ++i) {
        const TeamConfig team { TeamId("t" + std::to_string(i % 100)), double(i), 1, {} };
        const Command command =
            OperatorChange { ChangeId(std::to_string(i)), ConfigVersion(i - 1), PutTeam { team } };
        applyCommand(state, command, LogIndex(i), 0);
        DurableWrite write = entries(i, i, 1);
        write.entries[0].data = encodeCommand({ command, 0 });
        ASSERT_TRUE(directory->write({ write }).ok());
        if (GetParam().snapshots && i % 500 == 0) {
            DurableWrite snapshot;
            snapshot.snapshot = std::make_shared<ControlSnapshot>(
                ControlSnapshot { LogIndex(i), ControlTerm(1), {}, encodeState(state) });
            ASSERT_TRUE(directory->write({ snapshot }).ok());
        }
    }
    directory.reset();

    const auto start = std::chrono::steady_clock::now();
    directory = *DataDirectory::open(path);
    const RecoveredState recovered = directory->takeRecovered();
    ReplicatedState restored =
        recovered.snapshot ? *decodeState(recovered.snapshot->data) : initialState();
    for (const LogEntry &entry : recovered.entries) {
        if (entry.index > restored.cluster.index)
            applyCommand(restored, decodeCommand(entry.data)->command, entry.index, 0);
    }
    const std::chrono::duration<double, std::milli> elapsed =
        std::chrono::steady_clock::now() - start;
    std::cout << "recovery after " << GetParam().changes << " changes, "
              << (GetParam().snapshots ? "with" : "without") << " snapshots: " << elapsed.count()
              << " ms\n";
    EXPECT_EQ(restored, state);
    fs::remove_all(path);
}

INSTANTIATE_TEST_SUITE_P(Sizes, Recovery,
                         testing::Values(RecoveryCase { 300, false }, RecoveryCase { 300, true },
                                         RecoveryCase { 5'000, false },
                                         RecoveryCase { 5'000, true }));

} // namespace
} // namespace shallotlever
