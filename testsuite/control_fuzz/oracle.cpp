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

LogIndex Oracle::lastCommitted() const
{
    return m_log.empty() ? LogIndex() : m_log.rbegin()->first;
}

ConfigVersion Oracle::lastVersion() const
{
    return m_acceptedAt.empty() ? ConfigVersion() : m_acceptedAt.rbegin()->first;
}

} // namespace shallotlever::fuzz
