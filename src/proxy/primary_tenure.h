#pragma once

#include <optional>

#include "shallotlever/base/time.h"
#include "shallotlever/types/fleet.h"

/// Until when commits of a primary may be acknowledged to callers.
///
/// Once every node has confirmed that it uses a primary no more, the controller promotes a database
/// that holds all commits that may have been acknowledged by then. A commit that the former primary
/// makes later, with the help of a replica that the controller doesn't know of, can be missing
/// there. So a node acknowledges no commit of a primary that it has released.
namespace shallotlever {

/// The right of a database to make commits; ends with its term, even if it leads the next one too.
struct PrimaryTenure
{
    UpstreamId upstream;
    Term term;
    friend bool operator==(const PrimaryTenure &, const PrimaryTenure &) = default;
};

/// The primary of a service as this node knows it, and the one before it.
struct PrimaryTenures
{
    std::optional<PrimaryTenure> current;
    std::optional<PrimaryTenure> former;
    /// Commits of `former` are acknowledged until then.
    TimePoint formerUntil;
};

/// Returns the tenure of the database; nullopt unless it is the primary.
std::optional<PrimaryTenure> tenureOf(const PrimaryTenures &tenures, const UpstreamId &upstream);

/// Takes over the primary of a published view. In a planned change of primary, commits that are
/// under way get kQuiescePeriod to complete, which the controller waits for unless the node had no
/// lease (`leaseHeld`) when the primary was released.
void applyPrimary(PrimaryTenures &tenures, const GroupView &group, bool leaseHeld, TimePoint now);

/// Takes over that the service is no longer in the view. No database is promoted meanwhile, so its
/// last commits still count.
void removePrimary(PrimaryTenures &tenures);

/// Whether a commit that was sent to the primary in its tenure may be acknowledged, if the node's
/// freshness lease is valid.
bool mayAcknowledge(const PrimaryTenures &tenures, const PrimaryTenure &tenure, TimePoint now);

} // namespace shallotlever
