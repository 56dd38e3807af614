#pragma once

#include <map>
#include <set>
#include <stdexcept>
#include <string>

#include "shallotlever/config/state.h"
#include "shallotlever/control/types.h"

namespace shallotlever::fuzz {

/// A property that the control group must keep was broken.
class Violation : public std::runtime_error
{
public:
    using std::runtime_error::runtime_error;
};

/// Watches all members from outside and throws Violation.
class Oracle
{
public:
    void committed(const Member &member, const LogEntry &entry);
    void leads(const Member &member, ControlTerm term);
    void holdsLease(const Member &member);
    /// Starts a new instant for holdsLease().
    void nextInstant() { m_leaseHolder.reset(); }
    /// The result that a member computed for a change, first or resent.
    void decided(const ChangeId &id, const ChangeResult &result);

    /// A member applied the change in the entry at `index`, which may be an order about a data
    /// centre.
    void ordered(LogIndex index, const OperatorChange &change, const ChangeResult &result);
    /// A member's data centres that are evacuated, once it has applied the entry at `index`.
    void evacuated(const Member &member, LogIndex index,
                   const std::set<DataCentreId> &dataCentres) const;

    LogIndex lastCommitted() const;
    ConfigVersion lastVersion() const;
    std::size_t changesAccepted() const { return m_acceptedAt.size(); }

private:
    std::map<LogIndex, LogEntry> m_log;
    std::map<ControlTerm, Member> m_leaders;
    std::optional<Member> m_leaseHolder;
    std::map<ChangeId, ChangeResult> m_results;
    std::map<ConfigVersion, ChangeId> m_acceptedAt;
    struct Order
    {
        bool inForce = false;
        ConfigVersion version;
    };
    /// The last accepted order about each data centre.
    std::map<DataCentreId, Order> m_orders;
    /// The evacuated data centres from each entry on.
    std::map<LogIndex, std::set<DataCentreId>> m_evacuated;
    /// The last entry with a change that any member has applied, and the changes until then.
    LogIndex m_lastChange;
    std::set<ChangeId> m_changes;
};

} // namespace shallotlever::fuzz
