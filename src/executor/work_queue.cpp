#include "work_queue.h"

namespace shallotlever {

void refuse(const WorkItem &item, ErrorKind kind, std::string message)
{
    item.respond(Error { kind, std::move(message), std::nullopt });
}

WorkQueue::WorkQueue(FairQueueOptions options)
    : m_queue(options)
{
}

void WorkQueue::add(WorkItem item, TimePoint now)
{
    m_lastTicket = m_lastTicket.next();
    QueuedRequest request;
    request.ticket = m_lastTicket;
    request.team = item.team;
    request.deadline = item.deadline;
    request.openRoute = item.openRoute;
    if (const std::optional<ErrorKind> refusal = m_queue.enqueue(request, now)) {
        refuse(item, *refusal);
        return;
    }
    m_deadlines.emplace(item.deadline, m_lastTicket);
    m_items.emplace(m_lastTicket, std::move(item));
}

std::optional<std::pair<QueuedRequest, WorkItem>> WorkQueue::next(TimePoint now)
{
    std::vector<QueueRefusal> refused;
    const std::optional<QueuedRequest> request = m_queue.next(now, refused);
    for (const QueueRefusal &refusal : refused)
        refuse(removeItem(refusal.ticket), refusal.kind);
    if (!request)
        return std::nullopt;
    return std::pair(*request, removeItem(request->ticket));
}

void WorkQueue::finished(const QueuedRequest &request, Duration serviceTime)
{
    m_queue.finished(request, serviceTime);
}

void WorkQueue::expire(ErrorKind kind, TimePoint now)
{
    while (!m_deadlines.empty() && m_deadlines.begin()->first <= now) {
        const TicketId ticket = m_deadlines.begin()->second;
        m_queue.cancel(ticket);
        refuse(removeItem(ticket), kind);
    }
}

WorkItem WorkQueue::removeItem(TicketId ticket)
{
    const auto entry = m_items.find(ticket);
    WorkItem item = std::move(entry->second);
    m_deadlines.erase({ item.deadline, ticket });
    m_items.erase(entry);
    return item;
}

} // namespace shallotlever
