#include "shallotlever/storage/data_directory.h"

#include <filesystem>
#include <random>
#include <utility>

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_format.h>
#include <fcntl.h>

#include "file.h"
#include "record.h"
#include "segmented_log.h"
#include "shallotlever/control/codec.h"

namespace shallotlever {
namespace {

constexpr const char *kLockFile = "lock";
constexpr const char *kIdentityFile = "identity";
constexpr const char *kSnapshotPrefix = "snapshot-";
/// File number in the checksum seed of files other than log segments, which are numbered from 1.
constexpr std::uint64_t kNonSegmentFileNumber = 0;

std::string snapshotName(LogIndex index)
{
    return absl::StrFormat("%s%020u", kSnapshotPrefix, index.value());
}

/// Returns the payload of a file that consists of a single record.
absl::StatusOr<std::string> readRecordFile(const std::string &path)
{
    absl::StatusOr<std::string> content = readFile(path);
    if (!content.ok())
        return content.status();
    const std::optional<RecordView> record = recordAt(*content, kNonSegmentFileNumber, 0);
    if (!record || record->nextOffset != content->size())
        return absl::DataLossError(absl::StrCat(path, ": offset 0: corrupt record"));
    return std::string(record->payload);
}

absl::Status replaceRecordFileAtomically(const std::string &directory, const std::string &name,
                                         std::string_view payload)
{
    return replaceFileAtomically(directory, name, encodeRecord(payload, kNonSegmentFileNumber, 0));
}

MemberIdentity generateIdentity()
{
    std::random_device device;
    std::uint64_t value = 0;
    while (value == 0)
        value = (static_cast<std::uint64_t>(device()) << 32U) | device();
    return MemberIdentity(value);
}

absl::StatusOr<MemberIdentity> readIdentity(const std::string &directory)
{
    const std::string path = directory + "/" + kIdentityFile;
    absl::StatusOr<std::string> payload = readRecordFile(path);
    if (!payload.ok())
        return payload.status();
    std::uint64_t value = 0;
    if (!absl::SimpleAtoi(*payload, &value) || value == 0)
        return absl::DataLossError(absl::StrCat(path, ": offset 0: invalid member identity"));
    return MemberIdentity(value);
}

absl::StatusOr<MemberIdentity> readOrCreateIdentity(const std::string &directory)
{
    if (std::filesystem::exists(directory + "/" + kIdentityFile))
        return readIdentity(directory);
    for (const char *prefix : { "log-", kSnapshotPrefix }) {
        const absl::StatusOr<std::vector<std::string>> names = listFiles(directory, prefix);
        if (!names.ok())
            return names.status();
        if (!names->empty()) {
            return absl::DataLossError(
                absl::StrCat(directory, ": contains ", names->front(), " but no identity file"));
        }
    }
    const MemberIdentity identity = generateIdentity();
    const absl::Status written =
        replaceRecordFileAtomically(directory, kIdentityFile, absl::StrCat(identity.value()));
    if (!written.ok())
        return written;
    return identity;
}

absl::StatusOr<ControlSnapshotPtr> readLatestSnapshot(const std::string &directory)
{
    const absl::StatusOr<std::vector<std::string>> names = listFiles(directory, kSnapshotPrefix);
    if (!names.ok())
        return names.status();
    if (names->empty())
        return ControlSnapshotPtr();
    const std::string path = directory + "/" + names->back();
    absl::StatusOr<std::string> payload = readRecordFile(path);
    if (!payload.ok())
        return payload.status();
    absl::StatusOr<ControlSnapshot> snapshot = decodeSnapshot(*payload);
    if (!snapshot.ok())
        return absl::DataLossError(absl::StrCat(path, ": ", snapshot.status().message()));
    return std::make_shared<const ControlSnapshot>(*std::move(snapshot));
}

absl::Status checkNoMissingEntries(const std::string &directory, const RecoveredState &state)
{
    const LogIndex snapshotIndex = state.snapshot ? state.snapshot->index : LogIndex();
    if (state.entries.empty() || state.entries.front().index <= snapshotIndex.next())
        return absl::OkStatus();
    return absl::DataLossError(absl::StrCat(directory, ": entries ", snapshotIndex.next().value(),
                                            " to ", state.entries.front().index.value() - 1,
                                            " are missing"));
}

} // namespace

class DataDirectory::Impl
{
public:
    absl::Status open(const std::string &path, const StorageOptions &options);
    absl::Status write(const std::vector<DurableWrite> &group);

    RecoveredState m_recovered;

private:
    absl::Status writeGroup(const std::vector<DurableWrite> &group);
    absl::Status writeSnapshot(const DurableWrite &write);
    absl::Status removeOldSnapshots(LogIndex newest);

    std::string m_path;
    File m_lock;
    SegmentedLog m_log;
    absl::Status m_failure;
};

absl::Status DataDirectory::Impl::open(const std::string &path, const StorageOptions &options)
{
    m_path = path;
    std::error_code error;
    std::filesystem::create_directories(path, error);
    if (error)
        return absl::InternalError(absl::StrCat(path, ": ", error.message()));
    absl::StatusOr<File> lock = File::open(path + "/" + kLockFile, O_RDWR | O_CREAT);
    if (!lock.ok())
        return lock.status();
    m_lock = *std::move(lock);
    if (absl::Status locked = m_lock.lock(); !locked.ok())
        return locked;
    absl::StatusOr<MemberIdentity> identity = readOrCreateIdentity(path);
    if (!identity.ok())
        return identity.status();
    absl::StatusOr<ControlSnapshotPtr> snapshot = readLatestSnapshot(path);
    if (!snapshot.ok())
        return snapshot.status();
    SegmentedLog::RecoveredLog recovered;
    absl::StatusOr<SegmentedLog> log = SegmentedLog::open(path, options, recovered);
    if (!log.ok())
        return log.status();
    m_log = *std::move(log);
    m_recovered = { *identity, std::move(recovered.hardState), *std::move(snapshot),
                    std::move(recovered.entries) };
    return checkNoMissingEntries(path, m_recovered);
}

absl::Status DataDirectory::Impl::removeOldSnapshots(LogIndex newest)
{
    absl::StatusOr<std::vector<std::string>> names = listFiles(m_path, kSnapshotPrefix);
    if (!names.ok())
        return names.status();
    for (const std::string &name : *names) {
        if (name >= snapshotName(newest))
            continue;
        if (absl::Status removed = removeFile(m_path, name); !removed.ok())
            return removed;
    }
    return absl::OkStatus();
}

absl::Status DataDirectory::Impl::writeSnapshot(const DurableWrite &write)
{
    const ControlSnapshot &snapshot = *write.snapshot;
    const std::string name = snapshotName(snapshot.index);
    if (absl::Status s = replaceRecordFileAtomically(m_path, name, encodeSnapshot(snapshot));
        !s.ok())
        return s;
    DurableWrite logWrite = write;
    logWrite.snapshot.reset();
    if (write.resetLog) {
        if (absl::Status s = m_log.reset(std::move(logWrite)); !s.ok())
            return s;
    } else {
        if (absl::Status s = m_log.append({ std::move(logWrite) }); !s.ok())
            return s;
        if (absl::Status s = m_log.compact(snapshot.index); !s.ok())
            return s;
    }
    return removeOldSnapshots(snapshot.index);
}

absl::Status DataDirectory::Impl::write(const std::vector<DurableWrite> &group)
{
    if (!m_failure.ok())
        return m_failure;
    const absl::Status status = writeGroup(group);
    if (!isDiskFull(status))
        m_failure = status;
    return status;
}

absl::Status DataDirectory::Impl::writeGroup(const std::vector<DurableWrite> &group)
{
    std::vector<DurableWrite> pending;
    for (const DurableWrite &write : group) {
        if (!write.snapshot) {
            pending.push_back(write);
            continue;
        }
        // Entries that precede the snapshot must be durable before it.
        absl::Status status;
        if (!pending.empty())
            status = m_log.append(std::exchange(pending, {}));
        if (status.ok())
            status = writeSnapshot(write);
        if (!status.ok())
            return status;
    }
    return pending.empty() ? absl::OkStatus() : m_log.append(std::move(pending));
}

absl::StatusOr<std::unique_ptr<DataDirectory>> DataDirectory::open(const std::string &path,
                                                                   StorageOptions options)
{
    auto impl = std::make_unique<Impl>();
    if (absl::Status opened = impl->open(path, options); !opened.ok())
        return opened;
    return std::unique_ptr<DataDirectory>(new DataDirectory(std::move(impl)));
}

DataDirectory::DataDirectory(std::unique_ptr<Impl> impl)
    : m_impl(std::move(impl))
{
}

DataDirectory::~DataDirectory() = default;

RecoveredState DataDirectory::takeRecovered()
{
    return std::exchange(m_impl->m_recovered, {});
}

absl::Status DataDirectory::write(const std::vector<DurableWrite> &group)
{
    return m_impl->write(group);
}

} // namespace shallotlever
