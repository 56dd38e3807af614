// Orders of operators to evacuate a data centre.

#include "absl/strings/str_cat.h"
#include "node_impl.h"
#include "shallotlever/base/clock.h"

namespace shallotlever {

namespace {

std::string_view outcomeName(const EdgeResponse &answer)
{
    const auto *change = std::get_if<ChangeResponse>(&answer);
    const auto *error = std::get_if<Error>(&answer);
    if (error != nullptr && error->kind == ErrorKind::InvalidChange)
        return "invalid";
    if (change == nullptr)
        return "undecided";
    switch (change->result.outcome) {
    case ChangeOutcome::Accepted:
        return "accepted";
    case ChangeOutcome::Conflict:
        return "overtaken";
    case ChangeOutcome::Invalid:
        return "invalid";
    }
    return "undecided";
}

} // namespace

void Node::Impl::evacuate(const EvacuationRequest &request, TimePoint now)
{
    if (!m_settings.dataCentres.empty() && !m_settings.dataCentres.contains(request.dataCentre)) {
        onEvacuationOrdered(
            request, Error { ErrorKind::InvalidChange, "unknown data centre", std::nullopt });
        return;
    }
    // A node that was suspended may find an order that has been given elsewhere and ended since.
    if (!isFresh(m_view.freshness, now)) {
        onEvacuationOrdered(request, Error { ErrorKind::NoController, {}, std::nullopt });
        return;
    }
    orderEvacuation(request, m_view.replicated.cluster.config.version, now);
}

void Node::Impl::orderEvacuation(const EvacuationRequest &request, ConfigVersion basedOn,
                                 TimePoint now)
{
    ChangeRequest order;
    // Each order has an id of its own: a repeated one must count as given again.
    order.change.id = ChangeId(absl::StrCat("evacuation-", m_settings.nodeId.value(), "-",
                                            m_incarnation.value(), "-", ++m_lastEvacuationOrder));
    order.change.basedOn = basedOn;
    if (request.inForce)
        order.change.change = PutEvacuation { request.dataCentre };
    else
        order.change.change = RemoveEvacuation { request.dataCentre };
    forwardRequest(
        order,
        [this, request](const EdgeResponse &answer) { onEvacuationOrdered(request, answer); }, now);
}

void Node::Impl::onEvacuationOrdered(const EvacuationRequest &request, const EdgeResponse &answer)
{
    const std::string_view outcome = outcomeName(answer);
    m_registry
        .counter("shallotlever_evacuation_orders_total",
                 "Orders to evacuate a data centre, or to end that, by outcome.",
                 { { "outcome", std::string(outcome) } })
        .increment();
    m_logger.info("evacuation_ordered",
                  { { "data_centre", request.dataCentre.value() },
                    { "in_force", request.inForce },
                    { "outcome", outcome },
                    { "waited_ms", millisecondsBetween(request.arrivedAt, monotonicNow()) } });
    request.respond(answer);
}

} // namespace shallotlever
