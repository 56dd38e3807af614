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
/// File number in the checksums of files that are not log segments.
constexpr std::uint64_t kWholeFile = 0;

std::string snapshotName(LogIndex index)
{
    return absl::StrFormat("%s%020u", kSnapshotPrefix, index.value());
}

/// Payload of a file that consists of one record.
absl::StatusOr<std::string> readRecordFile(const std::string &path)
{
    absl::StatusOr<std::string> content = readFile(path);
    if (!content.ok())
        return content.status();
    const std::optional<RecordView> record = recordAt(*content, kWholeFile, 0);
    if (!record || record->end != content->size())
        return absl::DataLossError(absl::StrCat(path, ": offset 0: damaged"));
    return std::string(record->payload);
}

absl::Status replaceRecordFile(const std::string &directory, const std::string &name,
                               std::string_view payload)
{
    return replaceFile(directory, name, frameRecord(payload, kWholeFile, 0));
}

MemberIdentity randomIdentity()
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
        return absl::DataLossError(absl::StrCat(path, ": offset 0: not an identity"));
    return MemberIdentity(value);
}

absl::StatusOr<MemberIdentity> openIdentity(const std::string &directory)
{
    if (std::filesystem::exists(directory + "/" + kIdentityFile))
        return readIdentity(directory);
    for (const char *prefix : { "log-", kSnapshotPrefix }) {
        const absl::StatusOr<std::vector<std::string>> names = listFiles(directory, prefix);
        if (!names.ok())
            return names.status();
        if (!names->empty()) {
            return absl::DataLossError(
                absl::StrCat(directory, ": has ", names->front(), " but no identity file"));
        }
    }
    const MemberIdentity identity = randomIdentity();
    const absl::Status written =
        replaceRecordFile(directory, kIdentityFile, absl::StrCat(identity.value()));
    if (!written.ok())
        return written;
    return identity;
}

absl::StatusOr<ControlSnapshotPtr> openSnapshot(const std::string &directory)
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

absl::Status checkContinuous(const std::string &directory, const RecoveredState &state)
{
    const LogIndex covered = state.snapshot ? state.snapshot->index : LogIndex();
    if (state.entries.empty() || state.entries.front().index <= covered.next())
        return absl::OkStatus();
    return absl::DataLossError(absl::StrCat(directory, ": entries ", covered.next().value(), " to ",
                                            state.entries.front().index.value() - 1,
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
    absl::Status writeSnapshot(const DurableWrite &write);
    absl::Status removeOldSnapshots(LogIndex keep);

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
    absl::StatusOr<MemberIdentity> identity = openIdentity(path);
    if (!identity.ok())
        return identity.status();
    absl::StatusOr<ControlSnapshotPtr> snapshot = openSnapshot(path);
    if (!snapshot.ok())
        return snapshot.status();
    SegmentedLog::Replayed replayed;
    absl::StatusOr<SegmentedLog> log = SegmentedLog::open(path, options.segmentBytes, replayed);
    if (!log.ok())
        return log.status();
    m_log = *std::move(log);
    m_recovered = { *identity, std::move(replayed.hardState), *std::move(snapshot),
                    std::move(replayed.entries) };
    return checkContinuous(path, m_recovered);
}

absl::Status DataDirectory::Impl::removeOldSnapshots(LogIndex keep)
{
    absl::StatusOr<std::vector<std::string>> names = listFiles(m_path, kSnapshotPrefix);
    if (!names.ok())
        return names.status();
    for (const std::string &name : *names) {
        if (name >= snapshotName(keep))
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
    if (absl::Status s = replaceRecordFile(m_path, name, encodeSnapshot(snapshot)); !s.ok())
        return s;
    DurableWrite rest = write;
    rest.snapshot.reset();
    if (write.resetLog) {
        if (absl::Status s = m_log.reset(std::move(rest)); !s.ok())
            return s;
    } else {
        if (absl::Status s = m_log.append({ std::move(rest) }); !s.ok())
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
    std::vector<DurableWrite> pending;
    for (const DurableWrite &write : group) {
        if (!write.snapshot) {
            pending.push_back(write);
            continue;
        }
        // The log must not lag behind a snapshot that was taken from it.
        if (!pending.empty())
            m_failure.Update(m_log.append(std::exchange(pending, {})));
        if (m_failure.ok())
            m_failure = writeSnapshot(write);
        if (!m_failure.ok())
            return m_failure;
    }
    if (!pending.empty())
        m_failure = m_log.append(std::move(pending));
    return m_failure;
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
