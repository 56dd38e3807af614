#include <algorithm>

#include "member_impl.h"

namespace shallotlever {
namespace {

/// Requests sent ahead of their replies, per member. With kMaxAppendBytes this bounds what a
/// member that does not read can make the leader queue.
constexpr std::size_t kMaxInFlight = 8;
/// Estimate of an entry's encoding around its data.
constexpr std::size_t kEntryOverheadBytes = 64;

} // namespace

bool ControlMember::Impl::followLeader(TimePoint now, const ControlMessage &m)
{
    if (m.term < m_hard.term || m_role == ControlRole::Leader)
        return false;
    becomeFollower(now, m.term, m.from);
    m_leaderHeardAt = now;
    resetElectionTimer(now);
    return true;
}

void ControlMember::Impl::handle(TimePoint now, const ControlMessage &m,
                                 const AppendRequest &request)
{
    if (!followLeader(now, m)) {
        // The reply carries the higher term, at which a former leader steps down.
        send(m.from, AppendReply { false, {}, request.previousIndex, request.sentAt });
        return;
    }
    send(m.from, answer(request));
}

AppendReply ControlMember::Impl::answer(const AppendRequest &request)
{
    AppendReply reply { true, m_commit, request.previousIndex, request.sentAt };
    // Committed entries equal the leader's.
    if (request.previousIndex < m_log.baseIndex())
        return reply;
    const std::optional<ControlTerm> term = m_log.termAt(request.previousIndex);
    if (term != request.previousTerm) {
        reply.accepted = false;
        reply.match = term ? LogIndex(m_log.firstOfTerm(request.previousIndex).value() - 1)
                           : m_log.lastIndex();
        return reply;
    }
    storeEntries(request);
    const LogIndex last(request.previousIndex.value() + request.entries.size());
    reply.match = std::min(last, m_log.lastIndex());
    m_commit = std::max(m_commit, std::min(request.commit, reply.match));
    return reply;
}

void ControlMember::Impl::storeEntries(const AppendRequest &request)
{
    for (const LogEntry &entry : request.entries) {
        if (m_log.termAt(entry.index) == entry.term)
            continue;
        if (entry.index <= m_log.lastIndex()) {
            // Never drops a committed entry, whatever a faulty peer sends.
            if (entry.index <= m_commit)
                return;
            m_log.truncate(entry.index);
            m_unsavedFrom = std::min(m_unsavedFrom, entry.index);
            m_durable = std::min(m_durable, m_log.lastIndex());
        }
        m_log.append(entry);
    }
}

Progress *ControlMember::Impl::heard(TimePoint now, const Member &member, TimePoint sentAt)
{
    const auto found = m_progress.find(member);
    if (m_role != ControlRole::Leader || found == m_progress.end())
        return nullptr;
    Progress &progress = found->second;
    progress.lastHeard = now;
    if (!progress.answeredSentAt || *progress.answeredSentAt < sentAt)
        progress.answeredSentAt = sentAt;
    return &progress;
}

void ControlMember::Impl::handle(TimePoint now, const ControlMessage &m, const AppendReply &reply)
{
    if (m.term != m_hard.term)
        return;
    Progress *progress = heard(now, m.from, reply.sentAt);
    if (progress == nullptr || progress->mode == Progress::Mode::Snapshot)
        return;
    if (reply.accepted)
        acceptReply(*progress, reply);
    else
        refuseReply(*progress, reply);
}

void ControlMember::Impl::acceptReply(Progress &progress, const AppendReply &reply)
{
    progress.match = std::max(progress.match, std::min(reply.match, m_log.lastIndex()));
    progress.next = std::max(progress.next, progress.match.next());
    progress.probing = false;
    progress.mode = Progress::Mode::Stream;
    while (!progress.inFlight.empty() && progress.inFlight.front() <= progress.match)
        progress.inFlight.pop_front();
    advanceCommit();
}

void ControlMember::Impl::refuseReply(Progress &progress, const AppendReply &reply)
{
    // Replies to requests that were overtaken say nothing new.
    if (reply.previousIndex <= progress.match || reply.previousIndex >= progress.next)
        return;
    const LogIndex before(reply.previousIndex.value() - 1);
    progress.mode = Progress::Mode::Probe;
    progress.probing = false;
    progress.inFlight.clear();
    progress.next = std::max(progress.match, std::min(before, reply.match)).next();
}

Proposal ControlMember::Impl::appendOwn(EntryKind kind, std::string data)
{
    m_log.append({ m_log.lastIndex().next(), m_hard.term, kind, std::move(data) });
    return { m_log.lastIndex(), m_hard.term };
}

void ControlMember::Impl::syncProgress(TimePoint now)
{
    std::set<Member> others(m_log.membership().voters.begin(), m_log.membership().voters.end());
    if (m_log.membership().learner)
        others.insert(*m_log.membership().learner);
    others.erase(m_self);
    std::erase_if(m_progress, [&](const auto &item) { return !others.contains(item.first); });
    for (const Member &member : others) {
        Progress progress;
        progress.next = m_log.lastIndex().next();
        progress.lastHeard = now;
        progress.lastSent = now - kControlHeartbeat;
        m_progress.try_emplace(member, std::move(progress));
    }
}

void ControlMember::Impl::advanceCommit()
{
    std::vector<LogIndex> matches;
    for (const Member &voter : m_log.membership().voters) {
        const auto progress = m_progress.find(voter);
        if (voter == m_self)
            matches.push_back(m_durable);
        else
            matches.push_back(progress == m_progress.end() ? LogIndex() : progress->second.match);
    }
    if (matches.empty())
        return;
    std::sort(matches.begin(), matches.end(), std::greater<>());
    const LogIndex replicated = matches[matches.size() / 2];
    if (replicated > m_commit && m_log.termAt(replicated) == m_hard.term)
        m_commit = replicated;
}

void ControlMember::Impl::sendAppends(TimePoint now)
{
    for (auto &[member, progress] : m_progress)
        sendTo(now, member, progress);
}

void ControlMember::Impl::sendTo(TimePoint now, const Member &member, Progress &progress)
{
    const bool heartbeat = now - progress.lastSent >= kControlHeartbeat;
    if (progress.mode != Progress::Mode::Snapshot && progress.next <= m_log.baseIndex())
        startSnapshot(progress);
    if (progress.mode == Progress::Mode::Snapshot) {
        if (heartbeat || !progress.chunkInFlight)
            sendChunk(now, member, progress);
        return;
    }
    if (progress.mode == Progress::Mode::Probe) {
        if (heartbeat || !progress.probing)
            sendEntries(now, member, progress, heartbeat);
        return;
    }
    // A heartbeat is sent even if the window is full; it carries no entries then.
    if (heartbeat && progress.inFlight.size() >= kMaxInFlight)
        sendEntries(now, member, progress, true);
    const bool answers = now - progress.lastHeard < kMinElectionTimeout;
    while (answers && progress.inFlight.size() < kMaxInFlight && progress.next <= m_log.lastIndex())
        sendEntries(now, member, progress, false);
    if (now - progress.lastSent >= kControlHeartbeat)
        sendEntries(now, member, progress, true);
}

void ControlMember::Impl::sendEntries(TimePoint now, const Member &member, Progress &progress,
                                      bool heartbeat)
{
    const LogIndex previous(progress.next.value() - 1);
    AppendRequest request { previous, *m_log.termAt(previous), m_commit, now, {} };
    const bool stream = progress.mode == Progress::Mode::Stream;
    // A member that does not answer gets no entries again and again.
    const bool empty = (stream && heartbeat) || now - progress.lastHeard >= kMinElectionTimeout;
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
    progress.probing = true;
    progress.lastSent = now;
    send(member, std::move(request));
}

} // namespace shallotlever
