#pragma once

#include <variant>

#include "shallotlever/edge/messages.h"
#include "snapshot.h"

/// Who may do what: checks that come before a request is queued.
namespace shallotlever {

/// A keyed request or an open route that may be queued.
struct AdmittedWork
{
    std::shared_ptr<ServiceHost> service;
    /// Null for open routes, which have no rate.
    std::shared_ptr<TokenBucket> bucket;
    TeamCounters counters;
    TeamId team;
    SessionToken token;
    TimePoint deadline;
    /// Longest wait for a rate token.
    Duration rateWait { 0 };
    /// Set for an open route.
    std::optional<RouteConfig> route;
};

/// An operator's or an upstream's request that may go to the control thread.
struct AdmittedControl
{
};

using Admission = std::variant<Error, AdmittedWork, AdmittedControl>;

/// `freshUntil` is the end of the node's freshness lease. Requests with callers' keys and changes
/// by operators are refused after it, because a key may have been withdrawn meanwhile.
Admission admit(const CallerContext &caller, const EdgeRequest &request,
                const NodeSnapshot &snapshot, const NodeSecrets &secrets, TimePoint freshUntil,
                TimePoint now);

} // namespace shallotlever
