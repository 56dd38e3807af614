#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "workload.h"

namespace shallotlever::load {

enum class ViolationKind : std::uint8_t {
    /// A session did not see its own acknowledged write.
    OwnWriteMissing,
    /// The answer belongs to another request or is incomplete.
    WrongAnswer,
    /// A write refused as not_run is in the table.
    RefusedWriteRan,
    /// A write is in the table more than once.
    DuplicateWrite,
    /// An acknowledged write is not in the table.
    AcknowledgedWriteLost,
    /// A row that no request of this run wrote.
    UnknownRow,
    /// One statement of a transaction is in the table and the other is not.
    PartialTransaction,
    BlankBoard,
};

std::string_view violationName(ViolationKind kind);

struct Violation
{
    ViolationKind kind;
    std::string detail;
};

enum class WriteState : std::uint8_t { Pending, Acknowledged, NotRun, Unknown };

struct WriteRecord
{
    std::string service;
    Kind kind = Kind::Write;
    WriteState state = WriteState::Pending;
    /// Id of the other row of the same transaction; empty outside transactions.
    std::string partner;
};

/// Rows read back from one service: id to number of rows.
using TableContent = std::map<std::string, std::uint64_t>;

/// Compares what the system answered with what it must answer.
class Checker
{
public:
    /// Records a write before it is sent. Ids are unique over the run.
    void registerWrite(const std::string &id, WriteRecord record);
    /// An acknowledged or unknown write keeps that state against a later refusal.
    void setState(const std::string &id, WriteState state);

    /// `sent` is the unique value of the request, `echoed` the one in the answer.
    void checkEcho(const std::string &sent, const std::string &echoed);
    /// `rows` found by a session for its own acknowledged write.
    void checkOwnWrite(const std::string &id, std::uint64_t rows);
    /// `request` names the route and the time; `error` is empty if the route was answered.
    void checkBoard(const std::string &request, std::uint64_t rows, const std::string &error);
    /// Judges the complete content of one table against every write recorded for its service.
    void checkTable(const std::string &service, const TableContent &content);

    std::uint64_t total() const { return m_total; }
    std::uint64_t blankBoards() const { return m_blankBoards; }
    std::uint64_t count(WriteState state) const;
    /// The first kMaxListed of them.
    const std::vector<Violation> &listed() const { return m_listed; }
    const std::map<ViolationKind, std::uint64_t> &counts() const { return m_counts; }

    static constexpr std::size_t kMaxListed = 100;

private:
    void add(ViolationKind kind, std::string detail);
    void checkRow(const std::string &id, const WriteRecord &record, std::uint64_t rows);

    std::map<std::string, WriteRecord> m_writes;
    std::vector<Violation> m_listed;
    std::map<ViolationKind, std::uint64_t> m_counts;
    std::uint64_t m_total = 0;
    std::uint64_t m_blankBoards = 0;
};

} // namespace shallotlever::load
