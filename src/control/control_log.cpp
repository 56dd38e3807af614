#include "control_log.h"

#include <algorithm>

#include "shallotlever/control/codec.h"

namespace shallotlever {

ControlLog::ControlLog(ControlSnapshotPtr snapshot, std::vector<LogEntry> entries)
{
    if (snapshot)
        reset(std::move(snapshot));
    // A crash after the snapshot file was written and before the log was reset leaves entries of
    // a different history. They are recognised by the term of the entry at the snapshot's index.
    const LogIndex at = m_baseIndex;
    const auto covered = std::find_if(entries.begin(), entries.end(),
                                      [at](const LogEntry &e) { return e.index >= at; });
    if (covered == entries.end() || covered->index > at.next()
        || (covered->index == at && covered->term != m_baseTerm))
        return;
    for (auto entry = covered; entry != entries.end(); ++entry) {
        if (entry->index > at)
            append(std::move(*entry));
    }
}

LogIndex ControlLog::lastIndex() const
{
    return LogIndex(m_baseIndex.value() + m_entries.size());
}

ControlTerm ControlLog::lastTerm() const
{
    return m_entries.empty() ? m_baseTerm : m_entries.back().term;
}

std::optional<ControlTerm> ControlLog::termAt(LogIndex index) const
{
    if (index == m_baseIndex)
        return m_baseTerm;
    if (index < m_baseIndex || index > lastIndex())
        return std::nullopt;
    return at(index).term;
}

const LogEntry &ControlLog::at(LogIndex index) const
{
    return m_entries[offset(index)];
}

LogIndex ControlLog::firstIndexOfTermRun(LogIndex index) const
{
    const ControlTerm term = at(index).term;
    std::size_t i = offset(index);
    while (i > 0 && m_entries[i - 1].term == term)
        --i;
    return m_entries[i].index;
}

void ControlLog::append(LogEntry entry)
{
    if (entry.kind == EntryKind::Membership) {
        if (absl::StatusOr<Membership> membership = decodeMembership(entry.data); membership.ok())
            m_memberships.emplace_back(entry.index, *std::move(membership));
    }
    m_entries.push_back(std::move(entry));
}

void ControlLog::truncate(LogIndex index)
{
    while (!m_entries.empty() && m_entries.back().index >= index)
        m_entries.pop_back();
    while (!m_memberships.empty() && m_memberships.back().first >= index)
        m_memberships.pop_back();
}

void ControlLog::discardUpTo(LogIndex index)
{
    while (!m_entries.empty() && m_entries.front().index <= index) {
        m_baseIndex = m_entries.front().index;
        m_baseTerm = m_entries.front().term;
        m_entries.pop_front();
    }
}

void ControlLog::reset(ControlSnapshotPtr snapshot)
{
    m_entries.clear();
    m_baseIndex = snapshot->index;
    m_baseTerm = snapshot->term;
    m_memberships.assign(1, { snapshot->index, snapshot->membership });
    m_snapshot = std::move(snapshot);
}

const Membership &ControlLog::membership() const
{
    static const Membership kNone;
    return m_memberships.empty() ? kNone : m_memberships.back().second;
}

LogIndex ControlLog::membershipIndex() const
{
    return m_memberships.empty() ? LogIndex() : m_memberships.back().first;
}

Membership ControlLog::membershipAt(LogIndex index) const
{
    Membership found;
    for (const auto &[at, membership] : m_memberships) {
        if (at <= index)
            found = membership;
    }
    return found;
}

} // namespace shallotlever
