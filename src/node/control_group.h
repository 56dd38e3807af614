#pragma once

#include <functional>
#include <map>
#include <memory>

#include <QObject>

#include "absl/status/statusor.h"
#include "shallotlever/config/codec.h"
#include "shallotlever/control/member.h"
#include "shallotlever/storage/storage_thread.h"

namespace shallotlever {

struct ControlGroupOptions
{
    std::string dataDirectory;
    ControlOptions member;
};

/// Runs this VM's member of the control group: sends its messages, persists its writes and applies
/// committed commands. All functions must be called on the control thread.
class ControlGroup
{
public:
    struct Callbacks
    {
        std::function<void(const NodeId &to, std::string payload)> send;
        /// A command has been applied to state().
        std::function<void(const Command &, const ChangeResult &, LogIndex)> applied;
        /// The disk became full, or has room again. While it is full, this member confirms nothing
        /// new; the others may go on without it.
        std::function<void(bool full)> diskFullChanged;
        /// A write became durable late. Heartbeats and votes are answered only then.
        std::function<void(Duration delay)> writeDelayed;
        /// Storage failed; the member has stopped and the process must exit.
        std::function<void(const absl::Status &)> failed;
    };
    /// Receives the result, or an error if the proposal was lost in a change of leader.
    using ProposalCallback = std::function<void(absl::StatusOr<ChangeResult>)>;

    static absl::StatusOr<std::unique_ptr<ControlGroup>> open(const ControlGroupOptions &options,
                                                              Callbacks callbacks, TimePoint now);

    void tick(TimePoint now);
    /// Adds another member of the group, or a node that may become its leader.
    void addDiscoveredPeer(const NodeId &peer) { m_member->addDiscoveredPeer(peer); }
    void receive(const std::string &payload, TimePoint now);
    void propose(const Command &command, std::int64_t wallTimeMs, ProposalCallback callback,
                 TimePoint now);

    /// True if this member leads with a lease and has applied everything committed before its term.
    /// Only then is state() known to be the newest state.
    bool isController(TimePoint now) const;
    const ReplicatedState &state() const { return m_state; }
    const ControlMember &member() const { return *m_member; }
    bool transferLeadership(TimePoint now);

private:
    struct PendingProposal
    {
        ControlTerm term;
        ProposalCallback callback;
    };

    explicit ControlGroup(Callbacks callbacks);
    absl::Status start(const ControlGroupOptions &options, TimePoint now);
    void processReady(TimePoint now);
    void submitWrite(DurableWrite write, TimePoint now);
    void handlePersisted(std::uint64_t sequence, TimePoint now);
    void applyEntry(const LogEntry &entry);
    void answerProposal(const LogEntry &entry, const ChangeResult &result);
    void compactIfDue();

    Callbacks m_callbacks;
    ReplicatedState m_state;
    std::map<LogIndex, PendingProposal> m_pendingProposals;
    ControlTerm m_lastAppliedTerm;
    /// When the writes that are not durable yet were submitted, by sequence.
    std::map<std::uint64_t, TimePoint> m_outstandingWrites;
    std::unique_ptr<ControlMember> m_member;
    /// Context object for completions from the storage thread.
    std::unique_ptr<QObject> m_context = std::make_unique<QObject>();
    std::unique_ptr<StorageThread> m_storage;
};

} // namespace shallotlever
