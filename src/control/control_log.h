#pragma once

#include <deque>
#include <optional>
#include <utility>
#include <vector>

#include "shallotlever/control/types.h"

namespace shallotlever {

/// The log in memory: a snapshot, the entries kept and the configurations they hold.
class ControlLog
{
public:
    ControlLog() = default;
    /// Entries that do not continue the snapshot are left out.
    ControlLog(ControlSnapshotPtr snapshot, std::vector<LogEntry> entries);

    LogIndex lastIndex() const;
    ControlTerm lastTerm() const;
    /// The entry before the first one that is kept.
    LogIndex baseIndex() const { return m_baseIndex; }
    /// Nothing for entries that are not kept, except the one at baseIndex().
    std::optional<ControlTerm> termAt(LogIndex index) const;
    /// index must be above baseIndex() and at most lastIndex().
    const LogEntry &at(LogIndex index) const;
    /// First index of the run of entries with the same term that holds `index`.
    LogIndex firstOfTerm(LogIndex index) const;

    /// The entry must follow lastIndex().
    void append(LogEntry entry);
    /// Drops the entry at `index` and all after it.
    void truncate(LogIndex index);
    /// Drops entries up to `index`.
    void dropUpTo(LogIndex index);
    /// Drops all entries; the log continues after the snapshot.
    void reset(ControlSnapshotPtr snapshot);
    /// Replaces the snapshot and keeps the entries.
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
    /// Ascending.
    std::vector<std::pair<LogIndex, Membership>> m_memberships;
};

} // namespace shallotlever
