#pragma once

#include <deque>
#include <map>
#include <set>
#include <utility>

#include "control_log.h"
#include "progress.h"
#include "shallotlever/control/member.h"

namespace shallotlever {

/// The state of a member. Elections are in election.cpp, the log in replication.cpp, snapshots in
/// snapshots.cpp, founding and repair in repair.cpp.
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

    // Election.
    void becomeFollower(TimePoint now, ControlTerm term, std::optional<Member> leader);
    void startElection(TimePoint now, bool transfer);
    void startPreVote(TimePoint now);
    void becomeLeader(TimePoint now);
    void handle(TimePoint now, const ControlMessage &m, const VoteRequest &request);
    void handle(TimePoint now, const ControlMessage &m, const VoteReply &reply);
    void handle(TimePoint now, const ControlMessage &m, const TransferRequest &request);
    void tickElection(TimePoint now);
    void tickLeader(TimePoint now);
    void requestVotes(bool preVote, bool transfer);
    void resetElectionTimer(TimePoint now);
    bool leaderIsProtected(TimePoint now) const;
    bool upToDate(const VoteRequest &request) const;
    bool isVoter(const Member &member) const;
    bool hasMajority(const std::set<Member> &members) const;
    /// Voters, this member included, whose progress satisfies the predicate are a majority.
    template <typename Predicate>
    bool majorityOfProgress(Predicate predicate) const;

    // Replication.
    void handle(TimePoint now, const ControlMessage &m, const AppendRequest &request);
    void handle(TimePoint now, const ControlMessage &m, const AppendReply &reply);
    bool followLeader(TimePoint now, const ControlMessage &m);
    void storeEntries(const AppendRequest &request);
    AppendReply answer(const AppendRequest &request);
    void acceptReply(Progress &progress, const AppendReply &reply);
    void refuseReply(Progress &progress, const AppendReply &reply);
    Progress *heard(TimePoint now, const Member &member, TimePoint sentAt);
    Proposal appendOwn(EntryKind kind, std::string data);
    void syncProgress(TimePoint now);
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

    // Founding and repair.
    void handle(TimePoint now, const ControlMessage &m, const HelloMessage &hello);
    void sayHello(TimePoint now);
    bool isFresh() const;
    std::size_t wantedVoters() const;
    void tryFound(TimePoint now);
    void repair(TimePoint now);
    void promoteOrReplaceLearner(TimePoint now, const Membership &membership);
    std::optional<Member> findNewcomer(TimePoint now) const;
    bool mayBecomeLearner(TimePoint now, const Member &member) const;
    std::optional<Member> voterToReplace(TimePoint now, const Member &learner) const;
    bool isSilent(TimePoint now, const Member &member, Duration patience) const;
    void proposeMembership(TimePoint now, const Membership &membership);

    // Output.
    void send(const Member &to, ControlBody body);
    void sendAtTerm(const Member &to, ControlTerm term, ControlBody body);
    void releaseMessages(TimePoint now);
    void collectWrite(DurableWrite &write);

    ControlOptions m_options;
    Random m_random;
    Member m_self;
    HardState m_hard;
    ControlLog m_log;
    LogIndex m_commit;
    LogIndex m_applied;
    LogIndex m_durable;

    ControlRole m_role = ControlRole::Follower;
    std::optional<Member> m_leader;
    TimePoint m_leaderHeardAt;
    TimePoint m_electionDeadline;
    std::uint64_t m_round = 0;
    std::set<Member> m_votes;

    // Leader only.
    std::map<Member, Progress> m_progress;
    LogIndex m_termStart;

    struct Newcomer
    {
        Member member;
        bool fresh = false;
        /// The hello was addressed to this member's identity.
        bool answered = false;
        TimePoint heardAt;
    };
    std::map<NodeId, Newcomer> m_newcomers;
    /// Members that are not configured: the leader may be one of them.
    std::set<NodeId> m_learnedPeers;
    TimePoint m_helloAt;

    /// Snapshot being received.
    std::shared_ptr<ControlSnapshot> m_incoming;

    // Output.
    struct HeldMessage
    {
        std::uint64_t afterSequence = 0;
        ControlMessage message;
    };
    struct Outstanding
    {
        std::uint64_t sequence = 0;
        LogIndex lastIndex;
        ControlTerm lastTerm;
    };
    std::vector<ControlMessage> m_messages;
    /// Not yet assigned to a write.
    std::vector<ControlMessage> m_dependent;
    std::deque<HeldMessage> m_held;
    std::deque<Outstanding> m_outstanding;
    std::uint64_t m_lastSequence = 0;
    std::uint64_t m_durableSequence = 0;
    bool m_hardDirty = false;
    LogIndex m_unsavedFrom;
    ControlSnapshotPtr m_unsavedSnapshot;
    bool m_unsavedReset = false;
    ControlSnapshotPtr m_restore;
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
