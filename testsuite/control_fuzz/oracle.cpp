#include "oracle.h"

#include <fmt/format.h>

namespace shallotlever::fuzz {

void Oracle::committed(const Member &member, const LogEntry &entry)
{
    const auto [first, added] = m_log.emplace(entry.index, entry);
    if (!added && first->second != entry) {
        throw Violation(fmt::format("{} committed another entry at index {} (terms {} and {})",
                                    member.node.value(), entry.index.value(),
                                    first->second.term.value(), entry.term.value()));
    }
}

void Oracle::leads(const Member &member, ControlTerm term)
{
    const auto [first, added] = m_leaders.emplace(term, member);
    if (!added && first->second != member) {
        throw Violation(fmt::format("{} and {} both lead term {}", first->second.node.value(),
                                    member.node.value(), term.value()));
    }
}

void Oracle::holdsLease(const Member &member)
{
    if (m_leaseHolder) {
        throw Violation(fmt::format("{} and {} hold the lease at the same time",
                                    m_leaseHolder->node.value(), member.node.value()));
    }
    m_leaseHolder = member;
}

void Oracle::decided(const ChangeId &id, const ChangeResult &result)
{
    const auto [first, added] = m_results.emplace(id, result);
    if (!added && first->second != result)
        throw Violation(fmt::format("change {} got two outcomes", id.value()));
    if (result.outcome != ChangeOutcome::Accepted)
        return;
    const auto [winner, won] = m_acceptedAt.emplace(result.version, id);
    if (!won && winner->second != id) {
        throw Violation(fmt::format("changes {} and {} both made version {}",
                                    winner->second.value(), id.value(), result.version.value()));
    }
}

void Oracle::ordered(LogIndex index, const OperatorChange &change, const ChangeResult &result)
{
    const auto *put = std::get_if<PutEvacuation>(&change.change);
    const auto *remove = std::get_if<RemoveEvacuation>(&change.change);
    // A resent change gets its first outcome and has no effect.
    if (index <= m_lastChange || !m_changes.insert(change.id).second)
        return;
    m_lastChange = index;
    if (put == nullptr && remove == nullptr)
        return;
    const DataCentreId &dataCentre = put == nullptr ? remove->dataCentre : put->dataCentre;
    const bool inForce = put != nullptr;
    const bool accepted = result.outcome == ChangeOutcome::Accepted;
    const auto last = m_orders.find(dataCentre);
    const bool overtaken = last != m_orders.end() && last->second.inForce != inForce
        && change.basedOn < last->second.version;
    if (accepted == overtaken)
        throw Violation(fmt::format("order {} was {}", change.id.value(),
                                    accepted ? "accepted although a later one was" : "refused"));
    if (!accepted)
        return;
    m_orders[dataCentre] = { inForce, result.version };
    std::set<DataCentreId> &evacuated = m_evacuated[index];
    for (const auto &[name, order] : m_orders) {
        if (order.inForce)
            evacuated.insert(name);
    }
}

void Oracle::evacuated(const Member &member, LogIndex index,
                       const std::set<DataCentreId> &dataCentres) const
{
    const auto later = m_evacuated.upper_bound(index);
    const std::set<DataCentreId> expected =
        later == m_evacuated.begin() ? std::set<DataCentreId>() : std::prev(later)->second;
    if (dataCentres != expected)
        throw Violation(fmt::format("{} has {} evacuated data centres at index {} instead of {}",
                                    member.node.value(), dataCentres.size(), index.value(),
                                    expected.size()));
}

LogIndex Oracle::lastCommitted() const
{
    return m_log.empty() ? LogIndex() : m_log.rbegin()->first;
}

ConfigVersion Oracle::lastVersion() const
{
    return m_acceptedAt.empty() ? ConfigVersion() : m_acceptedAt.rbegin()->first;
}

} // namespace shallotlever::fuzz
