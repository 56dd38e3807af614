#include <algorithm>

#include "member_impl.h"
#include "shallotlever/control/codec.h"

namespace shallotlever {
namespace {

constexpr Duration kHelloInterval = 200ms;
/// A member that has not heard from a leader for this long sends hello messages to all peers.
constexpr Duration kHelloLeaderTimeout = 300ms;
/// Hello messages older than this are ignored.
constexpr Duration kHelloTimeToLive = 1s;
/// Maximum number of entries that a learner may be behind when it is promoted to voter.
constexpr std::uint64_t kMaxPromotionLagEntries = 64;
/// A learner that does not reply for this long may be replaced by another member that needs repair.
constexpr Duration kLearnerTimeout = 10s;
/// A voter that does not reply for this long may be replaced by a standby.
constexpr Duration kVoterReplacementTimeout = 3s;

} // namespace

bool ControlMember::Impl::isFresh() const
{
    return m_hardState == HardState {} && m_log.lastIndex() == LogIndex();
}

/// 2n + 1 voters keep a majority after the loss of n.
std::size_t ControlMember::Impl::targetVoterCount() const
{
    const std::size_t configured = m_options.peers.size();
    return m_options.acceptsStandbys ? std::max(configured, 2 * m_options.toleratedLosses + 1)
                                     : configured;
}

void ControlMember::Impl::sendHellos(TimePoint now)
{
    const bool leaderKnown = m_leader && now - m_lastLeaderContact < kHelloLeaderTimeout;
    if (leaderKnown || now < m_nextHelloAt)
        return;
    m_nextHelloAt = now + kHelloInterval;
    std::set<NodeId> peers(m_options.peers.begin(), m_options.peers.end());
    peers.insert(m_discoveredPeers.begin(), m_discoveredPeers.end());
    for (const Member &voter : m_log.membership().voters)
        peers.insert(voter.node);
    for (const NodeId &peer : peers) {
        if (peer == m_self.node)
            continue;
        const auto known = m_helloSenders.find(peer);
        const Member to =
            known == m_helloSenders.end() ? Member { peer, {} } : known->second.member;
        send(to, HelloMessage { isFresh() });
    }
}

void ControlMember::Impl::handle(TimePoint now, const ControlMessage &m, const HelloMessage &hello)
{
    const auto &peers = m_options.peers;
    if (m.to.node != m_self.node || m.from.node == m_self.node
        || (!m_options.acceptsStandbys
            && std::find(peers.begin(), peers.end(), m.from.node) == peers.end()))
        return;
    m_helloSenders[m.from.node] = { m.from, hello.fresh, m.to == m_self, now };
}

/// Creates the first membership. Only the configured member with the lowest node id does this, once
/// all configured members have reported empty data directories. Each hello must be addressed to
/// this member's identity, because one that was sent before this member lost its disk may predate
/// the bootstrap of the group.
void ControlMember::Impl::tryBootstrapGroup(TimePoint now)
{
    if (!m_options.mayBootstrap
        || *std::min_element(m_options.peers.begin(), m_options.peers.end()) != m_self.node)
        return;
    Membership membership { { m_self }, std::nullopt };
    for (const auto &[node, sender] : m_helloSenders) {
        const bool configured = std::find(m_options.peers.begin(), m_options.peers.end(), node)
            != m_options.peers.end();
        if (configured && sender.fresh && sender.addressedToSelf
            && now - sender.receivedAt < kHelloTimeToLive)
            membership.voters.push_back(sender.member);
    }
    if (membership.voters.size() != m_options.peers.size())
        return;
    m_hardState.term = ControlTerm(1);
    m_hardStateDirty = true;
    appendNewEntry(EntryKind::Membership, encodeMembership(membership));
    resetElectionTimer(now);
}

bool ControlMember::Impl::isUnresponsive(TimePoint now, const Member &member,
                                         Duration timeout) const
{
    const auto progress = m_progress.find(member);
    return progress == m_progress.end() || now - progress->second.lastReplyAt >= timeout;
}

bool ControlMember::Impl::mayBecomeLearner(TimePoint now, const Member &member) const
{
    const std::vector<Member> &voters = m_log.membership().voters;
    const auto replaced = std::find_if(voters.begin(), voters.end(),
                                       [&](const Member &v) { return v.node == member.node; });
    // Two processes with the same node id must not replace each other repeatedly.
    if (replaced != voters.end())
        return isUnresponsive(now, *replaced, kMaxElectionTimeout);
    return voters.size() < targetVoterCount() || voterToReplace(now, member).has_value();
}

/// The voter that the learner replaces: the one with the same node id, or for a standby an
/// unresponsive voter.
std::optional<Member> ControlMember::Impl::voterToReplace(TimePoint now,
                                                          const Member &learner) const
{
    const std::vector<Member> &voters = m_log.membership().voters;
    for (const Member &voter : voters) {
        if (voter.node == learner.node)
            return voter;
    }
    if (!m_options.acceptsStandbys || voters.size() < targetVoterCount())
        return std::nullopt;
    for (const Member &voter : voters) {
        if (voter != m_self && isUnresponsive(now, voter, kVoterReplacementTimeout))
            return voter;
    }
    return std::nullopt;
}

std::optional<Member> ControlMember::Impl::findLearnerCandidate(TimePoint now) const
{
    const Membership &membership = m_log.membership();
    for (const auto &item : m_helloSenders) {
        const HelloSender &sender = item.second;
        if (now - sender.receivedAt >= kHelloTimeToLive || isVoter(sender.member)
            || membership.learner == sender.member)
            continue;
        if (mayBecomeLearner(now, sender.member))
            return sender.member;
    }
    return std::nullopt;
}

void ControlMember::Impl::proposeMembership(TimePoint now, const Membership &membership)
{
    appendNewEntry(EntryKind::Membership, encodeMembership(membership));
    updateTrackedMembers(now);
}

/// Changes the membership one step at a time. Each membership must be committed before the next one
/// is proposed, and an entry of this term before the first one, so that any two memberships in use
/// have overlapping majorities.
void ControlMember::Impl::repair(TimePoint now)
{
    if (m_commitIndex < m_termStartIndex || m_commitIndex < m_log.membershipIndex())
        return;
    const Membership membership = m_log.membership();
    const std::optional<Member> candidate = findLearnerCandidate(now);
    if (!membership.learner) {
        if (candidate)
            proposeMembership(now, { membership.voters, candidate });
        return;
    }
    const bool restarted = candidate && candidate->node == membership.learner->node;
    const Duration timeout = restarted ? kMaxElectionTimeout : kLearnerTimeout;
    if (candidate && isUnresponsive(now, *membership.learner, timeout))
        proposeMembership(now, { membership.voters, candidate });
    else
        promoteOrReplaceLearner(now, membership);
}

/// Replaces a voter by the learner in two log entries: one that removes the voter, one that adds
/// the learner. A single entry would change {A, B, C} to {A, B, C'}, whose majorities {B, C} and
/// {A, C'} do not overlap if C is still alive.
void ControlMember::Impl::promoteOrReplaceLearner(TimePoint now, const Membership &membership)
{
    const Member learner = *membership.learner;
    const auto progress = m_progress.find(learner);
    if (progress == m_progress.end() || isUnresponsive(now, learner, kMinElectionTimeout)
        || progress->second.match.value() + kMaxPromotionLagEntries < m_log.lastIndex().value())
        return;
    Membership next = membership;
    if (const auto replaced = voterToReplace(now, learner)) {
        if (!isUnresponsive(now, *replaced, kMaxElectionTimeout))
            return;
        std::erase(next.voters, *replaced);
    } else if (next.voters.size() >= targetVoterCount()) {
        return;
    } else {
        next.voters.push_back(learner);
        next.learner.reset();
    }
    proposeMembership(now, next);
}

} // namespace shallotlever
