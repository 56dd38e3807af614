#pragma once

#include <atomic>
#include <functional>

#include "admission.h"
#include "rcu.h"

namespace shallotlever {

/// State that the edge threads share with the control thread.
struct NodeShared
{
    explicit NodeShared(std::unique_ptr<const NodeSnapshot> initial)
        : snapshot(std::move(initial))
    {
    }

    RcuPointer<NodeSnapshot> snapshot;
    /// End of the freshness lease, in microseconds of the monotonic clock.
    std::atomic<std::int64_t> freshUntilUs { 0 };
    /// The controller has granted shares since this node started.
    std::atomic<bool> sharesGranted { false };
    std::atomic<bool> draining { false };
    NodeSecrets secrets;
};

/// Passes an admitted operator's or upstream's request to the control thread.
using ControlHandler = std::function<void(EdgeRequest, EdgeResponder)>;

/// Handler of the HTTP listener: admission, rate limit, hand-over to the executor. Reads the
/// configuration without a lock. `shared` must outlive the handler.
EdgeHandler makeRequestHandler(NodeShared &shared, ControlHandler control);

} // namespace shallotlever
