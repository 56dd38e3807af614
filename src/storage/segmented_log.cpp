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

constexpr const char *kPrefix = "log-";

std::string segmentName(std::uint64_t number)
{
    return absl::StrFormat("%s%020u", kPrefix, number);
}

absl::Status damaged(const std::string &where, const std::string &problem)
{
    return absl::DataLossError(absl::StrCat(where, ": ", problem));
}

absl::StatusOr<std::vector<std::uint64_t>> segmentNumbers(const std::string &directory)
{
    absl::StatusOr<std::vector<std::string>> names = listFiles(directory, kPrefix);
    if (!names.ok())
        return names.status();
    std::vector<std::uint64_t> numbers;
    for (const std::string &name : *names) {
        std::uint64_t number = 0;
        if (!absl::SimpleAtoi(name.substr(std::string(kPrefix).size()), &number))
            return damaged(directory + "/" + name, "not a log segment");
        if (!numbers.empty() && number != numbers.back() + 1)
            return damaged(directory + "/" + name, "the segment before it is missing");
        numbers.push_back(number);
    }
    return numbers;
}

} // namespace

absl::StatusOr<SegmentedLog> SegmentedLog::open(const std::string &directory,
                                                std::uint64_t segmentBytes, Replayed &replayed)
{
    SegmentedLog log;
    log.m_directory = directory;
    log.m_segmentBytes = segmentBytes;
    absl::StatusOr<std::vector<std::uint64_t>> numbers = segmentNumbers(directory);
    if (!numbers.ok())
        return numbers.status();
    for (const std::uint64_t number : *numbers) {
        const absl::Status status = log.replay(number, number == numbers->back(), replayed);
        if (!status.ok())
            return status;
    }
    log.m_hardState = replayed.hardState;
    if (numbers->empty()) {
        if (absl::Status started = log.startSegment(); !started.ok())
            return started;
    }
    return log;
}

absl::Status SegmentedLog::replay(std::uint64_t number, bool last, Replayed &replayed)
{
    const std::string path = m_directory + "/" + segmentName(number);
    absl::StatusOr<std::string> content = readFile(path);
    if (!content.ok())
        return content.status();
    m_segments[number] = LogIndex();
    std::uint64_t offset = 0;
    while (const std::optional<RecordView> record = recordAt(*content, number, offset)) {
        const std::string where = absl::StrCat(path, ": offset ", offset);
        if (absl::Status status = replayRecord(where, record->payload, replayed); !status.ok())
            return status;
        offset = record->end;
    }
    const std::string where = absl::StrCat(path, ": offset ", offset);
    // Each record is synced before the next one is written, so only the last can be torn.
    if (offset < content->size() && (!last || hasRecordFrom(*content, number, offset + 1)))
        return damaged(where, "damaged record before the end of the log");
    if (!last)
        return absl::OkStatus();
    absl::StatusOr<File> file = File::open(path, O_WRONLY | O_APPEND);
    if (!file.ok())
        return file.status();
    m_current = *std::move(file);
    m_currentBytes = offset;
    // The process may have ended between a write and its sync: what was replayed has to be durable
    // before anything is built on it.
    if (offset == content->size())
        return m_current.sync();
    if (absl::Status truncated = m_current.truncate(offset); !truncated.ok())
        return truncated;
    return m_current.sync();
}

absl::Status SegmentedLog::replayRecord(const std::string &where, std::string_view payload,
                                        Replayed &replayed)
{
    absl::StatusOr<std::vector<DurableWrite>> writes = decodeDurableWrites(payload);
    if (!writes.ok())
        return damaged(where, std::string(writes.status().message()));
    std::vector<LogEntry> &entries = replayed.entries;
    for (DurableWrite &write : *writes) {
        if (write.hardState)
            replayed.hardState = *std::move(write.hardState);
        if (write.resetLog)
            entries.clear();
        if (write.entries.empty())
            continue;
        const LogIndex first = write.entries.front().index;
        while (!entries.empty() && entries.back().index >= first)
            entries.pop_back();
        if (!entries.empty() && entries.back().index.next() != first)
            return damaged(where, absl::StrCat("entries missing before index ", first.value()));
        LogIndex &highest = m_segments.rbegin()->second;
        highest = std::max(highest, write.entries.back().index);
        std::move(write.entries.begin(), write.entries.end(), std::back_inserter(entries));
    }
    return absl::OkStatus();
}

absl::Status SegmentedLog::startSegment()
{
    const std::uint64_t number = m_segments.empty() ? 1 : m_segments.rbegin()->first + 1;
    const std::string path = m_directory + "/" + segmentName(number);
    absl::StatusOr<File> file = File::open(path, O_WRONLY | O_APPEND | O_CREAT | O_EXCL);
    if (!file.ok())
        return file.status();
    m_current = *std::move(file);
    m_currentBytes = 0;
    m_segments[number] = LogIndex();
    return syncDirectory(m_directory);
}

absl::Status SegmentedLog::append(std::vector<DurableWrite> group)
{
    if (m_currentBytes >= m_segmentBytes) {
        if (absl::Status started = startSegment(); !started.ok())
            return started;
    }
    if (m_currentBytes == 0) {
        DurableWrite first;
        first.hardState = m_hardState;
        group.insert(group.begin(), std::move(first));
    }
    const std::uint64_t number = m_segments.rbegin()->first;
    const std::string record = frameRecord(encodeDurableWrites(group), number, m_currentBytes);
    if (absl::Status written = m_current.writeAll(record); !written.ok())
        return written;
    if (absl::Status synced = m_current.sync(); !synced.ok())
        return synced;
    m_currentBytes += record.size();
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
    // In order, so that a crash leaves consecutive segments.
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
    if (m_currentBytes > 0) {
        if (absl::Status started = startSegment(); !started.ok())
            return started;
        // Makes the hard state durable in the new segment before the old one may go.
        if (absl::Status status = append({}); !status.ok())
            return status;
    }
    return removeSegments(index);
}

absl::Status SegmentedLog::reset(DurableWrite write)
{
    if (m_currentBytes > 0) {
        if (absl::Status started = startSegment(); !started.ok())
            return started;
    }
    if (absl::Status status = append({ std::move(write) }); !status.ok())
        return status;
    const std::uint64_t current = m_segments.rbegin()->first;
    for (auto &[number, highest] : m_segments) {
        if (number != current)
            highest = LogIndex();
    }
    return removeSegments(LogIndex());
}

} // namespace shallotlever
