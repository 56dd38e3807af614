#pragma once

#include <atomic>
#include <functional>

#include "admission.h"
#include "rcu.h"

namespace shallotlever {

/// State that the edge threads share with the control thread.
struct NodeSharedState
{
    explicit NodeSharedState(std::unique_ptr<const NodeSnapshot> initial)
        : snapshot(std::move(initial))
    {
    }

    RcuPointer<NodeSnapshot> snapshot;
    /// End of the freshness lease, in microseconds of the monotonic clock.
    std::atomic<std::int64_t> freshUntilUs { 0 };
    /// Set once the controller has granted shares to this process.
    std::atomic<bool> sharesGranted { false };
    std::atomic<bool> draining { false };
    NodeSecrets secrets;
};

/// Passes an admitted operator's or upstream's request to the control thread.
using ControlHandler = std::function<void(EdgeRequest, EdgeResponder)>;

/// Returns the handler of the HTTP listener: admits a request, applies the rate limit and submits
/// the request to the executor. Reads the configuration without a lock. `shared` must outlive the
/// handler.
EdgeHandler makeRequestHandler(NodeSharedState &shared, ControlHandler control);

} // namespace shallotlever
