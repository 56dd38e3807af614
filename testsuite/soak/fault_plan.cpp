#include "fault_plan.h"

#include <algorithm>
#include <array>
#include <random>

namespace shallotlever::soak {

namespace {

using Milliseconds = std::chrono::milliseconds;

constexpr RunTime kFirstFault { 8000 };
/// Upper bound of the time until killed processes start again.
constexpr Milliseconds kMaxBack { 900 };
constexpr Milliseconds kMinBack { 600 };
constexpr Milliseconds kBetweenKills { 26'000 };
constexpr Milliseconds kStopGap { 1200 };
constexpr Milliseconds kBackAfterStop { 500 };
/// From SIGTERM until the process runs again, at most.
constexpr Milliseconds kStopTime { 7000 };
constexpr Milliseconds kConfigGap { 500 };
constexpr Milliseconds kFreezeGap { 150 };
constexpr Milliseconds kFreezeTime { 700 };
constexpr int kFreezes = 60;
constexpr int kConfigsOfAStorm = 10;
/// Free of unplanned faults, before and after a series of stops.
constexpr Milliseconds kCalm { 6000 };
constexpr Milliseconds kBeforeConfigAtFault { 150 };

// Of the plan that disturbs deciders.
constexpr Milliseconds kRoundTime { 14'000 };
/// In this part of a round, the replacements of primaries are usually decided.
constexpr Milliseconds kDecisionStart { 1000 };
constexpr Milliseconds kDecisionEnd { 4500 };
constexpr Milliseconds kSpread { 2000 };
constexpr Milliseconds kMaxDisturbance { 7000 };
constexpr Milliseconds kMinDark { 3000 };
constexpr Milliseconds kMaxDark { 8000 };
constexpr Milliseconds kMinRestart { 300 };
constexpr Milliseconds kMaxRestart { 1500 };
constexpr Milliseconds kMinPause { 1000 };
constexpr Milliseconds kMaxPause { 4000 };
constexpr Milliseconds kMinSlow { 200 };
constexpr Milliseconds kMaxSlow { 1500 };
constexpr Milliseconds kMinCut { 3000 };
constexpr int kCutControllerPercent = 50;
constexpr int kLeavingPercent = 30;
constexpr int kDeafPercent = 50;
constexpr int kRestartPercent = 40;
constexpr int kKillPercent = 25;

class Planner
{
public:
    explicit Planner(const SoakOptions &options)
        : m_options(options)
        , m_random(options.seed)
    {
    }

    void wait(Milliseconds time) { m_now += time; }

    void killControl()
    {
        for (const NodeRef &node : controlMembers())
            kill(node, FaultKind::Kill);
        m_now += kMaxBack;
    }

    void killAll(int membersLosingData)
    {
        // The last configuration is accepted, or just under way, when everything ends.
        add(m_now - kBeforeConfigAtFault, FaultKind::InstallConfig, {}, {});
        std::vector<NodeRef> members = controlMembers();
        std::shuffle(members.begin(), members.end(), m_random);
        for (const NodeRef &node : members)
            kill(node, membersLosingData-- > 0 ? FaultKind::KillAndLoseData : FaultKind::Kill);
        for (const NodeRef &node : fronts())
            kill(node, FaultKind::Kill);
        m_now += kMaxBack;
    }

    void roll()
    {
        m_now += kCalm;
        std::vector<NodeRef> nodes = fronts();
        std::shuffle(nodes.begin(), nodes.end(), m_random);
        // A control member in each fourth step, one at a time.
        for (std::size_t i = 0; i < nodes.size(); i += 2, m_now += kStopGap) {
            add(m_now, FaultKind::Stop, nodes[i], kBackAfterStop);
            if (i + 1 < nodes.size())
                add(m_now, FaultKind::Stop, nodes[i + 1], kBackAfterStop);
            if (i % 8 == 6)
                add(m_now, FaultKind::Stop, controlMembers()[(i / 8) % controlMembers().size()],
                    kBackAfterStop);
            add(m_now + kConfigGap, FaultKind::InstallConfig, {}, {});
        }
        m_now += kStopTime;
    }

    void configStorm()
    {
        for (int i = 0; i < kConfigsOfAStorm; ++i, m_now += kConfigGap)
            add(m_now, FaultKind::InstallConfig, {}, {});
    }

    void freezeInTurns()
    {
        std::vector<NodeRef> nodes = controlMembers();
        for (const NodeRef &node : fronts())
            nodes.push_back(node);
        for (int i = 0; i < kFreezes; ++i, m_now += kFreezeGap)
            add(m_now, FaultKind::Freeze, nodes[m_random() % nodes.size()], kFreezeTime);
        m_now += kFreezeTime;
    }

    void mix()
    {
        const int first = pick(4);
        if (first == 0)
            killControl();
        else if (first == 1)
            freezeInTurns();
        else if (first == 2)
            configStorm();
        roll();
        const int second = pick(3);
        if (second == 0)
            killControl();
        else if (second == 1)
            configStorm();
        m_now += Milliseconds(pick(3000));
        const int last = pick(4);
        if (last == 0)
            killControl();
        else
            killAll(last == 1 ? m_options.toleratedLosses : 0);
    }

    void disturbDeciders()
    {
        for (int round = 0; round < m_options.rounds; ++round, m_now += kRoundTime) {
            for (int service = 0; service < m_options.services; ++service)
                replacePrimary(static_cast<std::size_t>(service));
            disturbController(m_now + between(kDecisionStart, kDecisionEnd));
            if (chance(kCutControllerPercent))
                cutController(m_now + between(Milliseconds(0), kDecisionStart));
            else
                disturbPlatform(m_now + between(Milliseconds(0), kDecisionStart));
        }
    }

    FaultPlan plan()
    {
        std::stable_sort(m_plan.faults.begin(), m_plan.faults.end(),
                         [](const Fault &a, const Fault &b) { return a.at < b.at; });
        for (const Fault &fault : m_plan.faults) {
            if (fault.kind != FaultKind::InstallConfig)
                m_plan.lastFaultAt = std::max(m_plan.lastFaultAt, fault.at);
        }
        m_plan.allBackAt = m_now;
        breakIfAsked();
        return m_plan;
    }

private:
    int pick(int bound) { return static_cast<int>(m_random() % static_cast<unsigned>(bound)); }

    void add(RunTime at, FaultKind kind, const NodeRef &node, Milliseconds duration)
    {
        m_plan.faults.push_back({ at, kind, node, duration });
    }

    bool chance(int percent) { return pick(100) < percent; }

    Milliseconds between(Milliseconds least, Milliseconds most)
    {
        return least + Milliseconds(pick(static_cast<int>((most - least).count())));
    }

    void addDatabaseFault(RunTime at, DatabaseFault kind, std::size_t service,
                          Milliseconds duration)
    {
        Fault fault { at, FaultKind::Database, {}, duration };
        fault.database = kind;
        fault.service = service;
        fault.choice = m_random();
        m_plan.faults.push_back(fault);
    }

    /// The primary of a service ends, and at about the same time some of its replicas are
    /// disturbed.
    void replacePrimary(std::size_t service)
    {
        const RunTime at = m_now + between(Milliseconds(0), kSpread);
        if (chance(kDeafPercent))
            addDatabaseFault(at - between(Milliseconds(0), kSpread), DatabaseFault::DeafReplica,
                             service, between(kSpread, kMaxDisturbance));
        if (chance(kLeavingPercent))
            addDatabaseFault(at, DatabaseFault::LeavingPrimary, service, {});
        else
            addDatabaseFault(at, DatabaseFault::DarkPrimary, service, between(kMinDark, kMaxDark));
        if (chance(kRestartPercent))
            addDatabaseFault(at + between(Milliseconds(0), kMaxDisturbance),
                             DatabaseFault::DarkReplica, service,
                             between(kMinRestart, kMaxRestart));
        else if (chance(kLeavingPercent))
            addDatabaseFault(at + between(Milliseconds(0), kSpread), DatabaseFault::LeavingReplica,
                             service, {});
    }

    void disturbController(RunTime at)
    {
        if (chance(kKillPercent))
            add(at, FaultKind::KillController, {}, between(kMinBack, kMaxBack));
        else
            add(at, FaultKind::FreezeController, {}, between(kMinPause, kMaxPause));
    }

    /// What the controller sends is held up, and it is suspended while promotions are due.
    void cutController(RunTime at)
    {
        add(at, FaultKind::CutController, {}, between(kMinCut, kMaxDisturbance));
        disturbController(m_now + between(kDecisionStart, kDecisionEnd));
    }

    void disturbPlatform(RunTime at)
    {
        constexpr std::array kKinds { FaultKind::PlatformSlow, FaultKind::PlatformDown,
                                      FaultKind::PlatformCutOff };
        const FaultKind kind = kKinds[static_cast<std::size_t>(pick(kKinds.size()))];
        Fault fault { at, kind, {}, between(kSpread, kMaxDisturbance) };
        fault.delay = between(kMinSlow, kMaxSlow);
        m_plan.faults.push_back(fault);
    }

    void kill(const NodeRef &node, FaultKind kind)
    {
        const auto spread = static_cast<int>((kMaxBack - kMinBack).count());
        add(m_now, kind, node, kMinBack + Milliseconds(pick(spread)));
    }

    static std::vector<NodeRef> nodes(NodeRole role, int count)
    {
        std::vector<NodeRef> nodes;
        for (int i = 0; i < count; ++i)
            nodes.push_back({ role, static_cast<std::size_t>(i) });
        return nodes;
    }

    std::vector<NodeRef> controlMembers() const
    {
        return nodes(NodeRole::Control, m_options.controlMembers);
    }

    std::vector<NodeRef> fronts() const { return nodes(NodeRole::Front, m_options.fronts); }

    void breakIfAsked()
    {
        constexpr Milliseconds kNever = std::chrono::hours(1);
        for (Fault &fault : m_plan.faults) {
            if (m_options.broken == BrokenVariant::NoRecovery && fault.at == m_plan.lastFaultAt
                && fault.node.role == NodeRole::Control)
                fault.duration = kNever;
        }
    }

    SoakOptions m_options;
    std::mt19937_64 m_random;
    RunTime m_now = kFirstFault;
    FaultPlan m_plan;
};

} // namespace

FaultPlan makeFaultPlan(const SoakOptions &options)
{
    Planner planner(options);
    switch (options.plan) {
    case PlanKind::KillAll:
        planner.killAll(0);
        break;
    case PlanKind::KillAllLoseTwo:
        planner.killAll(options.toleratedLosses);
        break;
    case PlanKind::KillControl:
        planner.killControl();
        break;
    case PlanKind::KillControlThenAll:
        planner.killControl();
        planner.wait(kBetweenKills);
        planner.killAll(options.toleratedLosses);
        break;
    case PlanKind::Roll:
        planner.roll();
        planner.roll();
        break;
    case PlanKind::FreezeThenKillAll:
        planner.freezeInTurns();
        planner.killAll(0);
        break;
    case PlanKind::Deciders:
        planner.disturbDeciders();
        break;
    case PlanKind::Mixed:
        planner.mix();
        break;
    }
    return planner.plan();
}

bool isUnplanned(FaultKind kind)
{
    return kind == FaultKind::Kill || kind == FaultKind::KillAndLoseData
        || kind == FaultKind::Freeze || kind == FaultKind::KillController
        || kind == FaultKind::FreezeController || kind == FaultKind::Database;
}

} // namespace shallotlever::soak
