#include "checker.h"

#include <algorithm>

#include "absl/strings/str_cat.h"

namespace shallotlever::load {

std::string_view violationName(ViolationKind kind)
{
    static constexpr std::array<std::string_view, 8> kNames {
        "own_write_missing", "wrong_answer", "refused_write_ran",   "duplicate_write",
        "acknowledged_lost", "unknown_row",  "partial_transaction", "blank_board"
    };
    return kNames.at(static_cast<std::size_t>(kind));
}

void Checker::registerWrite(const std::string &id, WriteRecord record)
{
    m_writes.emplace(id, std::move(record));
}

void Checker::setState(const std::string &id, WriteState state)
{
    const auto found = m_writes.find(id);
    if (found == m_writes.end())
        return;
    WriteState &current = found->second.state;
    if (current == WriteState::Acknowledged)
        return;
    if (current == WriteState::Unknown && state != WriteState::Acknowledged)
        return;
    current = state;
}

void Checker::checkEcho(const std::string &sent, const std::string &echoed)
{
    if (sent != echoed)
        add(ViolationKind::WrongAnswer, absl::StrCat("sent ", sent, ", answered ", echoed));
}

void Checker::checkOwnWrite(const std::string &id, std::uint64_t rows)
{
    if (rows == 0)
        add(ViolationKind::OwnWriteMissing, id);
}

void Checker::checkBoard(const std::string &request, std::uint64_t rows, const std::string &error)
{
    if (error.empty() && rows > 0)
        return;
    ++m_blankBoards;
    add(ViolationKind::BlankBoard, absl::StrCat(request, " ", error));
}

void Checker::checkRow(const std::string &id, const WriteRecord &record, std::uint64_t rows)
{
    const std::string detail =
        absl::StrCat(std::string(kindName(record.kind)), " ", id, ", rows ", rows);
    if (rows > 1)
        add(ViolationKind::DuplicateWrite, detail);
    if (rows == 0 && record.state == WriteState::Acknowledged)
        add(ViolationKind::AcknowledgedWriteLost, detail);
    if (rows > 0 && record.state == WriteState::NotRun)
        add(ViolationKind::RefusedWriteRan, detail);
}

void Checker::checkTable(const std::string &service, const TableContent &content)
{
    const auto rowsOf = [&content](const std::string &id) {
        const auto row = content.find(id);
        return row == content.end() ? 0 : row->second;
    };
    for (const auto &[id, record] : m_writes) {
        if (record.service != service)
            continue;
        checkRow(id, record, rowsOf(id));
        if (!record.partner.empty() && id < record.partner
            && (rowsOf(id) == 0) != (rowsOf(record.partner) == 0))
            add(ViolationKind::PartialTransaction, id);
    }
    for (const auto &[id, rows] : content) {
        const auto write = m_writes.find(id);
        if (write == m_writes.end() || write->second.service != service)
            add(ViolationKind::UnknownRow, absl::StrCat(service, " ", id));
    }
}

std::uint64_t Checker::count(WriteState state) const
{
    return static_cast<std::uint64_t>(
        std::count_if(m_writes.begin(), m_writes.end(),
                      [state](const auto &entry) { return entry.second.state == state; }));
}

void Checker::add(ViolationKind kind, std::string detail)
{
    ++m_total;
    ++m_counts[kind];
    if (m_listed.size() < kMaxListed)
        m_listed.push_back({ kind, std::move(detail) });
}

} // namespace shallotlever::load
