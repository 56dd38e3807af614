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

bool ControlMember::Impl::leaderMayBeAlive(TimePoint now) const
{
    if (m_options.faults.noPreVote)
        return false;
    if (m_role == ControlRole::Leader)
        return holdsLease(now);
    return now - m_lastLeaderContact < kMinElectionTimeout;
}

bool ControlMember::Impl::upToDate(const VoteRequest &request) const
{
    return std::pair(request.lastTerm, request.lastIndex)
        >= std::pair(m_log.lastTerm(), m_log.lastIndex());
}

void ControlMember::Impl::becomeFollower(TimePoint now, ControlTerm term,
                                         std::optional<Member> leader)
{
    if (term > m_hardState.term) {
        m_hardState = { term, std::nullopt };
        m_hardStateDirty = true;
        // Chunks from different leaders must not be combined, as their encodings may differ.
        m_incomingSnapshot.reset();
    }
    if (m_role != ControlRole::Follower)
        resetElectionTimer(now);
    m_role = ControlRole::Follower;
    m_yieldedTo.clear();
    m_leader = std::move(leader);
    m_progress.clear();
    m_votes.clear();
}

void ControlMember::Impl::tickElection(TimePoint now)
{
    if (now < m_electionDeadline) {
        repeatVoteRequests(now);
        return;
    }
    m_leader.reset();
    resetElectionTimer(now);
    if (!isVoter(m_self))
        return;
    if (m_options.faults.noPreVote)
        startElection(now, false);
    else
        startPreVote(now);
}

void ControlMember::Impl::requestVotes(TimePoint now, bool preVote, bool transfer)
{
    ++m_voteRound;
    m_voteRequest = { preVote, transfer, m_log.lastIndex(), m_log.lastTerm(), m_voteRound };
    sendVoteRequests(now);
}

void ControlMember::Impl::sendVoteRequests(TimePoint now)
{
    m_nextVoteRequestAt = now + kVoteRequestInterval;
    const ControlTerm term = m_voteRequest.preVote ? m_hardState.term.next() : m_hardState.term;
    for (const Member &voter : m_log.membership().voters) {
        if (voter != m_self && !m_votes.contains(voter))
            sendAtTerm(voter, term, m_voteRequest);
    }
}

/// Requests are lost while links are being opened, as after a restart of all members, and a member
/// that has just started cannot vote yet.
void ControlMember::Impl::repeatVoteRequests(TimePoint now)
{
    const bool waits = m_role == ControlRole::PreCandidate || m_role == ControlRole::Candidate;
    if (waits && now >= m_nextVoteRequestAt)
        sendVoteRequests(now);
}

bool ControlMember::Impl::isPromisedToOther(TimePoint now, const Member &candidate) const
{
    return m_preVoteFor && *m_preVoteFor < candidate && now - m_preVoteAt < kPreVoteHold;
}

/// Leaves the election to the candidate for a moment. Members that start together, as after a
/// restart of all, would otherwise become candidates one after the other and split the votes.
void ControlMember::Impl::promiseVote(TimePoint now, const Member &candidate)
{
    // The votes that a pre-candidate has collected are lost when it yields, so only one of any two
    // does.
    if (m_role == ControlRole::PreCandidate && m_self < candidate)
        return;
    // Once in a term: a candidate that receives no replies asks again and again.
    if (!m_yieldedTo.insert(candidate).second)
        return;
    m_preVoteFor = candidate;
    m_preVoteAt = now;
    if (m_role == ControlRole::PreCandidate) {
        m_role = ControlRole::Follower;
        m_votes.clear();
    }
    // Not by the same time at each member, so that they do not start together if the candidate
    // fails.
    m_electionDeadline = std::max(m_electionDeadline,
                                  now + uniformDuration(m_random, kPreVoteHold, 3 * kPreVoteHold));
}

void ControlMember::Impl::startPreVote(TimePoint now)
{
    m_preVoteFor = m_self;
    m_preVoteAt = now;
    m_role = ControlRole::PreCandidate;
    m_votes = { m_self };
    requestVotes(now, true, false);
    if (hasMajority(m_votes))
        startElection(now, false);
}

void ControlMember::Impl::startElection(TimePoint now, bool transfer)
{
    m_hardState = { m_hardState.term.next(), m_self };
    m_hardStateDirty = true;
    m_role = ControlRole::Candidate;
    m_leader.reset();
    m_votes.clear();
    m_yieldedTo.clear();
    resetElectionTimer(now);
    requestVotes(now, false, transfer);
    send(m_self, VoteReply { false, true, m_voteRound });
}

void ControlMember::Impl::becomeLeader(TimePoint now)
{
    m_role = ControlRole::Leader;
    m_leader = m_self;
    m_progress.clear();
    m_helloSenders.clear();
    updateTrackedMembers(now);
    // Entries of earlier terms can be committed only together with an entry of this term.
    m_termStartIndex = appendNewEntry(EntryKind::NoOp, {}).index;
}

void ControlMember::Impl::tickLeader(TimePoint now)
{
    // Check-quorum: a leader that no longer receives replies of a majority, as in a one-way network
    // partition, must step down.
    if (!majorityOfProgress(
            [now](const Progress &p) { return now - p.lastReplyAt < kMaxElectionTimeout; })) {
        becomeFollower(now, m_hardState.term, std::nullopt);
        return;
    }
    repair(now);
}

void ControlMember::Impl::handle(TimePoint now, const ControlMessage &m, const VoteRequest &request)
{
    const bool canVote = request.transfer || !leaderMayBeAlive(now);
    if (request.preVote) {
        const bool granted = canVote && m.term > m_hardState.term && upToDate(request)
            && !isPromisedToOther(now, m.from);
        if (granted)
            promiseVote(now, m.from);
        sendAtTerm(m.from, granted ? m.term : m_hardState.term,
                   VoteReply { true, granted, request.round });
        return;
    }
    // receive() has adopted the term of the request, unless a leader may still be alive.
    const bool granted = canVote && m.term == m_hardState.term && upToDate(request)
        && (!m_hardState.votedFor || *m_hardState.votedFor == m.from);
    if (granted) {
        m_hardStateDirty = m_hardStateDirty || !m_hardState.votedFor;
        m_hardState.votedFor = m.from;
        resetElectionTimer(now);
    }
    send(m.from, VoteReply { false, granted, request.round });
}

void ControlMember::Impl::handle(TimePoint now, const ControlMessage &m, const VoteReply &reply)
{
    // A pre-candidate that was refused leaves the election to others, which may have more success.
    if (reply.preVote && !reply.granted && reply.round == m_voteRound && m_preVoteFor == m_self)
        m_preVoteFor.reset();
    const ControlRole role = reply.preVote ? ControlRole::PreCandidate : ControlRole::Candidate;
    const ControlTerm term = reply.preVote ? m_hardState.term.next() : m_hardState.term;
    if (!reply.granted || m_role != role || m.term != term || reply.round != m_voteRound)
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
    if (m.term == m_hardState.term && m_role == ControlRole::Follower && isVoter(m_self))
        startElection(now, true);
}

bool ControlMember::Impl::transferLeadership(TimePoint now)
{
    if (m_role != ControlRole::Leader)
        return false;
    const auto target = std::find_if(m_progress.begin(), m_progress.end(), [&](const auto &item) {
        const auto &[member, progress] = item;
        return isVoter(member) && progress.match == m_log.lastIndex()
            && now - progress.lastReplyAt < kLeaderLeaseDuration;
    });
    if (target == m_progress.end())
        return false;
    send(target->first, TransferRequest {});
    // The request may arrive late, and voters ignore the lease in the election that it starts. This
    // member must therefore not hold the lease again in this term, even if the transfer fails.
    becomeFollower(now, m_hardState.term, std::nullopt);
    return true;
}

} // namespace shallotlever
