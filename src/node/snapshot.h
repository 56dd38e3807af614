#pragma once

#include <map>
#include <memory>
#include <optional>

#include "shallotlever/policy/token_bucket.h"
#include "shallotlever/session/keys.h"
#include "shallotlever/session/token.h"
#include "shallotlever/telemetry/node_metrics.h"
#include "shallotlever/types/config.h"

namespace shallotlever {

class ServiceHost;

/// Configuration, rate limit and counters of a team, for the request path.
struct TeamEntry
{
    TeamConfig config;
    /// Outlives the snapshot: buckets are kept across configuration changes.
    std::shared_ptr<TokenBucket> bucket;
    TeamCounters counters;
};

/// Immutable view of the configuration for the edge threads, published with read-copy-update.
struct NodeSnapshot
{
    ConfigVersion version;
    std::map<KeyId, KeyConfig> keys;
    std::map<TeamId, TeamEntry> teams;
    std::map<RouteId, RouteConfig> routes;
    std::map<ServiceId, std::shared_ptr<ServiceHost>> services;
    PresetPolicy policy;
};

/// Secrets from the node's settings.
struct NodeSecrets
{
    SessionSecret session;
    /// Hash of the bootstrap operator key, if one is set.
    std::optional<KeyHash> operatorKey;
};

} // namespace shallotlever
