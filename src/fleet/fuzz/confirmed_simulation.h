#pragma once

#include <optional>
#include <string>

#include "confirmed_group.h"
#include "shallotlever/fleet/confirmed_change.h"
#include "shallotlever/fleet/group_members.h"

/// Drives the change of primary of a group whose databases confirm commits themselves: databases
/// that are suspected, leave, crash and start again with or without their log, promotions that are
/// refused, late or unanswered, lost calls and answers, controllers that lose their memory.
namespace shallotlever::fuzz {

/// Each breaks one rule; the run must then report a violation.
enum class ConfirmedVariant {
    None,
    /// The controller does not look at the logs of replicas that are suspected or leaving.
    SkipUnusable,
    /// The controller treats members that it has not heard of as absent.
    UnheardIsAbsent,
    /// Fenced replicas go on receiving.
    IgnoreFence,
};
std::optional<ConfirmedVariant> confirmedVariantFromName(const std::string &name);

class ConfirmedSimulation
{
public:
    ConfirmedSimulation(std::uint64_t seed, ConfirmedVariant variant);

    void stepWithFailures();
    /// Ends all failures and runs until the group has a primary, for at most a minute. Returns
    /// whether it has one.
    bool healAndRecover();
    const std::vector<std::string> &violations() const { return m_group.violations; }
    std::size_t acknowledged() const { return m_group.acknowledged.size(); }
    std::size_t changes() const { return m_changes; }
    std::size_t refusals() const { return m_refusals; }
    /// Promotions of a database that was suspected or leaving when the order was given.
    std::size_t unusablePromoted() const { return m_unusablePromoted; }

private:
    /// What the controller knows of a database by its announcements.
    struct Announced
    {
        Incarnation incarnation;
        UpstreamState state = UpstreamState::Live;
        bool leaving = false;
    };
    struct Order
    {
        /// The process that ran when the order was given. One that replaced it is refused: an order
        /// that names only an id can't be kept from a process that starts empty while it is sent.
        MemberId process;
        Term epoch;
        /// When the platform receives the order; it takes effect later.
        TimePoint dueAt;
        bool received = false;
    };

    bool chance(std::uint64_t perMille);
    UpstreamId anyDatabase();
    /// Whether a database that starts again has its log. A former primary has it while it is being
    /// replaced: if it started empty and received from a promoted database that ends before it is
    /// published, its log would pass for the one that it had (docs/proofs.md).
    bool keepsLog(const UpstreamId &id);
    void injectFailure();
    void announceAll();
    ConfirmedInput makeInput() const;
    void execute(const ConfirmedAction &action);
    void applyDecision(const GroupDecision &decision);
    /// Returns whether the call reached the database.
    bool reaches(const UpstreamId &id);
    void answer(const UpstreamId &id);
    void stepPlatform();
    /// Returns whether the order has ended.
    bool advanceOrder(Order &order);
    void stepNodes();
    void stepController();
    void step();

    ConfirmedVariant m_variant;
    Random m_random;
    TimePoint m_now { std::chrono::seconds(100) };
    ConfirmingGroup m_group;
    std::map<UpstreamId, Announced> m_announced;
    std::set<UpstreamId> m_unreachable;
    bool m_faulty = true;
    /// The controller's state, lost with it, and the group's in the control log.
    ConfirmedChange m_change;
    MemberProgress m_memberProgress;
    std::map<UpstreamId, std::pair<UpstreamStatus, TimePoint>> m_statuses;
    std::map<UpstreamId, Incarnation> m_statusOf;
    Term m_ownReserved;
    TimePoint m_electedAt;
    GroupState m_state;
    /// The primary that nodes send commits to.
    std::optional<UpstreamId> m_used;
    UpstreamId m_lastUsed;
    TimePoint m_lastUsedAt;
    std::vector<Order> m_orders;
    std::size_t m_changes = 0;
    std::size_t m_refusals = 0;
    std::size_t m_unusablePromoted = 0;
};

} // namespace shallotlever::fuzz
