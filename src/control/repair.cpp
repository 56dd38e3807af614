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
/// A voter that is silent for this long may be replaced by a standby.
constexpr Duration kStandbyPatience = 3s;

} // namespace

bool ControlMember::Impl::isFresh() const
{
    return m_hard == HardState {} && m_log.lastIndex() == LogIndex();
}

/// A majority of 2n + 1 voters is left after the loss of n.
std::size_t ControlMember::Impl::wantedVoters() const
{
    const std::size_t configured = m_options.peers.size();
    return m_options.acceptsStandbys ? std::max(configured, 2 * m_options.toleratedLosses + 1)
                                     : configured;
}

void ControlMember::Impl::sayHello(TimePoint now)
{
    const bool led = m_leader && now - m_leaderHeardAt < kHelloPatience;
    if (led || now < m_helloAt)
        return;
    m_helloAt = now + kHelloInterval;
    std::set<NodeId> peers(m_options.peers.begin(), m_options.peers.end());
    peers.insert(m_learnedPeers.begin(), m_learnedPeers.end());
    for (const Member &voter : m_log.membership().voters)
        peers.insert(voter.node);
    for (const NodeId &peer : peers) {
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
        || (!m_options.acceptsStandbys
            && std::find(peers.begin(), peers.end(), m.from.node) == peers.end()))
        return;
    m_newcomers[m.from.node] = { m.from, hello.fresh, m.to == m_self, now };
}

/// The first configuration is made by the first configured member, once all members have said
/// that they hold nothing. Each of them must have addressed this member's identity: a hello sent
/// before this member lost its disk could come from a time before the group was founded.
void ControlMember::Impl::tryFound(TimePoint now)
{
    if (!m_options.mayFound
        || *std::min_element(m_options.peers.begin(), m_options.peers.end()) != m_self.node)
        return;
    Membership membership { { m_self }, std::nullopt };
    for (const auto &[node, newcomer] : m_newcomers) {
        const bool configured = std::find(m_options.peers.begin(), m_options.peers.end(), node)
            != m_options.peers.end();
        if (configured && newcomer.fresh && newcomer.answered
            && now - newcomer.heardAt < kHelloValidity)
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

bool ControlMember::Impl::mayBecomeLearner(TimePoint now, const Member &member) const
{
    const std::vector<Member> &voters = m_log.membership().voters;
    const auto former = std::find_if(voters.begin(), voters.end(),
                                     [&](const Member &v) { return v.node == member.node; });
    // Two processes under one node id must not replace each other in turns.
    if (former != voters.end())
        return isSilent(now, *former, kMaxElectionTimeout);
    return voters.size() < wantedVoters() || voterToReplace(now, member).has_value();
}

/// The voter whose place the learner takes: its former identity, or for a standby one that stays
/// silent.
std::optional<Member> ControlMember::Impl::voterToReplace(TimePoint now,
                                                          const Member &learner) const
{
    const std::vector<Member> &voters = m_log.membership().voters;
    for (const Member &voter : voters) {
        if (voter.node == learner.node)
            return voter;
    }
    if (!m_options.acceptsStandbys || voters.size() < wantedVoters())
        return std::nullopt;
    for (const Member &voter : voters) {
        if (voter != m_self && isSilent(now, voter, kStandbyPatience))
            return voter;
    }
    return std::nullopt;
}

std::optional<Member> ControlMember::Impl::findNewcomer(TimePoint now) const
{
    const Membership &membership = m_log.membership();
    for (const auto &item : m_newcomers) {
        const Newcomer &newcomer = item.second;
        if (now - newcomer.heardAt >= kHelloValidity || isVoter(newcomer.member)
            || membership.learner == newcomer.member)
            continue;
        if (mayBecomeLearner(now, newcomer.member))
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
    if (const auto former = voterToReplace(now, learner)) {
        if (!isSilent(now, *former, kMaxElectionTimeout))
            return;
        std::erase(next.voters, *former);
    } else if (next.voters.size() >= wantedVoters()) {
        return;
    } else {
        next.voters.push_back(learner);
        next.learner.reset();
    }
    proposeMembership(now, next);
}

} // namespace shallotlever
