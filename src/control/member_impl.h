#pragma once

#include <deque>
#include <map>
#include <set>
#include <utility>

#include "control_log.h"
#include "progress.h"
#include "shallotlever/control/member.h"

namespace shallotlever {

/// Implementation of ControlMember. Elections are in election.cpp, log replication is in
/// replication.cpp, snapshots are in snapshots.cpp, bootstrap and repair are in repair.cpp.
class ControlMember::Impl
{
public:
    Impl(TimePoint now, ControlOptions options, RecoveredState recovered);

    void tick(TimePoint now);
    void receive(TimePoint now, const ControlMessage &message);
    absl::StatusOr<Proposal> propose(TimePoint now, std::string command);
    void persisted(TimePoint now, std::uint64_t sequence);
    absl::Status compact(LogIndex index, std::string state);
    bool transferLeadership(TimePoint now);
    ControlReady takeReady(TimePoint now);
    bool holdsLease(TimePoint now) const;
    Duration leaseLeft(TimePoint now) const;

    // Election.
    void becomeFollower(TimePoint now, ControlTerm term, std::optional<Member> leader);
    void startElection(TimePoint now, bool transfer);
    void startPreVote(TimePoint now);
    void becomeLeader(TimePoint now);
    void handle(TimePoint now, const ControlMessage &m, const VoteRequest &request);
    void handle(TimePoint now, const ControlMessage &m, const VoteReply &reply);
    void handle(TimePoint now, const ControlMessage &m, const TransferRequest &request);
    void tickElection(TimePoint now);
    /// Whether another candidate, which precedes `candidate`, has been promised the vote.
    bool isPromisedToOther(TimePoint now, const Member &candidate) const;
    void promiseVote(TimePoint now, const Member &candidate);
    void tickLeader(TimePoint now);
    void requestVotes(TimePoint now, bool preVote, bool transfer);
    void sendVoteRequests(TimePoint now);
    void repeatVoteRequests(TimePoint now);
    void resetElectionTimer(TimePoint now);
    /// Whether a leader was in contact recently enough that votes for another one are refused.
    bool leaderMayBeAlive(TimePoint now) const;
    bool upToDate(const VoteRequest &request) const;
    bool isVoter(const Member &member) const;
    bool hasMajority(const std::set<Member> &members) const;
    /// Whether this member and the voters whose progress satisfies the predicate are a majority of
    /// the voters.
    template <typename Predicate>
    bool majorityOfProgress(Predicate predicate) const;

    // Replication.
    void handle(TimePoint now, const ControlMessage &m, const AppendRequest &request);
    void handle(TimePoint now, const ControlMessage &m, const AppendReply &reply);
    /// Follows the sender as leader. Returns false if the sender's term is outdated.
    bool followLeader(TimePoint now, const ControlMessage &m);
    void storeEntries(const AppendRequest &request);
    AppendReply processAppendRequest(const AppendRequest &request);
    void handleAcceptedAppend(Progress &progress, const AppendReply &reply);
    void handleRejectedAppend(Progress &progress, const AppendReply &reply);
    /// Records a reply for the lease and check-quorum. Returns nullptr if this member is not the
    /// leader or does not replicate to `member`.
    Progress *recordReply(TimePoint now, const Member &member, TimePoint sentAt);
    Proposal appendNewEntry(EntryKind kind, std::string data);
    /// Adds and removes entries of m_progress to match the current membership.
    void updateTrackedMembers(TimePoint now);
    void advanceCommit();
    void sendAppends(TimePoint now);
    void sendTo(TimePoint now, const Member &member, Progress &progress);
    void sendEntries(TimePoint now, const Member &member, Progress &progress, bool heartbeat);

    // Snapshots.
    void handle(TimePoint now, const ControlMessage &m, const SnapshotChunk &chunk);
    void handle(TimePoint now, const ControlMessage &m, const SnapshotReply &reply);
    void startSnapshot(Progress &progress);
    void sendChunk(TimePoint now, const Member &member, Progress &progress);
    std::uint64_t collectChunk(const SnapshotChunk &chunk);
    void installSnapshot(ControlSnapshotPtr snapshot);

    // Bootstrap and repair.
    void handle(TimePoint now, const ControlMessage &m, const HelloMessage &hello);
    void sendHellos(TimePoint now);
    bool isFresh() const;
    std::size_t targetVoterCount() const;
    void tryBootstrapGroup(TimePoint now);
    void repair(TimePoint now);
    void promoteOrReplaceLearner(TimePoint now, const Membership &membership);
    std::optional<Member> findLearnerCandidate(TimePoint now) const;
    bool mayBecomeLearner(TimePoint now, const Member &member) const;
    std::optional<Member> voterToReplace(TimePoint now, const Member &learner) const;
    bool isUnresponsive(TimePoint now, const Member &member, Duration timeout) const;
    void proposeMembership(TimePoint now, const Membership &membership);

    // Output.
    void send(const Member &to, ControlBody body);
    void sendAtTerm(const Member &to, ControlTerm term, ControlBody body);
    void releaseMessages(TimePoint now);
    void collectWrite(DurableWrite &write);

    ControlOptions m_options;
    Random m_random;
    Member m_self;
    HardState m_hardState;
    ControlLog m_log;
    LogIndex m_commitIndex;
    LogIndex m_appliedIndex;
    LogIndex m_durableIndex;

    ControlRole m_role = ControlRole::Follower;
    std::optional<Member> m_leader;
    TimePoint m_lastLeaderContact;
    TimePoint m_electionDeadline;
    std::uint64_t m_voteRound = 0;
    /// The request of the current round, and when it is repeated.
    VoteRequest m_voteRequest;
    TimePoint m_nextVoteRequestAt;
    std::set<Member> m_votes;
    /// The last member that was promised a vote in a pre-vote, and when.
    std::optional<Member> m_preVoteFor;
    TimePoint m_preVoteAt;
    /// Candidates that the election was left to since the last change of term or message of a
    /// leader.
    std::set<Member> m_yieldedTo;

    // Leader only.
    std::map<Member, Progress> m_progress;
    LogIndex m_termStartIndex;

    /// The last hello message received from a node.
    struct HelloSender
    {
        Member member;
        bool fresh = false;
        /// The hello was addressed to this member's current identity.
        bool addressedToSelf = false;
        TimePoint receivedAt;
    };
    std::map<NodeId, HelloSender> m_helloSenders;
    /// Members that are not configured. The leader may be one of them.
    std::set<NodeId> m_discoveredPeers;
    TimePoint m_nextHelloAt;

    /// Partially received snapshot.
    std::shared_ptr<ControlSnapshot> m_incomingSnapshot;

    // Output.
    /// A message that may be sent once the write with `afterSequence` is durable.
    struct HeldMessage
    {
        std::uint64_t afterSequence = 0;
        ControlMessage message;
    };
    /// A write that is not durable yet, with the end of the log when it was handed out.
    struct OutstandingWrite
    {
        std::uint64_t sequence = 0;
        LogIndex lastIndex;
        ControlTerm lastTerm;
    };
    std::vector<ControlMessage> m_messages;
    /// Messages that depend on the next write, which has no sequence number yet.
    std::vector<ControlMessage> m_messagesAwaitingWrite;
    std::deque<HeldMessage> m_heldMessages;
    std::deque<OutstandingWrite> m_outstandingWrites;
    std::uint64_t m_lastSequence = 0;
    std::uint64_t m_durableSequence = 0;
    bool m_hardStateDirty = false;
    /// First entry that has not been handed out for writing.
    LogIndex m_unsavedFrom;
    ControlSnapshotPtr m_unsavedSnapshot;
    bool m_unsavedLogReset = false;
    ControlSnapshotPtr m_snapshotToRestore;
};

template <typename Predicate>
bool ControlMember::Impl::majorityOfProgress(Predicate predicate) const
{
    const std::vector<Member> &voters = m_log.membership().voters;
    std::size_t count = 0;
    for (const Member &voter : voters) {
        if (voter == m_self) {
            ++count;
            continue;
        }
        const auto progress = m_progress.find(voter);
        if (progress != m_progress.end() && predicate(progress->second))
            ++count;
    }
    return count > voters.size() / 2;
}

} // namespace shallotlever
