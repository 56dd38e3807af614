#include "control_group.h"

#include "shallotlever/base/clock.h"
#include "shallotlever/control/codec.h"
#include "tick_schedule.h"

namespace shallotlever {

namespace {

/// Log entries between snapshots. Replaying this many at startup takes well under a second.
constexpr std::uint64_t kEntriesPerSnapshot = 512;

} // namespace

ControlGroup::ControlGroup(Callbacks callbacks)
    : m_callbacks(std::move(callbacks))
    , m_state(initialState())
{
}

absl::StatusOr<std::unique_ptr<ControlGroup>> ControlGroup::open(const ControlGroupOptions &options,
                                                                 Callbacks callbacks, TimePoint now)
{
    std::unique_ptr<ControlGroup> group(new ControlGroup(std::move(callbacks)));
    const absl::Status status = group->start(options, now);
    if (!status.ok())
        return status;
    return group;
}

absl::Status ControlGroup::start(const ControlGroupOptions &options, TimePoint now)
{
    auto directory = DataDirectory::open(options.dataDirectory);
    if (!directory.ok())
        return directory.status();
    RecoveredState recovered = (*directory)->takeRecovered();
    if (recovered.snapshot) {
        absl::StatusOr<ReplicatedState> state = decodeState(recovered.snapshot->data);
        if (!state.ok())
            return state.status();
        m_state = std::move(*state);
    }
    auto member = ControlMember::create(now, options.member, std::move(recovered));
    if (!member.ok())
        return member.status();
    m_member = std::move(*member);
    m_storage = StorageThread::create(
        std::move(*directory),
        [this](std::uint64_t sequence, const absl::Status &status) {
            QMetaObject::invokeMethod(
                m_context.get(),
                [this, sequence, status] {
                    if (!status.ok()) {
                        m_callbacks.failed(status);
                        return;
                    }
                    handlePersisted(sequence, monotonicNow());
                },
                Qt::QueuedConnection);
        },
        [this](bool full) {
            QMetaObject::invokeMethod(
                m_context.get(), [this, full] { m_callbacks.diskFullChanged(full); },
                Qt::QueuedConnection);
        });
    processReady(now);
    return absl::OkStatus();
}

void ControlGroup::tick(TimePoint now)
{
    m_member->tick(now);
    processReady(now);
}

void ControlGroup::receive(const std::string &payload, TimePoint now)
{
    const absl::StatusOr<ControlMessage> message = decodeControlMessage(payload);
    if (!message.ok())
        return;
    m_member->receive(now, *message);
    processReady(now);
}

void ControlGroup::propose(const Command &command, std::int64_t wallTimeMs,
                           ProposalCallback callback, TimePoint now)
{
    const auto proposal = m_member->propose(now, encodeCommand({ command, wallTimeMs }));
    if (!proposal.ok()) {
        callback(proposal.status());
        return;
    }
    m_pendingProposals.insert_or_assign(proposal->index,
                                        PendingProposal { proposal->term, std::move(callback) });
    processReady(now);
}

bool ControlGroup::isController(TimePoint now) const
{
    return m_member->role() == ControlRole::Leader && m_member->holdsLease(now)
        && m_lastAppliedTerm == m_member->term();
}

bool ControlGroup::transferLeadership(TimePoint now)
{
    const bool transferred = m_member->transferLeadership(now);
    processReady(now);
    return transferred;
}

void ControlGroup::processReady(TimePoint now)
{
    for (ControlReady ready = m_member->takeReady(now); !ready.empty();
         ready = m_member->takeReady(now)) {
        if (!ready.write.empty())
            submitWrite(std::move(ready.write), now);
        for (const ControlMessage &message : ready.messages)
            m_callbacks.send(message.to.node, encodeControlMessage(message));
        if (ready.restore) {
            if (auto state = decodeState(ready.restore->data); state.ok())
                m_state = std::move(*state);
        }
        for (const LogEntry &entry : ready.committed)
            applyEntry(entry);
    }
    compactIfDue();
}

void ControlGroup::submitWrite(DurableWrite write, TimePoint now)
{
    m_outstandingWrites.emplace(write.sequence, now);
    m_storage->submit(std::move(write));
}

void ControlGroup::handlePersisted(std::uint64_t sequence, TimePoint now)
{
    const auto end = m_outstandingWrites.upper_bound(sequence);
    if (end != m_outstandingWrites.begin()) {
        if (const auto delay = loggedDelay(m_outstandingWrites.begin()->second, now))
            m_callbacks.writeDelayed(*delay);
    }
    m_outstandingWrites.erase(m_outstandingWrites.begin(), end);
    m_member->persisted(now, sequence);
    processReady(now);
}

void ControlGroup::applyEntry(const LogEntry &entry)
{
    m_lastAppliedTerm = entry.term;
    if (entry.kind != EntryKind::Data) {
        answerProposal(entry, {});
        return;
    }
    const absl::StatusOr<LoggedCommand> logged = decodeCommand(entry.data);
    if (!logged.ok())
        return;
    const ChangeResult result =
        applyCommand(m_state, logged->command, entry.index, logged->wallTimeMs);
    answerProposal(entry, result);
    m_callbacks.applied(logged->command, result, entry.index);
}

void ControlGroup::answerProposal(const LogEntry &entry, const ChangeResult &result)
{
    const auto pending = m_pendingProposals.find(entry.index);
    if (pending == m_pendingProposals.end())
        return;
    const PendingProposal proposal = std::move(pending->second);
    m_pendingProposals.erase(pending);
    if (proposal.term == entry.term)
        proposal.callback(result);
    else
        proposal.callback(absl::AbortedError("another leader's entry took the place"));
}

void ControlGroup::compactIfDue()
{
    const LogIndex applied = m_member->appliedIndex();
    if (applied.value() < m_member->snapshotIndex().value() + kEntriesPerSnapshot)
        return;
    if (m_member->compact(applied, encodeState(m_state)).ok()) {
        const TimePoint now = monotonicNow();
        ControlReady ready = m_member->takeReady(now);
        if (!ready.write.empty())
            submitWrite(std::move(ready.write), now);
        for (const ControlMessage &message : ready.messages)
            m_callbacks.send(message.to.node, encodeControlMessage(message));
    }
}

} // namespace shallotlever
