#pragma once

#include <cstdint>
#include <vector>

#include "shallotlever/base/ids.h"
#include "shallotlever/base/time.h"

/// Leasing rules common to rate and connection shares.
namespace shallotlever {

/// Life of a share. The node counts it from the time it sent the report that the grant answers,
/// the controller from the time it received that report, so the node's view ends first.
inline constexpr Duration kShareLease = 2s;

/// Time for which a node may spend a token that was granted by itself. Counted like kShareLease;
/// short, because the controller counts the token as unspent for so long.
inline constexpr Duration kTokenLife = 500ms;

/// Requests per second at a node from which it gets a share of a team's rate. Below it most of a
/// share would lie unused, and the requests ask for single tokens instead.
inline constexpr double kLeastLeasedDemand = 8;

/// Grants are numbered per controller; grants of a later controller have higher numbers. A node
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
    /// Grows with every report of an incarnation; older reports that arrive late are ignored.
    std::uint64_t sequence = 0;
    /// Last grant applied by this incarnation; 0 if none.
    GrantNumber appliedGrant;
};

} // namespace shallotlever
