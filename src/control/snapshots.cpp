#include <algorithm>

#include "member_impl.h"

namespace shallotlever {
namespace {

/// Limits the memory that a peer can claim by announcing an excessive size.
constexpr std::uint64_t kMaxSnapshotBytes = 1ULL << 30U;

} // namespace

absl::Status ControlMember::Impl::compact(LogIndex index, std::string state)
{
    if (index > m_appliedIndex || index <= m_log.snapshotIndex() || index < m_log.baseIndex())
        return absl::InvalidArgumentError(
            "snapshot index is not after the last one, or not applied");
    if (m_unsavedLogReset)
        return absl::FailedPreconditionError("a snapshot from the leader is being stored");
    auto snapshot = std::make_shared<ControlSnapshot>();
    snapshot->index = index;
    snapshot->term = *m_log.termAt(index);
    snapshot->membership = m_log.membershipAt(index);
    snapshot->data = std::move(state);
    m_log.setSnapshot(snapshot);
    m_unsavedSnapshot = std::move(snapshot);
    const std::uint64_t kept = std::min(m_options.retainedEntries, index.value());
    // Entries that have not been handed out for writing are retained.
    m_log.discardUpTo(LogIndex(std::min(index.value() - kept, m_unsavedFrom.value() - 1)));
    return absl::OkStatus();
}

void ControlMember::Impl::startSnapshot(Progress &progress)
{
    progress.mode = Progress::Mode::Snapshot;
    progress.snapshot = m_log.snapshot();
    progress.snapshotOffset = 0;
    progress.chunkInFlight = false;
    progress.inFlight.clear();
}

void ControlMember::Impl::sendChunk(TimePoint now, const Member &member, Progress &progress)
{
    const ControlSnapshot &snapshot = *progress.snapshot;
    SnapshotChunk chunk { snapshot.index,
                          snapshot.term,
                          snapshot.membership,
                          progress.snapshotOffset,
                          snapshot.data.size(),
                          now,
                          {} };
    // Data is not sent repeatedly to a member that does not reply.
    if (now - progress.lastReplyAt < kMinElectionTimeout)
        chunk.data = snapshot.data.substr(progress.snapshotOffset, m_options.snapshotChunkBytes);
    progress.chunkInFlight = true;
    progress.lastSentAt = now;
    send(member, std::move(chunk));
}

void ControlMember::Impl::handle(TimePoint now, const ControlMessage &m, const SnapshotChunk &chunk)
{
    SnapshotReply reply { chunk.index, 0, chunk.sentAt };
    if (followLeader(now, m)) {
        if (chunk.index <= m_commitIndex)
            reply.offset = chunk.totalBytes + 1;
        else
            reply.offset = collectChunk(chunk);
    }
    send(m.from, reply);
}

std::uint64_t ControlMember::Impl::collectChunk(const SnapshotChunk &chunk)
{
    if (chunk.totalBytes > kMaxSnapshotBytes)
        return 0;
    if (!m_incomingSnapshot || m_incomingSnapshot->index != chunk.index
        || m_incomingSnapshot->term != chunk.snapshotTerm) {
        m_incomingSnapshot = std::make_shared<ControlSnapshot>();
        m_incomingSnapshot->index = chunk.index;
        m_incomingSnapshot->term = chunk.snapshotTerm;
        m_incomingSnapshot->membership = chunk.membership;
    }
    if (chunk.offset != m_incomingSnapshot->data.size())
        return m_incomingSnapshot->data.size();
    m_incomingSnapshot->data += chunk.data;
    if (m_incomingSnapshot->data.size() < chunk.totalBytes)
        return m_incomingSnapshot->data.size();
    installSnapshot(std::exchange(m_incomingSnapshot, nullptr));
    return chunk.totalBytes + 1;
}

void ControlMember::Impl::installSnapshot(ControlSnapshotPtr snapshot)
{
    if (m_log.termAt(snapshot->index) == snapshot->term) {
        // The log already contains all entries that the snapshot covers.
        m_commitIndex = std::max(m_commitIndex, snapshot->index);
        return;
    }
    m_commitIndex = snapshot->index;
    m_appliedIndex = snapshot->index;
    m_durableIndex = LogIndex();
    m_unsavedFrom = snapshot->index.next();
    m_unsavedSnapshot = snapshot;
    m_unsavedLogReset = true;
    m_snapshotToRestore = snapshot;
    m_log.reset(std::move(snapshot));
}

void ControlMember::Impl::handle(TimePoint now, const ControlMessage &m, const SnapshotReply &reply)
{
    if (m.term != m_hardState.term)
        return;
    Progress *progress = recordReply(now, m.from, reply.sentAt);
    if (progress == nullptr || progress->mode != Progress::Mode::Snapshot
        || progress->snapshot->index != reply.index)
        return;
    progress->chunkInFlight = false;
    if (reply.offset <= progress->snapshot->data.size()) {
        progress->snapshotOffset = reply.offset;
        return;
    }
    // An offset past the end means that the member has stored the snapshot durably.
    progress->match = std::max(progress->match, reply.index);
    progress->next = progress->match.next();
    progress->mode = Progress::Mode::Probe;
    progress->probeInFlight = false;
    progress->snapshot.reset();
    advanceCommit();
}

} // namespace shallotlever
