#include "relay_link.h"

namespace shallotlever {

namespace {

/// Only one relay, because two timeouts in a row would outlast the lease.
constexpr std::size_t kRelaysTriedAfterDirectPeriod = 1;

} // namespace

RelayLink makeRelayLink(std::vector<NodeId> relays, TimePoint now)
{
    RelayLink link;
    link.untriedRelays = relays.size();
    link.relays = std::move(relays);
    link.lastAnswerAt = now;
    return link;
}

std::optional<NodeId> currentRelay(const RelayLink &link)
{
    if (link.relays.empty() || link.directUntil)
        return std::nullopt;
    return link.relays[link.current];
}

void noteRelayAnswer(RelayLink &link, const NodeId &from, TimePoint now)
{
    if (currentRelay(link) != from)
        return;
    link.lastAnswerAt = now;
    link.untriedRelays = link.relays.size();
}

bool advanceRelayLink(RelayLink &link, bool connected, TimePoint now)
{
    if (link.relays.empty())
        return false;
    if (link.directUntil) {
        if (now < *link.directUntil)
            return false;
        link.directUntil.reset();
        link.untriedRelays = kRelaysTriedAfterDirectPeriod;
        link.lastAnswerAt = now;
        return true;
    }
    if (now < link.lastAnswerAt + (connected ? kRelayTimeout : kRelayReconnectTimeout))
        return false;
    link.current = (link.current + 1) % link.relays.size();
    link.lastAnswerAt = now;
    --link.untriedRelays;
    if (link.untriedRelays == 0)
        link.directUntil = now + kDirectReportPeriod;
    return true;
}

} // namespace shallotlever
