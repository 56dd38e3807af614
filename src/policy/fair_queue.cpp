#include "shallotlever/policy/fair_queue.h"

#include <algorithm>
#include <cmath>

namespace shallotlever {
namespace {

/// Deficit that a flow gains per round: the cost of one average request.
constexpr double kQuantum = 1;
/// Limits the cost of a request and so the number of rounds it waits for its deficit.
constexpr double kMaxCost = 4;
/// Weight of the newest sample in the moving average of the service time.
constexpr double kServiceTimeWeight = 0.1;
/// Minimum number of slots for open routes to have priority; with fewer they would starve the
/// teams.
constexpr std::uint32_t kMinSlotsForPrecedence = 2;

double costOf(const QueuedRequest &request)
{
    return std::clamp(request.cost, kMinCost, kMaxCost);
}

} // namespace

FairQueue::FairQueue(FairQueueOptions options)
    : m_options(options)
{
}

void FairQueue::setOptions(const FairQueueOptions &options)
{
    m_options = options;
}

FairQueue::FlowKey FairQueue::flowKey(const TeamId &team, bool openRoute) const
{
    if (m_options.fifoQueue)
        return {};
    return { openRoute, openRoute ? TeamId() : team };
}

FairQueue::Order FairQueue::orderOf(const QueuedRequest &request) const
{
    return { m_options.fifoQueue ? TimePoint() : request.deadline, request.ticket };
}

std::uint32_t FairQueue::reservedSlots() const
{
    const double reserved = std::floor(m_options.slots * m_options.openRouteReserve);
    const std::uint32_t maxReserved = m_options.slots == 0 ? 0 : m_options.slots - 1;
    return std::min(static_cast<std::uint32_t>(std::max(0.0, reserved)), maxReserved);
}

bool FairQueue::keyedSlotFree() const
{
    return running() < m_options.slots && m_runningKeyed < m_options.slots - reservedSlots();
}

bool FairQueue::openRouteHasPriority() const
{
    if (m_options.openRouteReserve <= 0 || m_options.slots < kMinSlotsForPrecedence)
        return false;
    return m_runningOpen < std::max(1U, reservedSlots());
}

Duration FairQueue::estimatedCompletion(const TeamId &team, bool openRoute,
                                        TimePoint deadline) const
{
    const auto it = m_flows.find(flowKey(team, openRoute));
    std::size_t ahead = 0;
    std::size_t own = 0;
    if (it != m_flows.end()) {
        const TimePoint order = m_options.fifoQueue ? TimePoint() : deadline;
        ahead = it->second.waiting.order_of_key({ order, TicketId(UINT64_MAX) });
        own = it->second.waiting.size();
    }
    const std::size_t otherTeams = m_flows.size() - (it == m_flows.end() ? 0 : 1);
    // Every other team is served at most as often as this one before it is the request's turn.
    const std::size_t others = std::min(m_tickets.size() - own, (ahead + 1) * otherTeams);
    const std::uint32_t keyed = m_options.slots - reservedSlots();
    const double slots = std::max(1U, openRoute ? m_options.slots : keyed);
    const double rounds = static_cast<double>(ahead + others) / slots + 1;
    return Duration(static_cast<std::int64_t>(rounds * m_meanServiceUs));
}

std::optional<ErrorKind> FairQueue::enqueue(const QueuedRequest &request, TimePoint now)
{
    if (request.deadline <= now)
        return ErrorKind::DeadlineExceeded;
    const FlowKey key = flowKey(request.team, request.openRoute);
    const auto existing = m_flows.find(key);
    if (!m_options.fifoQueue && existing != m_flows.end()
        && existing->second.waiting.size() >= m_options.queueLimitPerTeam)
        return ErrorKind::QueueFull;
    if (now + estimatedCompletion(request.team, request.openRoute, request.deadline)
        > request.deadline)
        return ErrorKind::DeadlineTooShort;
    const auto [it, added] = m_flows.try_emplace(key);
    if (added)
        it->second.activePosition = m_active.insert(m_active.end(), key);
    const Order order = orderOf(request);
    it->second.waiting.insert({ order, request });
    m_tickets.insert_or_assign(request.ticket, std::make_pair(key, order));
    return std::nullopt;
}

void FairQueue::dropInfeasible(Flow &flow, TimePoint now, std::vector<QueueRefusal> &refused)
{
    const Duration service(static_cast<std::int64_t>(m_meanServiceUs));
    while (!flow.waiting.empty()) {
        const QueuedRequest &first = flow.waiting.begin()->second;
        if (now + service <= first.deadline)
            return;
        refused.push_back(
            { first.ticket,
              first.deadline <= now ? ErrorKind::DeadlineExceeded : ErrorKind::DeadlineTooShort });
        takeFirst(flow);
    }
}

QueuedRequest FairQueue::takeFirst(Flow &flow)
{
    const auto first = flow.waiting.begin();
    QueuedRequest request = first->second;
    flow.waiting.erase(first);
    m_tickets.erase(request.ticket);
    return request;
}

void FairQueue::removeIfEmpty(const FlowKey &key)
{
    const auto it = m_flows.find(key);
    if (it == m_flows.end() || !it->second.waiting.empty())
        return;
    m_active.erase(it->second.activePosition);
    m_flows.erase(it);
}

std::optional<QueuedRequest> FairQueue::serveOpenRoute(TimePoint now,
                                                       std::vector<QueueRefusal> &refused)
{
    const FlowKey key = flowKey({}, true);
    const auto it = m_flows.find(key);
    if (it == m_flows.end())
        return std::nullopt;
    dropInfeasible(it->second, now, refused);
    std::optional<QueuedRequest> request;
    if (!it->second.waiting.empty())
        request = takeFirst(it->second);
    removeIfEmpty(key);
    return request;
}

std::optional<QueuedRequest> FairQueue::serveRoundRobin(TimePoint now,
                                                        std::vector<QueueRefusal> &refused)
{
    while (!m_active.empty()) {
        const FlowKey key = m_active.front();
        Flow &flow = m_flows.find(key)->second;
        dropInfeasible(flow, now, refused);
        if (flow.waiting.empty()) {
            removeIfEmpty(key);
            continue;
        }
        const double cost = costOf(flow.waiting.begin()->second);
        if (flow.deficit < cost) {
            flow.deficit += kQuantum;
            m_active.splice(m_active.end(), m_active, m_active.begin());
            continue;
        }
        flow.deficit -= cost;
        QueuedRequest request = takeFirst(flow);
        removeIfEmpty(key);
        return request;
    }
    return std::nullopt;
}

std::optional<QueuedRequest> FairQueue::next(TimePoint now, std::vector<QueueRefusal> &refused)
{
    if (running() >= m_options.slots)
        return std::nullopt;
    std::optional<QueuedRequest> request;
    if (!m_options.fifoQueue && (openRouteHasPriority() || !keyedSlotFree()))
        request = serveOpenRoute(now, refused);
    if (!request && keyedSlotFree())
        request = serveRoundRobin(now, refused);
    if (request)
        ++(request->openRoute ? m_runningOpen : m_runningKeyed);
    return request;
}

void FairQueue::finished(const QueuedRequest &request, Duration serviceTime)
{
    --(request.openRoute ? m_runningOpen : m_runningKeyed);
    const double sample = static_cast<double>(serviceTime.count()) / costOf(request);
    m_meanServiceUs = m_meanServiceUs <= 0
        ? sample
        : m_meanServiceUs + kServiceTimeWeight * (sample - m_meanServiceUs);
}

bool FairQueue::cancel(TicketId ticket)
{
    const auto it = m_tickets.find(ticket);
    if (it == m_tickets.end())
        return false;
    const auto [key, order] = it->second;
    m_flows.find(key)->second.waiting.erase(order);
    m_tickets.erase(it);
    removeIfEmpty(key);
    return true;
}

} // namespace shallotlever
