#include "shallotlever/storage/data_directory.h"

#include <chrono>
#include <filesystem>
#include <fstream>
#include <future>
#include <set>

#include <gmock/gmock.h>
#include <gtest/gtest.h>
#include <unistd.h>

#include "file.h"
#include "shallotlever/base/random.h"
#include "shallotlever/config/codec.h"
#include "shallotlever/storage/storage_thread.h"

namespace shallotlever {
namespace {

namespace fs = std::filesystem;

/// Includes the process id, so that concurrent test runs use different directories.
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

// Guards against a restart that loses entries, the vote or the member identity.
TEST_F(StorageTest, ReopenRecoversWrittenState)
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

// Guards against an open that fails, or recovers a partial record, after a crash during a write.
TEST_F(StorageTest, TornLastRecordIsTruncatedAtEveryLength)
{
    write(entries(1, 3, 1));
    const auto completeBytes = fs::file_size(segment(1));
    write(entries(4, 4, 1));
    const auto tornBytes = fs::file_size(segment(1));
    for (auto size = tornBytes - 1; size >= completeBytes; --size) {
        m_directory.reset();
        fs::resize_file(segment(1), size);
        EXPECT_EQ(reopen().entries.size(), 3U) << size;
    }
    write(entries(4, 5, 2));
    EXPECT_EQ(reopen().entries.size(), 5U);
}

// Guards against silent loss of durable entries: corruption before the last record must make open
// fail.
TEST_F(StorageTest, OpenFailsOnCorruptRecordBeforeTheLast)
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

// Guards against recovery from a log with a missing segment or a corrupt segment before the last.
TEST_F(StorageTest, OpenFailsOnMissingOrCorruptSegment)
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

// Guards against an old log that is opened under a newly generated member identity.
TEST_F(StorageTest, OpenFailsOnMissingIdentityFile)
{
    write(entries(1, 1, 1));
    m_directory.reset();
    fs::remove(m_path + "/identity");
    EXPECT_TRUE(absl::IsDataLoss(DataDirectory::open(m_path).status()));
}

// Guards against two processes that write to the same log.
TEST_F(StorageTest, SecondOpenFails)
{
    EXPECT_TRUE(absl::IsUnavailable(DataDirectory::open(m_path).status()));
}

// Guards against compaction that loses the vote or entries after the snapshot, or removes no files.
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

// Guards against discarded entries that reappear after a snapshot was received.
TEST_F(StorageTest, ReceivedSnapshotDiscardsTheLog)
{
    write(entries(1, 30, 1));
    write(snapshotAt(20, 3, true));
    EXPECT_TRUE(reopen().entries.empty());
    write(entries(21, 22, 3));
    EXPECT_EQ(reopen().entries.size(), 2U);
}

// Guards against a control member that ends, or loses what was durable, because its disk is full
// for a while.
TEST_F(StorageTest, ThreadWaitsWhileTheDiskIsFull)
{
    constexpr std::uint64_t kPartOfARecord = 40;
    StorageOptions options;
    options.space = std::make_shared<FakeDiskSpace>();
    options.space->freeBytes = kPartOfARecord;
    reopen(options);
    std::promise<absl::Status> completed;
    std::promise<void> full;
    std::promise<void> writable;
    auto thread = StorageThread::create(
        std::move(m_directory),
        [&](std::uint64_t, const absl::Status &status) { completed.set_value(status); },
        [&](bool isFull) { isFull ? full.set_value() : writable.set_value(); });
    thread->submit(entries(1, 3, 1));
    full.get_future().wait();
    options.space->freeBytes = 1U << 20U;
    EXPECT_TRUE(completed.get_future().get().ok());
    writable.get_future().wait();
    thread.reset();
    EXPECT_EQ(reopen().entries, entries(1, 3, 1).entries);
}

// Guards against a log that can't be recovered because a record follows the rest of one that did
// not fit: the full disk also refused to remove that rest.
TEST_F(StorageTest, RestOfARecordIsRemovedOnceTheDiskHasRoom)
{
    constexpr std::uint64_t kPartOfARecord = 40;
    StorageOptions options;
    options.space = std::make_shared<FakeDiskSpace>();
    options.space->freeBytes = kPartOfARecord;
    options.space->refusesTruncation = true;
    reopen(options);
    EXPECT_TRUE(isDiskFull(m_directory->write({ entries(1, 3, 1) })));
    options.space->freeBytes = 1U << 20U;
    EXPECT_TRUE(isDiskFull(m_directory->write({ entries(1, 3, 1) })));
    options.space->refusesTruncation = false;
    EXPECT_TRUE(m_directory->write({ entries(1, 3, 1) }).ok());
    EXPECT_TRUE(m_directory->write({ entries(4, 5, 1) }).ok());
    EXPECT_EQ(reopen().entries, entries(1, 5, 1).entries);
}

// Guards against a member that ends because a file is already gone: a full disk refused to sync the
// directory after the first attempt to remove it.
TEST_F(StorageTest, FileIsRemovedOnce)
{
    reopen();
    ASSERT_TRUE(replaceFileAtomically(m_path, "file", "content").ok());
    EXPECT_TRUE(removeFile(m_path, "file").ok());
    EXPECT_TRUE(removeFile(m_path, "file").ok());
}

// Guards against a member that can't be stopped while its disk is full.
TEST_F(StorageTest, ThreadEndsWhileTheDiskIsFull)
{
    StorageOptions options;
    options.space = std::make_shared<FakeDiskSpace>();
    reopen(options);
    std::promise<absl::Status> completed;
    std::promise<void> full;
    auto thread = StorageThread::create(
        std::move(m_directory),
        [&](std::uint64_t, const absl::Status &status) { completed.set_value(status); },
        [&](bool) { full.set_value(); });
    thread->submit(entries(1, 3, 1));
    full.get_future().wait();
    thread.reset();
    EXPECT_TRUE(isDiskFull(completed.get_future().get()));
    EXPECT_TRUE(reopen().entries.empty());
}

// Guards against completions that arrive out of order or before the data is durable.
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

/// In-memory model of the expected directory content.
struct Model
{
    HardState hardState;
    ControlSnapshotPtr snapshot;
    std::vector<LogEntry> entries;

    LogIndex last() const
    {
        const LogIndex snapshotIndex = snapshot ? snapshot->index : LogIndex();
        return entries.empty() ? snapshotIndex : entries.back().index;
    }
    void apply(const DurableWrite &write)
    {
        if (write.hardState)
            hardState = *write.hardState;
        if (write.resetLog)
            entries.clear();
        if (write.snapshot)
            snapshot = write.snapshot;
        const LogIndex snapshotIndex = snapshot ? snapshot->index : LogIndex();
        const LogIndex first = write.entries.empty() ? LogIndex(~0ULL) : write.entries[0].index;
        std::erase_if(entries, [&](const LogEntry &e) { return e.index >= first; });
        entries.insert(entries.end(), write.entries.begin(), write.entries.end());
        std::erase_if(entries, [&](const LogEntry &e) { return e.index <= snapshotIndex; });
    }
};

DurableWrite randomWrite(Random &random, const Model &model, std::uint64_t term)
{
    const std::uint64_t last = model.last().value();
    const std::uint64_t snapshotIndex = model.snapshot ? model.snapshot->index.value() : 0;
    const std::uint64_t kind = uniformBelow(random, 10);
    if (kind == 0)
        return snapshotAt(last + 1 + uniformBelow(random, 5), term, true);
    if (kind == 1 && last > snapshotIndex)
        return snapshotAt(snapshotIndex + 1 + uniformBelow(random, last - snapshotIndex), term,
                          false);
    const std::uint64_t first = snapshotIndex + 1 + uniformBelow(random, last - snapshotIndex + 1);
    DurableWrite write = entries(first, first + uniformBelow(random, 4), term);
    if (kind < 5)
        write.hardState = HardState { ControlTerm(term), std::nullopt };
    return write;
}

// Guards against sequences of truncations, snapshots, segment switches, torn records and
// restarts after which the recovered state differs from what was written.
TEST_F(StorageTest, RandomOperationsMatchModel)
{
    Random random(11);
    Model model;
    for (std::uint64_t step = 1; step <= 400; ++step) {
        const Model before = model;
        std::vector<DurableWrite> group;
        for (std::uint64_t n = 1 + uniformBelow(random, 3); n > 0; --n) {
            group.push_back(randomWrite(random, model, step));
            model.apply(group.back());
        }
        ASSERT_TRUE(m_directory->write(group).ok());
        if (uniformBelow(random, 4) != 0)
            continue;
        const bool truncateLastRecord =
            before.snapshot == model.snapshot && uniformBelow(random, 2) == 0;
        m_directory.reset();
        if (truncateLastRecord) {
            std::set<std::string> names;
            for (const auto &entry : fs::directory_iterator(m_path))
                names.insert(entry.path().string());
            const std::string last = *std::prev(names.lower_bound(m_path + "/m"));
            fs::resize_file(last, fs::file_size(last) - 1);
            model = before;
        }
        const RecoveredState state = reopen({ .segmentBytes = 300 });
        ASSERT_EQ(state.hardState, model.hardState) << step;
        ASSERT_EQ(bool(state.snapshot), bool(model.snapshot)) << step;
        Model recovered { state.hardState, state.snapshot, state.entries };
        recovered.apply({});
        ASSERT_EQ(recovered.entries, model.entries) << step;
        if (model.snapshot) {
            ASSERT_EQ(*state.snapshot, *model.snapshot) << step;
        }
    }
}

struct RecoveryCase
{
    std::uint64_t changes;
    bool snapshots;
};

class Recovery : public testing::TestWithParam<RecoveryCase>
{
};

// Guards against a replicated state that differs after a restart. Prints the recovery
// time, which no check depends on.
TEST_P(Recovery, RestoresStateAfterRestart)
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
