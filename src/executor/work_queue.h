#pragma once

#include <map>
#include <optional>
#include <set>
#include <utility>
#include <vector>

#include "shallotlever/base/errors.h"
#include "shallotlever/executor/work.h"
#include "shallotlever/policy/fair_queue.h"

namespace shallotlever {

/// Queued requests of one service and access mode. Maps the tickets of the fair queue to their work
/// items.
class WorkQueue
{
public:
    explicit WorkQueue(FairQueueOptions options);

    void setOptions(const FairQueueOptions &options) { m_queue.setOptions(options); }

    /// Queues the item, or answers it with an error if the queue refuses it.
    void add(WorkItem item, TimePoint now);

    /// Next item that may start, with the queued request to pass to finished().
    std::optional<std::pair<QueuedRequest, WorkItem>> next(TimePoint now);

    /// Frees the slot of an item that next() returned.
    void finished(const QueuedRequest &request, Duration serviceTime);

    /// Answers every queued item whose deadline has passed with `kind`.
    void expire(ErrorKind kind, TimePoint now);

    std::size_t waiting() const { return m_items.size(); }
    std::uint32_t running() const { return m_queue.running(); }

private:
    WorkItem removeItem(TicketId ticket);

    FairQueue m_queue;
    std::map<TicketId, WorkItem> m_items;
    std::set<std::pair<TimePoint, TicketId>> m_deadlines;
    TicketId m_lastTicket;
};

/// Answers an item with an error of the given kind.
void refuse(const WorkItem &item, ErrorKind kind, std::string message = {});

} // namespace shallotlever
