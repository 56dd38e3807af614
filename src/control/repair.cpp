#include <algorithm>

#include "member_impl.h"
#include "shallotlever/control/codec.h"

namespace shallotlever {
namespace {

constexpr Duration kHelloInterval = 200ms;
/// A member that has heard no leader for this long introduces itself to all peers.
constexpr Duration kHelloPatience = 300ms;
constexpr Duration kHelloValidity = 1s;
/// Entries that a learner may lack when it becomes a voter.
constexpr std::uint64_t kCaughtUpEntries = 64;
/// A learner that does not answer for this long makes way for another member in need of repair.
constexpr Duration kLearnerPatience = 10s;

} // namespace

bool ControlMember::Impl::isFresh() const
{
    return m_hard == HardState {} && m_log.lastIndex() == LogIndex();
}

void ControlMember::Impl::sayHello(TimePoint now)
{
    const bool led = m_leader && now - m_leaderHeardAt < kHelloPatience;
    if (led || now < m_helloAt)
        return;
    m_helloAt = now + kHelloInterval;
    for (const NodeId &peer : m_options.peers) {
        if (peer == m_self.node)
            continue;
        const auto known = m_newcomers.find(peer);
        const Member to = known == m_newcomers.end() ? Member { peer, {} } : known->second.member;
        send(to, HelloMessage { isFresh() });
    }
}

void ControlMember::Impl::handle(TimePoint now, const ControlMessage &m, const HelloMessage &hello)
{
    const auto &peers = m_options.peers;
    if (m.to.node != m_self.node || m.from.node == m_self.node
        || std::find(peers.begin(), peers.end(), m.from.node) == peers.end())
        return;
    m_newcomers[m.from.node] = { m.from, hello.fresh, m.to == m_self, now };
}

/// The first configuration is made by the first configured member, once all members have said
/// that they hold nothing. Each of them must have addressed this member's identity: a hello sent
/// before this member lost its disk could come from a time before the group was founded.
void ControlMember::Impl::tryFound(TimePoint now)
{
    if (*std::min_element(m_options.peers.begin(), m_options.peers.end()) != m_self.node)
        return;
    Membership membership { { m_self }, std::nullopt };
    for (const auto &[node, newcomer] : m_newcomers) {
        if (newcomer.fresh && newcomer.answered && now - newcomer.heardAt < kHelloValidity)
            membership.voters.push_back(newcomer.member);
    }
    if (membership.voters.size() != m_options.peers.size())
        return;
    m_hard.term = ControlTerm(1);
    m_hardDirty = true;
    appendOwn(EntryKind::Membership, encodeMembership(membership));
    resetElectionTimer(now);
}

bool ControlMember::Impl::isSilent(TimePoint now, const Member &member, Duration patience) const
{
    const auto progress = m_progress.find(member);
    return progress == m_progress.end() || now - progress->second.lastHeard >= patience;
}

std::optional<Member> ControlMember::Impl::findNewcomer(TimePoint now) const
{
    const Membership &membership = m_log.membership();
    for (const auto &item : m_newcomers) {
        const Newcomer &newcomer = item.second;
        if (now - newcomer.heardAt >= kHelloValidity || isVoter(newcomer.member)
            || membership.learner == newcomer.member)
            continue;
        const auto former =
            std::find_if(membership.voters.begin(), membership.voters.end(),
                         [&](const Member &v) { return v.node == newcomer.member.node; });
        // Two processes under one node id must not replace each other in turns.
        if (former == membership.voters.end() || isSilent(now, *former, kMaxElectionTimeout))
            return newcomer.member;
    }
    return std::nullopt;
}

void ControlMember::Impl::proposeMembership(TimePoint now, const Membership &membership)
{
    appendOwn(EntryKind::Membership, encodeMembership(membership));
    syncProgress(now);
}

/// One step at a time: each configuration must be committed before the next, and an entry of this
/// term before the first, so that any two configurations in use have overlapping majorities.
void ControlMember::Impl::repair(TimePoint now)
{
    if (m_commit < m_termStart || m_commit < m_log.membershipIndex())
        return;
    const Membership membership = m_log.membership();
    const std::optional<Member> newcomer = findNewcomer(now);
    if (!membership.learner) {
        if (newcomer)
            proposeMembership(now, { membership.voters, newcomer });
        return;
    }
    const bool restarted = newcomer && newcomer->node == membership.learner->node;
    const Duration patience = restarted ? kMaxElectionTimeout : kLearnerPatience;
    if (newcomer && isSilent(now, *membership.learner, patience))
        proposeMembership(now, { membership.voters, newcomer });
    else
        promoteOrReplaceLearner(now, membership);
}

/// Replaces the former identity in two entries. A single one would go from {A, B, C} to
/// {A, B, C'}, whose majorities {B, C} and {A, C'} do not overlap if C is alive after all.
void ControlMember::Impl::promoteOrReplaceLearner(TimePoint now, const Membership &membership)
{
    const Member learner = *membership.learner;
    const auto progress = m_progress.find(learner);
    if (progress == m_progress.end() || isSilent(now, learner, kMinElectionTimeout)
        || progress->second.match.value() + kCaughtUpEntries < m_log.lastIndex().value())
        return;
    Membership next = membership;
    const auto former = std::find_if(next.voters.begin(), next.voters.end(),
                                     [&](const Member &v) { return v.node == learner.node; });
    if (former != next.voters.end()) {
        if (!isSilent(now, *former, kMaxElectionTimeout))
            return;
        next.voters.erase(former);
    } else {
        next.voters.push_back(learner);
        next.learner.reset();
    }
    proposeMembership(now, next);
}

} // namespace shallotlever
