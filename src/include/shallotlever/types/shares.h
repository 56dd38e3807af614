#pragma once

#include <cstdint>
#include <optional>
#include <vector>

#include "shallotlever/base/ids.h"
#include "shallotlever/base/time.h"

/// Shares of cluster-wide limits that the controller leases to nodes.
namespace shallotlever {

/// Demand for one team as reported by a node.
struct TeamDemand
{
    TeamId team;
    /// Requests that arrived per second, admitted or not.
    double arrivalsPerSecond = 0;
    /// Unspent tokens given up when a share's bucket depth was reduced, counted since the process
    /// started. The controller may grant them again.
    double returnedTokens = 0;
    /// Share in force when the report was sent; 0 if none. A new controller renews it.
    double heldRate = 0;
    double heldBurst = 0;
    friend bool operator==(const TeamDemand &, const TeamDemand &) = default;
};

/// Asks the controller for tokens for a team's requests that wait at the node.
struct TokenRequest
{
    TeamId team;
    std::uint32_t tokens = 0;
    friend bool operator==(const TokenRequest &, const TokenRequest &) = default;
};

/// Full or partial answer to a TokenRequest.
struct TokenGrant
{
    TeamId team;
    std::uint32_t tokens = 0;
    /// Time from the receipt of the request to this grant. The node may spend the tokens until
    /// kTokenLifetime plus this time after it sent the request.
    Duration queued { 0 };
    /// Set if no token will be granted: time until the node should ask again.
    std::optional<Duration> retryAfter;
    friend bool operator==(const TokenGrant &, const TokenGrant &) = default;
};

/// Demand for connections to one upstream as reported by a node.
struct SlotDemand
{
    UpstreamId upstream;
    /// Includes connections being opened.
    std::uint32_t connectionsOpen = 0;
    std::uint32_t connectionsBusy = 0;
    std::uint32_t waiting = 0;
    /// Share in force when the report was sent; 0 if none.
    std::uint32_t connectionsHeld = 0;
    friend bool operator==(const SlotDemand &, const SlotDemand &) = default;
};

/// Part of a team's limit, valid until its lease expires.
struct RateShare
{
    TeamId team;
    double ratePerSecond = 0;
    /// Bucket depth. The node returns tokens in excess of it.
    double burst = 0;
    /// Tokens added to the bucket once, when the share is applied.
    double tokens = 0;
    /// Whether the demand at all nodes together was within the team's rate when the share was
    /// granted.
    bool teamWithinRate = true;
    /// Number of the grant. The tokens of a grant that has been applied are not added again.
    std::uint64_t grant = 0;
    friend bool operator==(const RateShare &, const RateShare &) = default;
};

/// Part of an upstream's connections, valid until its lease expires. It does not include the node's
/// status connection, a control connection that the platform does not count.
struct SlotShare
{
    UpstreamId upstream;
    std::uint32_t connections = 0;
    friend bool operator==(const SlotShare &, const SlotShare &) = default;
};

} // namespace shallotlever
