#pragma once

#include <variant>

#include "shallotlever/edge/messages.h"
#include "snapshot.h"

/// Authentication and authorisation of requests, before they are queued.
namespace shallotlever {

/// A request with a caller's key, or an open route, that may be queued.
struct AdmittedWork
{
    std::shared_ptr<ServiceHost> service;
    /// Null for open routes, which have no rate.
    std::shared_ptr<TokenBucket> bucket;
    TeamCounters counters;
    TeamId team;
    SessionToken token;
    TimePoint deadline;
    /// Maximum wait for a rate token.
    Duration rateWait { 0 };
    /// Set for an open route.
    std::optional<RouteConfig> route;
};

/// A request of an operator or an upstream that may be passed to the control thread.
struct AdmittedControl
{
};

using Admission = std::variant<Error, AdmittedWork, AdmittedControl>;

/// `freshUntil` is the expiry of the node's freshness lease. After it, requests with callers' keys
/// and changes by operators are refused, because a key may have been withdrawn since.
Admission admit(const CallerContext &caller, const EdgeRequest &request,
                const NodeSnapshot &snapshot, const NodeSecrets &secrets, TimePoint freshUntil,
                TimePoint now);

} // namespace shallotlever
