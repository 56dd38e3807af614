#pragma once

#include <deque>
#include <optional>
#include <utility>
#include <vector>

#include "shallotlever/control/types.h"

namespace shallotlever {

/// The log in memory: the latest snapshot, the retained entries and the memberships they contain.
class ControlLog
{
public:
    ControlLog() = default;
    /// Entries that do not continue the history of the snapshot are ignored.
    ControlLog(ControlSnapshotPtr snapshot, std::vector<LogEntry> entries);

    LogIndex lastIndex() const;
    ControlTerm lastTerm() const;
    /// Index immediately before the first retained entry.
    LogIndex baseIndex() const { return m_baseIndex; }
    /// Returns nullopt for entries that are not retained, except for the one at baseIndex().
    std::optional<ControlTerm> termAt(LogIndex index) const;
    /// `index` must be greater than baseIndex() and at most lastIndex().
    const LogEntry &at(LogIndex index) const;
    /// First index of the run of entries that have the same term as the one at `index`.
    LogIndex firstIndexOfTermRun(LogIndex index) const;

    /// The index of the entry must be lastIndex() + 1.
    void append(LogEntry entry);
    /// Discards the entry at `index` and all entries after it.
    void truncate(LogIndex index);
    /// Discards entries up to and including `index`.
    void discardUpTo(LogIndex index);
    /// Discards all entries. The log continues after the snapshot.
    void reset(ControlSnapshotPtr snapshot);
    /// Replaces the snapshot without changing the entries.
    void setSnapshot(ControlSnapshotPtr snapshot) { m_snapshot = std::move(snapshot); }

    const ControlSnapshotPtr &snapshot() const { return m_snapshot; }
    LogIndex snapshotIndex() const { return m_snapshot ? m_snapshot->index : LogIndex(); }
    const Membership &membership() const;
    LogIndex membershipIndex() const;
    Membership membershipAt(LogIndex index) const;

private:
    std::size_t offset(LogIndex index) const { return index.value() - m_baseIndex.value() - 1; }

    LogIndex m_baseIndex;
    ControlTerm m_baseTerm;
    std::deque<LogEntry> m_entries;
    ControlSnapshotPtr m_snapshot;
    /// Index of the entry and its membership, in ascending order.
    std::vector<std::pair<LogIndex, Membership>> m_memberships;
};

} // namespace shallotlever
