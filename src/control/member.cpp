#include <algorithm>
#include <functional>

#include <xxhash.h>

#include "member_impl.h"

namespace shallotlever {
namespace {

/// Proposals are rejected while this many entries are uncommitted.
constexpr std::size_t kMaxUncommittedEntries = 65'536;
/// Maximum number of entries returned by one takeReady(), so that applying them does not delay
/// heartbeats.
constexpr std::uint64_t kMaxCommittedPerReady = 4'096;

/// Whether the message must not be sent before the state that it asserts is durable.
bool requiresDurableState(const ControlBody &body)
{
    if (const auto *request = std::get_if<VoteRequest>(&body))
        return !request->preVote;
    if (const auto *reply = std::get_if<VoteReply>(&body))
        return !reply->preVote;
    return std::holds_alternative<AppendReply>(body) || std::holds_alternative<SnapshotReply>(body);
}

bool isPreVote(const ControlBody &body)
{
    if (const auto *request = std::get_if<VoteRequest>(&body))
        return request->preVote;
    const auto *reply = std::get_if<VoteReply>(&body);
    return reply != nullptr && reply->preVote && reply->granted;
}

/// Mixes the node id into the seed. Members may have equal seeds, for example if seeds are start
/// times, and with equal election timeouts they would split the vote in every term.
std::uint64_t memberSeed(const ControlOptions &options)
{
    const std::string &node = options.node.value();
    return XXH3_64bits_withSeed(node.data(), node.size(), options.seed);
}

} // namespace

const char *controlRoleName(ControlRole role)
{
    switch (role) {
    case ControlRole::Follower:
        return "follower";
    case ControlRole::PreCandidate:
        return "pre_candidate";
    case ControlRole::Candidate:
        return "candidate";
    case ControlRole::Leader:
        return "leader";
    }
    return "unknown";
}

ControlMember::Impl::Impl(TimePoint now, ControlOptions options, RecoveredState recovered)
    : m_options(std::move(options))
    , m_random(memberSeed(m_options))
    , m_self { m_options.node, recovered.identity }
    , m_hardState(std::move(recovered.hardState))
    , m_log(std::move(recovered.snapshot), std::move(recovered.entries))
    , m_commitIndex(m_log.snapshotIndex())
    , m_appliedIndex(m_commitIndex)
    , m_durableIndex(m_log.lastIndex())
    // A leader that this member acknowledged before a restart may still hold its lease. Votes are
    // refused until that lease must have expired.
    , m_lastLeaderContact(now)
    , m_nextHelloAt(now)
    , m_unsavedFrom(m_log.lastIndex().next())
{
    resetElectionTimer(now);
}

void ControlMember::Impl::tick(TimePoint now)
{
    if (m_role == ControlRole::Leader) {
        tickLeader(now);
        return;
    }
    sendHellos(now);
    if (isFresh())
        tryBootstrapGroup(now);
    tickElection(now);
}

void ControlMember::Impl::receive(TimePoint now, const ControlMessage &message)
{
    if (const auto *hello = std::get_if<HelloMessage>(&message.body)) {
        handle(now, message, *hello);
        return;
    }
    if (message.to != m_self || message.from == m_self)
        return;
    const auto *vote = std::get_if<VoteRequest>(&message.body);
    const bool ignoreTerm =
        isPreVote(message.body) || (vote != nullptr && !vote->transfer && leaderMayBeAlive(now));
    if (!ignoreTerm && message.term > m_hardState.term)
        becomeFollower(now, message.term, std::nullopt);
    std::visit([&](const auto &body) { handle(now, message, body); }, message.body);
}

absl::StatusOr<Proposal> ControlMember::Impl::propose(TimePoint, std::string command)
{
    if (m_role != ControlRole::Leader)
        return absl::FailedPreconditionError("not the leader of the control group");
    if (command.size() > kMaxProposalBytes)
        return absl::InvalidArgumentError("proposal is too large");
    if (m_log.lastIndex().value() - m_commitIndex.value() >= kMaxUncommittedEntries)
        return absl::ResourceExhaustedError("too many proposals wait to be committed");
    return appendNewEntry(EntryKind::Data, std::move(command));
}

void ControlMember::Impl::send(const Member &to, ControlBody body)
{
    sendAtTerm(to, m_hardState.term, std::move(body));
}

void ControlMember::Impl::sendAtTerm(const Member &to, ControlTerm term, ControlBody body)
{
    const bool heldUntilDurable =
        requiresDurableState(body) && (to == m_self || !m_options.faults.ackBeforeSync);
    ControlMessage message { m_self, to, term, std::move(body) };
    (heldUntilDurable ? m_messagesAwaitingWrite : m_messages).push_back(std::move(message));
}

void ControlMember::Impl::persisted(TimePoint now, std::uint64_t sequence)
{
    m_durableSequence = std::max(m_durableSequence, sequence);
    while (!m_outstandingWrites.empty() && m_outstandingWrites.front().sequence <= sequence) {
        const OutstandingWrite &done = m_outstandingWrites.front();
        // Entries that were truncated while the write was in progress have a different term now.
        if (done.lastIndex < m_log.baseIndex() || m_log.termAt(done.lastIndex) == done.lastTerm)
            m_durableIndex = std::max(m_durableIndex, done.lastIndex);
        m_outstandingWrites.pop_front();
    }
    releaseMessages(now);
    if (m_role == ControlRole::Leader)
        advanceCommit();
}

void ControlMember::Impl::releaseMessages(TimePoint now)
{
    while (!m_heldMessages.empty() && m_heldMessages.front().afterSequence <= m_durableSequence) {
        ControlMessage message = std::move(m_heldMessages.front().message);
        m_heldMessages.pop_front();
        // A candidate's vote for itself counts only once it is durable, like any other vote.
        if (message.to == m_self && message.term == m_hardState.term)
            handle(now, message, std::get<VoteReply>(message.body));
        else if (message.to != m_self)
            m_messages.push_back(std::move(message));
    }
}

void ControlMember::Impl::collectWrite(DurableWrite &write)
{
    if (std::exchange(m_hardStateDirty, false))
        write.hardState = m_hardState;
    write.snapshot = std::exchange(m_unsavedSnapshot, nullptr);
    write.resetLog = std::exchange(m_unsavedLogReset, false);
    for (LogIndex i = m_unsavedFrom; i <= m_log.lastIndex(); i = i.next())
        write.entries.push_back(m_log.at(i));
    m_unsavedFrom = m_log.lastIndex().next();
    if (write.empty())
        return;
    write.sequence = ++m_lastSequence;
    m_outstandingWrites.push_back({ write.sequence, m_log.lastIndex(), m_log.lastTerm() });
}

ControlReady ControlMember::Impl::takeReady(TimePoint now)
{
    ControlReady ready;
    if (m_role == ControlRole::Leader)
        sendAppends(now);
    collectWrite(ready.write);
    for (ControlMessage &message : std::exchange(m_messagesAwaitingWrite, {}))
        m_heldMessages.push_back({ m_lastSequence, std::move(message) });
    releaseMessages(now);
    ready.messages = std::exchange(m_messages, {});
    ready.restore = std::exchange(m_snapshotToRestore, nullptr);
    const std::uint64_t upTo =
        std::min(m_commitIndex.value(), m_appliedIndex.value() + kMaxCommittedPerReady);
    while (m_appliedIndex.value() < upTo) {
        m_appliedIndex = m_appliedIndex.next();
        ready.committed.push_back(m_log.at(m_appliedIndex));
    }
    return ready;
}

bool ControlMember::Impl::holdsLease(TimePoint now) const
{
    // Once the first entry of the term is applied, the owner's state includes all earlier entries.
    return leaseLeft(now) > Duration(0);
}

Duration ControlMember::Impl::leaseLeft(TimePoint now) const
{
    if (m_role != ControlRole::Leader || m_appliedIndex < m_termStartIndex)
        return Duration(0);
    if (m_options.faults.leaseWithoutQuorum)
        return kLeaderLeaseDuration;
    std::vector<Duration> left;
    for (const Member &voter : m_log.membership().voters) {
        const auto progress = m_progress.find(voter);
        if (voter == m_self)
            left.push_back(kLeaderLeaseDuration);
        else if (progress != m_progress.end() && progress->second.lastAnsweredSentAt)
            left.push_back(*progress->second.lastAnsweredSentAt + kLeaderLeaseDuration - now);
    }
    const std::size_t majority = m_log.membership().voters.size() / 2 + 1;
    if (left.size() < majority)
        return Duration(0);
    // A majority has answered no earlier than the last one of the latest `majority` answers.
    const auto last = left.begin() + static_cast<std::ptrdiff_t>(majority - 1);
    std::nth_element(left.begin(), last, left.end(), std::greater<>());
    return std::max(*last, Duration(0));
}

absl::StatusOr<std::unique_ptr<ControlMember>>
ControlMember::create(TimePoint now, ControlOptions options, RecoveredState recovered)
{
    const std::vector<NodeId> &peers = options.peers;
    if (std::count(peers.begin(), peers.end(), options.node) != 1 && !options.acceptsStandbys)
        return absl::InvalidArgumentError("the control members must name this node exactly once");
    if (std::set<NodeId>(peers.begin(), peers.end()).size() != peers.size())
        return absl::InvalidArgumentError("a control member is named twice");
    // Nodes that find members at run time are given seeds, which are fewer than the members while
    // the group is small or after a machine was removed for good.
    const bool isComplete =
        options.acceptsStandbys ? !peers.empty() : peers.size() == 3 || peers.size() == 5;
    if (!isComplete)
        return absl::InvalidArgumentError("the control group needs three or five members");
    if (recovered.identity == MemberIdentity())
        return absl::InvalidArgumentError("the data directory has no identity");
    return std::unique_ptr<ControlMember>(
        new ControlMember(std::make_unique<Impl>(now, std::move(options), std::move(recovered))));
}

ControlMember::ControlMember(std::unique_ptr<Impl> impl)
    : m_impl(std::move(impl))
{
}

ControlMember::~ControlMember() = default;

void ControlMember::tick(TimePoint now)
{
    m_impl->tick(now);
}

void ControlMember::addDiscoveredPeer(const NodeId &peer)
{
    m_impl->m_discoveredPeers.insert(peer);
}

void ControlMember::receive(TimePoint now, const ControlMessage &message)
{
    m_impl->receive(now, message);
}

absl::StatusOr<Proposal> ControlMember::propose(TimePoint now, std::string command)
{
    return m_impl->propose(now, std::move(command));
}

void ControlMember::persisted(TimePoint now, std::uint64_t sequence)
{
    m_impl->persisted(now, sequence);
}

absl::Status ControlMember::compact(LogIndex index, std::string state)
{
    return m_impl->compact(index, std::move(state));
}

bool ControlMember::transferLeadership(TimePoint now)
{
    return m_impl->transferLeadership(now);
}

ControlReady ControlMember::takeReady(TimePoint now)
{
    return m_impl->takeReady(now);
}

ControlRole ControlMember::role() const
{
    return m_impl->m_role;
}

bool ControlMember::holdsLease(TimePoint now) const
{
    return m_impl->holdsLease(now);
}

Duration ControlMember::leaseLeft(TimePoint now) const
{
    return m_impl->leaseLeft(now);
}

std::optional<Member> ControlMember::leader() const
{
    return m_impl->m_leader;
}

Member ControlMember::self() const
{
    return m_impl->m_self;
}

ControlTerm ControlMember::term() const
{
    return m_impl->m_hardState.term;
}

LogIndex ControlMember::commitIndex() const
{
    return m_impl->m_commitIndex;
}

LogIndex ControlMember::appliedIndex() const
{
    return m_impl->m_appliedIndex;
}

LogIndex ControlMember::lastIndex() const
{
    return m_impl->m_log.lastIndex();
}

LogIndex ControlMember::snapshotIndex() const
{
    return m_impl->m_log.snapshotIndex();
}

const Membership &ControlMember::membership() const
{
    return m_impl->m_log.membership();
}

bool ControlMember::membershipCommitted() const
{
    return m_impl->m_log.membershipIndex() <= m_impl->m_commitIndex;
}

} // namespace shallotlever
