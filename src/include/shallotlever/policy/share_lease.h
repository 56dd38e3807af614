#pragma once

#include <cstdint>
#include <vector>

#include "shallotlever/base/ids.h"
#include "shallotlever/base/time.h"

/// Lease rules shared by rate and connection shares.
namespace shallotlever {

/// Duration of a share's lease. The node counts it from the time it sent the report that the grant
/// answers, the controller from the time it received that report. Hence the lease expires at the
/// node first.
inline constexpr Duration kShareLeaseDuration = 2s;

/// Time for which a node may spend a single token (token_grants.h), counted like
/// kShareLeaseDuration. It is short because the controller counts the token as unspent until it
/// expires.
inline constexpr Duration kTokenLifetime = 500ms;

/// A node with at least this many requests per second of a team gets a share of its rate. With
/// fewer requests most of the share would stay unused, so the node requests single tokens instead.
inline constexpr double kMinLeaseDemandPerSecond = 8;

/// Grants are numbered per controller, and those of a later controller have higher numbers. A node
/// ignores a grant whose number is not higher than that of the last grant it applied.
using GrantNumber = Number<struct GrantNumberTag>;

/// First grant number of the controller elected at `term`.
constexpr GrantNumber firstGrantNumber(ControlTerm term)
{
    return GrantNumber((term.value() << 32U) + 1);
}

/// Identifies a report and says which grant the node had applied when it sent the report.
struct ReportStamp
{
    NodeId node;
    Incarnation incarnation;
    /// Increases with every report of an incarnation; reports that arrive out of order are ignored.
    std::uint64_t sequence = 0;
    /// Last grant applied by this incarnation; 0 if none.
    GrantNumber appliedGrant;
};

} // namespace shallotlever
