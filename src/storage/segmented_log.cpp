#include "segmented_log.h"

#include <algorithm>
#include <utility>

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_format.h>
#include <fcntl.h>

#include "record.h"
#include "shallotlever/control/codec.h"

namespace shallotlever {
namespace {

constexpr const char *kSegmentPrefix = "log-";

std::string segmentName(std::uint64_t number)
{
    return absl::StrFormat("%s%020u", kSegmentPrefix, number);
}

absl::Status corruptionError(const std::string &location, const std::string &message)
{
    return absl::DataLossError(absl::StrCat(location, ": ", message));
}

absl::StatusOr<std::vector<std::uint64_t>> segmentNumbers(const std::string &directory)
{
    absl::StatusOr<std::vector<std::string>> names = listFiles(directory, kSegmentPrefix);
    if (!names.ok())
        return names.status();
    std::vector<std::uint64_t> numbers;
    for (const std::string &name : *names) {
        std::uint64_t number = 0;
        if (!absl::SimpleAtoi(name.substr(std::string(kSegmentPrefix).size()), &number))
            return corruptionError(directory + "/" + name, "not a log segment");
        if (!numbers.empty() && number != numbers.back() + 1)
            return corruptionError(directory + "/" + name, "preceding segment is missing");
        numbers.push_back(number);
    }
    return numbers;
}

} // namespace

absl::StatusOr<SegmentedLog> SegmentedLog::open(const std::string &directory,
                                                const StorageOptions &options,
                                                RecoveredLog &recovered)
{
    SegmentedLog log;
    log.m_directory = directory;
    log.m_options = options;
    absl::StatusOr<std::vector<std::uint64_t>> numbers = segmentNumbers(directory);
    if (!numbers.ok())
        return numbers.status();
    for (const std::uint64_t number : *numbers) {
        const absl::Status status = log.replay(number, number == numbers->back(), recovered);
        if (!status.ok())
            return status;
    }
    log.m_hardState = recovered.hardState;
    if (numbers->empty()) {
        if (absl::Status started = log.startSegment(); !started.ok())
            return started;
    }
    return log;
}

absl::Status SegmentedLog::replay(std::uint64_t number, bool isLastSegment, RecoveredLog &recovered)
{
    const std::string path = m_directory + "/" + segmentName(number);
    absl::StatusOr<std::string> content = readFile(path);
    if (!content.ok())
        return content.status();
    m_segments[number] = LogIndex();
    std::uint64_t offset = 0;
    while (const std::optional<RecordView> record = recordAt(*content, number, offset)) {
        const std::string location = absl::StrCat(path, ": offset ", offset);
        if (absl::Status status = replayRecord(location, record->payload, recovered); !status.ok())
            return status;
        offset = record->nextOffset;
    }
    const std::string location = absl::StrCat(path, ": offset ", offset);
    // Each record is synced before the next one is written, so only the last one can be torn.
    if (offset < content->size()
        && (!isLastSegment || hasValidRecordFrom(*content, number, offset + 1)))
        return corruptionError(location, "corrupt record before the end of the log");
    if (!isLastSegment)
        return absl::OkStatus();
    absl::StatusOr<File> file = File::open(path, O_WRONLY | O_APPEND);
    if (!file.ok())
        return file.status();
    m_activeSegment = *std::move(file);
    m_activeSegmentBytes = offset;
    // The previous process may have stopped between a write and its sync, so the recovered records
    // are synced before the state is used.
    if (offset == content->size())
        return m_activeSegment.sync();
    if (absl::Status truncated = m_activeSegment.truncate(offset); !truncated.ok())
        return truncated;
    return m_activeSegment.sync();
}

absl::Status SegmentedLog::replayRecord(const std::string &location, std::string_view payload,
                                        RecoveredLog &recovered)
{
    absl::StatusOr<std::vector<DurableWrite>> writes = decodeDurableWrites(payload);
    if (!writes.ok())
        return corruptionError(location, std::string(writes.status().message()));
    std::vector<LogEntry> &entries = recovered.entries;
    for (DurableWrite &write : *writes) {
        if (write.hardState)
            recovered.hardState = *std::move(write.hardState);
        if (write.resetLog)
            entries.clear();
        if (write.entries.empty())
            continue;
        const LogIndex first = write.entries.front().index;
        while (!entries.empty() && entries.back().index >= first)
            entries.pop_back();
        if (!entries.empty() && entries.back().index.next() != first)
            return corruptionError(location,
                                   absl::StrCat("entries missing before index ", first.value()));
        LogIndex &highest = m_segments.rbegin()->second;
        highest = std::max(highest, write.entries.back().index);
        std::move(write.entries.begin(), write.entries.end(), std::back_inserter(entries));
    }
    return absl::OkStatus();
}

absl::Status SegmentedLog::startSegment()
{
    if (absl::Status removed = removePartialRecord(); !removed.ok())
        return removed;
    const std::uint64_t number = m_segments.empty() ? 1 : m_segments.rbegin()->first + 1;
    const std::string path = m_directory + "/" + segmentName(number);
    absl::StatusOr<File> file = File::open(path, O_WRONLY | O_APPEND | O_CREAT | O_EXCL);
    if (!file.ok())
        return file.status();
    m_activeSegment = *std::move(file);
    m_activeSegmentBytes = 0;
    m_segments[number] = LogIndex();
    return syncDirectory(m_directory);
}

absl::Status SegmentedLog::writeRecord(const std::string &record)
{
    std::string_view bytes = record;
    if (m_options.space) {
        const std::uint64_t available = m_options.space->freeBytes.load();
        bytes = bytes.substr(0, available);
        m_options.space->freeBytes -= bytes.size();
    }
    if (absl::Status written = m_activeSegment.writeAll(bytes); !written.ok())
        return written;
    if (bytes.size() < record.size())
        return absl::ResourceExhaustedError("the fake disk is full");
    return m_activeSegment.sync();
}

/// Removes what is left of a record that did not fit on the disk, so that it can be written again.
absl::Status SegmentedLog::removePartialRecord()
{
    if (!m_hasPartialRecord)
        return absl::OkStatus();
    if (m_options.space && m_options.space->refusesTruncation)
        return absl::ResourceExhaustedError("the fake disk is full");
    const absl::Status truncated = m_activeSegment.truncate(m_activeSegmentBytes);
    m_hasPartialRecord = !truncated.ok();
    return truncated;
}

absl::Status SegmentedLog::append(std::vector<DurableWrite> group)
{
    // A full disk may have refused this too when the record was written.
    if (absl::Status removed = removePartialRecord(); !removed.ok())
        return removed;
    if (m_activeSegmentBytes >= m_options.segmentBytes) {
        if (absl::Status started = startSegment(); !started.ok())
            return started;
    }
    if (m_activeSegmentBytes == 0) {
        DurableWrite first;
        first.hardState = m_hardState;
        group.insert(group.begin(), std::move(first));
    }
    const std::uint64_t number = m_segments.rbegin()->first;
    const std::string record =
        encodeRecord(encodeDurableWrites(group), number, m_activeSegmentBytes);
    if (absl::Status written = writeRecord(record); !written.ok()) {
        if (!isDiskFull(written))
            return written;
        m_hasPartialRecord = true;
        const absl::Status removed = removePartialRecord();
        return removed.ok() ? written : removed;
    }
    m_activeSegmentBytes += record.size();
    for (const DurableWrite &write : group) {
        if (write.hardState)
            m_hardState = *write.hardState;
        if (!write.entries.empty())
            m_segments[number] = std::max(m_segments[number], write.entries.back().index);
    }
    return absl::OkStatus();
}

absl::Status SegmentedLog::removeSegments(LogIndex index)
{
    // Oldest first, so that the remaining segments are consecutive after a crash.
    while (m_segments.size() > 1 && m_segments.begin()->second <= index) {
        const std::string name = segmentName(m_segments.begin()->first);
        if (absl::Status removed = removeFile(m_directory, name); !removed.ok())
            return removed;
        m_segments.erase(m_segments.begin());
    }
    return absl::OkStatus();
}

absl::Status SegmentedLog::compact(LogIndex index)
{
    if (m_activeSegmentBytes > 0) {
        if (absl::Status started = startSegment(); !started.ok())
            return started;
        // Makes the hard state durable in the new segment before older segments are removed.
        if (absl::Status status = append({}); !status.ok())
            return status;
    }
    return removeSegments(index);
}

absl::Status SegmentedLog::reset(DurableWrite write)
{
    if (m_activeSegmentBytes > 0) {
        if (absl::Status started = startSegment(); !started.ok())
            return started;
    }
    if (absl::Status status = append({ std::move(write) }); !status.ok())
        return status;
    const std::uint64_t activeSegment = m_segments.rbegin()->first;
    for (auto &[number, highest] : m_segments) {
        if (number != activeSegment)
            highest = LogIndex();
    }
    return removeSegments(LogIndex());
}

} // namespace shallotlever
