#include "relay_link.h"

namespace shallotlever {

namespace {

/// One relay only, because two silent ones in a row would outlast the lease.
constexpr std::size_t kTriedAfterDirectPeriod = 1;

} // namespace

RelayLink makeRelayLink(std::vector<NodeId> relays, TimePoint now)
{
    RelayLink link;
    link.untried = relays.size();
    link.relays = std::move(relays);
    link.heardAt = now;
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
    link.heardAt = now;
    link.untried = link.relays.size();
}

bool advanceRelayLink(RelayLink &link, bool connected, TimePoint now)
{
    if (link.relays.empty())
        return false;
    if (link.directUntil) {
        if (now < *link.directUntil)
            return false;
        link.directUntil.reset();
        link.untried = kTriedAfterDirectPeriod;
        link.heardAt = now;
        return true;
    }
    if (now < link.heardAt + (connected ? kRelaySilence : kRelayDisconnected))
        return false;
    link.current = (link.current + 1) % link.relays.size();
    link.heardAt = now;
    --link.untried;
    if (link.untried == 0)
        link.directUntil = now + kDirectPeriod;
    return true;
}

} // namespace shallotlever
