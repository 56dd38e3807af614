#include <algorithm>

#include "member_impl.h"

namespace shallotlever {
namespace {

/// Maximum number of unanswered append requests per member. Together with kMaxAppendBytes this
/// bounds the data that the leader queues for a member that does not read.
constexpr std::size_t kMaxInFlightAppends = 8;
/// Estimated encoding overhead of an entry in addition to its data.
constexpr std::size_t kEntryOverheadBytes = 64;

} // namespace

bool ControlMember::Impl::followLeader(TimePoint now, const ControlMessage &m)
{
    if (m.term < m_hardState.term || m_role == ControlRole::Leader)
        return false;
    becomeFollower(now, m.term, m.from);
    m_lastLeaderContact = now;
    resetElectionTimer(now);
    return true;
}

void ControlMember::Impl::handle(TimePoint now, const ControlMessage &m,
                                 const AppendRequest &request)
{
    if (!followLeader(now, m)) {
        // The reply carries the higher term, which makes the former leader step down.
        send(m.from, AppendReply { false, {}, request.previousIndex, request.sentAt });
        return;
    }
    send(m.from, processAppendRequest(request));
}

AppendReply ControlMember::Impl::processAppendRequest(const AppendRequest &request)
{
    AppendReply reply { true, m_commitIndex, request.previousIndex, request.sentAt };
    // All committed entries are equal to the leader's.
    if (request.previousIndex < m_log.baseIndex())
        return reply;
    const std::optional<ControlTerm> term = m_log.termAt(request.previousIndex);
    if (term != request.previousTerm) {
        reply.accepted = false;
        reply.match = term ? LogIndex(m_log.firstIndexOfTermRun(request.previousIndex).value() - 1)
                           : m_log.lastIndex();
        return reply;
    }
    storeEntries(request);
    const LogIndex last(request.previousIndex.value() + request.entries.size());
    reply.match = std::min(last, m_log.lastIndex());
    m_commitIndex = std::max(m_commitIndex, std::min(request.commit, reply.match));
    return reply;
}

void ControlMember::Impl::storeEntries(const AppendRequest &request)
{
    for (const LogEntry &entry : request.entries) {
        if (m_log.termAt(entry.index) == entry.term)
            continue;
        if (entry.index <= m_log.lastIndex()) {
            // Committed entries are never discarded, even if a faulty peer asks for it.
            if (entry.index <= m_commitIndex)
                return;
            m_log.truncate(entry.index);
            m_unsavedFrom = std::min(m_unsavedFrom, entry.index);
            m_durableIndex = std::min(m_durableIndex, m_log.lastIndex());
        }
        m_log.append(entry);
    }
}

Progress *ControlMember::Impl::recordReply(TimePoint now, const Member &member, TimePoint sentAt)
{
    const auto found = m_progress.find(member);
    if (m_role != ControlRole::Leader || found == m_progress.end())
        return nullptr;
    Progress &progress = found->second;
    progress.lastReplyAt = now;
    if (!progress.lastAnsweredSentAt || *progress.lastAnsweredSentAt < sentAt)
        progress.lastAnsweredSentAt = sentAt;
    return &progress;
}

void ControlMember::Impl::handle(TimePoint now, const ControlMessage &m, const AppendReply &reply)
{
    if (m.term != m_hardState.term)
        return;
    Progress *progress = recordReply(now, m.from, reply.sentAt);
    if (progress == nullptr || progress->mode == Progress::Mode::Snapshot)
        return;
    if (reply.accepted)
        handleAcceptedAppend(*progress, reply);
    else
        handleRejectedAppend(*progress, reply);
}

void ControlMember::Impl::handleAcceptedAppend(Progress &progress, const AppendReply &reply)
{
    progress.match = std::max(progress.match, std::min(reply.match, m_log.lastIndex()));
    progress.next = std::max(progress.next, progress.match.next());
    progress.probeInFlight = false;
    progress.mode = Progress::Mode::Stream;
    while (!progress.inFlight.empty() && progress.inFlight.front() <= progress.match)
        progress.inFlight.pop_front();
    advanceCommit();
}

void ControlMember::Impl::handleRejectedAppend(Progress &progress, const AppendReply &reply)
{
    // Ignores replies to requests that later replies have superseded.
    if (reply.previousIndex <= progress.match || reply.previousIndex >= progress.next)
        return;
    const LogIndex before(reply.previousIndex.value() - 1);
    progress.mode = Progress::Mode::Probe;
    progress.probeInFlight = false;
    progress.inFlight.clear();
    progress.next = std::max(progress.match, std::min(before, reply.match)).next();
}

Proposal ControlMember::Impl::appendNewEntry(EntryKind kind, std::string data)
{
    m_log.append({ m_log.lastIndex().next(), m_hardState.term, kind, std::move(data) });
    return { m_log.lastIndex(), m_hardState.term };
}

void ControlMember::Impl::updateTrackedMembers(TimePoint now)
{
    std::set<Member> others(m_log.membership().voters.begin(), m_log.membership().voters.end());
    if (m_log.membership().learner)
        others.insert(*m_log.membership().learner);
    others.erase(m_self);
    std::erase_if(m_progress, [&](const auto &item) { return !others.contains(item.first); });
    for (const Member &member : others) {
        Progress progress;
        progress.next = m_log.lastIndex().next();
        progress.lastReplyAt = now;
        progress.lastSentAt = now - kControlHeartbeatInterval;
        m_progress.try_emplace(member, std::move(progress));
    }
}

void ControlMember::Impl::advanceCommit()
{
    std::vector<LogIndex> matches;
    for (const Member &voter : m_log.membership().voters) {
        const auto progress = m_progress.find(voter);
        if (voter == m_self)
            matches.push_back(m_durableIndex);
        else
            matches.push_back(progress == m_progress.end() ? LogIndex() : progress->second.match);
    }
    if (matches.empty())
        return;
    std::sort(matches.begin(), matches.end(), std::greater<>());
    const LogIndex replicated = matches[matches.size() / 2];
    if (replicated > m_commitIndex && m_log.termAt(replicated) == m_hardState.term)
        m_commitIndex = replicated;
}

void ControlMember::Impl::sendAppends(TimePoint now)
{
    for (auto &[member, progress] : m_progress)
        sendTo(now, member, progress);
}

void ControlMember::Impl::sendTo(TimePoint now, const Member &member, Progress &progress)
{
    const bool heartbeat = now - progress.lastSentAt >= kControlHeartbeatInterval;
    if (progress.mode != Progress::Mode::Snapshot && progress.next <= m_log.baseIndex())
        startSnapshot(progress);
    if (progress.mode == Progress::Mode::Snapshot) {
        if (heartbeat || !progress.chunkInFlight)
            sendChunk(now, member, progress);
        return;
    }
    if (progress.mode == Progress::Mode::Probe) {
        if (heartbeat || !progress.probeInFlight)
            sendEntries(now, member, progress, heartbeat);
        return;
    }
    // A heartbeat is sent even if the window is full, but then it carries no entries.
    if (heartbeat && progress.inFlight.size() >= kMaxInFlightAppends)
        sendEntries(now, member, progress, true);
    const bool responsive = now - progress.lastReplyAt < kMinElectionTimeout;
    while (responsive && progress.inFlight.size() < kMaxInFlightAppends
           && progress.next <= m_log.lastIndex())
        sendEntries(now, member, progress, false);
    if (now - progress.lastSentAt >= kControlHeartbeatInterval)
        sendEntries(now, member, progress, true);
}

void ControlMember::Impl::sendEntries(TimePoint now, const Member &member, Progress &progress,
                                      bool heartbeat)
{
    const LogIndex previous(progress.next.value() - 1);
    AppendRequest request { previous, *m_log.termAt(previous), m_commitIndex, now, {} };
    const bool stream = progress.mode == Progress::Mode::Stream;
    // Entries are not sent repeatedly to a member that does not reply.
    const bool empty = (stream && heartbeat) || now - progress.lastReplyAt >= kMinElectionTimeout;
    std::size_t bytes = 0;
    LogIndex next = progress.next;
    while (next <= m_log.lastIndex() && !empty) {
        const LogEntry &entry = m_log.at(next);
        bytes += entry.data.size() + kEntryOverheadBytes;
        if (bytes > kMaxAppendBytes && !request.entries.empty())
            break;
        request.entries.push_back(entry);
        next = next.next();
    }
    if (stream && !request.entries.empty()) {
        progress.next = next;
        progress.inFlight.push_back(request.entries.back().index);
    }
    progress.probeInFlight = true;
    progress.lastSentAt = now;
    send(member, std::move(request));
}

} // namespace shallotlever
