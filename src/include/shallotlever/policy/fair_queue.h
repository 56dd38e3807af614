#pragma once

#include <cstdint>
#include <list>
#include <map>
#include <optional>
#include <unordered_map>
#include <vector>

#include <ext/pb_ds/assoc_container.hpp>
#include <ext/pb_ds/tree_policy.hpp>

#include "shallotlever/base/errors.h"
#include "shallotlever/base/ids.h"
#include "shallotlever/base/time.h"

namespace shallotlever {

/// Minimum cost of a request in units of an average request.
inline constexpr double kMinCost = 0.25;

/// Identifies a queued request; unique within the lifetime of the queue.
using TicketId = Number<struct TicketIdTag>;

struct QueuedRequest
{
    TicketId ticket;
    /// Empty for requests of open routes.
    TeamId team;
    TimePoint deadline;
    bool openRoute = false;
    /// Work in units of an average request, at least kMinCost.
    double cost = 1;
};

struct FairQueueOptions
{
    std::uint32_t queueLimitPerTeam = 256;
    /// Maximum number of requests that run at the same time.
    std::uint32_t slots = 1;
    /// Fraction of the slots reserved for open routes, 0 to 1.
    double openRouteReserve = 0;
    /// Fault injection for tests: serves requests in order of arrival regardless of team.
    bool fifoQueue = false;
};

/// Why a queued request was removed without being run. The outcome of such a request is not_run.
struct QueueRefusal
{
    TicketId ticket;
    ErrorKind kind = ErrorKind::DeadlineTooShort;
};

/// Queue in front of one database or service: deficit round robin over teams, earliest deadline
/// first within a team. Operations take O(log n); for next() this is amortised over the requests it
/// returns. Not thread-safe: owned by one executor.
class FairQueue
{
public:
    explicit FairQueue(FairQueueOptions options);

    void setOptions(const FairQueueOptions &options);

    /// Returns QueueFull, DeadlineExceeded or DeadlineTooShort if the request is refused.
    std::optional<ErrorKind> enqueue(const QueuedRequest &request, TimePoint now);

    /// Removes and returns the next request if a slot is free for it. Requests that can no longer
    /// finish before their deadline are removed and appended to `refused`.
    std::optional<QueuedRequest> next(TimePoint now, std::vector<QueueRefusal> &refused);

    /// Frees the slot of a request that next() returned and updates the estimate of service time.
    void finished(const QueuedRequest &request, Duration serviceTime);

    /// Removes a waiting request; returns false if it is not in the queue.
    bool cancel(TicketId ticket);

    /// Estimated time until a request of `team` with this deadline would finish if it were queued
    /// now.
    Duration estimatedCompletion(const TeamId &team, bool openRoute, TimePoint deadline) const;

    std::size_t size() const { return m_tickets.size(); }
    std::uint32_t running() const { return m_runningOpen + m_runningKeyed; }

private:
    struct Order
    {
        TimePoint deadline;
        TicketId ticket;
        friend auto operator<=>(const Order &, const Order &) = default;
    };
    using Waiting = __gnu_pbds::tree<Order, QueuedRequest, std::less<>, __gnu_pbds::rb_tree_tag,
                                     __gnu_pbds::tree_order_statistics_node_update>;
    /// All open routes share one flow.
    struct FlowKey
    {
        bool openRoute = false;
        TeamId team;
        friend auto operator<=>(const FlowKey &, const FlowKey &) = default;
    };
    /// Waiting requests of one team; removed when there are none left.
    struct Flow
    {
        Waiting waiting;
        /// Starts at one quantum, so that a new flow's first request of average cost is served in
        /// its first round.
        double deficit = 1;
        std::list<FlowKey>::iterator activePosition;
    };

    FlowKey flowKey(const TeamId &team, bool openRoute) const;
    Order orderOf(const QueuedRequest &request) const;
    std::uint32_t reservedSlots() const;
    bool keyedSlotFree() const;
    bool openRouteHasPriority() const;
    std::optional<QueuedRequest> serveOpenRoute(TimePoint now, std::vector<QueueRefusal> &refused);
    std::optional<QueuedRequest> serveRoundRobin(TimePoint now, std::vector<QueueRefusal> &refused);
    void dropInfeasible(Flow &flow, TimePoint now, std::vector<QueueRefusal> &refused);
    QueuedRequest takeFirst(Flow &flow);
    void removeIfEmpty(const FlowKey &key);

    FairQueueOptions m_options;
    std::map<FlowKey, Flow> m_flows;
    /// Flows with waiting requests, in round-robin order.
    std::list<FlowKey> m_active;
    std::unordered_map<TicketId, std::pair<FlowKey, Order>> m_tickets;
    std::uint32_t m_runningOpen = 0;
    std::uint32_t m_runningKeyed = 0;
    double m_meanServiceUs = 0;
};

} // namespace shallotlever
