#pragma once

#include <optional>
#include <vector>

#include "shallotlever/base/ids.h"
#include "shallotlever/base/time.h"

/// Chooses whether a node reports through a relay of its data centre or to the control members.
/// Sans-I/O.
namespace shallotlever {

/// Timeout of a relay with a connection. Covers the report interval, the relay's aggregation and
/// the round trip, and leaves time to renew the 2 s lease directly after one relay has timed out.
constexpr Duration kRelayTimeout = 900ms;
/// Timeout of a relay without a connection. Covers a reconnect; it is shorter because a lost
/// connection is detected at once.
constexpr Duration kRelayReconnectTimeout = 150ms;
/// After every relay has timed out, reports go to the control members for this long.
constexpr Duration kDirectReportPeriod = 5s;

struct RelayLink
{
    std::vector<NodeId> relays;
    std::size_t current = 0;
    /// Time of the last answer, or when the current relay was selected if that is later.
    TimePoint lastAnswerAt;
    /// Number of relays left to try before reports go to the control members.
    std::size_t untriedRelays = 0;
    /// Set while reports go to the control members.
    std::optional<TimePoint> directUntil;
};

RelayLink makeRelayLink(std::vector<NodeId> relays, TimePoint now);

/// The relay to report to; nullopt if reports go to the control members.
std::optional<NodeId> currentRelay(const RelayLink &link);

/// Records that `from` answered with a lease that was applied. Ignored unless `from` is the current
/// relay.
void noteRelayAnswer(RelayLink &link, const NodeId &from, TimePoint now);

/// Replaces a relay that has timed out, or returns to the relays after a direct period. `connected`
/// tells whether there is a connection to the current relay. Returns true if the target changed; a
/// report is then due at once.
bool advanceRelayLink(RelayLink &link, bool connected, TimePoint now);

} // namespace shallotlever
