#include "shallotlever/policy/statement_queue.h"

#include <algorithm>
#include <utility>

namespace shallotlever {
namespace {

/// Cost assumed until the first measurement.
constexpr Duration kInitialCost = 20ms;
/// Weight of the newest sample in the moving average of the costs.
constexpr double kCostWeight = 0.1;
/// A class that can't be served for want of connections is owed no more than this multiple of a
/// statement's cost.
constexpr double kMaxCredit = 2;
/// Turns of teams are forgotten when no statement has waited for this long.
constexpr Duration kTurnMemory = 1s;
/// Share of the time until the latency objective within which a statement's turn must be expected,
/// as statements that arrive later may go first.
constexpr double kPlannedShare = 0.7;

/// Bounds the expected wait in a line that does not move.
constexpr double kMinRate = 1e-3;

/// Bounds the share of teams whose rate limits do not express their size.
constexpr double kMaxWeight = 16;

double microseconds(Duration duration)
{
    return static_cast<double>(duration.count());
}

Duration fromMicroseconds(double microseconds)
{
    return Duration(static_cast<std::int64_t>(microseconds));
}

} // namespace

double teamWeight(double rate, double smallestRate)
{
    return smallestRate > 0 ? std::clamp(rate / smallestRate, 1.0, kMaxWeight) : 1;
}

StatementQueue::GroupKey StatementQueue::groupOf(const StatementTraits &statement, bool late) const
{
    if (m_options.order == StatementOrder::Arrival)
        return { false, statement.priority, false, false };
    const bool deferred = late && statement.priority > 0;
    return { deferred, statement.priority, late, statement.replicaEligible };
}

TeamId StatementQueue::flowOf(const StatementTraits &statement) const
{
    return m_options.order == StatementOrder::Arrival ? TeamId() : statement.team;
}

StatementQueue::FlowOrder StatementQueue::orderOf(const StatementTraits &statement,
                                                  WaiterId id) const
{
    const bool byArrival = m_options.order == StatementOrder::Arrival;
    return { byArrival ? TimePoint() : statement.deadline, id };
}

/// What a team pays for the statement.
double StatementQueue::chargeFor(const Waiter &waiter) const
{
    return m_options.order == StatementOrder::FairByCount ? 1 : waiter.cost;
}

/// Any statement of the class costs at most this.
double StatementQueue::largestCost(std::uint32_t priority) const
{
    Duration largest { 0 };
    for (const StatementCostKind kind :
         { StatementCostKind::Read, StatementCostKind::Write, StatementCostKind::Transaction })
        largest = std::max(largest, expectedCost(priority, kind));
    return microseconds(largest);
}

void StatementQueue::recordCost(std::uint32_t priority, StatementCostKind kind, Duration elapsed)
{
    const auto [cost, first] = m_costs.try_emplace({ priority, kind }, elapsed);
    if (!first)
        cost->second += fromMicroseconds(kCostWeight * microseconds(elapsed - cost->second));
}

Duration StatementQueue::expectedCost(std::uint32_t priority, StatementCostKind kind) const
{
    const auto cost = m_costs.find({ priority, kind });
    return cost == m_costs.end() ? kInitialCost : cost->second;
}

/// Weight of the other teams that use up their shares.
double StatementQueue::competingWeight(const Group &group, const TeamId &team)
{
    double weight = 0;
    for (const auto &[other, turn] : group.nextTurns) {
        if (other != team && turn.start > group.virtualTime && !group.flows.contains(other))
            weight += turn.weight;
    }
    for (const auto &[other, flow] : group.flows)
        weight += other == team ? 0 : flow.weight;
    return weight;
}

/// Expected time until the turn of a statement that is added to the group now.
Duration StatementQueue::waitIn(const GroupKey &key, const StatementTraits &statement,
                                TimePoint now) const
{
    double ahead = 0;
    for (auto other = m_groups.begin(); other != m_groups.end() && other->first < key; ++other)
        ahead += other->second.cost;
    const auto found = m_groups.find(key);
    if (found == m_groups.end() || found->second.flows.empty())
        return fromMicroseconds(ahead / m_slots);
    const Group &group = found->second;
    const auto flow = group.flows.find(flowOf(statement));
    double own = 0;
    double start = group.virtualTime;
    if (flow != group.flows.end()) {
        own = flow->second.cost;
        start = flow->second.start + own / statement.weight;
    } else if (const auto next = group.nextTurns.find(statement.team);
               next != group.nextTurns.end()) {
        start = std::max(start, next->second.start);
    }
    for (const auto &[team, other] : group.flows) {
        if (team != statement.team)
            own += std::clamp((start - other.start) * other.weight, 0.0, other.cost);
    }
    const double rate = std::max(workRate(group.rate, now), kMinRate);
    // Statements of other teams that arrive later may go first.
    const double weight = competingWeight(group, statement.team) + statement.weight;
    const double turn = (start - group.virtualTime) * weight / rate;
    return fromMicroseconds(std::max({ (ahead + own) / m_slots, own / rate, turn }));
}

/// A statement that will miss its latency objective waits with the late ones from the start.
StatementQueue::Prediction StatementQueue::predict(const StatementTraits &statement,
                                                   TimePoint now) const
{
    const Duration cost = expectedCost(statement.priority, statement.kind);
    const Duration wait = waitIn(groupOf(statement, false), statement, now);
    const double planned = kPlannedShare * microseconds(statement.objective - cost - now);
    if (microseconds(wait) <= planned)
        return { false, wait };
    return { true, waitIn(groupOf(statement, true), statement, now) };
}

bool StatementQueue::enqueue(WaiterId id, const StatementTraits &statement, TimePoint now)
{
    const bool byArrival = m_options.order == StatementOrder::Arrival;
    const Duration cost = expectedCost(statement.priority, statement.kind);
    const Prediction prediction = byArrival ? Prediction() : predict(statement, now);
    if (now + prediction.wait > statement.deadline - (byArrival ? Duration(0) : cost))
        return false;
    Waiter waiter;
    waiter.statement = statement;
    waiter.cost = microseconds(cost);
    waiter.inTimeUntil = statement.objective - cost;
    waiter.feasibleUntil = statement.deadline - (byArrival ? Duration(0) : cost);
    waiter.group = groupOf(statement, prediction.late);
    if (!prediction.late)
        m_inTime.insert({ waiter.inTimeUntil, id });
    m_feasible.insert({ waiter.feasibleUntil, id });
    ++m_waitingByTeam[statement.team];
    addToGroup(id, m_waiting.insert_or_assign(id, std::move(waiter)).first->second, now);
    return true;
}

/// The group of a statement that is added. The turns of the teams outlast a short time in which no
/// statement waits.
StatementQueue::Group &StatementQueue::activeGroup(const Waiter &waiter, TimePoint now)
{
    Group &group = m_groups[waiter.group];
    if (group.flows.empty() && now >= group.usedAt + kTurnMemory) {
        group = {};
        group.rate = makeServiceRate(m_slots, now);
    } else if (group.flows.empty()) {
        group.rate.updatedAt = now;
    }
    group.usedAt = now;
    return group;
}

void StatementQueue::addToGroup(WaiterId id, const Waiter &waiter, TimePoint now)
{
    Group &group = activeGroup(waiter, now);
    const TeamId team = flowOf(waiter.statement);
    const auto [flow, started] = group.flows.try_emplace(team);
    if (started) {
        const auto next = group.nextTurns.find(team);
        const double earliest = next == group.nextTurns.end() ? 0 : next->second.start;
        flow->second.weight = waiter.statement.weight;
        flow->second.start = std::max(group.virtualTime, earliest);
    }
    flow->second.waiting.insert(orderOf(waiter.statement, id));
    flow->second.cost += waiter.cost;
    group.cost += waiter.cost;
}

void StatementQueue::removeFromGroup(WaiterId id, const Waiter &waiter)
{
    const auto group = m_groups.find(waiter.group);
    const auto flow = group->second.flows.find(flowOf(waiter.statement));
    flow->second.waiting.erase(orderOf(waiter.statement, id));
    flow->second.cost -= waiter.cost;
    group->second.cost -= waiter.cost;
    if (flow->second.waiting.empty())
        group->second.flows.erase(flow);
    if (group->second.flows.empty())
        group->second.cost = 0;
}

void StatementQueue::remove(WaiterId id)
{
    const auto found = m_waiting.find(id);
    const Waiter &waiter = found->second;
    removeFromGroup(id, waiter);
    m_inTime.erase({ waiter.inTimeUntil, id });
    m_feasible.erase({ waiter.feasibleUntil, id });
    const auto count = m_waitingByTeam.find(waiter.statement.team);
    if (--count->second == 0) {
        m_heldBackSince.erase(count->first);
        m_waitingByTeam.erase(count);
    }
    m_waiting.erase(found);
}

void StatementQueue::cancel(WaiterId id)
{
    if (m_waiting.contains(id))
        remove(id);
}

void StatementQueue::recordFreeSlot(TimePoint now)
{
    for (auto &[key, group] : m_groups) {
        group.rate = makeServiceRate(m_slots, now);
        group.nextTurns.clear();
    }
}

/// Puts the statements that can't meet their latency objective any more behind those that can.
void StatementQueue::moveLate(TimePoint now)
{
    while (!m_inTime.empty() && m_inTime.begin()->first < now) {
        const WaiterId id = m_inTime.begin()->second;
        m_inTime.erase(m_inTime.begin());
        Waiter &waiter = m_waiting.at(id);
        removeFromGroup(id, waiter);
        waiter.group = groupOf(waiter.statement, true);
        const bool feasible = m_options.order == StatementOrder::Arrival
            || now + waitIn(waiter.group, waiter.statement, now) <= waiter.feasibleUntil;
        addToGroup(id, waiter, now);
        if (!feasible)
            m_refused.push_back(id);
    }
}

std::vector<WaiterId> StatementQueue::takeInfeasible(TimePoint now)
{
    moveLate(now);
    std::vector<WaiterId> infeasible;
    for (const WaiterId id : std::exchange(m_refused, {})) {
        if (!m_waiting.contains(id))
            continue;
        infeasible.push_back(id);
        remove(id);
    }
    while (!m_feasible.empty() && m_feasible.begin()->first < now) {
        infeasible.push_back(m_feasible.begin()->second);
        remove(infeasible.back());
    }
    return infeasible;
}

void StatementQueue::noteHeldBack(const std::set<TeamId> &ready, TimePoint now)
{
    for (const auto &[team, waiting] : m_waitingByTeam) {
        if (ready.contains(team))
            m_heldBackSince.erase(team);
        else
            m_heldBackSince.try_emplace(team, now);
    }
}

std::vector<TeamId> StatementQueue::overdueTeams(TimePoint now) const
{
    const bool overdue =
        std::any_of(m_heldBackSince.begin(), m_heldBackSince.end(),
                    [now](const auto &held) { return now >= held.second + kMaxHeldBack; });
    std::vector<TeamId> teams;
    if (!overdue)
        return teams;
    for (const WaitingTeam &demand : waitingByTeam()) {
        const auto held = m_heldBackSince.find(demand.team);
        if (held != m_heldBackSince.end() && now >= held->second + kMaxHeldBack)
            teams.push_back(demand.team);
    }
    return teams;
}

/// The group's teams by the start of their next statement.
std::vector<std::pair<double, TeamId>> StatementQueue::turnsOfTeams(const Group &group) const
{
    std::vector<std::pair<double, TeamId>> order;
    for (const auto &[team, flow] : group.flows)
        order.emplace_back(flow.start, team);
    std::sort(order.begin(), order.end());
    return order;
}

std::vector<WaitingTeam> StatementQueue::waitingByTeam() const
{
    std::vector<WaitingTeam> demands;
    std::set<TeamId> seen;
    for (const GroupKey &key : turns()) {
        const Group &group = m_groups.at(key);
        for (const auto &[start, flow] : turnsOfTeams(group)) {
            for (const FlowOrder &order : group.flows.at(flow).waiting) {
                const TeamId &team = m_waiting.at(order.id).statement.team;
                if (seen.insert(team).second)
                    demands.push_back({ team, m_waitingByTeam.at(team) });
                if (m_options.order != StatementOrder::Arrival)
                    break;
            }
        }
    }
    return demands;
}

bool StatementQueue::isPaidFor(std::uint32_t priority) const
{
    const auto credit = m_credits.find(priority);
    return credit != m_credits.end() && credit->second >= largestCost(priority);
}

/// Groups in the order in which they are served: those of classes whose credit pays for a
/// statement, then the others.
std::vector<StatementQueue::GroupKey> StatementQueue::turns() const
{
    std::vector<GroupKey> keys;
    for (const auto &[key, group] : m_groups) {
        if (!group.flows.empty())
            keys.push_back(key);
    }
    std::stable_partition(keys.begin(), keys.end(),
                          [this](const GroupKey &key) { return isPaidFor(key.priority); });
    return keys;
}

/// Credits the classes that wait behind the first one with their share of the work that another one
/// was given.
void StatementQueue::shareCredit(std::uint32_t served, double cost)
{
    std::set<std::uint32_t> lower;
    for (const GroupKey &key : turns())
        lower.insert(key.priority);
    lower.erase(lower.begin());
    std::erase_if(m_credits, [&](const auto &credit) { return !lower.contains(credit.first); });
    if (m_options.order == StatementOrder::Arrival)
        return;
    for (const std::uint32_t priority : lower) {
        double &credit = m_credits[priority];
        const double share = m_options.lowerClassesShare * cost / static_cast<double>(lower.size());
        credit = priority == served ? std::max(credit - cost, 0.0)
                                    : std::min(credit + share, kMaxCredit * largestCost(priority));
    }
}

/// The first statement of the ready team whose turn is next.
std::optional<WaiterId> StatementQueue::nextOf(const Group &group,
                                               const std::set<TeamId> &ready) const
{
    const Flow *next = nullptr;
    for (const auto &[team, flow] : group.flows) {
        if (m_options.order == StatementOrder::Arrival) {
            for (const FlowOrder &order : flow.waiting) {
                if (ready.contains(m_waiting.at(order.id).statement.team))
                    return order.id;
            }
        } else if (ready.contains(team) && (next == nullptr || flow.start < next->start)) {
            next = &flow;
        }
    }
    return next == nullptr ? std::nullopt : std::optional(next->waiting.begin()->id);
}

/// Start-time fair queueing: a team that was served is next when each other one has had its share.
void StatementQueue::recordTurn(const Waiter &waiter, TimePoint now)
{
    Group &group = m_groups.at(waiter.group);
    const TeamId team = flowOf(waiter.statement);
    Flow &flow = group.flows.at(team);
    group.virtualTime = std::max(group.virtualTime, flow.start);
    group.usedAt = now;
    flow.start += chargeFor(waiter) / flow.weight;
    group.nextTurns[team] = { flow.start, flow.weight };
    recordWork(group.rate, waiter.cost, now);
    shareCredit(waiter.group.priority, waiter.cost);
}

std::optional<WaiterId> StatementQueue::next(const std::set<TeamId> &ready, TimePoint now)
{
    moveLate(now);
    noteHeldBack(ready, now);
    for (const GroupKey &key : turns()) {
        const std::optional<WaiterId> id = nextOf(m_groups.at(key), ready);
        if (!id)
            continue;
        recordTurn(m_waiting.at(*id), now);
        remove(*id);
        return id;
    }
    return std::nullopt;
}

} // namespace shallotlever
