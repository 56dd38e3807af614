#pragma once

#include <optional>
#include <vector>

#include "shallotlever/base/ids.h"
#include "shallotlever/base/time.h"

/// Whether a node reports through a relay of its data centre. Sans-I/O.
namespace shallotlever {

/// A connected relay that has answered nothing for this long is given up. Covers the report
/// interval, the relay's aggregation and the round trip, and leaves time to renew the lease of 2 s
/// directly after one relay was given up.
constexpr Duration kRelaySilence = 900ms;
/// The same for a relay without a connection, which is known at once; covers a reconnect.
constexpr Duration kRelayDisconnected = 150ms;
/// After every relay was given up, reports go to the control members for this long.
constexpr Duration kDirectPeriod = 5s;

struct RelayLink
{
    std::vector<NodeId> relays;
    std::size_t current = 0;
    /// Last answer, or when the current relay was chosen.
    TimePoint heardAt;
    /// Relays that may still be tried before reports go to the control members.
    std::size_t untried = 0;
    /// Set while reports go to the control members.
    std::optional<TimePoint> directUntil;
};

RelayLink makeRelayLink(std::vector<NodeId> relays, TimePoint now);

/// The relay to report to; nullopt for the control members.
std::optional<NodeId> currentRelay(const RelayLink &link);

/// `from` answered with a lease that was applied. Ignored unless it is the current relay.
void noteRelayAnswer(RelayLink &link, const NodeId &from, TimePoint now);

/// Gives up a silent relay, or returns to the relays after a direct period. `connected` tells
/// whether there is a connection to the current relay. Returns true if the target changed: a report
/// is due at once then.
bool advanceRelayLink(RelayLink &link, bool connected, TimePoint now);

} // namespace shallotlever
