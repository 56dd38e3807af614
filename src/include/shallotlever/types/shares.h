#pragma once

#include <cstdint>
#include <optional>
#include <vector>

#include "shallotlever/base/ids.h"
#include "shallotlever/base/time.h"

/// Shares of cluster-wide limits that the controller leases to nodes.
namespace shallotlever {

/// What a node reports about one team since its last report.
struct TeamDemand
{
    TeamId team;
    /// Requests that arrived per second, admitted or not.
    double arrivalsPerSecond = 0;
    /// Unspent tokens given up when a share's bucket depth shrank, counted since the process
    /// started. The controller may grant them again.
    double returnedTokens = 0;
    /// Share in force when the report was sent; 0 if none. A new controller renews it.
    double heldRate = 0;
    double heldBurst = 0;
    friend bool operator==(const TeamDemand &, const TeamDemand &) = default;
};

/// Tokens for requests of a team that wait at a node.
struct TokenRequest
{
    TeamId team;
    std::uint32_t tokens = 0;
    friend bool operator==(const TokenRequest &, const TokenRequest &) = default;
};

/// Answers a TokenRequest, or a part of it.
struct TokenGrant
{
    TeamId team;
    std::uint32_t tokens = 0;
    /// Time from the receipt of the request to this grant. The node may spend the tokens until
    /// kTokenLife after it asked plus this time.
    Duration queued { 0 };
    /// Set if no token will come: time until it makes sense to ask again.
    std::optional<Duration> retryAfter;
    friend bool operator==(const TokenGrant &, const TokenGrant &) = default;
};

/// What a node reports about one upstream.
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

/// Part of a team's limit, valid until the lease it came with runs out.
struct RateShare
{
    TeamId team;
    double ratePerSecond = 0;
    /// Bucket depth. The node returns tokens above it.
    double burst = 0;
    /// Added to the bucket once, when the share is applied.
    double tokens = 0;
    /// All nodes together asked for no more than the team's rate when the share was granted.
    bool teamWithinRate = true;
    /// Number of the grant. Tokens of a grant that was applied before are not added again.
    std::uint64_t grant = 0;
    friend bool operator==(const RateShare &, const RateShare &) = default;
};

/// Part of an upstream's connections, valid until the lease it came with runs out. The node's
/// status connection is a control connection, which the platform does not count.
struct SlotShare
{
    UpstreamId upstream;
    std::uint32_t connections = 0;
    friend bool operator==(const SlotShare &, const SlotShare &) = default;
};

} // namespace shallotlever
