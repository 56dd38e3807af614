#include <algorithm>

#include "member_impl.h"

namespace shallotlever {

void ControlMember::Impl::resetElectionTimer(TimePoint now)
{
    m_electionDeadline = now + uniformDuration(m_random, kMinElectionTimeout, kMaxElectionTimeout);
}

bool ControlMember::Impl::isVoter(const Member &member) const
{
    const std::vector<Member> &voters = m_log.membership().voters;
    return std::find(voters.begin(), voters.end(), member) != voters.end();
}

bool ControlMember::Impl::hasMajority(const std::set<Member> &members) const
{
    const std::vector<Member> &voters = m_log.membership().voters;
    const auto count = std::count_if(voters.begin(), voters.end(),
                                     [&](const Member &voter) { return members.contains(voter); });
    return static_cast<std::size_t>(count) > voters.size() / 2;
}

bool ControlMember::Impl::leaderIsProtected(TimePoint now) const
{
    if (m_options.faults.noPreVote)
        return false;
    if (m_role == ControlRole::Leader)
        return holdsLease(now);
    return now - m_leaderHeardAt < kMinElectionTimeout;
}

bool ControlMember::Impl::upToDate(const VoteRequest &request) const
{
    return std::pair(request.lastTerm, request.lastIndex)
        >= std::pair(m_log.lastTerm(), m_log.lastIndex());
}

void ControlMember::Impl::becomeFollower(TimePoint now, ControlTerm term,
                                         std::optional<Member> leader)
{
    if (term > m_hard.term) {
        m_hard = { term, std::nullopt };
        m_hardDirty = true;
        // Chunks of two leaders must not be mixed; their encodings may differ.
        m_incoming.reset();
    }
    if (m_role != ControlRole::Follower)
        resetElectionTimer(now);
    m_role = ControlRole::Follower;
    m_leader = std::move(leader);
    m_progress.clear();
    m_votes.clear();
}

void ControlMember::Impl::tickElection(TimePoint now)
{
    if (now < m_electionDeadline)
        return;
    m_leader.reset();
    resetElectionTimer(now);
    if (!isVoter(m_self))
        return;
    if (m_options.faults.noPreVote)
        startElection(now, false);
    else
        startPreVote(now);
}

void ControlMember::Impl::requestVotes(bool preVote, bool transfer)
{
    ++m_round;
    const VoteRequest request { preVote, transfer, m_log.lastIndex(), m_log.lastTerm(), m_round };
    const ControlTerm term = preVote ? m_hard.term.next() : m_hard.term;
    for (const Member &voter : m_log.membership().voters) {
        if (voter != m_self)
            sendAtTerm(voter, term, request);
    }
}

void ControlMember::Impl::startPreVote(TimePoint now)
{
    m_role = ControlRole::PreCandidate;
    m_votes = { m_self };
    requestVotes(true, false);
    if (hasMajority(m_votes))
        startElection(now, false);
}

void ControlMember::Impl::startElection(TimePoint now, bool transfer)
{
    m_hard = { m_hard.term.next(), m_self };
    m_hardDirty = true;
    m_role = ControlRole::Candidate;
    m_leader.reset();
    m_votes.clear();
    resetElectionTimer(now);
    requestVotes(false, transfer);
    send(m_self, VoteReply { false, true, m_round });
}

void ControlMember::Impl::becomeLeader(TimePoint now)
{
    m_role = ControlRole::Leader;
    m_leader = m_self;
    m_progress.clear();
    m_newcomers.clear();
    syncProgress(now);
    // Entries of earlier terms are committed only through an entry of this term.
    m_termStart = appendOwn(EntryKind::NoOp, {}).index;
}

void ControlMember::Impl::tickLeader(TimePoint now)
{
    // Check-quorum: a leader that a one-way cut keeps from hearing the others must make way.
    if (!majorityOfProgress(
            [now](const Progress &p) { return now - p.lastHeard < kMaxElectionTimeout; })) {
        becomeFollower(now, m_hard.term, std::nullopt);
        return;
    }
    repair(now);
}

void ControlMember::Impl::handle(TimePoint now, const ControlMessage &m, const VoteRequest &request)
{
    const bool mayVote = request.transfer || !leaderIsProtected(now);
    if (request.preVote) {
        const bool granted = mayVote && m.term > m_hard.term && upToDate(request);
        sendAtTerm(m.from, granted ? m.term : m_hard.term,
                   VoteReply { true, granted, request.round });
        return;
    }
    // receive() has adopted the request's term, unless a live leader is protected.
    const bool granted = mayVote && m.term == m_hard.term && upToDate(request)
        && (!m_hard.votedFor || *m_hard.votedFor == m.from);
    if (granted) {
        m_hardDirty = m_hardDirty || !m_hard.votedFor;
        m_hard.votedFor = m.from;
        resetElectionTimer(now);
    }
    send(m.from, VoteReply { false, granted, request.round });
}

void ControlMember::Impl::handle(TimePoint now, const ControlMessage &m, const VoteReply &reply)
{
    const ControlRole role = reply.preVote ? ControlRole::PreCandidate : ControlRole::Candidate;
    const ControlTerm term = reply.preVote ? m_hard.term.next() : m_hard.term;
    if (!reply.granted || m_role != role || m.term != term || reply.round != m_round)
        return;
    m_votes.insert(m.from);
    if (!hasMajority(m_votes))
        return;
    if (reply.preVote)
        startElection(now, false);
    else
        becomeLeader(now);
}

void ControlMember::Impl::handle(TimePoint now, const ControlMessage &m, const TransferRequest &)
{
    if (m.term == m_hard.term && m_role == ControlRole::Follower && isVoter(m_self))
        startElection(now, true);
}

bool ControlMember::Impl::transferLeadership(TimePoint now)
{
    if (m_role != ControlRole::Leader)
        return false;
    const auto target = std::find_if(m_progress.begin(), m_progress.end(), [&](const auto &item) {
        const auto &[member, progress] = item;
        return isVoter(member) && progress.match == m_log.lastIndex()
            && now - progress.lastHeard < kLeaderLease;
    });
    if (target == m_progress.end())
        return false;
    send(target->first, TransferRequest {});
    // The request may arrive late, and voters ignore the lease for it. So the lease must not be
    // held again in this term, whatever becomes of the transfer.
    becomeFollower(now, m_hard.term, std::nullopt);
    return true;
}

} // namespace shallotlever
